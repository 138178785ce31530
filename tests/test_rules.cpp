// The rules of the service, each as a table of cases.
#include "manager_fixture.h"

using namespace pearchute;

// Rule 2: after each outcome, whether the request is retried, and how it is answered if no engine is left.
void retries_by_outcome() {
  struct Case {
    Idempotency idempotency;
    DeduplicationScope deduplication_scope;
    Outcome outcome;
    bool is_retried;
    bool is_throttled;  // if no engine is left; otherwise it fails
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
    ManagerFixture fixture(service);
    fixture.add_request(1, 1, 1000);
    assert(fixture.attempt_count(1) == 1);
    fixture.now += ms(50);
    fixture.end_attempt(1, c.outcome);
    assert((fixture.attempt_count(1) == 2) == c.is_retried);
    ManagerFixture without_engines(service);
    without_engines.add_request(1, 1, 1000);
    without_engines.update_endpoints(EndpointUpdate::snapshot, {});
    without_engines.now += ms(50);
    without_engines.end_attempt(1, c.outcome);
    without_engines.advance(seconds(21));
    assert(without_engines.final_answers(1) == 1 && without_engines.is_throttled(1) == c.is_throttled);
  }
}

// Rule 2: a request that is idempotent by key and may have executed is retried only at engines in its
// deduplication scope, and only within its deduplication window.
void deduplication_scope_and_window() {
  struct Case {
    DeduplicationScope deduplication_scope;
    int other_zone;  // the zone of engine 2, the only engine left
    Duration window, wait;
    bool is_retried;
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
    ManagerFixture fixture(service, 1);
    fixture.add_request(1, 1, 1000);
    fixture.update_endpoints(EndpointUpdate::snapshot,
                             {ManagerFixture::endpoint(2, EngineState::up, c.other_zone)});
    fixture.now += c.wait;
    fixture.end_attempt(1, Outcome::engine_error);
    assert((fixture.attempt_count(1) == 2) == c.is_retried);
    // While it waits for a connection, it may be sent up to one event interval before the end of the window.
    if (c.is_retried)
      assert(fixture.sink.send_delay_limits.at(RequestId{1}) == c.window - c.wait - service.event_interval);
  }
}

// Rule 1: one final answer in time, whatever the outcome of the attempt.
void one_answer() {
  struct Case {
    bool has_engine;
    bool ends_late;  // the attempt times out after the final answer
    Idempotency idempotency;
  };
  const Case cases[] = {
      {true, false, Idempotency::idempotent},      {false, false, Idempotency::idempotent},
      {true, true, Idempotency::non_idempotent},   {true, false, Idempotency::non_idempotent},
      {false, false, Idempotency::non_idempotent}, {true, false, Idempotency::idempotent_by_key}};
  for (const Case& c : cases) {
    ServiceDefinition service = small_service();
    service.types[0].idempotency = c.idempotency;
    ManagerFixture fixture(service, c.has_engine ? 1 : 0);
    fixture.add_request(1, 0, 80);
    fixture.advance(ms(2000));
    assert(fixture.final_answers(1) == 1);
    const std::size_t sent = fixture.sink.sent.size();
    if (c.ends_late) fixture.end_attempt(1, Outcome::timed_out, ms(2000));
    fixture.advance(ms(3000));
    assert(fixture.final_answers(1) == 1 && fixture.sink.sent.size() == sent);
  }
}

// Rule 3: no attempt is sent to an engine that is draining or removed, including one that a snapshot omits.
void drains() {
  struct Case {
    EndpointUpdate kind;
    std::vector<EngineEndpoint> engines;
    bool is_sent;
  };
  const Case cases[] = {{EndpointUpdate::delta, {ManagerFixture::endpoint(1, EngineState::draining)}, false},
                        {EndpointUpdate::delta, {ManagerFixture::endpoint(1, EngineState::removed)}, false},
                        {EndpointUpdate::snapshot, {}, false},
                        {EndpointUpdate::delta, {}, true},
                        {EndpointUpdate::snapshot, {ManagerFixture::endpoint(1)}, true}};
  for (const Case& c : cases) {
    ManagerFixture fixture(small_service(), 1);
    fixture.update_endpoints(c.kind, c.engines);
    fixture.add_request(1, 0, 80);
    assert((fixture.attempt_count(1) == 1) == c.is_sent);
  }
}

// Rule 4: in any window, an engine in slow start gets no more work than this manager's share of the limit,
// whether it started before or after it was listed.
void slow_start_limit() {
  struct Case {
    Duration engine_age;
    Duration manager_uptime;  // when the engine is listed
    bool is_limited;
  };
  const Case cases[] = {{ms(0), seconds(20), true},
                        {seconds(5), seconds(20), true},
                        {ms(0), ms(0), true},
                        {seconds(30), seconds(40), false}};
  for (const Case& c : cases) {
    ServiceDefinition service = small_service();
    service.slow_start_duration = seconds(15), service.slow_start_initial_capacity = 0.3;
    service.slow_start_limit_multiple = 2.5, service.slow_start_window = ms(500);
    ManagerFixture fixture(service, 0);
    fixture.advance(c.manager_uptime);
    EngineEndpoint starting = ManagerFixture::endpoint(9);
    starting.started_at = fixture.now - c.engine_age;
    fixture.update_endpoints(EndpointUpdate::delta, {starting});
    for (int i = 1; i <= 200; ++i) fixture.add_request(i, 0, 150);
    // 2.5 x 0.3 x 8 cores x 0.5 s, shared by two managers: 1.5 s of work.
    const double work_s = 0.15 * static_cast<double>(fixture.sink.sent.size());
    assert((work_s <= 1.5) == c.is_limited && work_s > 0);
  }
}

// In a cached list only the differences between the start times are reliable, since the manager's wall clock
// may be wrong: an engine counts as warming up if it may have started within the slow start duration.
void start_times_of_cached_list() {
  struct Case {
    EndpointUpdate kind;
    Duration before_latest;
    bool is_limited;
  };
  const Case cases[] = {{EndpointUpdate::cached, Duration(0), true},
                        {EndpointUpdate::cached, seconds(14), true},
                        {EndpointUpdate::cached, seconds(16), false},
                        {EndpointUpdate::snapshot, Duration(0), false}};
  for (const Case& c : cases) {
    ServiceDefinition service = small_service();
    service.slow_start_duration = seconds(15), service.slow_start_initial_capacity = 0.3;
    service.slow_start_limit_multiple = 2.5, service.slow_start_window = ms(500);
    ManagerFixture fixture(service, 0);
    EngineEndpoint latest = ManagerFixture::endpoint(9, EngineState::draining),
                   other = ManagerFixture::endpoint(10);
    latest.started_at = TimePoint(seconds(-3600)), other.started_at = *latest.started_at - c.before_latest;
    fixture.update_endpoints(c.kind, {latest, other});
    for (int i = 1; i <= 200; ++i) fixture.add_request(i, 0, 150);
    const double work_s = 0.15 * static_cast<double>(fixture.sink.sent.size());
    assert((work_s <= 1.5) == c.is_limited && work_s > 0);
  }
}

// Rule 5: requests of one key execute in order, with a quiet period after an attempt with an uncertain
// outcome.
void order_by_key() {
  struct Case {
    Outcome outcome;
    bool is_quiet;
  };
  const Case cases[] = {
      {Outcome::succeeded, false}, {Outcome::connection_reset, true}, {Outcome::timed_out, true}};
  for (const Case& c : cases) {
    ServiceDefinition service = small_service();
    service.types[1].ordered_by_key = true;
    service.key_quiet_period = ms(300);
    service.max_attempts = 1;
    ManagerFixture fixture(service);
    fixture.add_request(1, 1, 1000, 5);
    fixture.add_request(2, 1, 1000, 5);
    fixture.add_request(3, 1, 1000, 6);
    assert(fixture.attempt_count(1) == 1 && fixture.attempt_count(2) == 0 && fixture.attempt_count(3) == 1);
    fixture.advance(ms(200));
    fixture.end_attempt(1, c.outcome);
    assert(fixture.attempt_count(2) == (c.is_quiet ? 0 : 1));
    fixture.advance(ms(50));
    assert(fixture.attempt_count(2) == (c.is_quiet ? 0 : 1));
  }
}

// A cancelled attempt has an uncertain outcome whatever its engine reports, unless it was never sent. A
// request whose arrival order is unknown is rejected, and does not block others of its key.
void order_by_key_after_cancellation() {
  struct Case {
    Outcome outcome;
    bool is_quiet;
  };
  const Case cases[] = {{Outcome::succeeded, true}, {Outcome::engine_error, true},
                        {Outcome::cancelled, true}, {Outcome::connection_reset, true},
                        {Outcome::not_sent, false}, {Outcome::unreachable, false}};
  for (const Case& c : cases) {
    ServiceDefinition service = small_service();
    service.types[1].ordered_by_key = true;
    service.key_quiet_period = ms(300), service.allows_cancel = true;
    ManagerFixture fixture(service);
    fixture.add_request(1, 1, 1000, 5);
    fixture.add_request(2, 1, 1000, 5);
    fixture.advance(ms(5));
    fixture.manager.on_request_cancelled(fixture.now, RequestId{1});
    assert(fixture.sink.cancelled_attempts.size() == 1 && fixture.attempt_count(2) == 0);
    fixture.end_attempt(1, c.outcome, ms(5));
    assert(fixture.attempt_count(2) == (c.is_quiet ? 0 : 1));
    fixture.advance(ms(290));
    assert(fixture.attempt_count(2) == (c.is_quiet ? 0 : 1));
    fixture.advance(ms(20));
    assert(fixture.attempt_count(2) == 1);
  }
  ServiceDefinition service = small_service();
  service.types[1].ordered_by_key = true;
  ManagerFixture fixture(service);
  Request unknown;
  unknown.id = RequestId{1}, unknown.type = RequestTypeId{1}, unknown.key = OrderKey{5},
  unknown.time_left = ms(20000);
  unknown.arrival_order_known = false;
  fixture.manager.on_request(fixture.now, unknown);
  fixture.add_request(2, 1, 1000, 5);
  assert(fixture.is_throttled(1) && fixture.attempt_count(1) == 0 && fixture.attempt_count(2) == 1);
}

// Rule 6: a type with an allowed placement is sent only to engines that it allows.
void placement() {
  struct Case {
    std::optional<std::vector<ZoneId>> zones;
    std::optional<std::vector<MachineKindId>> kinds;
    int engine;  // the one that gets the attempt; 0: none
  };
  const Case cases[] = {{std::vector{ZoneId{1}}, std::nullopt, 2},
                        {std::nullopt, std::vector{MachineKindId{1}}, 3},
                        {std::vector{ZoneId{1}}, std::vector{MachineKindId{1}}, 0},
                        {std::vector{ZoneId{-1}}, std::nullopt, 0}};
  for (const Case& c : cases) {
    ServiceDefinition service = small_service();
    service.types[0].zones = c.zones;
    service.types[0].kinds = c.kinds;
    ManagerFixture fixture(service, 0);
    fixture.update_endpoints(EndpointUpdate::snapshot,
                             {ManagerFixture::endpoint(1), ManagerFixture::endpoint(2, EngineState::up, 1),
                              ManagerFixture::endpoint(3, EngineState::up, 0, 1)});
    fixture.add_request(1, 0, 80);
    assert(fixture.last_engine(1) == c.engine);
    if (c.engine) {
      fixture.end_attempt(1, Outcome::engine_error);
      assert(fixture.last_engine(1) == c.engine);
    }
  }
}

// Rule 7: retries stay within the budget of a minimum plus a ratio of the requests in the window.
void retry_budget() {
  struct Case {
    double minimum, ratio;
    int requests, max_retries;
  };
  const Case cases[] = {{0, 0.1, 30, 3}, {2, 0, 30, 2}, {0, 0, 10, 0}, {1, 0.5, 10, 6}};
  for (const Case& c : cases) {
    ServiceDefinition service = small_service();
    service.retry_budget_window = seconds(10), service.retry_budget_minimum = c.minimum,
    service.retry_budget_ratio = c.ratio;
    ManagerFixture fixture(service, 3);
    for (int i = 1; i <= c.requests; ++i) fixture.add_request(i, 0, 50);
    for (int i = 1; i <= c.requests; ++i) fixture.end_attempt(i, Outcome::engine_full);
    fixture.advance(ms(100));
    const int retries = static_cast<int>(fixture.sink.sent.size()) - c.requests;
    assert(retries <= c.max_retries);
    assert(c.max_retries == 0 || retries > 0);
  }
}

// Once a request may have no further attempt, it is answered at once, not at its deadline.
void answer_when_attempts_are_exhausted() {
  struct Case {
    Idempotency idempotency;
    Duration window;
    int max_attempts;
    Outcome outcome;
    bool is_answered, is_throttled;
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
    ManagerFixture fixture(service);
    fixture.add_request(1, 1, 1000);
    fixture.now += ms(50);
    fixture.end_attempt(1, c.outcome);
    assert(fixture.final_answers(1) == c.is_answered && fixture.is_throttled(1) == c.is_throttled);
    assert(fixture.attempt_count(1) == (c.is_answered ? 1 : 2));
  }
}

// While its client is disconnected, no attempt of a request is sent, whether it was queued or its attempt
// failed meanwhile. A client that reconnects within a second is served; after that the request is rejected.
void disconnected_client() {
  struct Case {
    bool was_sent;              // its first attempt fails while the client is disconnected
    Duration reconnects_after;  // 0: never
    bool is_served;
  };
  const Case cases[] = {{false, ms(300), true},
                        {false, {}, false},
                        {true, ms(300), true},
                        {true, {}, false},
                        {false, ms(1300), false}};
  for (const Case& c : cases) {
    ServiceDefinition service = small_service();
    service.allows_cancel = true;
    ManagerFixture fixture(service, 1);
    int fill_count = 0;
    if (!c.was_sent) {
      while (fixture.sink.sent.size() == static_cast<std::size_t>(fill_count))
        ++fill_count, fixture.add_request(100 + fill_count, 1, 1000);
      --fill_count;  // the last one is queued
      fixture.manager.on_request_cancelled(fixture.now,
                                           RequestId{static_cast<std::uint64_t>(101 + fill_count)});
    }
    fixture.add_request(1, 1, 1000);
    assert(fixture.attempt_count(1) == c.was_sent);
    fixture.manager.on_client_disconnected(fixture.now, RequestId{1});
    if (c.was_sent) fixture.end_attempt(1, Outcome::connection_reset);
    for (int i = 1; i <= fill_count; ++i) fixture.end_attempt(100 + i, Outcome::succeeded);
    fixture.advance(c.reconnects_after > Duration(0) ? c.reconnects_after : ms(1300));
    assert(fixture.attempt_count(1) == c.was_sent);
    if (c.reconnects_after > Duration(0)) fixture.manager.on_client_reconnected(fixture.now, RequestId{1});
    assert(fixture.attempt_count(1) == c.was_sent + c.is_served && fixture.final_answers(1) == !c.is_served);
  }
}

// On shutdown each request is answered once, and only those that may safely be sent again are throttled.
void answers_on_shutdown() {
  ServiceDefinition service = small_service();
  service.allows_cancel = true;
  service.types[1].idempotency = Idempotency::non_idempotent;
  ManagerFixture fixture(service);
  for (int id = 1; id <= 60; ++id) fixture.add_request(id, id % 2, 400);
  fixture.end_attempt(2, Outcome::succeeded);
  assert(fixture.sink.sent.size() < 60);  // some are sent, some are queued
  fixture.manager.closing(fixture.now), fixture.manager.closing(fixture.now);
  for (int id = 1; id <= 60; ++id) {
    assert(fixture.final_answers(id) == (id == 2 ? 0 : 1));
    if (id % 2 == 1 && id != 2 && fixture.attempt_count(id) > 0) assert(fixture.is_failed(id));
    if (id % 2 == 0 && id != 2) assert(fixture.is_throttled(id));
  }
}

int main() {
  answers_on_shutdown(), answer_when_attempts_are_exhausted(), disconnected_client();
  retries_by_outcome(), deduplication_scope_and_window(), one_answer(), drains();
  slow_start_limit(), start_times_of_cached_list(), order_by_key(), order_by_key_after_cancellation();
  placement(), retry_budget();
}
