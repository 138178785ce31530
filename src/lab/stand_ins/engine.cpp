#include "lab/stand_ins/engine.h"

#include <algorithm>

#include "engines/engine_session.h"
#include "net/connection.h"

namespace pearchute::lab {

namespace {

constexpr std::size_t max_begun_work = 4096;

// The value after `name=` in a statement or a list of fields; empty if there is none.
std::string value_of(std::string_view text, std::string_view name) {
  const std::string prefix = std::string(name) + "=";
  std::size_t at = text.find(prefix);
  while (at != std::string_view::npos && at > 0 && text[at - 1] != ' ' && text[at - 1] != ',')
    at = text.find(prefix, at + 1);
  if (at == std::string_view::npos) return "";
  text.remove_prefix(at + prefix.size());
  return std::string(text.substr(0, text.find_first_of(" ,*")));
}

double number_of(std::string_view text, std::string_view name, double fallback) {
  const std::string value = value_of(text, name);
  return value.empty() ? fallback : std::atof(value.c_str());
}

}  // namespace

class StandInEngine::Session final : public net::Connection::Listener {
 public:
  Session(StandInEngine& engine, const Poco::Net::StreamSocket& socket) : engine_(engine) {
    connection_ = std::make_unique<net::Connection>(engine.loop_, socket, *this);
    connection_->pause(engine.faults_.deaf);
  }
  ~Session() override { *alive_ = false; }
  net::Connection& connection() { return *connection_; }
  std::unique_ptr<net::Connection> release_connection() { return *alive_ = false, std::move(connection_); }
  void reply(std::initializer_list<std::string_view> fields, std::size_t cut = 0) {
    std::string out;
    net::append_command(out, fields);
    if (cut > 0) out.resize(std::min(cut, out.size()));
    if (!connection_) return;
    engine_.bytes_sent_ += out.size();
    connection_->send(out);
  }
  void stop_replying() { is_silent_ = true; }
  void reply_endlessly() {  // until the connection closes
    if (!connection_ || connection_->closed()) return;
    connection_->send("x");
    engine_.loop_.at(engine_.loop_.now() + std::chrono::milliseconds(20), [this, alive = alive_] {
      if (*alive) reply_endlessly();
    });
  }
  void on_closed() override { engine_.close_session(*this); }
  void on_data(std::string_view bytes) override {
    engine_.bytes_received_ += bytes.size();
    const bool is_valid = reader_.feed(bytes, [&](std::vector<std::string>& fields) {
      if (is_silent_) return;
      if (fields[0] == "there" && fields.size() == 2) engine_.on_liveness_check(*this, fields[1]);
      else if (fields[0] == "never_mind" && fields.size() == 2) engine_.on_cancel(*this, fields[1]);
      else if (fields[0] == "want" && fields.size() == 4) engine_.on_request(*this, fields);
      else if (fields[0] == "turn" && fields.size() == 3)
        reply({fields[1], "PART", "fetch_no=" + fields[2], "p\t\"" + fields[2] + "\"\t\n"});
    });
    if (!is_valid) engine_.close_session(*this);
  }

 private:
  StandInEngine& engine_;
  net::RespReader reader_;
  std::unique_ptr<net::Connection> connection_;
  bool is_silent_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

StandInEngine::StandInEngine(net::Loop& loop, std::string name, int cores, double memory_mb,
                             std::uint64_t seed, HistoryChecker* record)
    : loop_(loop),
      name_(std::move(name)),
      cores_(cores),
      memory_mb_(memory_mb),
      random_(static_cast<std::knuth_b::result_type>(seed)),
      record_(record),
      closed_sessions_(loop) {
  address_ = "127.0.0.1:0";
  live();
}

StandInEngine::~StandInEngine() { *alive_ = false; }

void StandInEngine::live() {
  if (listener_) return;
  listener_ = std::make_unique<net::ListeningSocket>(
      loop_, Poco::Net::SocketAddress(address_),
      [this](const Poco::Net::StreamSocket& socket) { on_accepted(socket); });
  address_ = listener_->address().toString();
}

void StandInEngine::die() {
  if (listener_) listener_->shut();
  loop_.post([door = std::shared_ptr<net::ListeningSocket>(std::move(listener_))] {});
  while (!sessions_.empty()) {
    Session& session = *sessions_.begin()->first;
    close_session(session);
  }
}

void StandInEngine::set(const Faults& faults) {
  if (faults.deaf != faults_.deaf) {
    for (const auto& [session, owned] : sessions_) session->connection().pause(faults.deaf);
    constexpr std::chrono::milliseconds backlog_read_within(200);
    if (!faults.deaf) reads_backlog_until_ = steady_now() + backlog_read_within;
  }
  const bool resumes = faults_.hangs && !faults.hangs;
  faults_ = faults;
  if (resumes) start_next();
}

void StandInEngine::on_accepted(const Poco::Net::StreamSocket& socket) {
  if (faults_.refuse) return Poco::Net::StreamSocket(socket).close();
  auto session = std::make_unique<Session>(*this, socket);
  Session* key = session.get();
  sessions_[key] = std::move(session);
}

void StandInEngine::end_run(const Run& run, HistoryChecker::RunEnd how) {
  granted_mb_ -= run.grant_mb;
  if (record_) record_->ended(name_, run.request_id, how);
}

// A real engine answers liveness checks from another thread, so its reply may arrive late.
void StandInEngine::on_liveness_check(Session& session, const std::string& tag) {
  if (faults_.hangs) return;
  ++signs_;
  const bool is_late = std::generate_canonical<double, 32>(random_) < faults_.crossing;
  if (!is_late) return session.reply({tag, "PONG", "-", ""});
  constexpr unsigned max_delay_ms = 100;
  const std::chrono::milliseconds late(random_() % max_delay_ms);
  loop_.at(loop_.now() + late, [this, alive = alive_, key = &session, tag] {
    if (*alive && sessions_.contains(key)) key->reply({tag, "PONG", "-", ""});
  });
}

void StandInEngine::close_session(Session& session) {
  const auto at = sessions_.find(&session);
  if (at == sessions_.end()) return;
  for (auto it = running_.begin(); it != running_.end();) {
    if (it->second.session != &session) ++it;
    else end_run(it->second, HistoryChecker::RunEnd::cut), it = running_.erase(it);
  }
  std::erase_if(waiting_, [&](const Run& run) {
    if (run.session == &session) end_run(run, HistoryChecker::RunEnd::cut);
    return run.session == &session;
  });
  closed_sessions_.take(std::move(at->second));
  sessions_.erase(at);
  loop_.post([this, alive = alive_] {
    if (*alive) start_next();
  });
}

void StandInEngine::on_request(Session& session, std::vector<std::string>& fields) {
  ++begun_;
  if (begun_requests_.size() < 5000 || begun_requests_.contains(fields[1])) {
    ++begun_requests_[fields[1]];
    time_limits_[fields[1]] = std::chrono::milliseconds(static_cast<int>(number_of(fields[2], "ms", 0)));
  }
  Run run{&session, fields[1], 0, 0, 1, value_of(fields[3], "fault"), next_run_++};
  if (record_) {
    const bool was_backlogged = steady_now() < reads_backlog_until_;
    record_->begun(name_, run.request_id, was_backlogged);
    const auto wait = static_cast<std::int64_t>(number_of(fields[2], "ms", 0));
    if (!was_backlogged) record_->on_time_limit_received(run.request_id, std::chrono::milliseconds(wait));
  }
  run.work_ms = number_of(fields[3], "work", 5) * faults_.slow;
  begun_work_.push_back({steady_now(), run.work_ms});
  if (begun_work_.size() > max_begun_work) begun_work_.pop_front();
  run.grant_mb = number_of(fields[2], "workmem", 0);
  run.rows = static_cast<int>(number_of(fields[3], "pages", 1));
  const double drawn = std::generate_canonical<double, 32>(random_);
  double share = 0;
  const auto occurs = [&](double part) { return drawn < (share += part); };
  if (run.fault.empty()) {
    if (occurs(faults_.error)) run.fault = "error";
    else if (occurs(faults_.reset)) run.fault = "reset";
    else if (occurs(faults_.hang)) run.fault = "hang";
    else if (occurs(faults_.cut)) run.fault = "cut";
    else if (occurs(faults_.turn_away)) run.fault = "full";
  }
  if (run.fault == "reset-once" && reset_requests_.insert(run.request_id).second) run.fault = "reset";
  hung_ += run.fault == "hang";
  granted_mb_ += run.grant_mb;
  if (run.fault == "part" || run.fault == "mute") session.stop_replying();
  if (run.fault == "full" || granted_mb_ > memory_mb_) {
    end_run(run, HistoryChecker::RunEnd::turned_away);
    return session.reply({run.request_id, "SHED", "-", ""});
  }
  waiting_.push_back(std::move(run));
  start_next();
}

void StandInEngine::start_next() {
  while (!faults_.hangs && !waiting_.empty() && running_.size() < static_cast<std::size_t>(cores_)) {
    Run run = std::move(waiting_.front());
    waiting_.erase(waiting_.begin());
    const std::uint64_t number = run.number;
    const auto time =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(run.work_ms));
    running_[number] = std::move(run);
    loop_.at(loop_.now() + time, [this, alive = alive_, number] {
      if (*alive) finish(number);
    });
  }
}

void StandInEngine::finish(std::uint64_t number) {
  const auto at = running_.find(number);
  if (at == running_.end() || at->second.fault == "hang" || at->second.fault == "mute") return;
  if (faults_.hangs) {
    constexpr std::chrono::milliseconds poll_interval(20);
    loop_.at(loop_.now() + poll_interval, [this, alive = alive_, number] {
      if (*alive) finish(number);
    });
    return;
  }
  const Run run = std::move(at->second);
  running_.erase(at);
  // A run that breaks off ends together with its connection.
  const bool breaks_off = run.fault == "reset";
  end_run(run, breaks_off ? HistoryChecker::RunEnd::cut : HistoryChecker::RunEnd::answered);
  const std::string pages = "fetches=" + std::to_string(run.rows), page = "a\t" + run.request_id + "\tz\n";
  if (run.fault == "reset") {
    close_session(*run.session);
  } else if (run.fault == "error") {
    run.session->reply({run.request_id, "FAULT", "-", ""});
  } else if (run.fault == "torn") {
    run.session->reply({run.request_id, "HIT", "fetches=1", "no columns\n"});
  } else if (run.fault == "endless") {
    run.session->reply({run.request_id, "HIT", "fetches=1", std::string(6000, 'x')}, 60);
    run.session->reply_endlessly();
  } else if (run.fault == "part") {
    run.session->reply({run.request_id, "HIT", "fetches=2", page});
  } else {
    run.session->reply({run.request_id, "HIT", pages, page}, run.fault == "cut" ? 30 : 0);
    if (run.fault == "twice") run.session->reply({run.request_id, "HIT", pages, page});
  }
  start_next();
}

void StandInEngine::on_cancel(Session& session, const std::string& request_id) {
  ++given_up_;
  if (cancelled_requests_.size() < 1000) cancelled_requests_.insert(request_id);
  for (auto it = running_.begin(); it != running_.end(); ++it) {
    if (it->second.session != &session || it->second.request_id != request_id) continue;
    end_run(it->second, HistoryChecker::RunEnd::given_up);
    if (!faults_.hangs && should_cross_cancel()) answer_across_cancel(it->second, true);
    running_.erase(it);
    return start_next();
  }
  std::erase_if(waiting_, [&](const Run& run) {
    const bool is_cancelled = run.session == &session && run.request_id == request_id;
    if (is_cancelled) end_run(run, HistoryChecker::RunEnd::given_up);
    if (is_cancelled && !faults_.hangs && should_cross_cancel()) answer_across_cancel(run, false);
    return is_cancelled;
  });
}

bool StandInEngine::should_cross_cancel() {
  return std::generate_canonical<double, 32>(random_) < faults_.crossing;
}

// Sends an answer that the engine could have given before it read the cancellation: one of those for a
// running request, or of those for a request that has not started.
void StandInEngine::answer_across_cancel(const Run& run, bool has_begun) {
  ++crossed_;
  switch (random_() % 3 + (has_begun ? 2 : 0)) {
    case 0:
      return run.session->reply({run.request_id, "SHED", "-", ""});
    case 1:
      return run.session->reply({run.request_id, "LATE", "-", ""});
    case 2:
      return run.session->reply({run.request_id, "FAULT", "-", ""});
    case 3:
      return run.session->reply({run.request_id, "HIT", "fetches=2", "a\t" + run.request_id + "\tz\n"});
    default:
      return run.session->reply({run.request_id, "HIT", "fetches=1", "a\t" + run.request_id + "\tz\n"});
  }
}

}  // namespace pearchute::lab
