#include "lab/stand_ins/clients.h"

#include <algorithm>
#include <cmath>

#include "net/connection.h"

namespace pearchute::lab {

using std::chrono::milliseconds;

namespace {

std::string hex(std::uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
  return text;
}

}  // namespace

// A connection to a manager with one request at a time.
class StandInClients::Session final : public net::Connection::Listener {
 public:
  Session(StandInClients& clients, int manager) : clients_(clients), manager_(manager) { connect(); }
  int manager() const { return manager_; }
  bool busy() const { return !id_.empty() || is_reserved_; }
  void reserve(bool reserved) { is_reserved_ = reserved; }
  const std::string& id() const { return id_; }
  std::unique_ptr<net::Connection> release_connection() { return std::move(connection_); }
  bool is_open() const { return is_open_; }
  void on_opened() override {
    is_open_ = true;
    if (!id_.empty() && path_.empty()) clients_.on_written(id_, key_, true);
  }

  void send(const std::string& id, std::uint64_t key, std::string request,
            std::function<void(std::optional<Answer>)> on_answer) {
    id_ = id, key_ = key, request_ = std::move(request), on_answer_ = std::move(on_answer);
    path_.clear(), has_answer_begun_ = false, resend_count_ = 0;
    is_reused_ = request_count_++ > 0;
    connection_->send(request_);
    if (is_open_) clients_.on_written(id_, key_, !is_reused_);
  }
  // Acts as a client that stops waiting.
  void withdraw() {
    clients_.record_.withdrawn(id_);
    if (!is_open_ && path_.empty()) clients_.on_written(id_, key_, true);
    if (!path_.empty()) {
      id_.clear();
      connection_->close();
      request_ = "DELETE " + path_ + " HTTP/1.1\r\nHost: a\r\n\r\n";
      is_deleting_ = true;
      clients_.loop_.retire(std::move(connection_));
      connect();
      connection_->send(request_);
      return;
    }
    id_.clear();
    clients_.close_session(*this);
  }

  void on_data(std::string_view bytes) override {
    while (!bytes.empty()) {
      has_answer_begun_ = true;
      const auto status = reader_.feed(bytes);
      if (status == net::MessageReader::Status::more) return;
      if (status != net::MessageReader::Status::whole) return end_request(std::nullopt);
      net::Message message = std::move(reader_.message());
      reader_.next();
      on_message(message);
      if (!connection_ || connection_->closed()) return;
    }
  }
  void on_closed() override {
    if (id_.empty() || is_deleting_) return clients_.close_session(*this);
    if (!is_open_ && path_.empty()) {
      clients_.record_.unreached(id_);
      clients_.on_written(id_, key_, true);
      id_.clear();
      return end_request(std::nullopt);
    }
    // A result path is requested again on a new connection, up to three times. A request that crossed the
    // manager's close of an idle connection is sent again once.
    const bool crossed = path_.empty() && is_reused_ && !has_answer_begun_ && resend_count_ == 0;
    if (!crossed && (path_.empty() || resend_count_ >= 3)) return end_request(std::nullopt);
    ++resend_count_;
    if (path_.empty()) clients_.record_.crossed(id_);
    reader_ = net::MessageReader(net::MessageReader::Side::requests);
    clients_.loop_.retire(std::move(connection_));
    connect();
    connection_->send(path_.empty() ? request_ : get_path());
  }

 private:
  void connect() {
    is_open_ = false;
    connection_ = std::make_unique<net::Connection>(
        clients_.loop_,
        Poco::Net::SocketAddress(clients_.managers_[static_cast<std::size_t>(manager_)].address), *this);
  }
  std::string get_path() const { return "GET " + path_ + " HTTP/1.1\r\nHost: a\r\n\r\n"; }
  void on_message(const net::Message& message) {
    if (is_deleting_) return clients_.close_session(*this);
    if (id_.empty())
      return clients_.record_.answered("nothing", Answer::failed);  // counts an answer without a request
    const int status = std::atoi(message.first_line.substr(message.first_line.find(' ') + 1).c_str());
    const bool try_later = message.body.find("\"TryLater\"") != std::string::npos;
    const std::size_t link = message.body.find("\"link\":\"");
    closes_ = message.header("connection") == "close";
    if (status == 200 && link != std::string::npos) {
      path_ = message.body.substr(link + 8, message.body.find('"', link + 8) - link - 8);
      resend_count_ = 0, has_answer_begun_ = false;
      return connection_->send(get_path());
    }
    if (!message.header("retry-after-ms").empty()) ++clients_.retry_advised_;
    const bool refused = status == 429 || status == 503 || try_later;
    const bool done = status == 200 && message.body.find("\"abort\"") == std::string::npos;
    end_request(refused ? Answer::refused : done ? Answer::done : Answer::failed);
  }
  void end_request(std::optional<Answer> answer) {
    if (!id_.empty()) {
      if (answer) clients_.record_.answered(id_, *answer);
      else clients_.record_.unanswered(id_);
    }
    id_.clear();
    const auto on_answer = std::move(on_answer_);
    on_answer_ = {};
    if (!answer || closes_) clients_.close_session(*this);
    if (on_answer) on_answer(answer);
  }

  StandInClients& clients_;
  int manager_;
  std::unique_ptr<net::Connection> connection_;
  net::MessageReader reader_{net::MessageReader::Side::requests};
  std::string id_, request_, path_;
  std::uint64_t key_ = 0;
  std::function<void(std::optional<Answer>)> on_answer_;
  bool is_reserved_ = false, is_open_ = false, has_answer_begun_ = false, closes_ = false, is_reused_ = false,
       is_deleting_ = false;
  int resend_count_ = 0, request_count_ = 0;
};

// Requests the check of one manager repeatedly, as a front does.
class StandInClients::Check final : public net::Connection::Listener {
 public:
  Check(net::Loop& loop, std::string address) : loop_(loop), address_(std::move(address)) { request_check(); }
  ~Check() override { loop_.retire(std::move(connection_)); }
  bool up() const { return up_; }
  void reset() {
    up_ = false, is_answered_ = true;
    retire_connection();
  }
  void on_data(std::string_view bytes) override {
    while (!bytes.empty() && reader_.feed(bytes) == net::MessageReader::Status::whole) {
      up_ = reader_.message().first_line.find(" 200") != std::string::npos;
      is_answered_ = true;
      if (reader_.message().header("connection") == "close") retire_connection();
      reader_.next();
    }
  }
  void on_closed() override { retire_connection(), up_ = false; }

 private:
  void retire_connection() {
    if (connection_) loop_.retire(std::move(connection_));
  }
  void request_check() {
    if (!is_answered_) up_ = false, retire_connection();
    is_answered_ = false;
    if (!connection_) {
      reader_ = net::MessageReader(net::MessageReader::Side::requests);
      connection_ = std::make_unique<net::Connection>(loop_, Poco::Net::SocketAddress(address_), *this);
    }
    connection_->send("GET /check HTTP/1.1\r\nHost: a\r\n\r\n");
    loop_.at(loop_.now() + milliseconds(200), [this, alive = std::weak_ptr<bool>(alive_)] {
      if (!alive.expired()) request_check();
    });
  }

  net::Loop& loop_;
  const std::string address_;
  std::unique_ptr<net::Connection> connection_;
  net::MessageReader reader_{net::MessageReader::Side::requests};
  bool up_ = false, is_answered_ = true;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

StandInClients::StandInClients(net::Loop& loop, std::uint64_t seed, HistoryChecker& record,
                               std::function<HistoryChecker::Kind(const std::string&)> kind_of)
    : loop_(loop),
      random_(static_cast<std::knuth_b::result_type>(seed)),
      record_(record),
      kind_of_(std::move(kind_of)),
      closed_sessions_(loop),
      salt_(seed << 32 ^ static_cast<std::uint64_t>(steady_now().count()) << 20) {}

StandInClients::~StandInClients() { *alive_ = false; }

void StandInClients::manager_starts(int manager) { checks_[static_cast<std::size_t>(manager)]->reset(); }

bool StandInClients::up(int manager) const { return checks_[static_cast<std::size_t>(manager)]->up(); }

int StandInClients::add_manager(const std::string& address) {
  managers_.push_back({address, {}});
  checks_.push_back(std::make_unique<Check>(loop_, address));
  return static_cast<int>(managers_.size()) - 1;
}

StandInClients::Session* StandInClients::idle_session(int manager) {
  auto& sessions = managers_[static_cast<std::size_t>(manager)].sessions;
  const auto free = std::ranges::find_if(sessions, [](const auto& session) { return !session->busy(); });
  return free == sessions.end() ? nullptr : free->get();
}

StandInClients::Session& StandInClients::idle_or_new_session(int manager) {
  if (Session* free = idle_session(manager)) return *free;
  auto& sessions = managers_[static_cast<std::size_t>(manager)].sessions;
  return *sessions.emplace_back(std::make_unique<Session>(*this, manager));
}

void StandInClients::use_open_lines(int manager, bool use) {
  managers_[static_cast<std::size_t>(manager)].uses_open_connections = use;
}

// Clients write requests of one key at least 60 ms apart, and 250 ms after one on a new connection.
bool StandInClients::may_follow(std::uint64_t key) const {
  constexpr milliseconds min_interval(60), min_interval_after_new(250);
  const auto at = key_sent_.find(key);
  if (at == key_sent_.end()) return true;
  const KeySent& last = at->second;
  return last.is_written &&
         steady_now() - last.written >= (last.on_new_connection ? min_interval_after_new : min_interval);
}

void StandInClients::on_written(const std::string& id, std::uint64_t key, bool on_new_connection) {
  record_.written(id);
  if (key != 0) key_sent_[key] = {steady_now(), on_new_connection, true};
}

void StandInClients::withdraw_soon(const std::string& id) {
  const milliseconds delay(1 + static_cast<int>(random_() % 40));
  loop_.at(loop_.now() + delay, [this, alive = alive_, id] {
    if (*alive) withdraw(id);
  });
}

// Selects in turn a manager whose check succeeds, or one that is ending and has an idle open connection.
std::optional<int> StandInClients::next_manager() {
  for (std::size_t i = 0; i < managers_.size(); ++i) {
    const int candidate = static_cast<int>((next_manager_ + i) % managers_.size());
    const Manager& manager = managers_[static_cast<std::size_t>(candidate)];
    const Session* free = idle_session(candidate);
    const bool can_be_used = manager.uses_open_connections && free && free->is_open();
    if (can_be_used || (!manager.uses_open_connections && checks_[static_cast<std::size_t>(candidate)]->up()))
      return candidate;
  }
  return std::nullopt;
}

void StandInClients::close_session(Session& session) {
  auto& sessions = managers_[static_cast<std::size_t>(session.manager())].sessions;
  const auto at = std::ranges::find(sessions, &session, [](const auto& one) { return one.get(); });
  if (at == sessions.end()) return;
  closed_sessions_.take(std::move(*at));
  sessions.erase(at);
}

std::string StandInClients::ask(int manager, const Ask& ask,
                                std::function<void(std::optional<Answer>)> on_answer) {
  return send_on(idle_or_new_session(manager), manager, ask, std::move(on_answer));
}

void StandInClients::ask_pair(int manager, const Ask& ask) {
  Session* open = idle_session(manager);
  if (!open || !open->is_open()) return;
  open->reserve(true);
  Manager& to = managers_[static_cast<std::size_t>(manager)];
  send_on(*to.sessions.emplace_back(std::make_unique<Session>(*this, manager)), manager, ask, {});
  send_second_of_pair(*open, ask);
}

// Sends the request as soon as the key's minimum interval has passed, if the connection still exists then.
void StandInClients::send_second_of_pair(Session& session, const Ask& ask) {
  constexpr milliseconds poll_interval(5);
  loop_.at(loop_.now() + poll_interval, [this, alive = alive_, second = &session, ask,
                                         manager = session.manager()] {
    if (!*alive) return;
    const auto& sessions = managers_[static_cast<std::size_t>(manager)].sessions;
    if (std::ranges::find(sessions, second, [](const auto& one) { return one.get(); }) == sessions.end())
      return;
    if (!may_follow(ask.key)) return send_second_of_pair(*second, ask);
    second->reserve(false);
    send_on(*second, manager, ask, {});
  });
}

std::string StandInClients::send_on(Session& session, int manager, const Ask& ask,
                                    std::function<void(std::optional<Answer>)> on_answer) {
  const std::string id = hex(salt_ + next_id_++);
  std::string request = "POST /do/" + ask.type + " HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + id +
                        "\r\nX-Timeout-Ms: " + std::to_string(ask.patience.count()) +
                        "\r\nX-Cost-Ms: " + std::to_string(ask.cost_ms) +
                        "\r\nX-Est-Mb: " + std::to_string(ask.memory_mb) + "\r\nIdempotency-Key: k" + id +
                        "\r\n";
  if (ask.key != 0) request += "X-Object: " + hex(ask.key) + "\r\n";
  request += "Content-Length: " + std::to_string(ask.statement.size()) + "\r\n\r\n" + ask.statement;
  HistoryChecker::Kind kind = kind_of_(ask.type);
  const auto usual = usual_cost_ms_.find(ask.type);
  kind.usual_work_ms = usual == usual_cost_ms_.end() ? ask.cost_ms : usual->second;
  record_.sent(id, manager, kind, ask.key, steady_now() + ask.patience);
  session.send(id, ask.key, std::move(request), std::move(on_answer));
  return id;
}

void StandInClients::withdraw(const std::string& id) {
  for (Manager& manager : managers_) {
    for (const auto& session : manager.sessions) {
      if (session->id() == id) return session->withdraw();
    }
  }
}

void StandInClients::withdraw_some(std::size_t max_count) {
  std::vector<std::string> open;
  for (const Manager& manager : managers_) {
    for (const auto& session : manager.sessions)
      if (!session->id().empty()) open.push_back(session->id());
  }
  for (std::size_t i = 0; i < max_count && !open.empty(); ++i) {
    std::swap(open[random_() % open.size()], open.back());
    withdraw(open.back());
    open.pop_back();
  }
}

void StandInClients::offer(double rate, std::vector<Ask> mix) {
  rate_ = rate, mix_ = std::move(mix);
  std::map<std::string, std::pair<double, int>> sums;
  for (const Ask& one : mix_) sums[one.type].first += one.cost_ms, sums[one.type].second += 1;
  for (const auto& [type, sum] : sums) usual_cost_ms_[type] = sum.first / sum.second;
  next_due_ = steady_now();
  if (rate_ > 0 && !mix_.empty()) send_due(++offers_);
  else ++offers_;
}

void StandInClients::send_due(std::uint64_t offer) {
  if (offer != offers_) return;
  // Sends all requests that are due by now, so that a late timer doesn't lower the offered load.
  while (next_due_ <= steady_now()) {
    const double drawn = std::max(std::generate_canonical<double, 32>(random_), 1e-9);
    next_due_ += Time(static_cast<Time::rep>(-std::log(drawn) / rate_ * 1e6));
    const Ask& ask_for = mix_[random_() % mix_.size()];
    const std::optional<int> manager = next_manager();
    ++next_manager_;
    if (!manager) continue;
    Ask one = ask_for;
    if (one.key != 0) {
      // Each manager gets keys of its own, and requests of one key keep their minimum interval.
      one.key = one.key * 1000 + static_cast<std::uint64_t>(*manager) + 1;
      if (!may_follow(one.key)) continue;
      key_sent_[one.key].is_written = false;
    }
    const std::string id = ask(*manager, one);
    const double withdrawn_share = one.key != 0 && leave_early_ > 0 ? 0.5 : leave_early_;
    if (std::generate_canonical<double, 32>(random_) < withdrawn_share) withdraw_soon(id);
  }
  const Time wait = std::max(next_due_ - steady_now(), Time(500));
  loop_.at(loop_.now() + wait, [this, alive = alive_, offer] {
    if (*alive) send_due(offer);
  });
}

}  // namespace pearchute::lab
