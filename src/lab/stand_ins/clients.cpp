#include "lab/stand_ins/clients.h"

#include <algorithm>
#include <cmath>

namespace pearchute::lab {

using std::chrono::milliseconds;

namespace {

std::string hex(std::uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
  return text;
}

}  // namespace

// One connection to a manager, with one call at a time.
class StandInClients::Line final : public net::Wire::User {
 public:
  Line(StandInClients& crowd, int manager) : crowd_(crowd), manager_(manager) { connect(); }
  int manager() const { return manager_; }
  bool busy() const { return !job_.empty(); }
  const std::string& job() const { return job_; }
  std::unique_ptr<net::Wire> give_wire() { return std::move(wire_); }
  void wire_opened() override { opened_ = true; }

  void ask(const std::string& job, std::string call, std::function<void(std::optional<Answer>)> heard) {
    job_ = job, call_ = std::move(call), heard_ = std::move(heard);
    path_.clear(), answer_begun_ = false, tries_ = 0;
    reused_ = calls_++ > 0;
    wire_->send(call_);
  }
  // As a client that stops waiting does.
  void withdraw() {
    crowd_.record_.withdrawn(job_);
    if (!path_.empty()) {
      job_.clear();
      wire_->close();
      call_ = "DELETE " + path_ + " HTTP/1.1\r\nHost: a\r\n\r\n";
      deleting_ = true;
      crowd_.loop_.retire(std::move(wire_));
      connect();
      wire_->send(call_);
      return;
    }
    job_.clear();
    crowd_.drop(*this);
  }

  void wire_brought(std::string_view bytes) override {
    while (!bytes.empty()) {
      answer_begun_ = true;
      const auto status = reader_.feed(bytes);
      if (status == net::MessageReader::Status::more) return;
      if (status != net::MessageReader::Status::whole) return ended(std::nullopt);
      net::Message message = std::move(reader_.message());
      reader_.next();
      heard(message);
      if (!wire_ || wire_->closed()) return;
    }
  }
  void wire_ended() override {
    if (!busy() || deleting_) return crowd_.drop(*this);
    if (!opened_ && path_.empty()) {
      crowd_.record_.unreached(job_);
      job_.clear();
      return ended(std::nullopt);
    }
    // A path is called again on a new connection, three times at most; a call that crossed the close of an
    // idle connection is sent again once.
    const bool crossed = path_.empty() && reused_ && !answer_begun_ && tries_ == 0;
    if (!crossed && (path_.empty() || tries_ >= 3)) return ended(std::nullopt);
    ++tries_;
    reader_ = net::MessageReader(net::MessageReader::Side::requests);
    crowd_.loop_.retire(std::move(wire_));
    connect();
    wire_->send(path_.empty() ? call_ : get_path());
  }

 private:
  void connect() {
    opened_ = false;
    wire_ = std::make_unique<net::Wire>(
        crowd_.loop_, Poco::Net::SocketAddress(crowd_.managers_[static_cast<std::size_t>(manager_)].address),
        *this);
  }
  std::string get_path() const { return "GET " + path_ + " HTTP/1.1\r\nHost: a\r\n\r\n"; }
  void heard(const net::Message& message) {
    if (deleting_) return crowd_.drop(*this);
    if (!busy())
      return crowd_.record_.answered("nothing", Answer::failed);  // an answer that nobody asked for
    const int status = std::atoi(message.first_line.substr(message.first_line.find(' ') + 1).c_str());
    const bool later = message.body.find("\"TryLater\"") != std::string::npos;
    const std::size_t link = message.body.find("\"link\":\"");
    closes_ = message.header("connection") == "close";
    if (status == 200 && link != std::string::npos) {
      path_ = message.body.substr(link + 8, message.body.find('"', link + 8) - link - 8);
      tries_ = 0, answer_begun_ = false;
      return wire_->send(get_path());
    }
    if (!message.header("retry-after-ms").empty()) ++crowd_.retry_advised_;
    const bool refused = status == 429 || status == 503 || later;
    const bool done = status == 200 && message.body.find("\"abort\"") == std::string::npos;
    ended(refused ? Answer::refused : done ? Answer::done : Answer::failed);
  }
  void ended(std::optional<Answer> answer) {
    if (busy()) {
      if (answer) crowd_.record_.answered(job_, *answer);
      else crowd_.record_.unanswered(job_);
    }
    job_.clear();
    const auto heard = std::move(heard_);
    heard_ = {};
    if (!answer || closes_) crowd_.drop(*this);
    if (heard) heard(answer);
  }

  StandInClients& crowd_;
  int manager_;
  std::unique_ptr<net::Wire> wire_;
  net::MessageReader reader_{net::MessageReader::Side::requests};
  std::string job_, call_, path_;
  std::function<void(std::optional<Answer>)> heard_;
  bool opened_ = false, answer_begun_ = false, closes_ = false, reused_ = false, deleting_ = false;
  int tries_ = 0, calls_ = 0;
};

// What a front sees of one manager.
class StandInClients::Check final : public net::Wire::User {
 public:
  Check(net::Loop& loop, std::string address) : loop_(loop), address_(std::move(address)) { ask(); }
  ~Check() override { loop_.retire(std::move(wire_)); }
  bool up() const { return up_; }
  void start_anew() {
    up_ = false, heard_ = true;
    over();
  }
  void wire_brought(std::string_view bytes) override {
    while (!bytes.empty() && reader_.feed(bytes) == net::MessageReader::Status::whole) {
      up_ = reader_.message().first_line.find(" 200") != std::string::npos;
      heard_ = true;
      if (reader_.message().header("connection") == "close") over();
      reader_.next();
    }
  }
  void wire_ended() override { over(), up_ = false; }

 private:
  void over() {
    if (wire_) loop_.retire(std::move(wire_));
  }
  void ask() {
    if (!heard_) up_ = false, over();
    heard_ = false;
    if (!wire_) {
      reader_ = net::MessageReader(net::MessageReader::Side::requests);
      wire_ = std::make_unique<net::Wire>(loop_, Poco::Net::SocketAddress(address_), *this);
    }
    wire_->send("GET /check HTTP/1.1\r\nHost: a\r\n\r\n");
    loop_.at(loop_.now() + milliseconds(200), [this, alive = std::weak_ptr<bool>(alive_)] {
      if (!alive.expired()) ask();
    });
  }

  net::Loop& loop_;
  const std::string address_;
  std::unique_ptr<net::Wire> wire_;
  net::MessageReader reader_{net::MessageReader::Side::requests};
  bool up_ = false, heard_ = true;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

StandInClients::StandInClients(net::Loop& loop, std::uint64_t seed, HistoryChecker& record,
                               std::function<HistoryChecker::Kind(const std::string&)> kind_of)
    : loop_(loop),
      chance_(static_cast<std::knuth_b::result_type>(seed)),
      record_(record),
      kind_of_(std::move(kind_of)),
      gone_(loop),
      salt_(seed << 32 ^ static_cast<std::uint64_t>(steady_now().count()) << 20) {}

StandInClients::~StandInClients() { *alive_ = false; }

void StandInClients::manager_starts(int manager) { checks_[static_cast<std::size_t>(manager)]->start_anew(); }

bool StandInClients::up(int manager) const { return checks_[static_cast<std::size_t>(manager)]->up(); }

int StandInClients::add_manager(const std::string& address) {
  managers_.push_back({address, {}});
  checks_.push_back(std::make_unique<Check>(loop_, address));
  return static_cast<int>(managers_.size()) - 1;
}

StandInClients::Line& StandInClients::line_to(int manager) {
  auto& lines = managers_[static_cast<std::size_t>(manager)].lines;
  const auto free = std::ranges::find_if(lines, [](const auto& line) { return !line->busy(); });
  if (free != lines.end()) return **free;
  return *lines.emplace_back(std::make_unique<Line>(*this, manager));
}

void StandInClients::drop(Line& line) {
  auto& lines = managers_[static_cast<std::size_t>(line.manager())].lines;
  const auto at = std::ranges::find(lines, &line, [](const auto& one) { return one.get(); });
  if (at == lines.end()) return;
  gone_.take(std::move(*at));
  lines.erase(at);
}

std::string StandInClients::ask(int manager, const Ask& ask,
                                std::function<void(std::optional<Answer>)> heard) {
  const std::string id = hex(salt_ + next_job_++);
  std::string call = "POST /do/" + ask.type + " HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + id +
                     "\r\nX-Timeout-Ms: " + std::to_string(ask.patience.count()) +
                     "\r\nX-Cost-Ms: " + std::to_string(ask.cost_ms) +
                     "\r\nX-Est-Mb: " + std::to_string(ask.memory_mb) + "\r\nIdempotency-Key: k" + id +
                     "\r\n";
  if (ask.key != 0) call += "X-Object: " + hex(ask.key) + "\r\n";
  call += "Content-Length: " + std::to_string(ask.statement.size()) + "\r\n\r\n" + ask.statement;
  record_.sent(id, manager, kind_of_(ask.type), ask.key, steady_now() + ask.patience);
  line_to(manager).ask(id, std::move(call), std::move(heard));
  return id;
}

void StandInClients::withdraw(const std::string& job) {
  for (Manager& manager : managers_) {
    for (const auto& line : manager.lines) {
      if (line->job() == job) return line->withdraw();
    }
  }
}

void StandInClients::withdraw_some(std::size_t most) {
  std::vector<std::string> open;
  for (const Manager& manager : managers_) {
    for (const auto& line : manager.lines)
      if (line->busy()) open.push_back(line->job());
  }
  for (std::size_t i = 0; i < most && !open.empty(); ++i) {
    std::swap(open[chance_() % open.size()], open.back());
    withdraw(open.back());
    open.pop_back();
  }
}

void StandInClients::offer(double rate, std::vector<Ask> mix) {
  rate_ = rate, mix_ = std::move(mix);
  next_due_ = steady_now();
  if (rate_ > 0 && !mix_.empty()) next(++offers_);
  else ++offers_;
}

void StandInClients::next(std::uint64_t offer) {
  if (offer != offers_) return;
  // All that is due by now goes out, so that lateness does not slow the offered load.
  while (next_due_ <= steady_now()) {
    const double drawn = std::max(std::generate_canonical<double, 32>(chance_), 1e-9);
    next_due_ += Time(static_cast<Time::rep>(-std::log(drawn) / rate_ * 1e6));
    const Ask& ask_for = mix_[chance_() % mix_.size()];
    int manager = -1;
    for (std::size_t i = 0; i < managers_.size() && manager < 0; ++i) {
      const int candidate = static_cast<int>((turn_ + i) % managers_.size());
      if (checks_[static_cast<std::size_t>(candidate)]->up()) manager = candidate;
    }
    ++turn_;
    if (manager < 0) continue;
    Ask one = ask_for;
    if (one.key != 0) {
      // Keys of their own for each manager, and as far apart as clients send them.
      one.key = one.key * 1000 + static_cast<std::uint64_t>(manager) + 1;
      Time& last = key_sent_[one.key];
      if (steady_now() - last < milliseconds(300)) continue;
      last = steady_now();
    }
    ask(manager, one);
  }
  const Time wait = std::max(next_due_ - steady_now(), Time(500));
  loop_.at(loop_.now() + wait, [this, alive = alive_, offer] {
    if (*alive) next(offer);
  });
}

}  // namespace pearchute::lab
