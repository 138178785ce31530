#include "lab/load/load_generator.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <map>
#include <thread>
#include <unordered_map>

#include "lab/load/client_connection.h"
#include "net/deferred_deletion.h"

namespace pearchute::lab {

using std::chrono::milliseconds;

namespace {

// Connections are opened in batches, so that the manager's listen backlog doesn't overflow: the system would
// repeat a dropped connection attempt only after a second.
constexpr int connections_per_batch = 8;
constexpr milliseconds batch_interval(4);
constexpr int max_sends_per_turn = 128;  // answers are read in between
constexpr std::chrono::microseconds min_pause(200);
constexpr milliseconds expiry_interval(50);
constexpr milliseconds start_delay(20);  // all threads are ready before the first intended time
constexpr milliseconds opening_timeout(10'000);

CheckTime steady_clock_now() {
  return std::chrono::duration_cast<CheckTime>(std::chrono::steady_clock::now().time_since_epoch());
}

std::string hex(StatementId id) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(id));
  return text;
}

std::vector<double> weights_of(const std::vector<StatementClass>& classes) {
  std::vector<double> weights;
  for (const StatementClass& statement_class : classes) weights.push_back(statement_class.weight);
  return weights;
}

milliseconds longest_timeout(const std::vector<StatementClass>& classes) {
  milliseconds longest{};
  for (const StatementClass& statement_class : classes) longest = std::max(longest, statement_class.timeout);
  return longest;
}

}  // namespace

// The part of one thread. All functions except is_done() are called on its loop.
class LoadGenerator::Worker final : public ClientConnection::Owner {
 public:
  Worker(const LoadGeneratorSpec& spec, net::Loop& loop, std::size_t index, int kept_connections,
         int max_connections)
      : spec_(spec),
        loop_(loop),
        manager_(spec.manager),
        kept_connections_(kept_connections),
        max_connections_(max_connections),
        next_id_((spec.seed * 1000 + index + 1) << 36 ^
                 (static_cast<StatementId>(steady_clock_now().count()) & 0xffff) << 20),
        closed_(loop) {}
  ~Worker() override { *alive_ = false; }

  void open_kept_connections() {
    for (int i = 0;
         i < connections_per_batch && connections_.size() < static_cast<std::size_t>(kept_connections_); ++i)
      add_connection();
    all_opened_ = connections_.size() >= static_cast<std::size_t>(kept_connections_);
    if (!all_opened_) after(batch_interval, [this] { open_kept_connections(); });
  }
  bool all_opened() const { return all_opened_; }
  std::size_t open_connections() const { return connections_.size(); }

  void start(const std::vector<LoadStep>& steps, std::uint64_t seed, CheckTime start) {
    steps_ = steps;
    start_ = start;
    end_ = start + total_time(steps);
    wait_deadline_ = end_ + longest_timeout(spec_.classes) + 2 * lost_slack;
    checker_ = std::make_unique<LoadChecker>(steps.size() * spec_.classes.size());
    schedule_ = std::make_unique<OpenLoopSchedule>(steps, weights_of(spec_.classes), seed);
    result_ = {};
    for (const LoadStep& step : steps)
      result_.steps.push_back({step, std::vector<ClassResult>(spec_.classes.size()), {}});
    result_.timeline.resize(static_cast<std::size_t>(total_time(steps) / timeline_slice) + 1);
    result_.connections_opened = result_.connections_most = connections_.size();
    done_ = false;
    next_ = schedule_->next();
    send_due_statements();
    expire_lost_statements();
  }
  bool is_done() const { return done_; }
  LoadResult take_result() { return std::move(result_); }

  // ---- Events of connections ----

  bool is_within_deadline(const ClientStatement& statement) override {
    return steady_clock_now() < statement.intended + spec_.classes[statement.class_index].timeout;
  }
  void on_statement_sent(ClientConnection& connection) override {
    const ClientStatement& statement = connection.statement();
    const milliseconds timeout = spec_.classes[statement.class_index].timeout;
    checker_->on_sent(statement.id, group_of(statement), steady_clock_now() + timeout);
    --unsent_;
  }
  void on_statement_answered(ClientConnection& connection, StatementAnswer answer,
                             std::string_view body) override {
    const ClientStatement& statement = connection.statement();
    const CheckTime now = steady_clock_now();
    const bool in_time = checker_->on_answered(statement.id, answer, now);
    ClassResult& class_result = result_.steps[statement.step].classes[statement.class_index];
    if (answer == StatementAnswer::done) {
      if (body.find(statement.hex_id) == std::string_view::npos) checker_->on_misdelivered(statement.id);
      class_result.latency.add(now - statement.intended);
      if (!in_time) return;
      ++class_result.answered_in_time;
      ++slice_of(statement).answered_in_time;
    } else if (answer != StatementAnswer::failed) {
      class_result.rejection_time.add(now - statement.intended);
    }
  }
  void on_statement_lost(ClientConnection& connection) override {
    checker_->on_connection_ended(connection.statement().id, steady_clock_now());
  }
  void on_statement_unreached(ClientConnection& connection) override {
    const ClientStatement& statement = connection.statement();
    if (!connection.was_sent()) {
      checker_->on_sent(statement.id, group_of(statement), steady_clock_now());
      --unsent_;
    }
    checker_->on_unreached(statement.id, steady_clock_now());
  }
  void on_connection_idle(ClientConnection& connection) override {
    if (connection.is_idle) return;
    connection.is_idle = true;
    connection.idle_position = idle_.insert(idle_.end(), &connection);
  }
  void on_connection_ended(ClientConnection& connection) override {
    if (connection.is_idle) idle_.erase(connection.idle_position);
    connection.is_idle = false;
    const auto at = connections_.find(&connection);
    if (at == connections_.end()) return;
    closed_.take(std::move(at->second));
    connections_.erase(at);
  }
  void on_unmatched_answer() override {
    if (checker_) checker_->on_unmatched_answer();
  }
  void on_connection_rejected() override { ++result_.connections_turned_away; }

 private:
  void after(CheckTime wait, std::function<void()> function) {
    loop_.at(loop_.now() + wait, [alive = alive_, function = std::move(function)] {
      if (*alive) function();
    });
  }
  std::size_t group_of(const ClientStatement& statement) const {
    return statement.step * spec_.classes.size() + statement.class_index;
  }
  TimelineSlice& slice_of(const ClientStatement& statement) {
    const auto slice = static_cast<std::size_t>((statement.intended - start_) / timeline_slice);
    return result_.timeline[std::min(slice, result_.timeline.size() - 1)];
  }

  ClientConnection& add_connection() {
    auto connection = std::make_unique<ClientConnection>(loop_, manager_, *this);
    ClientConnection& added = *connection;
    connections_.emplace(&added, std::move(connection));
    ++result_.connections_opened;
    result_.connections_most = std::max<std::uint64_t>(result_.connections_most, connections_.size());
    return added;
  }

  // Returns the connection that has been idle for longest, so that all kept connections stay in use. Returns
  // nullptr if all are in use and no more may be opened.
  ClientConnection* free_connection() {
    if (!idle_.empty()) {
      ClientConnection* connection = idle_.front();
      idle_.pop_front();
      connection->is_idle = false;
      return connection;
    }
    if (connections_.size() >= static_cast<std::size_t>(max_connections_)) return nullptr;
    return &add_connection();
  }

  void send_due_statements() {
    int sent = 0;
    CheckTime now = steady_clock_now();
    while (next_ && start_ + next_->at <= now && sent < max_sends_per_turn) {
      send(*next_, now);
      next_ = schedule_->next();
      ++sent;
      now = steady_clock_now();
    }
    if (!next_) return;
    after(std::max<CheckTime>(start_ + next_->at - now, min_pause), [this] { send_due_statements(); });
  }

  void send(const ScheduledStatement& scheduled, CheckTime now) {
    const StatementClass& statement_class = spec_.classes[scheduled.class_index];
    ClientStatement statement;
    statement.id = next_id_++;
    statement.hex_id = hex(statement.id);
    statement.step = scheduled.step;
    statement.class_index = scheduled.class_index;
    statement.intended = start_ + scheduled.at;
    ClassResult& class_result = result_.steps[scheduled.step].classes[scheduled.class_index];
    ++class_result.offered;
    ++slice_of(statement).offered;
    result_.steps[scheduled.step].lag.add(now - statement.intended);
    ClientConnection* connection = free_connection();
    if (!connection) {
      ++class_result.no_connection;
      return;
    }
    statement.request =
        "POST /do/" + statement_class.name + " HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + statement.hex_id +
        "\r\nX-Timeout-Ms: " + std::to_string(statement_class.timeout.count()) +
        "\r\nX-Cost-Ms: " + std::to_string(statement_class.cost_ms) +
        "\r\nX-Est-Mb: " + std::to_string(statement_class.memory_mb) + "\r\nIdempotency-Key: k" +
        statement.hex_id + "\r\nContent-Length: " + std::to_string(statement_class.statement.size()) +
        "\r\n\r\n" + statement_class.statement;
    ++unsent_;
    connection->send(std::move(statement));
  }

  void expire_lost_statements() {
    const CheckTime now = steady_clock_now();
    checker_->expire(now);
    const bool all_ended = !next_ && checker_->open() == 0 && unsent_ == 0;
    if (now >= end_ && (all_ended || now >= wait_deadline_)) return finish(all_ended);
    after(expiry_interval, [this] { expire_lost_statements(); });
  }

  // Closes the connections that are still in use, so that their answers don't reach a later run.
  void close_busy_connections() {
    std::vector<ClientConnection*> busy;
    for (const auto& [connection, owned] : connections_) {
      if (connection->is_busy()) busy.push_back(connection);
    }
    for (ClientConnection* connection : busy) {
      if (!connection->was_sent()) on_statement_unreached(*connection);
      on_connection_ended(*connection);
    }
  }

  void finish(bool all_ended) {
    close_busy_connections();
    for (std::size_t step = 0; step < steps_.size(); ++step) {
      for (std::size_t c = 0; c < spec_.classes.size(); ++c)
        result_.steps[step].classes[c].counts = checker_->counts(step * spec_.classes.size() + c);
    }
    result_.stray = checker_->counts(checker_->groups() - 1);
    result_.finished = all_ended;
    done_ = true;
  }

  const LoadGeneratorSpec& spec_;
  net::Loop& loop_;
  const Poco::Net::SocketAddress manager_;
  const int kept_connections_;
  const int max_connections_;
  StatementId next_id_;
  std::unordered_map<ClientConnection*, std::unique_ptr<ClientConnection>> connections_;
  std::list<ClientConnection*> idle_;  // longest idle first
  net::DeferredDeletion<ClientConnection> closed_;
  std::vector<LoadStep> steps_;
  CheckTime start_{}, end_{}, wait_deadline_{};
  std::unique_ptr<LoadChecker> checker_;
  std::unique_ptr<OpenLoopSchedule> schedule_;
  std::optional<ScheduledStatement> next_;
  std::size_t unsent_ = 0;  // statements that wait for their connection to open
  LoadResult result_;
  bool all_opened_ = false;
  std::atomic<bool> done_ = true;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

LoadGenerator::LoadGenerator(const LoadGeneratorSpec& spec) : spec_(spec) {
  const int threads = std::max(spec_.threads, 1);
  for (int i = 0; i < threads; ++i) {
    threads_.push_back(std::make_unique<net::EventLoopThread>());
    net::EventLoopThread& thread = *threads_.back();
    thread.on([&] {
      workers_.push_back(std::make_unique<Worker>(spec_, thread.loop(), static_cast<std::size_t>(i),
                                                  spec_.kept_connections / threads,
                                                  std::max(spec_.max_connections / threads, 1)));
    });
  }
  open_kept_connections();
}

// Opens the kept connections, or those of them that the manager has closed since.
void LoadGenerator::open_kept_connections() {
  for (std::size_t i = 0; i < threads_.size(); ++i)
    threads_[i]->on([&] { workers_[i]->open_kept_connections(); });
  const auto until = std::chrono::steady_clock::now() + opening_timeout;
  for (std::size_t at = 0; at < threads_.size(); ++at) {
    while (!threads_[at]->on([&] { return workers_[at]->all_opened(); })) {
      if (std::chrono::steady_clock::now() > until)
        throw LoadError("the connections are not open after 10 s", spec_.manager,
                        "check whether the manager serves");
      std::this_thread::sleep_for(milliseconds(2));
    }
  }
}

LoadGenerator::~LoadGenerator() {
  for (std::size_t i = 0; i < threads_.size(); ++i) {
    threads_[i]->on([&] {
      workers_[i].reset();
      threads_[i]->loop().settle();
    });
  }
}

LoadResult LoadGenerator::run(const std::vector<LoadStep>& steps,
                              const std::function<void(std::size_t)>& at_boundary) {
  open_kept_connections();
  std::vector<LoadStep> thread_steps = steps;
  for (LoadStep& step : thread_steps) step.per_second /= static_cast<double>(threads_.size());
  const auto start = std::chrono::steady_clock::now() + start_delay;
  ++run_;
  for (std::size_t i = 0; i < threads_.size(); ++i) {
    threads_[i]->on([&] {
      workers_[i]->start(thread_steps, spec_.seed * 7919 + run_ * 101 + i,
                         std::chrono::duration_cast<CheckTime>(start.time_since_epoch()));
    });
  }
  auto boundary = start;
  for (std::size_t step = 0; step <= steps.size(); ++step) {
    std::this_thread::sleep_until(boundary);
    if (at_boundary) at_boundary(step);
    if (step < steps.size()) boundary += steps[step].duration;
  }
  const auto wait_deadline = boundary + longest_timeout(spec_.classes) + 10 * lost_slack;
  const auto all_done = [&] {
    return std::ranges::all_of(workers_, [](const auto& w) { return w->is_done(); });
  };
  while (!all_done() && std::chrono::steady_clock::now() < wait_deadline)
    std::this_thread::sleep_for(milliseconds(5));
  LoadResult total;
  for (std::size_t i = 0; i < threads_.size(); ++i) {
    LoadResult part = threads_[i]->on([&] { return workers_[i]->take_result(); });
    if (i == 0) total = std::move(part);
    else total.merge(part);
  }
  for (std::size_t s = 0; s < steps.size(); ++s) total.steps[s].step = steps[s];
  return total;
}

std::size_t LoadGenerator::open_connections() {
  std::size_t open = 0;
  for (std::size_t i = 0; i < threads_.size(); ++i)
    open += threads_[i]->on([&] { return workers_[i]->open_connections(); });
  return open;
}

}  // namespace pearchute::lab
