// The one place where the characterization tests touch the C++ interface of the decisions. It has to follow a
// rename of that interface; the text that it writes has names of its own, which never change.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/arrival_order.h"
#include "core/attempt_budget.h"
#include "core/cold_budgets.h"
#include "core/control.h"
#include "core/key_order.h"
#include "core/rule_guard.h"
#include "service/deployment.h"
#include "service/named_values.h"
#include "wire_simulation.h"

namespace pearchute::test {

using Microseconds = std::int64_t;

inline std::string text_of(GiveUpReason reason) {
  switch (reason) {
    case GiveUpReason::costly:
      return "costly";
    case GiveUpReason::hopeless:
      return "hopeless";
    case GiveUpReason::queue_full:
      return "queue_full";
    case GiveUpReason::time_is_up:
      return "time_is_up";
    case GiveUpReason::too_late:
      return "too_late";
    case GiveUpReason::spent:
      return "spent";
    case GiveUpReason::not_taken:
      return "not_taken";
    case GiveUpReason::client_gone:
      return "client_gone";
    case GiveUpReason::crammed:
      return "crammed";
    case GiveUpReason::ending:
      return "ending";
    case GiveUpReason::order_unknown:
      return "order_unknown";
    case GiveUpReason::count:
      break;
  }
  return "?";
}

// How an attempt ended, by position in the decisions' own list of outcomes.
enum class End { done, error, full, timed_out, unreachable, reset, stopped, never_sent };

inline Outcome outcome_of(End end) {
  switch (end) {
    case End::done:
      return Outcome::done;
    case End::error:
      return Outcome::error;
    case End::full:
      return Outcome::full;
    case End::timed_out:
      return Outcome::timed_out;
    case End::unreachable:
      return Outcome::unreachable;
    case End::reset:
      return Outcome::reset;
    case End::stopped:
      return Outcome::stopped;
    case End::never_sent:
      return Outcome::never_sent;
  }
  return Outcome::error;
}

inline std::string text_of(std::optional<Rule> rule) {
  return rule ? std::string(rule_names[static_cast<std::size_t>(*rule)]) : std::string("-");
}

struct EngineFacts {
  int id = 0, zone = 0, kind = 0, cell = 0;
  int mode = 0;                    // 0: up, 1: draining, 2: gone
  Microseconds online_since = -1;  // -1: not told
};

struct RequestFacts {
  std::uint64_t id = 0;
  int request_class = 0, customer = -1;
  std::uint64_t key = 0;  // 0: none
  bool order_is_known = true;
  Microseconds time_left = 0;
  double work_ms = 0, memory_mb = 0;  // 0: no estimate
  std::int64_t data_set = 0;
};

inline std::vector<ListedEngine> listed(const std::vector<EngineFacts>& engines) {
  std::vector<ListedEngine> all;
  for (const EngineFacts& one : engines) {
    ListedEngine& engine = all.emplace_back();
    engine.id = EngineId{static_cast<std::uint32_t>(one.id)};
    engine.state = one.mode == 0   ? EngineState::up
                   : one.mode == 1 ? EngineState::draining
                                   : EngineState::gone;
    engine.zone = ZoneId{one.zone};
    engine.kind = KindId{one.kind};
    engine.cell = CellId{one.cell};
    if (one.online_since >= 0) engine.online_since = Span(one.online_since);
  }
  return all;
}

// 0: changes, 1: the whole list, 2: a remembered list.
inline ListNews news_of(int mode) {
  return mode == 0 ? ListNews::changes : mode == 1 ? ListNews::complete : ListNews::remembered;
}

inline ServiceDefinition service_of(const Settings& settings) {
  service::NamedValues values;
  for (const auto& [name, value] : settings) values.add(name, value);
  return service::decode(values).service;
}

// What the manager under test does, as canonical text and as calls for whoever plays the world.
struct WorldCalls {
  virtual ~WorldCalls() = default;
  virtual void act(const std::string& line) = 0;
  virtual void attempt_begins(std::uint64_t request, int engine) = 0;
  virtual void attempt_stops(std::uint64_t request, int attempt) = 0;
  virtual void request_ends(std::uint64_t request) = 0;
  virtual void wake_later(Microseconds delay, std::uint64_t mark) = 0;
};

class ManagerUnderTest final : private Host {
 public:
  ManagerUnderTest(const Settings& settings, std::uint64_t seed, WorldCalls& world)
      : world_(world), manager_(service_of(settings), seed, *this) {}

  void list(Microseconds now, int mode, const std::vector<EngineFacts>& engines) {
    manager_.list_came(Span(now), news_of(mode), listed(engines));
  }
  void list_refused(Microseconds now) { manager_.list_refused(Span(now)); }
  void request(Microseconds now, const RequestFacts& facts) {
    Job job;
    job.id = JobId{facts.id};
    job.type = TypeId{facts.request_class};
    job.customer = CustomerId{facts.customer};
    if (facts.key > 0) job.key = OrderKey{facts.key};
    job.order_is_known = facts.order_is_known;
    job.time_left = Span(facts.time_left);
    if (facts.work_ms > 0) job.work_ms = facts.work_ms;
    if (facts.memory_mb > 0) job.memory_mb = facts.memory_mb;
    job.data_set = DataSetId{facts.data_set};
    manager_.job_taken(Span(now), job);
  }
  void withdrawn(Microseconds now, std::uint64_t id) { manager_.job_withdrawn(Span(now), JobId{id}); }
  void client_left(Microseconds now, std::uint64_t id) { manager_.caller_left(Span(now), JobId{id}); }
  void client_came(Microseconds now, std::uint64_t id) { manager_.caller_came(Span(now), JobId{id}); }
  void streams(Microseconds now, std::uint64_t id, int attempt) {
    manager_.stream_started(Span(now), JobId{id}, attempt);
  }
  void progress(Microseconds now, std::uint64_t id, int attempt, double share) {
    manager_.progress_told(Span(now), JobId{id}, attempt, share);
  }
  void spill(Microseconds now, std::uint64_t id, int attempt, double missing_mb) {
    manager_.spill_told(Span(now), JobId{id}, attempt, missing_mb);
  }
  void waits(Microseconds now, std::uint64_t id, int attempt, bool for_load) {
    manager_.wait_told(Span(now), JobId{id}, attempt, for_load ? Wait::load : Wait::memory);
  }
  void ended(Microseconds now, std::uint64_t id, int attempt, End end, Microseconds elapsed, bool finished,
             double memory_share) {
    LoadReport report;
    if (memory_share >= 0) report.memory_share = memory_share;
    manager_.dispatch_ended(Span(now), JobId{id}, attempt, outcome_of(end), Span(elapsed), finished,
                            std::nullopt, std::nullopt, report);
  }
  void probed(Microseconds now, int engine, bool well) {
    manager_.probe_ended(Span(now), EngineId{static_cast<std::uint32_t>(engine)},
                         well ? Outcome::done : Outcome::unreachable, Span(1000), LoadReport{});
  }
  void woken(Microseconds now, std::uint64_t mark) { manager_.woken(Span(now), mark); }
  void closing(Microseconds now) { manager_.closing(Span(now)); }

  // What it believes, as text.
  std::string beliefs(Microseconds now) const {
    std::string text;
    manager_.tell_engines(Span(now), [&](const auto& engine, const auto& belief) {
      char line[160];
      std::snprintf(line, sizeof line, "engine %u slots %.17g capacity %.17g cold %d\n",
                    engine.listed.id.value, belief.slots, belief.capacity_mb, belief.is_cold ? 1 : 0);
      text += line;
    });
    char line[120];
    std::snprintf(line, sizeof line, "queued %zu largest %.17g first %.17g\n", manager_.held_jobs(),
                  manager_.largest_usual_work_ms(), manager_.usual_work_ms(TypeId{0}));
    return text + line;
  }
  std::string waits_for(Microseconds now, std::uint64_t id) {
    switch (manager_.waits_for(Span(now), JobId{id})) {
      case WorkloadManager::Waits::nothing:
        return "nothing";
      case WorkloadManager::Waits::its_turn:
        return "its_turn";
      case WorkloadManager::Waits::rest:
        return "rest";
      case WorkloadManager::Waits::ration:
        return "ration";
      case WorkloadManager::Waits::room:
        return "room";
    }
    return "?";
  }

 private:
  void dispatch(JobId job, EngineId engine, Span time_limit) override {
    world_.act("transmit " + std::to_string(job.value) + " " + std::to_string(engine.value) + " " +
               std::to_string(time_limit.count()));
    world_.attempt_begins(job.value, static_cast<int>(engine.value));
  }
  void set_terms(JobId job, double grant_mb, int priority) override {
    char line[120];
    std::snprintf(line, sizeof line, "terms %llu %.17g %d", static_cast<unsigned long long>(job.value),
                  grant_mb, priority);
    world_.act(line);
  }
  void must_leave_within(JobId job, Span span) override {
    world_.act("leave_within " + std::to_string(job.value) + " " + std::to_string(span.count()));
  }
  void stop_dispatch(JobId job, int number) override {
    world_.act("stop " + std::to_string(job.value) + " " + std::to_string(number));
    world_.attempt_stops(job.value, number);
  }
  void giving_up(JobId job, GiveUpReason reason) override {
    world_.act("giving_up " + std::to_string(job.value) + " " + text_of(reason));
  }
  void throttle(JobId job, Span come_back_in) override {
    world_.act("reject " + std::to_string(job.value) + " " + std::to_string(come_back_in.count()));
    world_.request_ends(job.value);
  }
  void cancel_for_good(JobId job) override {
    world_.act("fail " + std::to_string(job.value));
    world_.request_ends(job.value);
  }
  void wake_in(Span span, std::uint64_t mark) override {
    world_.act("wake " + std::to_string(span.count()) + " " + std::to_string(mark));
    world_.wake_later(span.count(), mark);
  }
  void probe(EngineId engine) override { world_.act("probe " + std::to_string(engine.value)); }
  void subscribe_list() override { world_.act("track"); }
  void remark(std::string_view text) override { world_.act("remark " + std::string(text)); }

  WorldCalls& world_;
  WorkloadManager manager_;  // last: it acts as it is made
};

// The rules that are checked at the sockets, and the records that they go by.
class RulesUnderTest {
 public:
  explicit RulesUnderTest(const Settings& settings)
      : service_(service_of(settings)), order_(service_.order_rest), cold_(service_), budget_(service_) {
    guard_.serve(service_);
  }
  void list(Microseconds now, int mode, const std::vector<EngineFacts>& engines) {
    guard_.list_came(Span(now), news_of(mode), listed(engines));
    cold_.list_came(Span(now), news_of(mode), listed(engines));
  }
  void taken(Microseconds now, std::uint64_t id, int request_class, std::uint64_t key) {
    TakenRequest request{JobId{id}, TypeId{request_class}, std::nullopt};
    if (key > 0) request.order_key = OrderKey{key};
    guard_.taken(Span(now), request);
    if (key > 0) order_.taken(JobId{id}, OrderKey{key});
    budget_.request_taken(Span(now));
  }
  // What forbids the attempt, if anything, by each of the records in turn.
  std::string forbids(Microseconds now, std::uint64_t id, int engine, double work_ms, double largest_ms,
                      Microseconds end, bool answered, bool client_is_there, int mode, Microseconds told) {
    SendingFacts facts;
    facts.now = Span(now);
    facts.end = Span(end);
    facts.answered = answered;
    facts.client_is_there = client_is_there;
    facts.engine = listed({{.mode = mode}}).front().state;
    if (told > 0) facts.time_told = Span(told);
    std::string text = text_of(guard_.forbids_sending(facts));
    text += " " + text_of(guard_.forbids_sending(facts, attempt(id, engine, work_ms, largest_ms)));
    const auto order = order_.forbids(Span(now), JobId{id});
    text += !order ? " -" : *order == KeyOrder::Break::out_of_turn ? " out_of_turn" : " no_rest";
    const EngineId where{static_cast<std::uint32_t>(engine)};
    text += cold_.forbids(Span(now), where, work_ms, largest_ms) ? " cold" : " -";
    text += budget_.forbids_further(Span(now)) ? " budget" : " -";
    const ListedEngine* known = cold_.listed(where);
    text += known ? " zone " + std::to_string(known->zone.value) : std::string(" unlisted");
    return text;
  }
  void left(Microseconds now, std::uint64_t id, int engine, double work_ms, double largest_ms,
            bool is_further) {
    guard_.attempt_left(Span(now), attempt(id, engine, work_ms, largest_ms));
    order_.attempt_left(JobId{id});
    cold_.attempt_left(Span(now), EngineId{static_cast<std::uint32_t>(engine)}, work_ms);
    if (is_further) budget_.further_left(Span(now));
  }
  void taken_back(std::uint64_t id) {
    guard_.attempt_taken_back(JobId{id});
    order_.attempt_taken_back(JobId{id});
  }
  void called_off(Microseconds now, std::uint64_t id) {
    guard_.attempt_called_off(Span(now), JobId{id});
    order_.attempt_called_off(Span(now), JobId{id});
  }
  void ended(Microseconds now, std::uint64_t id, int engine, End end) {
    guard_.attempt_ended(Span(now), attempt(id, engine, 0, 0), outcome_of(end));
    order_.attempt_ended(Span(now), JobId{id}, outcome_of(end));
  }
  void over(std::uint64_t id) {
    guard_.over(JobId{id});
    order_.over(JobId{id});
  }
  void forget_old(Microseconds now) {
    guard_.forget_old(Span(now));
    order_.forget_rested(Span(now));
  }
  std::string repeating(Microseconds now, int request_class, int attempts, int out,
                        Microseconds first_doubt) {
    RepeatFacts facts;
    const ReservationType& type = service_.types[static_cast<std::size_t>(request_class)];
    facts.now = Span(now);
    facts.effect = type.effect;
    facts.repeat_window = type.repeat_window;
    facts.attempts = attempts;
    facts.most_attempts = service_.most_dispatches;
    facts.out = out;
    facts.second_copies = service_.second_copies;
    if (first_doubt > 0) facts.first_doubt = Span(first_doubt);
    return text_of(guard_.forbids_repeating(facts));
  }
  std::string taking(bool ends) { return text_of(guard_.forbids_taking(ends)); }
  std::string closing(bool open, bool left, bool unread) {
    const ClosingFacts facts{open, left, unread};
    const std::string text = text_of(guard_.forbids_closing(facts));
    guard_.closing(facts);
    return text;
  }
  void answering(Microseconds now, Microseconds end, bool answered) {
    guard_.answering({Span(now), Span(end), answered});
  }
  std::string rests(Microseconds now, std::uint64_t key) const {
    return std::to_string(guard_.rest_left(Span(now), OrderKey{key}).count()) + " " +
           std::to_string(order_.rest_left(Span(now), OrderKey{key}).count()) + " " +
           std::to_string(order_.keys());
  }
  std::string counters() const {
    std::string text = std::to_string(guard_.checked()) + " " + std::to_string(guard_.broken_in_all());
    for (std::size_t i = 0; i < rule_count; ++i) {
      const Rule rule = static_cast<Rule>(i);
      text += " " + std::string(rule_names[i]) + "=" + std::to_string(guard_.held_back(rule)) + "," +
              std::to_string(guard_.broken(rule));
    }
    return text;
  }

 private:
  static Attempt attempt(std::uint64_t id, int engine, double work_ms, double largest_ms) {
    return {JobId{id}, EngineId{static_cast<std::uint32_t>(engine)}, work_ms, largest_ms};
  }
  ServiceDefinition service_;
  RuleGuard guard_;
  KeyOrder order_;
  ColdBudgets cold_;
  AttemptBudget budget_;
};

class ArrivalsUnderTest {
 public:
  void came(std::uint64_t id, std::uint64_t key, Microseconds earliest, Microseconds latest,
            Microseconds read) {
    order_.came({JobId{id}, OrderKey{key}, Span(earliest), Span(latest), Span(read)});
  }
  void withdrawn(std::uint64_t id) { order_.withdrawn(JobId{id}); }
  std::string settle(Microseconds now, Microseconds read_up_to) {
    std::string text = "settled";
    for (const auto& one : order_.settle(Span(now), Span(read_up_to))) {
      text += " " + std::to_string(one.id.value) + (one.order_is_known ? "" : "?");
    }
    if (!order_.empty()) text += " up_to " + std::to_string(order_.needs_read_up_to().count());
    return text;
  }

 private:
  ArrivalOrder order_;
};

}  // namespace pearchute::test
