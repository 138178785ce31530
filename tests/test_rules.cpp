// The seven rules, each as a table of cases.
#include "bench.h"

using namespace pearchute;

// Rule 2: after each outcome, may the job go out again, and how does it end if no engine is left?
void effects() {
  struct Case {
    Idempotency idempotency;
    DeduplicationScope deduplication_scope;
    Outcome outcome;
    bool goes_again;
    bool throttled;  // else cancelled for good, once nothing can take it
  };
  const Case cases[] = {
      {Idempotency::idempotent, DeduplicationScope::fleet, Outcome::timed_out, true, true},
      {Idempotency::idempotent, DeduplicationScope::fleet, Outcome::connection_reset, true, true},
      {Idempotency::idempotent_by_key, DeduplicationScope::fleet, Outcome::engine_error, true, true},
      {Idempotency::idempotent_by_key, DeduplicationScope::zone, Outcome::engine_error, true, false},
      {Idempotency::idempotent_by_key, DeduplicationScope::zone, Outcome::engine_full, true, true},
      {Idempotency::non_idempotent, DeduplicationScope::fleet, Outcome::engine_full, true, true},
      {Idempotency::non_idempotent, DeduplicationScope::fleet, Outcome::unreachable, true, true},
      {Idempotency::non_idempotent, DeduplicationScope::fleet, Outcome::engine_error, false, false},
      {Idempotency::non_idempotent, DeduplicationScope::fleet, Outcome::timed_out, false, false},
      {Idempotency::non_idempotent, DeduplicationScope::fleet, Outcome::connection_reset, false, false},
      {Idempotency::non_idempotent, DeduplicationScope::fleet, Outcome::cancelled, false, false},
  };
  for (const Case& c : cases) {
    ServiceDefinition service = small_service();
    service.types[1].idempotency = c.idempotency,
    service.types[1].deduplication_scope = c.deduplication_scope;
    service.types[1].deduplication_window = seconds(60);
    Bench bench(service);
    bench.take(1, 1, 1000);
    assert(bench.dispatches(1) == 1);
    bench.now += ms(50);
    bench.end(1, c.outcome);
    assert((bench.dispatches(1) == 2) == c.goes_again);
    Bench lost(service);
    lost.take(1, 1, 1000);
    lost.list(EndpointUpdate::snapshot, {});
    lost.now += ms(50);
    lost.end(1, c.outcome);
    lost.pass(seconds(21));
    assert(lost.answers(1) == 1 && lost.throttled(1) == c.throttled);
  }
}

// Rule 2: a keyed job that may have run stays with those that drop its repeats, while they know it.
void keyed_stays() {
  struct Case {
    DeduplicationScope deduplication_scope;
    int other_zone;  // of engine 2, the only one left
    Duration window, wait;
    bool goes;
  };
  const Case cases[] = {
      {DeduplicationScope::fleet, 1, seconds(10), ms(50), true},
      {DeduplicationScope::zone, 1, seconds(10), ms(50), false},
      {DeduplicationScope::zone, 0, seconds(10), ms(50), true},
      {DeduplicationScope::cell, 1, seconds(10), ms(50), false},
      {DeduplicationScope::fleet, 0, ms(1000), ms(991), false},
      {DeduplicationScope::fleet, 0, ms(1000), ms(985), true},
  };
  for (const Case& c : cases) {
    ServiceDefinition service = small_service();
    service.types[1].idempotency = Idempotency::idempotent_by_key,
    service.types[1].deduplication_scope = c.deduplication_scope;
    service.types[1].deduplication_window = c.window;
    Bench bench(service, 1);
    bench.take(1, 1, 1000);
    bench.list(EndpointUpdate::snapshot, {Bench::engine(2, EngineState::up, c.other_zone)});
    bench.now += c.wait;
    bench.end(1, Outcome::engine_error);
    assert((bench.dispatches(1) == 2) == c.goes);
    // Where it waits for its connection it may leave up to a round before the window's end, and no later.
    if (c.goes)
      assert(bench.host.leave_within.at(RequestId{1}) == c.window - c.wait - service.event_interval);
  }
}

// Rule 1: one final answer in time, whatever becomes of the dispatch.
void one_answer() {
  struct Case {
    bool has_engine;
    bool answered;  // the engine reports a time-out at the very end
    Idempotency idempotency;
  };
  const Case cases[] = {
      {true, false, Idempotency::idempotent},      {false, false, Idempotency::idempotent},
      {true, true, Idempotency::non_idempotent},   {true, false, Idempotency::non_idempotent},
      {false, false, Idempotency::non_idempotent}, {true, false, Idempotency::idempotent_by_key}};
  for (const Case& c : cases) {
    ServiceDefinition service = small_service();
    service.types[0].idempotency = c.idempotency;
    Bench bench(service, c.has_engine ? 1 : 0);
    bench.take(1, 0, 80);
    bench.pass(ms(2000));
    assert(bench.answers(1) == 1);
    const std::size_t sent = bench.host.sent.size();
    if (c.answered) bench.end(1, Outcome::timed_out, ms(2000));
    bench.pass(ms(3000));
    assert(bench.answers(1) == 1 && bench.host.sent.size() == sent);
  }
}

// Rule 3: nothing to an engine that drains or is gone, also when it was left out of a complete list.
void drains() {
  struct Case {
    EndpointUpdate news;
    std::vector<EngineEndpoint> engines;
    bool goes;
  };
  const Case cases[] = {{EndpointUpdate::delta, {Bench::engine(1, EngineState::draining)}, false},
                        {EndpointUpdate::delta, {Bench::engine(1, EngineState::removed)}, false},
                        {EndpointUpdate::snapshot, {}, false},
                        {EndpointUpdate::delta, {}, true},
                        {EndpointUpdate::snapshot, {Bench::engine(1)}, true}};
  for (const Case& c : cases) {
    Bench bench(small_service(), 1);
    bench.list(c.news, c.engines);
    bench.take(1, 0, 80);
    assert((bench.dispatches(1) == 1) == c.goes);
  }
}

// Rule 4: within any window a cold engine gets no more than this manager's part, however it came to be cold.
void cold_engines() {
  struct Case {
    Duration age_at_listing;
    Duration launched_before;  // how long the manager had run
    bool limited;
  };
  const Case cases[] = {{ms(0), seconds(20), true},
                        {seconds(5), seconds(20), true},
                        {ms(0), ms(0), true},
                        {seconds(30), seconds(40), false}};
  for (const Case& c : cases) {
    ServiceDefinition service = small_service();
    service.slow_start_duration = seconds(15), service.slow_start_initial_capacity = 0.3;
    service.slow_start_limit_multiple = 2.5, service.slow_start_window = ms(500);
    Bench bench(service, 0);
    bench.pass(c.launched_before);
    EngineEndpoint cold = Bench::engine(9);
    cold.started_at = bench.now - c.age_at_listing;
    bench.list(EndpointUpdate::delta, {cold});
    for (int i = 1; i <= 200; ++i) bench.take(i, 0, 150);
    // 2.5 x 0.3 x 8 cores x 0.5 s over two managers: 1.5 s of work.
    const double work_s = 0.15 * static_cast<double>(bench.host.sent.size());
    assert((work_s <= 1.5) == c.limited && work_s > 0);
  }
}

// Of the list that a manager starts with it is sure only how the starts lie to each other: its clock may be
// off.
void starts_of_the_first_list() {
  struct Case {
    EndpointUpdate news;
    Duration before_the_latest;
    bool limited;
  };
  const Case cases[] = {{EndpointUpdate::cached, Duration(0), true},
                        {EndpointUpdate::cached, seconds(14), true},
                        {EndpointUpdate::cached, seconds(16), false},
                        {EndpointUpdate::snapshot, Duration(0), false}};
  for (const Case& c : cases) {
    ServiceDefinition service = small_service();
    service.slow_start_duration = seconds(15), service.slow_start_initial_capacity = 0.3;
    service.slow_start_limit_multiple = 2.5, service.slow_start_window = ms(500);
    Bench bench(service, 0);
    EngineEndpoint latest = Bench::engine(9, EngineState::draining), other = Bench::engine(10);
    latest.started_at = TimePoint(seconds(-3600)),
    other.started_at = *latest.started_at - c.before_the_latest;
    bench.list(c.news, {latest, other});
    for (int i = 1; i <= 200; ++i) bench.take(i, 0, 150);
    const double work_s = 0.15 * static_cast<double>(bench.host.sent.size());
    assert((work_s <= 1.5) == c.limited && work_s > 0);
  }
}

// Rule 5: jobs of one key in turn, with a rest after an end that is not sure.
void order() {
  struct Case {
    Outcome outcome;
    bool rests;
  };
  const Case cases[] = {
      {Outcome::succeeded, false}, {Outcome::connection_reset, true}, {Outcome::timed_out, true}};
  for (const Case& c : cases) {
    ServiceDefinition service = small_service();
    service.types[1].ordered_by_key = true;
    service.key_quiet_period = ms(300);
    service.max_attempts = 1;
    Bench bench(service);
    bench.take(1, 1, 1000, 5);
    bench.take(2, 1, 1000, 5);
    bench.take(3, 1, 1000, 6);
    assert(bench.dispatches(1) == 1 && bench.dispatches(2) == 0 && bench.dispatches(3) == 1);
    bench.pass(ms(200));
    bench.end(1, c.outcome);
    assert(bench.dispatches(2) == (c.rests ? 0 : 1));
    bench.pass(ms(50));
    assert(bench.dispatches(2) == (c.rests ? 0 : 1));
  }
}

// What has been called off has ended unsurely, whatever comes of it then; what never left has not been out. A
// job whose place in the order nobody knows is refused, and holds up no other.
void order_across_a_give_up() {
  struct Case {
    Outcome outcome;
    bool rests;
  };
  const Case cases[] = {{Outcome::succeeded, true}, {Outcome::engine_error, true},
                        {Outcome::cancelled, true}, {Outcome::connection_reset, true},
                        {Outcome::not_sent, false}, {Outcome::unreachable, false}};
  for (const Case& c : cases) {
    ServiceDefinition service = small_service();
    service.types[1].ordered_by_key = true;
    service.key_quiet_period = ms(300), service.allows_cancel = true;
    Bench bench(service);
    bench.take(1, 1, 1000, 5);
    bench.take(2, 1, 1000, 5);
    bench.pass(ms(5));
    bench.manager.on_request_cancelled(bench.now, RequestId{1});
    assert(bench.host.stopped.size() == 1 && bench.dispatches(2) == 0);
    bench.end(1, c.outcome, ms(5));
    assert(bench.dispatches(2) == (c.rests ? 0 : 1));
    bench.pass(ms(290));
    assert(bench.dispatches(2) == (c.rests ? 0 : 1));
    bench.pass(ms(20));
    assert(bench.dispatches(2) == 1);
  }
  ServiceDefinition service = small_service();
  service.types[1].ordered_by_key = true;
  Bench bench(service);
  Request unknown;
  unknown.id = RequestId{1}, unknown.type = RequestTypeId{1}, unknown.key = OrderKey{5},
  unknown.time_left = ms(20000);
  unknown.arrival_order_known = false;
  bench.manager.on_request(bench.now, unknown);
  bench.take(2, 1, 1000, 5);
  assert(bench.throttled(1) && bench.dispatches(1) == 0 && bench.dispatches(2) == 1);
}

// Rule 6: a bound type goes only where it is bound to, or nowhere.
void placement() {
  struct Case {
    std::optional<std::vector<ZoneId>> zones;
    std::optional<std::vector<MachineKindId>> kinds;
    int goes_to;  // 0: nowhere
  };
  const Case cases[] = {{std::vector{ZoneId{1}}, std::nullopt, 2},
                        {std::nullopt, std::vector{MachineKindId{1}}, 3},
                        {std::vector{ZoneId{1}}, std::vector{MachineKindId{1}}, 0},
                        {std::vector{ZoneId{-1}}, std::nullopt, 0}};
  for (const Case& c : cases) {
    ServiceDefinition service = small_service();
    service.types[0].zones = c.zones;
    service.types[0].kinds = c.kinds;
    Bench bench(service, 0);
    bench.list(EndpointUpdate::snapshot, {Bench::engine(1), Bench::engine(2, EngineState::up, 1),
                                          Bench::engine(3, EngineState::up, 0, 1)});
    bench.take(1, 0, 80);
    assert(bench.engine_of(1) == c.goes_to);
    if (c.goes_to) {
      bench.end(1, Outcome::engine_error);
      assert(bench.engine_of(1) == c.goes_to);
    }
  }
}

// Rule 7: dispatches beyond the first stay within the few and the share that the window's jobs have earned.
void ration() {
  struct Case {
    double few, share;
    int jobs, most;
  };
  const Case cases[] = {{0, 0.1, 30, 3}, {2, 0, 30, 2}, {0, 0, 10, 0}, {1, 0.5, 10, 6}};
  for (const Case& c : cases) {
    ServiceDefinition service = small_service();
    service.retry_budget_window = seconds(10), service.retry_budget_minimum = c.few,
    service.retry_budget_ratio = c.share;
    Bench bench(service, 3);
    for (int i = 1; i <= c.jobs; ++i) bench.take(i, 0, 50);
    for (int i = 1; i <= c.jobs; ++i) bench.end(i, Outcome::engine_full);
    bench.pass(ms(100));
    const int again = static_cast<int>(bench.host.sent.size()) - c.jobs;
    assert(again <= c.most);
    assert(c.most == 0 || again > 0);
  }
}

// Once nothing may follow what a job has had, its client hears so at once, not when its time is up.
void answered_at_once() {
  struct Case {
    Idempotency idempotency;
    Duration window;
    int max_attempts;
    Outcome outcome;
    bool answered, throttled;
  };
  const Case cases[] = {
      {Idempotency::non_idempotent, {}, 4, Outcome::connection_reset, true, false},
      {Idempotency::non_idempotent, {}, 4, Outcome::timed_out, true, false},
      {Idempotency::non_idempotent, {}, 4, Outcome::unreachable, false, false},
      {Idempotency::non_idempotent, {}, 1, Outcome::unreachable, true, true},
      {Idempotency::idempotent_by_key, ms(40), 4, Outcome::connection_reset, true, false},
      {Idempotency::idempotent_by_key, seconds(60), 4, Outcome::connection_reset, false, false},
      {Idempotency::idempotent_by_key, seconds(60), 1, Outcome::connection_reset, true, true},
      {Idempotency::idempotent, {}, 1, Outcome::engine_error, true, true},
      {Idempotency::idempotent, {}, 2, Outcome::engine_error, false, false},
  };
  for (const Case& c : cases) {
    ServiceDefinition service = small_service();
    service.types[1].idempotency = c.idempotency, service.types[1].deduplication_window = c.window;
    service.max_attempts = c.max_attempts;
    Bench bench(service);
    bench.take(1, 1, 1000);
    bench.now += ms(50);
    bench.end(1, c.outcome);
    assert(bench.answers(1) == c.answered && bench.throttled(1) == c.throttled);
    assert(bench.dispatches(1) == (c.answered ? 1 : 2));
  }
}

// While nobody is there for a job nothing of it leaves, whatever made it wait or brought it back; whoever
// comes again within a second is served, and after that it is given up.
void client_away() {
  struct Case {
    bool was_out;    // its first dispatch breaks meanwhile
    Duration comes;  // 0: never
    bool served;
  };
  const Case cases[] = {{false, ms(300), true},
                        {false, {}, false},
                        {true, ms(300), true},
                        {true, {}, false},
                        {false, ms(1300), false}};
  for (const Case& c : cases) {
    ServiceDefinition service = small_service();
    service.allows_cancel = true;
    Bench bench(service, 1);
    int fills = 0;
    if (!c.was_out) {
      while (bench.host.sent.size() == static_cast<std::size_t>(fills))
        ++fills, bench.take(100 + fills, 1, 1000);
      --fills;  // the last one waits
      bench.manager.on_request_cancelled(bench.now, RequestId{static_cast<std::uint64_t>(101 + fills)});
    }
    bench.take(1, 1, 1000);
    assert(bench.dispatches(1) == c.was_out);
    bench.manager.on_client_disconnected(bench.now, RequestId{1});
    if (c.was_out) bench.end(1, Outcome::connection_reset);
    for (int i = 1; i <= fills; ++i) bench.end(100 + i, Outcome::succeeded);
    bench.pass(c.comes > Duration(0) ? c.comes : ms(1300));
    assert(bench.dispatches(1) == c.was_out);
    if (c.comes > Duration(0)) bench.manager.on_client_reconnected(bench.now, RequestId{1});
    assert(bench.dispatches(1) == c.was_out + c.served && bench.answers(1) == !c.served);
  }
}

// Asked to end, it answers every job once, and throttles only what is known to do no harm.
void asked_to_end() {
  ServiceDefinition service = small_service();
  service.allows_cancel = true;
  service.types[1].idempotency = Idempotency::non_idempotent;
  Bench bench(service);
  for (int id = 1; id <= 60; ++id) bench.take(id, id % 2, 400);
  bench.end(2, Outcome::succeeded);
  assert(bench.host.sent.size() < 60);  // some are out, some are held
  bench.manager.closing(bench.now), bench.manager.closing(bench.now);
  for (int id = 1; id <= 60; ++id) {
    assert(bench.answers(id) == (id == 2 ? 0 : 1));
    if (id % 2 == 1 && id != 2 && bench.dispatches(id) > 0) assert(bench.cancelled(id));
    if (id % 2 == 0 && id != 2) assert(bench.throttled(id));
  }
}

int main() {
  asked_to_end(), answered_at_once(), client_away();
  effects(), keyed_stays(), one_answer(), drains();
  cold_engines(), starts_of_the_first_list(), order(), order_across_a_give_up(), placement(), ration();
}
