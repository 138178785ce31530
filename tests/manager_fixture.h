// A DecisionSink that records the actions of the decisions, and a test fixture with a workload manager for a
// small service, by default of three engines.
#pragma once

#include <algorithm>
#include <cassert>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/workload_manager.h"

namespace pearchute {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline Duration ms(int n) { return milliseconds(n); }

struct RecordingSink : DecisionSink {
  struct SentAttempt {
    RequestId request;
    EngineId engine;
    double grant_mb;
    int priority;
  };
  std::vector<SentAttempt> sent;
  std::vector<RequestId> throttled, failed;
  std::vector<std::pair<RequestId, int>> cancelled_attempts;
  std::vector<std::pair<TimePoint, std::uint64_t>> wakeups;
  std::map<RequestId, Duration> send_delay_limits;
  int probes = 0, subscriptions = 0;
  double grant_mb = 0;
  int priority = 1;
  TimePoint now{};

  void dispatch(RequestId request, EngineId engine, Duration) override {
    sent.push_back({request, engine, grant_mb, priority});
  }
  void set_execution_terms(RequestId, double new_grant_mb, int new_priority) override {
    grant_mb = new_grant_mb, priority = new_priority;
  }
  void limit_send_delay(RequestId request, Duration limit) override { send_delay_limits[request] = limit; }
  void cancel_attempt(RequestId request, int attempt_index) override {
    cancelled_attempts.push_back({request, attempt_index});
  }
  void throttle(RequestId request, Duration) override { throttled.push_back(request); }
  void fail(RequestId request) override { failed.push_back(request); }
  void schedule_wakeup(Duration delay, std::uint64_t token) override {
    wakeups.push_back({now + delay, token});
  }
  void probe(EngineId) override { ++probes; }
  void subscribe_endpoints() override { ++subscriptions; }
  void trace_event(std::string_view) override {}
};

// Type 0 is short and uses one thread, type 1 is long and uses two. Both are idempotent.
inline ServiceDefinition small_service() {
  ServiceDefinition service;
  RequestType quick, slow;
  quick.latency_objective = ms(300), quick.latency_objective_per_work = 2, quick.request_timeout = ms(2000);
  slow.latency_objective = ms(1500), slow.latency_objective_per_work = 2.5, slow.request_timeout = ms(20000);
  slow.priority_weight = 20, slow.threads = 2;
  service.types = {quick, slow};
  service.kinds = {{.cores = 8, .memory_mb = 16000}, {.cores = 4, .memory_mb = 8000}};
  service.zone = ZoneId{0};
  service.managers = 2, service.event_interval = ms(5), service.max_attempts = 4;
  service.engines_take_grants = service.engines_take_priority = true;
  service.sends_retry_after = true, service.max_retry_after = ms(2000);
  service.max_grant_share = 0.5;
  return service;
}

// A workload manager with its sink and a clock that only advance() moves.
struct ManagerFixture {
  RecordingSink sink;
  TimePoint now{};
  WorkloadManager manager;

  // Lists engines 1 to `engines`.
  explicit ManagerFixture(const ServiceDefinition& service = small_service(), int engines = 3)
      : manager(service, 7, sink) {
    std::vector<EngineEndpoint> listed;
    for (int i = 1; i <= engines; ++i) listed.push_back(endpoint(i));
    update_endpoints(EndpointUpdate::snapshot, listed);
  }
  static EngineEndpoint endpoint(int id, EngineState state = EngineState::up, int zone = 0, int kind = 0) {
    return {.id = EngineId{static_cast<std::uint32_t>(id)},
            .state = state,
            .zone = ZoneId{zone},
            .kind = MachineKindId{kind},
            .cell = CellId{zone},
            .started_at = std::nullopt};
  }
  void update_endpoints(EndpointUpdate kind, const std::vector<EngineEndpoint>& engines) {
    manager.on_endpoint_update(now, kind, engines);
  }
  // A client sends a request. Requests whose ids have the same remainder by 5 use the same data set.
  void add_request(int id, int type, double work_ms, std::optional<int> key = std::nullopt,
                   double memory_mb = 500) {
    Request request{.id = RequestId{static_cast<std::uint64_t>(id)},
                    .type = RequestTypeId{type},
                    .tenant = TenantId{-1},
                    .key = std::nullopt,
                    .time_left = type == 0 ? ms(2000) : ms(20000),
                    .work_ms = work_ms,
                    .memory_mb = memory_mb,
                    .data_set = DataSetId{id % 5}};
    if (key) request.key = OrderKey{static_cast<std::uint64_t>(*key)};
    manager.on_request(now, request);
  }
  // Ends an attempt of the request; -1: its latest one.
  void end_attempt(int id, Outcome outcome, Duration elapsed = ms(100), int attempt_index = -1) {
    if (attempt_index < 0) attempt_index = attempt_count(id) - 1;
    manager.on_attempt_ended(now, RequestId{static_cast<std::uint64_t>(id)}, attempt_index, outcome, elapsed,
                             outcome == Outcome::succeeded, std::nullopt, std::nullopt, {});
  }
  // Advances the clock, delivering each wake-up at its time.
  void advance(Duration duration) {
    const TimePoint until = now + duration;
    while (true) {
      auto next = sink.wakeups.end();
      for (auto it = sink.wakeups.begin(); it != sink.wakeups.end(); ++it) {
        if (it->first <= until && (next == sink.wakeups.end() || it->first < next->first)) next = it;
      }
      if (next == sink.wakeups.end()) break;
      const auto [due_at, token] = *next;
      sink.wakeups.erase(next);
      now = sink.now = std::max(now, due_at);
      manager.on_wakeup(now, token);
    }
    now = sink.now = until;
  }
  int attempt_count(int id) const {
    int count = 0;
    for (const auto& one : sink.sent) count += one.request.value == static_cast<std::uint64_t>(id);
    return count;
  }
  // The engine of the request's latest attempt; 0 if it had none.
  int last_engine(int id) const {
    int last = 0;
    for (const auto& one : sink.sent) {
      if (one.request.value == static_cast<std::uint64_t>(id)) last = static_cast<int>(one.engine.value);
    }
    return last;
  }
  static int count(const std::vector<RequestId>& in, int id) {
    return static_cast<int>(std::ranges::count(in, RequestId{static_cast<std::uint64_t>(id)}));
  }
  bool is_throttled(int id) const { return count(sink.throttled, id) > 0; }
  bool is_failed(int id) const { return count(sink.failed, id) > 0; }
  int final_answers(int id) const { return count(sink.throttled, id) + count(sink.failed, id); }
};

}  // namespace pearchute
