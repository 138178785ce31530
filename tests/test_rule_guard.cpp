// The rule guard, and the records that its checks depend on: the arrival times of clients' bytes, the start
// times of engines, and the arrival order of requests.
#include <cassert>
#include <chrono>
#include <cstdio>

#include "core/arrival_order.h"
#include "core/rule_guard.h"
#include "engines/start_times.h"
#include "front/arrival_times.h"

using namespace pearchute;
using namespace pearchute::net;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TimePoint at(Duration since_start) { return TimePoint(since_start); }

void sending() {
  struct Case {
    SendingFacts facts;
    std::optional<Rule> rule;
  };
  const TimePoint now(seconds(5));
  const Case cases[] = {
      {{now, at(seconds(6)), false, true, EngineState::up}, std::nullopt},
      {{now, at(seconds(6)), true, true, EngineState::up}, Rule::one_answer},
      {{now, at(seconds(5)), false, true, EngineState::up}, Rule::time_is_left},
      {{now, at(seconds(6)), false, false, EngineState::up}, Rule::client_is_there},
      {{now, at(seconds(6)), false, true, EngineState::draining}, Rule::engine_takes_work},
      {{now, at(seconds(6)), false, true, EngineState::removed}, Rule::engine_takes_work},
  };
  RuleGuard guard;
  for (const Case& one : cases) assert(guard.forbids_sending(one.facts) == one.rule);
  assert(guard.checked() == std::size(cases) && guard.broken_in_all() == 0);
  assert(guard.held_back(Rule::engine_takes_work) == 2 && guard.held_back(Rule::one_answer) == 1);
}

void repeating() {
  struct Case {
    RepeatFacts facts;
    std::optional<Rule> rule;
  };
  const TimePoint now(seconds(5)), early(milliseconds(2900)), late(milliseconds(3100));
  const Duration window = seconds(2);
  const Case cases[] = {
      {{now, Idempotency::non_idempotent, {}, 0, 3, 0, false, {}}, std::nullopt},
      {{now, Idempotency::non_idempotent, {}, 1, 3, 0, false, {}},
       std::nullopt},  // the earlier attempt certainly did not execute
      {{now, Idempotency::non_idempotent, {}, 1, 3, 0, false, late}, Rule::runs_once},
      {{now, Idempotency::non_idempotent, {}, 1, 3, 1, true, {}}, Rule::one_attempt_out},
      {{now, Idempotency::idempotent_by_key, window, 1, 3, 0, false, late}, std::nullopt},
      {{now, Idempotency::idempotent_by_key, window, 1, 3, 0, false, early}, Rule::runs_once},
      {{now, Idempotency::idempotent_by_key, window, 1, 3, 1, true, late}, Rule::one_attempt_out},
      {{now, Idempotency::idempotent, {}, 1, 3, 1, true, late}, std::nullopt},
      {{now, Idempotency::idempotent, {}, 1, 3, 1, false, late}, Rule::one_attempt_out},
      {{now, Idempotency::idempotent, {}, 3, 3, 0, true, {}}, Rule::attempts_are_few},
  };
  std::uint64_t violations = 0;
  RuleGuard guard;
  for (const Case& one : cases) {
    assert(guard.forbids_repeating(one.facts) == one.rule);
    violations += one.rule.has_value();
    // A decision that breaks a rule counts as a violation, although the attempt is suppressed.
    assert(guard.broken_in_all() == violations);
  }
}

void closing_and_answering() {
  RuleGuard guard;
  guard.on_closing({false, false}), guard.on_closing({true, true});
  guard.on_answering({at(seconds(1)), at(seconds(1)), false}),
      guard.on_answering({at(milliseconds(1500)), at(seconds(1)), false});
  assert(guard.broken_in_all() == 0);
  guard.on_closing({true, false});
  assert(guard.broken(Rule::no_silent_close) == 1);
  guard.on_answering({at(milliseconds(1501)), at(seconds(1)), false});
  assert(guard.broken(Rule::answer_in_time) == 1);
  guard.on_answering({at(seconds(1)), at(seconds(1)), true});
  assert(guard.broken(Rule::one_answer) == 1 && guard.broken_in_all() == 3);
  // A close that can be postponed is suppressed while a request is open or may be among unread bytes.
  assert(!guard.forbids_closing({false, false, false}) && !guard.forbids_closing({true, true, true}));
  assert(guard.forbids_closing({false, false, true}) == Rule::no_silent_close);
  assert(guard.forbids_closing({true, false, false}) == Rule::no_silent_close);
  assert(guard.held_back(Rule::no_silent_close) == 2 && guard.broken_in_all() == 3);
  assert(!guard.forbids_taking(false) && guard.forbids_taking(true) == Rule::not_while_ending);
}

void arrivals() {
  ArrivalTimes times;
  assert(times.of(10, at(seconds(9))) == at(seconds(9)));  // no arrival is recorded
  times.came(100, at(seconds(1)));
  times.came(150, at(milliseconds(1005)));  // close enough to count as arrived with the first
  times.came(300, at(seconds(2)));
  assert(times.of(120, {}) == at(seconds(1)));
  assert(times.of(150, {}) == at(seconds(1)));
  assert(times.of(151, {}) == at(seconds(2)));
  assert(times.of(300, {}) == at(seconds(2)));
}

void starts() {
  const auto unix_time = [](auto span) {
    return std::chrono::duration_cast<milliseconds>(seconds(1000) + span);
  };
  const EngineId one{1}, other{2}, third{3};
  StartTimes clock_is_right(unix_time(seconds(0)));
  clock_is_right.heard(TimePoint(seconds(0)), true), clock_is_right.heard(TimePoint(seconds(10)), true),
      clock_is_right.heard(TimePoint(seconds(11)), true);
  assert(clock_is_right.start_of(one, unix_time(seconds(9))) == TimePoint(seconds(9)));
  // The list could not have omitted an engine of this age, so this machine's clock is assumed to be ahead.
  assert(clock_is_right.start_of(other, unix_time(seconds(-600))) == TimePoint(seconds(11)));
  clock_is_right.forget(one);  // and the engine is listed again
  assert(clock_is_right.start_of(one, unix_time(seconds(9))) == TimePoint(seconds(9)));
  // The start time of an engine that started while the list was not current is accepted.
  clock_is_right.heard(TimePoint(seconds(40)), false), clock_is_right.heard(TimePoint(seconds(40)), false);
  assert(clock_is_right.start_of(third, unix_time(seconds(20))) == TimePoint(seconds(20)));
  // The start times in the first list are accepted, too.
  StartTimes without_list(unix_time(seconds(0)));
  without_list.heard(TimePoint(seconds(0)), false), without_list.heard(TimePoint(seconds(30)), false);
  assert(without_list.start_of(one, unix_time(seconds(-600))) == TimePoint(seconds(-600)));
  StartTimes clock_is_behind(unix_time(seconds(-3600)));
  clock_is_behind.heard(TimePoint(seconds(0)), false);
  assert(clock_is_behind.start_of(one, unix_time(seconds(-60))) ==
         TimePoint(seconds(0)));  // no start time is in the future
  assert(clock_is_behind.start_of(other, unix_time(seconds(-70))) == TimePoint(seconds(-10)));
  assert(clock_is_behind.start_of(one, unix_time(seconds(-60))) ==
         TimePoint(seconds(0)));  // the same when repeated
  StartTimes clock_is_ahead(unix_time(seconds(3600)));
  clock_is_ahead.heard(TimePoint(seconds(0)), true), clock_is_ahead.heard(TimePoint(seconds(10)), true);
  assert(clock_is_ahead.start_of(third, unix_time(seconds(10))) == TimePoint(seconds(10)));
  StartTimes clock_is_slightly_behind(unix_time(milliseconds(-500)));
  clock_is_slightly_behind.heard(TimePoint(seconds(0)), true),
      clock_is_slightly_behind.heard(TimePoint(seconds(1)), true);
  assert(clock_is_slightly_behind.start_of(one, unix_time(seconds(1))) ==
         TimePoint(milliseconds(1500)));  // small differences between clocks are not corrected
}

// A service with a type that is ordered by key, one that is allowed in one zone only, and one whose repeats
// are recognized within a zone.
ServiceDefinition ordered_service() {
  ServiceDefinition service;
  RequestType ordered;
  ordered.idempotency = Idempotency::idempotent_by_key, ordered.deduplication_window = seconds(9),
  ordered.ordered_by_key = true;
  RequestType bound;
  bound.zones = std::vector<ZoneId>{ZoneId{0}};
  RequestType zonal;
  zonal.idempotency = Idempotency::idempotent_by_key, zonal.deduplication_scope = DeduplicationScope::zone,
  zonal.deduplication_window = seconds(9);
  service.types = {ordered, bound, zonal};
  service.kinds = {{.cores = 10, .memory_mb = 100}};
  service.key_quiet_period = milliseconds(300);
  service.max_attempts = 3;
  service.retry_budget_window = seconds(1), service.retry_budget_minimum = 1,
  service.retry_budget_ratio = 0.5;
  service.slow_start_limit_multiple = 2, service.slow_start_initial_capacity = 0.5,
  service.slow_start_window = seconds(1);
  service.slow_start_duration = seconds(10), service.managers = 2;
  return service;
}

constexpr EngineId near_engine{1}, far_engine{2}, starting_engine{3};

// A guard with three listed engines; the third one is in slow start.
struct ConfiguredGuard : RuleGuard {
  ConfiguredGuard() {
    configure(ordered_service());
    const MachineKindId kind{0};
    on_endpoint_update(at(Duration(0)), EndpointUpdate::snapshot,
                       {{near_engine, EngineState::up, ZoneId{0}, kind, {}, {}},
                        {far_engine, EngineState::up, ZoneId{1}, kind, {}, {}},
                        {starting_engine, EngineState::up, ZoneId{0}, kind, {}, at(seconds(0))}});
  }
  std::optional<Rule> check_sending(TimePoint now, const AttemptFacts& attempt) {
    return forbids_sending({now, now + seconds(5), false, true, EngineState::up, seconds(5)}, attempt);
  }
};

// The guard forbids an attempt while an earlier request of its key is open or the key's quiet period runs,
// whatever the decisions want.
void order_by_key() {
  constexpr OrderKey key{7};
  constexpr RequestTypeId ordered{0};
  constexpr AttemptFacts first{RequestId{1}, near_engine}, second{RequestId{2}, near_engine},
      third{RequestId{3}, near_engine};
  // The outcome of the first attempt, whether it was cancelled before, and whether a quiet period follows.
  struct Case {
    Outcome outcome;
    bool is_cancelled;
    bool is_quiet;
  };
  const Case cases[] = {{Outcome::succeeded, false, false},    {Outcome::succeeded, true, true},
                        {Outcome::engine_error, false, false}, {Outcome::engine_error, true, true},
                        {Outcome::engine_full, false, false},  {Outcome::engine_full, true, true},
                        {Outcome::not_sent, false, false},     {Outcome::not_sent, true, true},
                        {Outcome::unreachable, false, false},  {Outcome::connection_reset, false, true},
                        {Outcome::timed_out, false, true},     {Outcome::cancelled, false, true}};
  for (const Case& one : cases) {
    ConfiguredGuard guard;
    for (const AttemptFacts& attempt : {first, second, third})
      guard.on_request(at(Duration(0)), {attempt.request, ordered, key});
    assert(guard.check_sending(at(seconds(1)), second) == Rule::order_by_key);
    assert(!guard.check_sending(at(seconds(1)), first));
    guard.on_attempt_left(at(seconds(1)), first);
    if (one.is_cancelled) guard.on_attempt_cancelled(at(milliseconds(1010)), first.request);
    guard.on_finished(first.request);
    assert(guard.check_sending(at(milliseconds(1015)), second) ==
           Rule::order_by_key);  // the attempt is still outstanding
    guard.on_attempt_ended(at(milliseconds(1020)), first, one.outcome);
    const TimePoint early(milliseconds(1021)), after_quiet_period(milliseconds(1320));
    assert(guard.check_sending(early, third) == Rule::order_by_key);
    assert(guard.check_sending(early, second) ==
           (one.is_quiet ? std::optional(Rule::key_rests) : std::nullopt));
    assert(!guard.check_sending(after_quiet_period, second));
    assert(guard.broken_in_all() == 0 && guard.held_back(Rule::order_by_key) == 3);
  }
  // Retries of the first request need no quiet period, and a retracted attempt counts as never sent.
  ConfiguredGuard guard;
  for (const AttemptFacts& attempt : {first, second})
    guard.on_request(at(Duration(0)), {attempt.request, ordered, key});
  guard.on_attempt_left(at(Duration(1)), first);
  guard.on_attempt_ended(at(Duration(2)), first, Outcome::connection_reset);
  assert(!guard.check_sending(at(Duration(3)), first));
  guard.on_finished(first.request);
  assert(guard.check_sending(at(Duration(3)), second) == Rule::key_rests);
  ConfiguredGuard other;
  for (const AttemptFacts& attempt : {first, second})
    other.on_request(at(Duration(0)), {attempt.request, ordered, key});
  other.on_attempt_left(at(Duration(1)), first);
  other.on_attempt_retracted(first.request), other.on_finished(first.request);
  assert(!other.check_sending(at(Duration(2)), second));
}

void placement_and_budgets() {
  constexpr RequestTypeId bound{1}, zonal{2};
  ConfiguredGuard guard;
  guard.on_request(at(Duration(0)), {RequestId{1}, bound, {}});
  assert(guard.check_sending(at(Duration(1)), {RequestId{1}, far_engine}) == Rule::placement);
  assert(!guard.check_sending(at(Duration(1)), {RequestId{1}, near_engine}));
  // A request that may have executed is retried in its zone only.
  guard.on_request(at(Duration(0)), {RequestId{2}, zonal, {}});
  guard.on_attempt_left(at(Duration(1)), {RequestId{2}, near_engine});
  assert(guard.check_sending(at(Duration(2)), {RequestId{2}, near_engine}) == Rule::one_attempt_out);
  guard.on_attempt_ended(at(Duration(2)), {RequestId{2}, near_engine}, Outcome::connection_reset);
  assert(guard.check_sending(at(Duration(3)), {RequestId{2}, far_engine}) == Rule::repeat_group);
  assert(!guard.check_sending(at(Duration(3)), {RequestId{2}, near_engine}));
  assert(guard.check_sending(at(seconds(10)), {RequestId{2}, near_engine}) == Rule::runs_once);
  // The budget allows one retry, and one more per two requests of the last second.
  for (std::uint64_t id = 2; id < 4; ++id) {
    guard.on_attempt_left(at(Duration(3)), {RequestId{id}, near_engine});
    guard.on_attempt_ended(at(Duration(4)), {RequestId{id}, near_engine}, Outcome::engine_full);
  }
  guard.on_request(at(Duration(5)), {RequestId{3}, bound, {}});
  guard.on_attempt_left(at(Duration(6)), {RequestId{3}, near_engine});
  guard.on_attempt_ended(at(Duration(7)), {RequestId{3}, near_engine}, Outcome::engine_full);
  assert(!guard.check_sending(at(Duration(8)), {RequestId{3}, near_engine}));
  guard.on_attempt_left(at(Duration(8)), {RequestId{3}, near_engine});
  guard.on_attempt_ended(at(Duration(9)), {RequestId{3}, near_engine}, Outcome::engine_full);
  assert(guard.check_sending(at(Duration(10)), {RequestId{3}, near_engine}) == Rule::attempt_budget);
  assert(!guard.check_sending(at(Duration(10)) + seconds(2), {RequestId{3}, near_engine}));
  // An even share of 2 x 0.5 x 10 cores x 1 s for two managers: five seconds of work in any second.
  ConfiguredGuard starting;
  for (std::uint64_t id = 1; id < 7; ++id) starting.on_request(at(Duration(0)), {RequestId{id}, bound, {}});
  for (std::uint64_t id = 1; id < 6; ++id) {
    assert(!starting.check_sending(at(seconds(2)), {RequestId{id}, starting_engine, 1000}));
    starting.on_attempt_left(at(seconds(2)), {RequestId{id}, starting_engine, 1000});
  }
  assert(starting.check_sending(at(milliseconds(2900)), {RequestId{6}, starting_engine, 1000}) ==
         Rule::cold_budget);
  assert(!starting.check_sending(at(milliseconds(2900)), {RequestId{6}, near_engine, 1000}));
  assert(!starting.check_sending(at(milliseconds(3001)), {RequestId{6}, starting_engine, 1000}));
  assert(!starting.check_sending(at(seconds(11)),
                                 {RequestId{6}, starting_engine, 1000}));  // the slow start has ended
  // If a type needs more than an even share, the largest time slot at the engine is half of the limit.
  assert(starting.check_sending(at(milliseconds(2900)), {RequestId{6}, starting_engine, 1000, 9000}) ==
         Rule::cold_budget);
  // The timeout that is sent to an engine may exceed the time left by no more than 150 ms.
  assert(guard.forbids_sending({at(seconds(1)), at(seconds(2)), false, true, EngineState::up,
                                milliseconds(1151)}) == Rule::time_told);
  assert(!guard.forbids_sending(
      {at(seconds(1)), at(seconds(2)), false, true, EngineState::up, milliseconds(1150)}));
}

// Requests of a key that are read in another order than they arrived in, or whose order is unknown.
void arrival_order() {
  using Settled = std::vector<std::pair<std::uint64_t, bool>>;
  struct Case {
    const char* name;
    std::vector<ArrivalOrder::Call> calls;
    TimePoint now, read_up_to;
    Settled settled;
  };
  const auto at = [](int ms) { return TimePoint(milliseconds(ms)); };
  constexpr OrderKey key{1}, other{2};
  const Case cases[] = {
      {"a single request", {{RequestId{1}, key, at(1), at(2), at(2)}}, at(3), at(2), {{1, true}}},
      {"others may be unread", {{RequestId{1}, key, at(1), at(2), at(2)}}, at(3), at(1), {}},
      {"others are unread for too long",
       {{RequestId{1}, key, at(1), at(2), at(2)}},
       at(302),
       at(1),
       {{1, false}}},
      {"read in another order",
       {{RequestId{1}, key, at(260), at(280), at(300)}, {RequestId{2}, key, at(0), at(20), at(300)}},
       at(301),
       at(300),
       {{2, true}, {1, true}}},
      {"unknown order",
       {{RequestId{1}, key, at(0), at(300), at(300)}, {RequestId{2}, key, at(0), at(301), at(301)}},
       at(302),
       at(301),
       {{1, true}, {2, false}}},
      {"closer than clients send",
       {{RequestId{1}, key, at(0), at(2), at(2)}, {RequestId{2}, key, at(0), at(2), at(2)}},
       at(3),
       at(2),
       {{1, true}, {2, true}}},
      {"different keys",
       {{RequestId{1}, key, at(0), at(300), at(300)}, {RequestId{2}, other, at(0), at(301), at(301)}},
       at(302),
       at(301),
       {{1, true}, {2, true}}},
      {"an earlier request is not settled",
       {{RequestId{1}, key, at(0), at(300), at(300)}, {RequestId{2}, key, at(0), at(310), at(310)}},
       at(311),
       at(305),
       {}},
      {"a later request is not settled",
       {{RequestId{1}, key, at(0), at(300), at(300)}, {RequestId{2}, key, at(306), at(310), at(310)}},
       at(311),
       at(305),
       {{1, true}}},
  };
  for (const Case& one : cases) {
    ArrivalOrder order;
    for (const ArrivalOrder::Call& call : one.calls) order.came(call);
    Settled settled;
    for (const ArrivalOrder::Settled& call : order.settle(one.now, one.read_up_to))
      settled.emplace_back(call.id.value, call.arrival_order_known);
    if (settled != one.settled) std::fprintf(stderr, "%s\n", one.name);
    assert(settled == one.settled);
    assert(order.empty() == (settled.size() == one.calls.size()));
  }
  ArrivalOrder order;
  order.came({RequestId{1}, key, at(1), at(2), at(2)});
  order.withdrawn(RequestId{1});
  assert(order.empty());
}

}  // namespace

int main() {
  sending();
  repeating();
  closing_and_answering();
  arrivals();
  starts();
  order_by_key();
  placement_and_budgets();
  arrival_order();
}
