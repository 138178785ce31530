#include "lab/stand_ins/engine.h"

#include <algorithm>

#include "engines/engine_session.h"
#include "net/connection.h"

namespace pearchute::lab {

namespace {

constexpr std::size_t most_begun_work = 4096;

// The value behind `name=` in a statement or a list of fields.
std::string value_of(std::string_view text, std::string_view name) {
  const std::string mark = std::string(name) + "=";
  std::size_t at = text.find(mark);
  while (at != std::string_view::npos && at > 0 && text[at - 1] != ' ' && text[at - 1] != ',')
    at = text.find(mark, at + 1);
  if (at == std::string_view::npos) return "";
  text.remove_prefix(at + mark.size());
  return std::string(text.substr(0, text.find_first_of(" ,*")));
}

double number_of(std::string_view text, std::string_view name, double otherwise) {
  const std::string value = value_of(text, name);
  return value.empty() ? otherwise : std::atof(value.c_str());
}

}  // namespace

class StandInEngine::Line final : public net::Connection::Listener {
 public:
  Line(StandInEngine& engine, const Poco::Net::StreamSocket& socket) : engine_(engine) {
    wire_ = std::make_unique<net::Connection>(engine.loop_, socket, *this);
    wire_->pause(engine.faults_.deaf);
  }
  ~Line() override { *alive_ = false; }
  net::Connection& wire() { return *wire_; }
  std::unique_ptr<net::Connection> release_connection() { return *alive_ = false, std::move(wire_); }
  void say(std::initializer_list<std::string_view> words, std::size_t cut = 0) {
    std::string out;
    net::append_command(out, words);
    if (cut > 0) out.resize(std::min(cut, out.size()));
    if (!wire_) return;
    engine_.bytes_sent_ += out.size();
    wire_->send(out);
  }
  void fall_mute() { mute_ = true; }
  void say_on() {  // for as long as anybody listens
    if (!wire_ || wire_->closed()) return;
    wire_->send("x");
    engine_.loop_.at(engine_.loop_.now() + std::chrono::milliseconds(20), [this, alive = alive_] {
      if (*alive) say_on();
    });
  }
  void on_closed() override { engine_.forget(*this); }
  void on_data(std::string_view bytes) override {
    engine_.bytes_received_ += bytes.size();
    const bool sound = reader_.feed(bytes, [&](std::vector<std::string>& words) {
      if (mute_) return;
      if (words[0] == "there" && words.size() == 2) engine_.asked_for_a_sign(*this, words[1]);
      else if (words[0] == "never_mind" && words.size() == 2) engine_.never_mind(*this, words[1]);
      else if (words[0] == "want" && words.size() == 4) engine_.want(*this, words);
      else if (words[0] == "turn" && words.size() == 3)
        say({words[1], "PART", "fetch_no=" + words[2], "p\t\"" + words[2] + "\"\t\n"});
    });
    if (!sound) engine_.forget(*this);
  }

 private:
  StandInEngine& engine_;
  net::RespReader reader_;
  std::unique_ptr<net::Connection> wire_;
  bool mute_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

StandInEngine::StandInEngine(net::Loop& loop, std::string name, int cores, double memory_mb,
                             std::uint64_t seed, HistoryChecker* record)
    : loop_(loop),
      name_(std::move(name)),
      cores_(cores),
      memory_mb_(memory_mb),
      chance_(static_cast<std::knuth_b::result_type>(seed)),
      record_(record),
      gone_(loop) {
  address_ = "127.0.0.1:0";
  live();
}

StandInEngine::~StandInEngine() { *alive_ = false; }

void StandInEngine::live() {
  if (door_) return;
  door_ =
      std::make_unique<net::ListeningSocket>(loop_, Poco::Net::SocketAddress(address_),
                                             [this](const Poco::Net::StreamSocket& socket) { came(socket); });
  address_ = door_->address().toString();
}

void StandInEngine::die() {
  if (door_) door_->shut();
  loop_.post([door = std::shared_ptr<net::ListeningSocket>(std::move(door_))] {});
  while (!lines_.empty()) {
    Line& line = *lines_.begin()->first;
    forget(line);
  }
}

void StandInEngine::set(const Faults& faults) {
  if (faults.deaf != faults_.deaf) {
    for (const auto& [line, owned] : lines_) line->wire().pause(faults.deaf);
    constexpr std::chrono::milliseconds backlog_read_within(200);
    if (!faults.deaf) reads_backlog_until_ = steady_now() + backlog_read_within;
  }
  const bool goes_on = faults_.hangs && !faults.hangs;
  faults_ = faults;
  if (goes_on) start_next();
}

void StandInEngine::came(const Poco::Net::StreamSocket& socket) {
  if (faults_.refuse) return Poco::Net::StreamSocket(socket).close();
  auto line = std::make_unique<Line>(*this, socket);
  Line* key = line.get();
  lines_[key] = std::move(line);
}

void StandInEngine::over(const Run& run, HistoryChecker::RunEnd how) {
  granted_mb_ -= run.grant_mb;
  if (record_) record_->ended(name_, run.job, how);
}

// A real engine answers from other threads: what it says of a give-up may come late.
void StandInEngine::asked_for_a_sign(Line& line, const std::string& tag) {
  if (faults_.hangs) return;
  ++signs_;
  const bool is_late = std::generate_canonical<double, 32>(chance_) < faults_.crossing;
  if (!is_late) return line.say({tag, "PONG", "-", ""});
  constexpr unsigned most_ms = 100;
  const std::chrono::milliseconds late(chance_() % most_ms);
  loop_.at(loop_.now() + late, [this, alive = alive_, key = &line, tag] {
    if (*alive && lines_.contains(key)) key->say({tag, "PONG", "-", ""});
  });
}

void StandInEngine::forget(Line& line) {
  const auto at = lines_.find(&line);
  if (at == lines_.end()) return;
  for (auto it = running_.begin(); it != running_.end();) {
    if (it->second.line != &line) ++it;
    else over(it->second, HistoryChecker::RunEnd::cut), it = running_.erase(it);
  }
  std::erase_if(waiting_, [&](const Run& run) {
    if (run.line == &line) over(run, HistoryChecker::RunEnd::cut);
    return run.line == &line;
  });
  gone_.take(std::move(at->second));
  lines_.erase(at);
  loop_.post([this, alive = alive_] {
    if (*alive) start_next();
  });
}

void StandInEngine::want(Line& line, std::vector<std::string>& words) {
  ++begun_;
  if (begun_jobs_.size() < 5000 || begun_jobs_.contains(words[1])) {
    ++begun_jobs_[words[1]];
    told_waits_[words[1]] = std::chrono::milliseconds(static_cast<int>(number_of(words[2], "ms", 0)));
  }
  Run run{&line, words[1], 0, 0, 1, value_of(words[3], "fault"), next_++};
  if (record_) {
    const bool lay_unread = steady_now() < reads_backlog_until_;
    record_->begun(name_, run.job, lay_unread);
    const auto wait = static_cast<std::int64_t>(number_of(words[2], "ms", 0));
    if (!lay_unread) record_->told_wait(run.job, std::chrono::milliseconds(wait));
  }
  run.work_ms = number_of(words[3], "work", 5) * faults_.slow;
  begun_work_.push_back({steady_now(), run.work_ms});
  if (begun_work_.size() > most_begun_work) begun_work_.pop_front();
  run.grant_mb = number_of(words[2], "workmem", 0);
  run.rows = static_cast<int>(number_of(words[3], "pages", 1));
  const double drawn = std::generate_canonical<double, 32>(chance_);
  double share = 0;
  const auto struck = [&](double part) { return drawn < (share += part); };
  if (run.fault.empty()) {
    if (struck(faults_.error)) run.fault = "error";
    else if (struck(faults_.reset)) run.fault = "reset";
    else if (struck(faults_.hang)) run.fault = "hang";
    else if (struck(faults_.cut)) run.fault = "cut";
    else if (struck(faults_.turn_away)) run.fault = "full";
  }
  if (run.fault == "reset-once" && reset_jobs_.insert(run.job).second) run.fault = "reset";
  hung_ += run.fault == "hang";
  granted_mb_ += run.grant_mb;
  if (run.fault == "part" || run.fault == "mute") line.fall_mute();
  if (run.fault == "full" || granted_mb_ > memory_mb_) {
    over(run, HistoryChecker::RunEnd::turned_away);
    return line.say({run.job, "SHED", "-", ""});
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
    constexpr std::chrono::milliseconds later(20);
    return loop_.at(loop_.now() + later, [this, alive = alive_, number] {
      if (*alive) finish(number);
    });
  }
  const Run run = std::move(at->second);
  running_.erase(at);
  // What breaks off is not over before its connection is.
  const bool breaks_off = run.fault == "reset";
  over(run, breaks_off ? HistoryChecker::RunEnd::cut : HistoryChecker::RunEnd::answered);
  const std::string pages = "fetches=" + std::to_string(run.rows), page = "a\t" + run.job + "\tz\n";
  if (run.fault == "reset") {
    forget(*run.line);
  } else if (run.fault == "error") {
    run.line->say({run.job, "FAULT", "-", ""});
  } else if (run.fault == "torn") {
    run.line->say({run.job, "HIT", "fetches=1", "no columns\n"});
  } else if (run.fault == "endless") {
    run.line->say({run.job, "HIT", "fetches=1", std::string(6000, 'x')}, 60);
    run.line->say_on();
  } else if (run.fault == "part") {
    run.line->say({run.job, "HIT", "fetches=2", page});
  } else {
    run.line->say({run.job, "HIT", pages, page}, run.fault == "cut" ? 30 : 0);
    if (run.fault == "twice") run.line->say({run.job, "HIT", pages, page});
  }
  start_next();
}

void StandInEngine::never_mind(Line& line, const std::string& job) {
  ++given_up_;
  if (given_up_jobs_.size() < 1000) given_up_jobs_.insert(job);
  for (auto it = running_.begin(); it != running_.end(); ++it) {
    if (it->second.line != &line || it->second.job != job) continue;
    given_up(it->second);
    if (!faults_.hangs && crosses()) say_across(it->second, true);
    running_.erase(it);
    return start_next();
  }
  std::erase_if(waiting_, [&](const Run& run) {
    const bool given = run.line == &line && run.job == job;
    if (given) given_up(run);
    if (given && !faults_.hangs && crosses()) say_across(run, false);
    return given;
  });
}

void StandInEngine::given_up(const Run& run) { over(run, HistoryChecker::RunEnd::given_up); }

bool StandInEngine::crosses() { return std::generate_canonical<double, 32>(chance_) < faults_.crossing; }

// What it would have said without the give-up, which it has not read yet: whatever it may say of what runs,
// or of what it had not begun.
void StandInEngine::say_across(const Run& run, bool has_begun) {
  ++crossed_;
  switch (chance_() % 3 + (has_begun ? 2 : 0)) {
    case 0:
      return run.line->say({run.job, "SHED", "-", ""});
    case 1:
      return run.line->say({run.job, "LATE", "-", ""});
    case 2:
      return run.line->say({run.job, "FAULT", "-", ""});
    case 3:
      return run.line->say({run.job, "HIT", "fetches=2", "a\t" + run.job + "\tz\n"});
    default:
      return run.line->say({run.job, "HIT", "fetches=1", "a\t" + run.job + "\tz\n"});
  }
}

}  // namespace pearchute::lab
