// What is done about engines that err, fall silent, reset or come back, and about dispatches gone wrong.
#include "bench.h"

using namespace pearchute;

// How many of 40 short jobs engine 1 gets after it has ended twelve in this way.
void engines_in_trouble() {
  struct Case {
    Outcome outcome;
    bool avoided;
  };
  const Case cases[] = {{Outcome::succeeded, false},
                        {Outcome::engine_error, true},
                        {Outcome::connection_reset, true},
                        {Outcome::unreachable, true}};
  for (const Case& c : cases) {
    Bench bench;
    int id = 0;
    for (int seen = 0; seen < 12 && id < 300;) {
      bench.take(++id, 0, 80);
      const bool first = bench.engine_of(id) == 1;
      seen += first;
      bench.end(id, first ? c.outcome : Outcome::succeeded, ms(60));
      if (first && c.outcome != Outcome::succeeded && bench.dispatches(id) > 1)
        bench.end(id, Outcome::succeeded, ms(60));
    }
    const std::size_t before = bench.host.sent.size();
    for (int i = 0; i < 40; ++i) bench.take(++id, 0, 80);
    int first = 0;
    for (std::size_t k = before; k < bench.host.sent.size(); ++k)
      first += bench.host.sent[k].engine.value == 1;
    assert(c.avoided ? first <= 1 : first >= 6);
  }
}

// Whatever all engines do alike, most of them stay open.
void never_all_closed() {
  for (const int engines : {1, 2, 6}) {
    Bench bench(small_service(), engines);
    std::map<int, int> ended;
    for (int id = 1; id <= 200; ++id) {
      bench.take(id, 0, 80);
      while (bench.answers(id) == 0 && bench.dispatches(id) > ended[id])
        bench.end(id, Outcome::engine_error, ms(30), ended[id]++);
    }
    std::map<std::uint32_t, int> used;
    const std::size_t before = bench.host.sent.size();
    for (int id = 201; id <= 260; ++id) bench.take(id, 0, 80);
    for (std::size_t k = before; k < bench.host.sent.size(); ++k) used[bench.host.sent[k].engine.value] += 1;
    assert(static_cast<int>(used.size()) >= engines - std::max(1, engines / 3));
  }
}

// An engine that takes work and answers nothing: what may run again goes elsewhere, in the way the service
// allows.
void silence() {
  struct Case {
    bool allows_hedging, allows_cancel;
    Idempotency idempotency;
    bool copied, stopped;
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
    Bench bench(service);
    bench.take(1, 1, 1000);
    bench.pass(seconds(8));
    assert((bench.dispatches(1) > 1) == c.copied);
    assert((bench.host.stopped.size() > 0) == c.stopped);
    if (c.copied) assert(bench.host.sent[0].engine != bench.host.sent[1].engine);
  }
}

// A dispatch whose notes show a bad plan is started again; one that is merely slow is left.
void bad_plans() {
  struct Case {
    double share_done;
    Idempotency idempotency;
    bool stopped;
  };
  const Case cases[] = {{0.02, Idempotency::idempotent, true},
                        {0.5, Idempotency::idempotent, false},
                        {0.02, Idempotency::idempotent_by_key, false},
                        {0.02, Idempotency::non_idempotent, false}};
  for (const Case& c : cases) {
    ServiceDefinition service = small_service();
    service.allows_cancel = true, service.progress_interval = seconds(1);
    service.types[1].idempotency = c.idempotency;
    Bench bench(service);
    bench.take(1, 1, 2000);
    bench.now += seconds(1);
    bench.manager.on_progress(bench.now, RequestId{1}, 0, c.share_done);
    assert((bench.host.stopped.size() == 1) == c.stopped);
  }
}

// A refused list is asked for again, later each time.
void on_endpoints_refused() {
  ServiceDefinition service = small_service();
  service.endpoints_on_request = true;
  service.poll_within = seconds(10);
  Bench bench(service, 0);
  assert(bench.host.subscriptions == 1);
  for (int i = 2; i <= 5; ++i) {
    bench.manager.on_endpoints_refused(bench.now);
    assert(bench.host.subscriptions == i - 1);
    bench.pass(seconds(4));
    assert(bench.host.subscriptions == i);
  }
}

// An answer that is lost while its engine answers others: found by itself, and no storm of such rescues.
void lost_answers() {
  ServiceDefinition service = small_service();
  service.allows_cancel = true;
  Bench lossy(service, 1);
  lossy.take(1, 1, 500);
  for (int id = 2; id <= 80; ++id) {
    lossy.take(id, 0, 80);
    lossy.pass(ms(100));
    if (lossy.dispatches(id)) lossy.end(id, Outcome::succeeded, ms(80));
  }
  assert(lossy.host.stopped.size() == 1 && lossy.host.stopped[0].first.value == 1);
}

// What errs wherever it goes is the job's fault, what errs on one engine alone that engine's; a part of
// resets may be the network's, many are the engine's. Few errors don't put an engine on trial.
void whose_fault() {
  struct Case {
    Outcome outcome;
    int one_in;  // of its dispatches on engine 1
    bool done_elsewhere, avoided;
  };
  const Case cases[] = {
      {Outcome::engine_error, 1, true, true},      {Outcome::engine_error, 1, false, false},
      {Outcome::connection_reset, 1, true, true},  {Outcome::connection_reset, 1, false, false},
      {Outcome::connection_reset, 4, true, false}, {Outcome::engine_error, 2, true, true},
      {Outcome::engine_error, 5, true, false}};
  for (const Case& c : cases) {
    Bench bench;
    int seen = 0;
    for (int id = 1; id <= 60; ++id) {
      bench.take(id, 0, 80);
      for (int ended = 0; ended < bench.dispatches(id); ++ended) {
        const bool good = c.done_elsewhere && (bench.engine_of(id) != 1 || seen++ % c.one_in != 0);
        bench.end(id, good ? Outcome::succeeded : c.outcome, ms(60));
      }
    }
    std::map<int, int> used;
    for (int id = 101; id <= 130; ++id) bench.take(id, 0, 80), used[bench.engine_of(id)] += 1;
    for (int engine = 1; engine <= 3; ++engine) assert((used[engine] > 1) == (engine != 1 || !c.avoided));
  }
}

// A judgement of slowness ends with its cause: after a while of rest a long job is taken on again.
void judgement_fades() {
  for (const bool rested : {false, true}) {
    Bench bench(small_service(), 1);
    for (int id = 1; id <= 30; ++id) {
      bench.take(id, 1, 1000);
      if (bench.dispatches(id)) bench.end(id, Outcome::succeeded, id < 15 ? ms(500) : ms(6000));
    }
    bench.pass(rested ? seconds(30) : ms(200));
    bench.take(100, 1, 14000);
    assert((bench.dispatches(100) == 1) == rested);
  }
}

// One late dispatch is no silence yet; two are, on an engine that has said nothing since.
void silence_needs_two() {
  for (const int late : {1, 2}) {
    Bench bench;
    for (int id = 1; id <= 6; ++id) bench.take(id, 1, 1000);
    int left = late;
    for (int id = 1; id <= 6; ++id) {
      if (bench.engine_of(id) != bench.engine_of(1) || left-- <= 0)
        bench.end(id, Outcome::succeeded, ms(500));
    }
    bench.pass(seconds(4));
    int used = 0;
    for (int id = 100; id < 130; ++id)
      bench.take(id, 0, 80), used += bench.engine_of(id) == bench.engine_of(1);
    assert((used <= 1) == (late == 2));
  }
}

// A job told to stand behind another manager's load moves on at once, while it may, and its like stay away.
void behind_a_load() {
  struct Case {
    bool allows_cancel;
    Idempotency idempotency;
    int dispatches;  // most of a job
    int engines;
    bool moves;
  };
  const Case cases[] = {{true, Idempotency::idempotent, 3, 3, true},
                        {true, Idempotency::idempotent, 1, 3, false},
                        {true, Idempotency::idempotent, 3, 1, false},
                        {true, Idempotency::idempotent_by_key, 3, 3, false},
                        {false, Idempotency::idempotent, 3, 3, false}};
  for (const Case& c : cases) {
    ServiceDefinition service = small_service();
    service.allows_cancel = c.allows_cancel, service.max_attempts = c.dispatches;
    service.types[0].waits_for_data_load = true, service.types[0].idempotency = c.idempotency;
    service.types[1].loads_data_set = true;
    Bench bench(service, c.engines);
    bench.take(5, 1, 2000);  // tells how long loads usually are
    bench.end(5, Outcome::succeeded, ms(1000));
    bench.take(10, 0, 80);
    const int held_there = bench.engine_of(10);
    bench.manager.on_engine_wait(bench.now, RequestId{10}, 0, WaitCause::data_load);
    assert((bench.host.stopped.size() == 1) == c.moves);
    if (!c.moves) continue;
    bench.end(10, Outcome::cancelled);
    assert(bench.dispatches(10) == 2 && bench.engine_of(10) != held_there);
    for (int id = 15; id <= 25; id += 5) {  // the same data set
      bench.take(id, 0, 80);
      assert(bench.engine_of(id) != held_there);
    }
  }
}

// Near the most jobs that may be open at once, what stands still or is late makes room, and only then.
void places_run_short() {
  struct Case {
    std::int64_t max_open_requests;
    int others;
    bool told_to_wait, gives_up;
  };
  const Case cases[] = {{10, 10, true, true},  {10, 3, true, false},  {0, 10, true, false},
                        {10, 10, false, true}, {10, 3, false, false}, {0, 10, false, false}};
  for (const Case& c : cases) {
    ServiceDefinition service = small_service();
    service.allows_cancel = true, service.max_open_requests = c.max_open_requests;
    service.types[0].waits_for_data_load = true, service.types[1].loads_data_set = true;
    Bench bench(service, 1);
    bench.take(5, 0, 80);
    for (int id = 101; id < 101 + c.others; ++id) bench.take(id, 1, 2000, std::nullopt, 50);
    if (c.told_to_wait) bench.manager.on_engine_wait(bench.now, RequestId{5}, 0, WaitCause::data_load);
    else bench.pass(ms(700));  // its SLA time is 460 ms, its patience two seconds
    assert(bench.throttled(5) == c.gives_up);
  }
}

int main() {
  behind_a_load();
  places_run_short();
  lost_answers(), whose_fault(), judgement_fades(), silence_needs_two();
  engines_in_trouble(), never_all_closed(), silence(), bad_plans(), on_endpoints_refused();
}
