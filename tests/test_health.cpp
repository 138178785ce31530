// Outlier detection, overdue attempts, restarts of attempts, and other reactions to faults of engines.
#include "manager_fixture.h"

using namespace pearchute;

// After twelve attempts at engine 1 with the same outcome: whether it still gets its share of 40 short
// requests.
void engines_with_faults() {
  struct Case {
    Outcome outcome;
    bool is_avoided;
  };
  const Case cases[] = {{Outcome::succeeded, false},
                        {Outcome::engine_error, true},
                        {Outcome::connection_reset, true},
                        {Outcome::unreachable, true}};
  for (const Case& c : cases) {
    ManagerFixture fixture;
    int id = 0;
    for (int ended_at_first = 0; ended_at_first < 12 && id < 300;) {
      fixture.add_request(++id, 0, 80);
      const bool first = fixture.last_engine(id) == 1;
      ended_at_first += first;
      fixture.end_attempt(id, first ? c.outcome : Outcome::succeeded, ms(60));
      if (first && c.outcome != Outcome::succeeded && fixture.attempt_count(id) > 1)
        fixture.end_attempt(id, Outcome::succeeded, ms(60));
    }
    const std::size_t before = fixture.sink.sent.size();
    for (int i = 0; i < 40; ++i) fixture.add_request(++id, 0, 80);
    int first = 0;
    for (std::size_t k = before; k < fixture.sink.sent.size(); ++k)
      first += fixture.sink.sent[k].engine.value == 1;
    assert(c.is_avoided ? first <= 1 : first >= 6);
  }
}

// When all engines fail alike, at most a third of them, or one engine, are ejected.
void limited_ejections() {
  for (const int engines : {1, 2, 6}) {
    ManagerFixture fixture(small_service(), engines);
    std::map<int, int> ended;
    for (int id = 1; id <= 200; ++id) {
      fixture.add_request(id, 0, 80);
      while (fixture.final_answers(id) == 0 && fixture.attempt_count(id) > ended[id])
        fixture.end_attempt(id, Outcome::engine_error, ms(30), ended[id]++);
    }
    std::map<std::uint32_t, int> used;
    const std::size_t before = fixture.sink.sent.size();
    for (int id = 201; id <= 260; ++id) fixture.add_request(id, 0, 80);
    for (std::size_t k = before; k < fixture.sink.sent.size(); ++k)
      used[fixture.sink.sent[k].engine.value] += 1;
    assert(static_cast<int>(used.size()) >= engines - std::max(1, engines / 3));
  }
}

// An engine accepts attempts and does not answer: requests that may be retried are hedged or cancelled, as
// the service allows.
void silent_engine() {
  struct Case {
    bool allows_hedging, allows_cancel;
    Idempotency idempotency;
    bool is_hedged, is_cancelled;
  };
  const Case cases[] = {{true, false, Idempotency::idempotent, true, false},
                        {false, true, Idempotency::idempotent, false, true},
                        {true, false, Idempotency::non_idempotent, false, false},
                        {false, true, Idempotency::idempotent_by_key, false, true},
                        {false, true, Idempotency::non_idempotent, false, false},
                        {false, false, Idempotency::idempotent, false, false}};
  for (const Case& c : cases) {
    ServiceDefinition service = small_service();
    service.allows_hedging = c.allows_hedging, service.allows_cancel = c.allows_cancel;
    service.types[1].idempotency = c.idempotency;
    ManagerFixture fixture(service);
    fixture.add_request(1, 1, 1000);
    fixture.advance(seconds(8));
    assert((fixture.attempt_count(1) > 1) == c.is_hedged);
    assert((fixture.sink.cancelled_attempts.size() > 0) == c.is_cancelled);
    if (c.is_hedged) assert(fixture.sink.sent[0].engine != fixture.sink.sent[1].engine);
  }
}

// An attempt whose progress reports show a far too long execution is cancelled for a retry; one that is
// merely slow continues.
void restart_of_slow_attempts() {
  struct Case {
    double share_done;
    Idempotency idempotency;
    bool is_cancelled;
  };
  const Case cases[] = {{0.02, Idempotency::idempotent, true},
                        {0.5, Idempotency::idempotent, false},
                        {0.02, Idempotency::idempotent_by_key, false},
                        {0.02, Idempotency::non_idempotent, false}};
  for (const Case& c : cases) {
    ServiceDefinition service = small_service();
    service.allows_cancel = true, service.progress_interval = seconds(1);
    service.types[1].idempotency = c.idempotency;
    ManagerFixture fixture(service);
    fixture.add_request(1, 1, 2000);
    fixture.now += seconds(1);
    fixture.manager.on_progress(fixture.now, RequestId{1}, 0, c.share_done);
    assert((fixture.sink.cancelled_attempts.size() == 1) == c.is_cancelled);
  }
}

// A refused subscription to the endpoint list is repeated after a delay.
void refused_subscription() {
  ServiceDefinition service = small_service();
  service.requires_subscription = true;
  service.max_poll_interval = seconds(10);
  ManagerFixture fixture(service, 0);
  assert(fixture.sink.subscriptions == 1);
  for (int i = 2; i <= 5; ++i) {
    fixture.manager.on_endpoints_refused(fixture.now);
    assert(fixture.sink.subscriptions == i - 1);
    fixture.advance(seconds(4));
    assert(fixture.sink.subscriptions == i);
  }
}

// An answer is lost while its engine answers other requests: that attempt is replaced, and no other one.
void lost_answer() {
  ServiceDefinition service = small_service();
  service.allows_cancel = true;
  ManagerFixture lossy(service, 1);
  lossy.add_request(1, 1, 500);
  for (int id = 2; id <= 80; ++id) {
    lossy.add_request(id, 0, 80);
    lossy.advance(ms(100));
    if (lossy.attempt_count(id)) lossy.end_attempt(id, Outcome::succeeded, ms(80));
  }
  assert(lossy.sink.cancelled_attempts.size() == 1 && lossy.sink.cancelled_attempts[0].first.value == 1);
}

// Errors of a request at several engines are attributed to the request, errors at one engine alone to that
// engine. Few connection resets are attributed to the network, many to the engine. Few errors do not eject an
// engine.
void attribution_of_errors() {
  struct Case {
    Outcome outcome;
    int error_interval;  // one in so many attempts at engine 1 fails
    bool succeeds_elsewhere, is_avoided;
  };
  const Case cases[] = {
      {Outcome::engine_error, 1, true, true},      {Outcome::engine_error, 1, false, false},
      {Outcome::connection_reset, 1, true, true},  {Outcome::connection_reset, 1, false, false},
      {Outcome::connection_reset, 4, true, false}, {Outcome::engine_error, 2, true, true},
      {Outcome::engine_error, 5, true, false}};
  for (const Case& c : cases) {
    ManagerFixture fixture;
    int ended_at_first = 0;
    for (int id = 1; id <= 60; ++id) {
      fixture.add_request(id, 0, 80);
      for (int ended = 0; ended < fixture.attempt_count(id); ++ended) {
        const bool succeeds = c.succeeds_elsewhere &&
                              (fixture.last_engine(id) != 1 || ended_at_first++ % c.error_interval != 0);
        fixture.end_attempt(id, succeeds ? Outcome::succeeded : c.outcome, ms(60));
      }
    }
    std::map<int, int> used;
    for (int id = 101; id <= 130; ++id) fixture.add_request(id, 0, 80), used[fixture.last_engine(id)] += 1;
    for (int engine = 1; engine <= 3; ++engine) assert((used[engine] > 1) == (engine != 1 || !c.is_avoided));
  }
}

// The learned latency of a slow engine decays while it is idle, so that a long request is admitted again.
void latency_decays() {
  for (const bool was_idle : {false, true}) {
    ManagerFixture fixture(small_service(), 1);
    for (int id = 1; id <= 30; ++id) {
      fixture.add_request(id, 1, 1000);
      if (fixture.attempt_count(id))
        fixture.end_attempt(id, Outcome::succeeded, id < 15 ? ms(500) : ms(6000));
    }
    fixture.advance(was_idle ? seconds(30) : ms(200));
    fixture.add_request(100, 1, 14000);
    assert((fixture.attempt_count(100) == 1) == was_idle);
  }
}

// One overdue attempt does not eject an engine as silent; two do if it has not responded since they were
// sent.
void silence_needs_two_attempts() {
  for (const int overdue : {1, 2}) {
    ManagerFixture fixture;
    for (int id = 1; id <= 6; ++id) fixture.add_request(id, 1, 1000);
    int left = overdue;
    for (int id = 1; id <= 6; ++id) {
      if (fixture.last_engine(id) != fixture.last_engine(1) || left-- <= 0)
        fixture.end_attempt(id, Outcome::succeeded, ms(500));
    }
    fixture.advance(seconds(4));
    int used = 0;
    for (int id = 100; id < 130; ++id)
      fixture.add_request(id, 0, 80), used += fixture.last_engine(id) == fixture.last_engine(1);
    assert((used <= 1) == (overdue == 2));
  }
}

// A request that waits for another manager's data load is moved to another engine at once if it may be, and
// further requests on that data set avoid the engine.
void wait_for_data_load() {
  struct Case {
    bool allows_cancel;
    Idempotency idempotency;
    int max_attempts;
    int engines;
    bool is_moved;
  };
  const Case cases[] = {{true, Idempotency::idempotent, 3, 3, true},
                        {true, Idempotency::idempotent, 1, 3, false},
                        {true, Idempotency::idempotent, 3, 1, false},
                        {true, Idempotency::idempotent_by_key, 3, 3, false},
                        {false, Idempotency::idempotent, 3, 3, false}};
  for (const Case& c : cases) {
    ServiceDefinition service = small_service();
    service.allows_cancel = c.allows_cancel, service.max_attempts = c.max_attempts;
    service.types[0].waits_for_data_load = true, service.types[0].idempotency = c.idempotency;
    service.types[1].loads_data_set = true;
    ManagerFixture fixture(service, c.engines);
    fixture.add_request(5, 1, 2000);  // shows the typical duration of a load
    fixture.end_attempt(5, Outcome::succeeded, ms(1000));
    fixture.add_request(10, 0, 80);
    const int loading_engine = fixture.last_engine(10);
    fixture.manager.on_engine_wait(fixture.now, RequestId{10}, 0, WaitCause::data_load);
    assert((fixture.sink.cancelled_attempts.size() == 1) == c.is_moved);
    if (!c.is_moved) continue;
    fixture.end_attempt(10, Outcome::cancelled);
    assert(fixture.attempt_count(10) == 2 && fixture.last_engine(10) != loading_engine);
    for (int id = 15; id <= 25; id += 5) {  // the same data set
      fixture.add_request(id, 0, 80);
      assert(fixture.last_engine(id) != loading_engine);
    }
  }
}

// Near the limit of open requests, and only there, requests that wait for a data load or are past their
// latency objective are evicted.
void evictions() {
  struct Case {
    std::int64_t max_open_requests;
    int others;
    bool waits_for_load, is_evicted;
  };
  const Case cases[] = {{10, 10, true, true},  {10, 3, true, false},  {0, 10, true, false},
                        {10, 10, false, true}, {10, 3, false, false}, {0, 10, false, false}};
  for (const Case& c : cases) {
    ServiceDefinition service = small_service();
    service.allows_cancel = true, service.max_open_requests = c.max_open_requests;
    service.types[0].waits_for_data_load = true, service.types[1].loads_data_set = true;
    ManagerFixture fixture(service, 1);
    fixture.add_request(5, 0, 80);
    for (int id = 101; id < 101 + c.others; ++id) fixture.add_request(id, 1, 2000, std::nullopt, 50);
    if (c.waits_for_load) fixture.manager.on_engine_wait(fixture.now, RequestId{5}, 0, WaitCause::data_load);
    else fixture.advance(ms(700));  // its latency objective is 460 ms, its timeout two seconds
    assert(fixture.is_throttled(5) == c.is_evicted);
  }
}

int main() {
  wait_for_data_load();
  evictions();
  lost_answer(), attribution_of_errors(), latency_decays(), silence_needs_two_attempts();
  engines_with_faults(), limited_ejections(), silent_engine(), restart_of_slow_attempts(),
      refused_subscription();
}
