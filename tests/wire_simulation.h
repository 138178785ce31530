// A closed-loop simulation of a service. The managers run in the adapter's process, which is addressed only
// by the text protocol of the simulator; engines, clients and the list of engines are simulated here. Equal
// seeds give equal runs, because all calculations are in integers. The simulation doesn't use the C++
// interface of the decisions, so a change of that interface doesn't change it.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <ostream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "adapter_process.h"
#include "seeded_text.h"

namespace pearchute::test {

// The settings of a service, by their names in the protocol.
using Settings = std::map<std::string, std::string>;

// The classes of requests of every simulated service, by position.
enum RequestClass { lookup, report, update, charge, load, scan, class_count };

struct ClassShape {
  const char* name;
  int threads;
  std::int64_t timeout_us, min_work_us, max_work_us;
};
inline constexpr std::array<ClassShape, class_count> class_shapes = {
    {{"lookup", 1, 2'000'000, 20'000, 160'000},
     {"report", 2, 8'000'000, 300'000, 1'800'000},
     {"update", 1, 4'000'000, 30'000, 200'000},
     {"charge", 1, 4'000'000, 30'000, 300'000},
     {"load", 2, 6'000'000, 300'000, 900'000},
     {"scan", 1, 4'000'000, 50'000, 400'000}}};

struct ServiceShape {
  int managers = 4, engines = 6;
  int requests_per_second = 110;  // at all managers together
  std::array<int, class_count> class_weights = {50, 15, 15, 10, 5, 5};
  int estimates_percent = 90;    // requests with an estimate of their work, and as many of their memory
  int withdrawn_percent = 3;     // requests that their client withdraws
  int streaming_percent = 5;     // attempts that report the start of their result
  int late_wakes_percent = 0;    // wakeups that come up to 400 ms late
  bool engine_faults = true;     // engines are slow, silent, full, failing or unreachable for a while
  bool engine_restarts = false;  // engines are restarted
  bool list_changes = false;     // engines drain, leave the list and return
  bool manager_crashes = false;
  bool starts_with_cached_list = false;
  bool reports_bills = true;  // answers include the work and memory that the request needed
};

struct Scenario {
  const char* name;
  ServiceShape shape;
  Settings settings;  // added to common_settings(), or in place of them
};

// GoogleTest prints a failing case by this.
inline void PrintTo(const Scenario& scenario, std::ostream* out) { *out << scenario.name; }

// The manager's actions, by position in action_names, in the order of the counts in the expected values.
enum ActionKind {
  transmit,
  assign_terms,
  stop_attempt,
  reject,
  end_failed,
  notify_me,
  probe,
  track,
  remark,
  action_kinds
};
inline constexpr std::array<std::string_view, action_kinds> action_names = {
    "TRANSMIT",  "ASSIGN_TERMS", "STOP_ATTEMPT", "REJECT", "END_FAILED",
    "NOTIFY_ME", "PROBE",        "TRACK",        "REMARK"};

struct WireResult {
  std::uint64_t digest = 0;                 // of all replies of the adapter
  std::array<int, action_kinds> actions{};  // counts by kind
  int events = 0;                           // sent to the managers
};

inline Settings common_settings() {
  Settings settings = {{"classes.count", "6"},
                       {"failureDomains", "east,west,north"},
                       {"hostTypes", "small,large"},
                       {"familyInfo.coresByKind", "4,8"},
                       {"familyInfo.sizeMb", "8000,16000"},
                       {"familyInfo.parallelism", "1,2,1,1,2,1"},
                       {"familyInfo.takesGrants", "true"},
                       {"familyInfo.takesPriority", "true"},
                       {"familyInfo.grantCap", "0.5"},
                       {"familyInfo.tellsEvery", "200000"},
                       {"orgs.count", "2"},
                       {"orgs.0.name", "acme"},
                       {"orgs.0.quotaPerS", "60"},
                       {"orgs.1.name", "zenith"},
                       {"orgs.1.quotaPerS", "20"},
                       {"overShareWorth", "0.25"},
                       {"round", "5000"},
                       {"limits.attemptsCap", "3"},
                       {"limits.cancel", "true"},
                       {"limits.retryAfter", "true"},
                       {"limits.maxRetryAfter", "500000"},
                       {"limits.connectTimeout", "50000"},
                       {"prices.crossZone", "0.04"},
                       {"prices.probe", "0.05"}};
  const char* const repeats[] = {"pure", "pure", "token", "side_effect", "token", "pure"};
  const char* const objectives[] = {"300000", "1500000", "800000", "1000000", "3000000", "1500000"};
  const char* const values[] = {"1", "20", "2", "3", "2", "4"};
  for (int i = 0; i < class_count; ++i) {
    const std::string prefix = "classes." + std::to_string(i) + ".";
    const auto at = static_cast<std::size_t>(i);
    settings[prefix + "name"] = class_shapes[at].name;
    settings[prefix + "repeat"] = repeats[at];
    settings[prefix + "window"] = "3000000";
    settings[prefix + "slo"] = objectives[at];
    settings[prefix + "giveUp"] = std::to_string(class_shapes[at].timeout_us);
    settings[prefix + "worth"] = values[at];
    settings[prefix + "aimStretch"] = "2";
  }
  return settings;
}

class WireSimulation {
 public:
  // `program` is the path of the adapter's executable; `duration_us` is simulated time.
  WireSimulation(const char* program, const Scenario& scenario, std::uint64_t seed, std::int64_t duration_us)
      : adapter_(program), shape_(scenario.shape), numbers_(seed), duration_us_(duration_us) {
    settings_ = common_settings();
    for (const auto& [name, value] : scenario.settings) settings_[name] = value;
    settings_["nInstances"] = std::to_string(shape_.managers);
    for (int i = 0; i < shape_.engines; ++i) {
      Engine engine;
      engine.zone = i % 3;
      engine.is_large = i % 2 == 1;
      engine.cell = i % 2;
      engine.online_since = shape_.engine_restarts && i % 3 == 0 ? 1 : 0;
      engines_.push_back(engine);
    }
    managers_.resize(static_cast<std::size_t>(shape_.managers));
  }

  // Runs the whole simulation. Call once. Throws std::runtime_error if the adapter fails.
  WireResult run() {
    schedule_all();
    while (!queue_.empty() && queue_.begin()->first <= duration_us_) {
      now_ = (queue_.begin()->first + round_us - 1) / round_us * round_us;
      batch_ = "MARK\tsimTime=" + std::to_string(now_) + "\n";
      addressed_ = -1;
      const int events_before = result_.events;
      while (!queue_.empty() && queue_.begin()->first <= now_) {
        const auto action = std::move(queue_.begin()->second);
        queue_.erase(queue_.begin());
        action();
      }
      if (result_.events == events_before) continue;
      const std::string reply = adapter_.exchange(batch_ + "END\n");
      digest_.add(reply);
      apply(reply);
    }
    if (adapter_.finish() != 0) throw std::runtime_error("the adapter ended with an error");
    result_.digest = digest_.value();
    return result_;
  }

 private:
  static constexpr std::int64_t round_us = 5000;
  enum class Condition { healthy, slow, silent, failing, full, unreachable, resetting };
  struct Engine {
    int zone = 0;
    std::int64_t cell = 0;
    bool is_large = false;
    std::int64_t online_since = 0;  // us; 0: left out of its entry in the list
    std::string mode = "up";
    Condition condition = Condition::healthy;
    int threads = 0, attempts = 0;
    std::int64_t memory_mb = 0;
    std::map<std::int64_t, int> loads;  // running load attempts by data set
    int cores() const { return is_large ? 8 : 4; }
    std::int64_t size_mb() const { return is_large ? 16000 : 8000; }
  };
  struct Attempt {
    int engine = 0;
    std::int64_t sent_at = 0, grant_mb = 0;
    bool is_running = true;
  };
  struct Request {
    int manager = 0, incarnation = 0, request_class = 0;
    std::int64_t work_us = 0, need_mb = 0, data_set = 0, grant_mb = 0;
    bool is_open = true;
    std::vector<Attempt> attempts;
  };
  struct Manager {
    int incarnation = 0;  // counts launches
    bool is_up = false, has_list = false;
  };

  void schedule(std::int64_t when, std::function<void()> action) {
    queue_.emplace(std::max(when, now_ + 1), std::move(action));
  }
  // Adds an event for a manager to the batch.
  void send_event(int manager, const std::string& text) {
    if (addressed_ != manager) batch_ += "AT\tmanager=" + std::to_string(manager) + "\n";
    addressed_ = manager;
    batch_ += text + "\n";
    ++result_.events;
  }
  static std::string field(const char* name, std::int64_t value) {
    return std::string("\t") + name + "=" + std::to_string(value);
  }
  // Formats a number of thousandths as a decimal fraction.
  static std::string thousandths(std::int64_t value) {
    std::string digits = std::to_string(value % 1000);
    return std::to_string(value / 1000) + "." + std::string(3 - digits.size(), '0') + digits;
  }
  Manager& manager(int number) { return managers_[static_cast<std::size_t>(number)]; }
  Engine& engine(int number) { return engines_[static_cast<std::size_t>(number)]; }
  // Whether the manager still runs, in this incarnation.
  bool is_running(int number, int incarnation) {
    return manager(number).is_up && manager(number).incarnation == incarnation;
  }

  void schedule_all() {
    for (int i = 0; i < shape_.managers; ++i) schedule(1 + i * 3000, [this, i] { launch(i); });
    schedule(50'000, [this] { arrive(); });
    if (shape_.engine_faults) schedule(400'000, [this] { change_condition(); });
    if (shape_.engine_restarts) schedule(1'500'000, [this] { restart_engine(); });
    if (shape_.list_changes) schedule(1'000'000, [this] { change_list(); });
    if (shape_.manager_crashes) schedule(2'500'000, [this] { crash_manager(); });
  }

  void launch(int number) {
    Manager& one = manager(number);
    one.is_up = true, one.has_list = false;
    one.incarnation += 1;
    static constexpr const char* zones[] = {"east", "west", "north"};
    std::string text = "LAUNCH\tnonce64=" + std::to_string(numbers_.next() >> 1);
    text += field("me", number) + "\tzone=" + zones[number % 3];
    for (const auto& [name, value] : settings_) text += "\t" + name + "=" + value;
    send_event(number, text);
    if (settings_["discovery"] == "on_request") return;
    if (shape_.starts_with_cached_list) send_list(number, "remembered", all_engines());
    const int incarnation = one.incarnation;
    schedule(now_ + numbers_.between(5'000, 300'000), [this, number, incarnation] {
      if (is_running(number, incarnation)) send_list(number, "all", all_engines());
    });
  }

  std::vector<int> all_engines() const {
    std::vector<int> all;
    for (int i = 0; i < shape_.engines; ++i) {
      if (engines_[static_cast<std::size_t>(i)].mode != "removed") all.push_back(i);
    }
    return all;
  }
  void send_list(int number, const char* mode, const std::vector<int>& which) {
    static constexpr const char* zones[] = {"east", "west", "north"};
    batch_ += "POOL" + field("bank", number) + field("rows", static_cast<std::int64_t>(which.size())) + "\n";
    for (const int i : which) {
      const Engine& one = engine(i);
      batch_ += "ENTRY" + field("engine", i + 1) + "\tfailureDomain=" + zones[one.zone] +
                "\tfamilyType=" + (one.is_large ? "large" : "small") + field("unitGroup", one.cell) +
                "\tmode=" + one.mode;
      if (one.online_since > 0) batch_ += field("onlineSince", one.online_since);
      batch_ += "\n";
    }
    send_event(number, std::string("MEMBERSHIP") + field("version", ++list_version_) + "\tmode=" + mode +
                           field("bank", number));
    manager(number).has_list = true;
  }
  void send_change_to_all(int changed) {
    for (int i = 0; i < shape_.managers; ++i) {
      const int incarnation = manager(i).incarnation;
      schedule(now_ + numbers_.between(5'000, 200'000), [this, i, incarnation, changed] {
        if (is_running(i, incarnation) && manager(i).has_list) send_list(i, "changes", {changed});
      });
    }
  }

  void change_condition() {
    static constexpr Condition kinds[] = {Condition::slow, Condition::silent,      Condition::failing,
                                          Condition::full, Condition::unreachable, Condition::resetting};
    const int which = static_cast<int>(numbers_.between(0, shape_.engines - 1));
    engine(which).condition = kinds[numbers_.between(0, 5)];
    schedule(now_ + numbers_.between(300'000, 2'500'000),
             [this, which] { engine(which).condition = Condition::healthy; });
    schedule(now_ + numbers_.between(400'000, 1'200'000), [this] { change_condition(); });
  }
  void restart_engine() {
    const int which = static_cast<int>(numbers_.between(0, shape_.engines - 1));
    engine(which).online_since = now_;
    send_change_to_all(which);
    schedule(now_ + numbers_.between(800'000, 2'000'000), [this] { restart_engine(); });
  }
  void change_list() {
    const int which = static_cast<int>(numbers_.between(0, shape_.engines - 1));
    engine(which).mode = numbers_.percent(50) ? "draining" : "removed";
    send_change_to_all(which);
    schedule(now_ + numbers_.between(500'000, 2'000'000), [this, which] {
      engine(which).mode = "up";
      send_change_to_all(which);
    });
    if (numbers_.percent(40)) {
      for (int i = 0; i < shape_.managers; ++i) {
        if (manager(i).is_up && manager(i).has_list) send_list(i, "all", all_engines());
      }
    }
    schedule(now_ + numbers_.between(700'000, 1'800'000), [this] { change_list(); });
  }
  void crash_manager() {
    const int which = static_cast<int>(numbers_.between(0, shape_.managers - 1));
    if (manager(which).is_up) {
      send_event(which, "CRASH_NOW");
      manager(which).is_up = false;
      schedule(now_ + numbers_.between(50'000, 900'000), [this, which] { launch(which); });
    }
    schedule(now_ + numbers_.between(1'500'000, 3'000'000), [this] { crash_manager(); });
  }

  int draw_class() {
    int total = 0;
    for (const int weight : shape_.class_weights) total += weight;
    std::int64_t drawn = numbers_.between(0, total - 1);
    int chosen = 0;
    while (drawn >= shape_.class_weights[static_cast<std::size_t>(chosen)]) {
      drawn -= shape_.class_weights[static_cast<std::size_t>(chosen)];
      ++chosen;
    }
    return chosen;
  }
  void arrive() {
    const std::int64_t mean_gap = 1'000'000 / shape_.requests_per_second;
    schedule(now_ + numbers_.between(1, 2 * mean_gap), [this] { arrive(); });
    const int number = static_cast<int>(numbers_.between(0, shape_.managers - 1));
    if (!manager(number).is_up) return;
    Request request;
    request.manager = number, request.incarnation = manager(number).incarnation;
    request.request_class = draw_class();
    const ClassShape& of = class_shapes[static_cast<std::size_t>(request.request_class)];
    request.work_us = numbers_.between(of.min_work_us, of.max_work_us);
    request.need_mb = numbers_.between(50, 1500);
    request.data_set = numbers_.between(0, numbers_.between(1, 12));
    const std::int64_t handle = ++last_handle_;
    std::string text = "REQ" + field("handle", handle) + "\ttype=" + of.name;
    text += field("expiresIn", numbers_.percent(4) ? numbers_.between(1, 60'000) : of.timeout_us);
    text += field("target", numbers_.between(1, 9));
    if (numbers_.percent(70)) text += numbers_.percent(80) ? "\tparty=acme" : "\tparty=zenith";
    // An estimate differs from the real need by up to a third.
    if (numbers_.percent(shape_.estimates_percent)) {
      text += field("guess", request.work_us * numbers_.between(67, 133) / 100) + "\tflags=1";
    }
    if (numbers_.percent(shape_.estimates_percent)) {
      text += field("needMb", request.need_mb * numbers_.between(67, 133) / 100);
    }
    text += field("sourceSet", request.data_set);
    if (numbers_.percent(shape_.withdrawn_percent)) {
      schedule(now_ + numbers_.between(5'000, 800'000), [this, handle] { withdraw(handle); });
    }
    requests_[handle] = request;
    send_event(number, text);
  }
  void withdraw(std::int64_t handle) {
    Request& request = requests_.at(handle);
    if (!request.is_open || !is_running(request.manager, request.incarnation)) return;
    request.is_open = false;
    send_event(request.manager, "WITHDRAWN" + field("handle", handle));
  }

  std::string usage_of(const Engine& one) {
    const std::int64_t share = std::min<std::int64_t>(1000, one.memory_mb * 1000 / one.size_mb());
    return "\tusage=outstanding:" + std::to_string(one.attempts) +
           ",backlog:" + std::to_string(std::max(0, one.threads - one.cores())) +
           ",x0:" + thousandths(share) + ",x1:0.125";
  }
  void answer(std::int64_t handle, std::size_t copy, const std::string& state) {
    Request& request = requests_.at(handle);
    Attempt& attempt = request.attempts[copy];
    if (!attempt.is_running) return;
    attempt.is_running = false;
    const ClassShape& of = class_shapes[static_cast<std::size_t>(request.request_class)];
    Engine& one = engine(attempt.engine);
    one.threads -= of.threads, one.attempts -= 1, one.memory_mb -= attempt.grant_mb;
    if (request.request_class == load) one.loads[request.data_set] -= 1;
    if (!is_running(request.manager, request.incarnation)) return;
    const bool finishes = state == "OK" && request.is_open;
    if (finishes) request.is_open = false;
    std::string text = "ANSWER" + field("handle", handle) + field("copy", static_cast<std::int64_t>(copy)) +
                       "\tstateCode=" + state + field("elapsed", now_ - attempt.sent_at) +
                       field("finished", finishes);
    if (state == "OK" && shape_.reports_bills) {
      text += field("bill", request.work_us / 1000 * 4096 + request.need_mb / 4);
    }
    if (settings_["feedback.how"] != "probe" && numbers_.percent(60)) text += usage_of(one);
    send_event(request.manager, text);
  }
  void answer_at(std::int64_t when, std::int64_t handle, std::size_t copy, const std::string& state) {
    schedule(when, [this, handle, copy, state] { answer(handle, copy, state); });
  }
  void note_at(std::int64_t when, std::int64_t handle, std::size_t copy, const std::string& text) {
    schedule(when, [this, handle, copy, text] {
      const Request& request = requests_.at(handle);
      if (!request.attempts[copy].is_running || !is_running(request.manager, request.incarnation)) return;
      send_event(request.manager,
                 text + field("handle", handle) + field("copy", static_cast<std::int64_t>(copy)));
    });
  }

  // Starts an attempt on an engine and decides by the engine's condition when and how it ends.
  void begin_attempt(std::int64_t handle, int to) {
    Request& request = requests_.at(handle);
    const ClassShape& of = class_shapes[static_cast<std::size_t>(request.request_class)];
    Engine& one = engine(to);
    const std::size_t copy = request.attempts.size();
    request.attempts.push_back({to, now_, request.grant_mb, true});
    const int threads_before = one.threads;
    one.threads += of.threads, one.attempts += 1, one.memory_mb += request.grant_mb;
    const bool behind_load = request.request_class == scan && one.loads[request.data_set] > 0;
    if (request.request_class == load) one.loads[request.data_set] += 1;

    const std::int64_t soon = now_ + numbers_.between(1'000, 20'000);
    const int drawn = static_cast<int>(numbers_.between(0, 99));
    const Condition condition = one.condition;
    if (one.mode == "removed" || condition == Condition::unreachable) {
      return answer_at(now_ + 50'000, handle, copy, "UNAVAILABLE");
    }
    if (condition == Condition::silent) {
      return answer_at(now_ + of.timeout_us, handle, copy, "DEADLINE_EXCEEDED");
    }
    if (condition == Condition::full || threads_before >= 3 * one.cores()) {
      return answer_at(soon, handle, copy, "RESOURCE_EXHAUSTED");
    }
    if (condition == Condition::failing && drawn < 60) return answer_at(soon, handle, copy, "INTERNAL");
    if (condition == Condition::resetting && drawn < 60) return answer_at(soon, handle, copy, "ABORTED");
    if (drawn >= 98) return answer_at(soon, handle, copy, drawn == 98 ? "INTERNAL" : "TOO_LATE");

    std::int64_t service_us = request.work_us / of.threads * std::max(one.cores(), one.threads) / one.cores();
    service_us = service_us * numbers_.between(80, 125) / 100;
    if (condition == Condition::slow) service_us *= numbers_.between(4, 12);
    if (behind_load) service_us += 600'000;
    if (now_ < one.online_since + 3'000'000) service_us = service_us * 3 / 2;
    const std::int64_t end = now_ + std::min(service_us, of.timeout_us);
    if (behind_load) note_at(now_ + 10'000, handle, copy, "NOTE\tkind=3\tamount=2");
    else if (drawn < 4) note_at(now_ + 10'000, handle, copy, "NOTE\tkind=3\tamount=1");
    if (request.grant_mb > 0 && request.grant_mb < request.need_mb) {
      note_at(soon, handle, copy,
              "NOTE\tkind=2\tamount=" + std::to_string(request.need_mb - request.grant_mb));
    }
    for (std::int64_t when = now_ + 200'000; when < end; when += 200'000) {
      const std::int64_t done = (when - now_) * 1000 / service_us;
      note_at(when, handle, copy, "NOTE\tkind=1\tamount=" + thousandths(done));
    }
    if (numbers_.percent(shape_.streaming_percent)) note_at((now_ + end) / 2, handle, copy, "STREAMING");
    answer_at(end, handle, copy, service_us > of.timeout_us ? "DEADLINE_EXCEEDED" : "OK");
  }

  // Returns the fields of one line of a reply by name; "action" is the first word.
  static std::map<std::string, std::string> fields_of(std::string_view text) {
    std::map<std::string, std::string> fields;
    std::size_t tab = text.find('\t');
    fields["action"] = text.substr(0, tab);
    while (tab != std::string_view::npos) {
      text.remove_prefix(tab + 1);
      tab = text.find('\t');
      const std::string_view pair = text.substr(0, tab);
      const std::size_t equals = pair.find('=');
      fields[std::string(pair.substr(0, equals))] = pair.substr(equals + 1);
    }
    return fields;
  }
  void apply(std::string_view reply) {
    int by = -1;
    while (!reply.empty()) {
      const std::size_t end = reply.find('\n');
      auto fields = fields_of(reply.substr(0, end));
      reply.remove_prefix(end + 1);
      const std::string action = fields["action"];
      if (action == "BY") by = std::stoi(fields["manager"]);
      const auto kind = std::ranges::find(action_names, action);
      if (kind == action_names.end()) continue;
      ++result_.actions[static_cast<std::size_t>(kind - action_names.begin())];
      act_on(by, fields);
    }
  }
  void act_on(int by, std::map<std::string, std::string>& fields) {
    const std::string& action = fields["action"];
    const auto number = [&](const char* name) { return std::stoll(fields[name]); };
    if (action == "TRANSMIT") {
      begin_attempt(number("handle"), static_cast<int>(number("engine")) - 1);
    } else if (action == "ASSIGN_TERMS") {
      requests_.at(number("handle")).grant_mb = number("memoryGrant");
    } else if (action == "STOP_ATTEMPT") {
      // The attempt ends after a delay, so that an answer in flight may arrive first.
      const std::int64_t delay = numbers_.between(1'000, 40'000);
      answer_at(now_ + delay, number("handle"), static_cast<std::size_t>(number("copy")), "CANCELLED");
    } else if (action == "REJECT" || action == "END_FAILED") {
      requests_.at(number("handle")).is_open = false;
    } else if (action == "NOTIFY_ME") {
      schedule_wakeup(by, number("in"), fields["mark"]);
    } else if (action == "PROBE") {
      answer_probe(by, static_cast<int>(number("engine")) - 1);
    } else if (action == "TRACK") {
      answer_track(by);
    }
  }
  void schedule_wakeup(int by, std::int64_t delay, const std::string& mark) {
    if (numbers_.percent(shape_.late_wakes_percent)) delay += numbers_.between(30'000, 400'000);
    const int incarnation = manager(by).incarnation;
    schedule(now_ + delay, [this, by, incarnation, mark] {
      if (is_running(by, incarnation)) send_event(by, "WAKE\tmark=" + mark);
    });
  }
  void answer_probe(int by, int which) {
    const int incarnation = manager(by).incarnation;
    schedule(now_ + 2'000, [this, by, incarnation, which] {
      if (!is_running(by, incarnation)) return;
      const bool is_reachable = engine(which).condition != Condition::unreachable;
      send_event(by, "PING_RESULT" + field("engine", which + 1) +
                         "\tstateCode=" + (is_reachable ? "OK" : "UNAVAILABLE") + field("elapsed", 1'500) +
                         usage_of(engine(which)));
    });
  }
  void answer_track(int by) {
    const int incarnation = manager(by).incarnation;
    schedule(now_ + numbers_.between(10'000, 120'000), [this, by, incarnation] {
      if (!is_running(by, incarnation)) return;
      if (numbers_.percent(60)) send_event(by, "MEMBERSHIP\tmode=refused");
      else send_list(by, "all", all_engines());
    });
  }

  AdapterProcess adapter_;
  ServiceShape shape_;
  Settings settings_;
  SeededNumbers numbers_;
  std::int64_t duration_us_, now_ = 0, last_handle_ = 0, list_version_ = 0;
  std::multimap<std::int64_t, std::function<void()>> queue_;  // by time, then in the order of scheduling
  std::vector<Engine> engines_;
  std::vector<Manager> managers_;
  std::map<std::int64_t, Request> requests_;
  std::string batch_;
  int addressed_ = -1;  // the manager of the last event in the batch
  Digest digest_;
  WireResult result_;
};

}  // namespace pearchute::test
