// A DecisionSink that writes down what it is told, and a workload manager on a small service of three
// engines.
#pragma once

#include <algorithm>
#include <cassert>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/control.h"

namespace pearchute {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline Duration ms(int n) { return milliseconds(n); }

struct RecordingSink : DecisionSink {
  struct Sent {
    RequestId job;
    EngineId engine;
    double grant;
    int priority;
  };
  std::vector<Sent> sent;
  std::vector<RequestId> throttled, cancelled;
  std::vector<std::pair<RequestId, int>> stopped;
  std::vector<std::pair<TimePoint, std::uint64_t>> wakes;
  std::map<RequestId, Duration> leave_within;
  int probes = 0, subscriptions = 0;
  double grant = 0;
  int priority = 1;
  TimePoint now{};

  void dispatch(RequestId job, EngineId engine, Duration) override {
    sent.push_back({job, engine, grant, priority});
  }
  void set_execution_terms(RequestId, double grant_mb, int rank) override {
    grant = grant_mb, priority = rank;
  }
  void limit_send_delay(RequestId job, Duration span) override { leave_within[job] = span; }
  void cancel_attempt(RequestId job, int number) override { stopped.push_back({job, number}); }
  void throttle(RequestId job, Duration) override { throttled.push_back(job); }
  void fail(RequestId job) override { cancelled.push_back(job); }
  void schedule_wakeup(Duration span, std::uint64_t mark) override { wakes.push_back({now + span, mark}); }
  void probe(EngineId) override { ++probes; }
  void subscribe_endpoints() override { ++subscriptions; }
  void trace_event(std::string_view) override {}
};

// Type 0 is short on one thread, type 1 long on two; both restartable unless a case says otherwise.
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

struct Bench {
  RecordingSink host;
  TimePoint now{};
  WorkloadManager manager;
  std::map<std::uint64_t, int> numbers;

  explicit Bench(const ServiceDefinition& service = small_service(), int engines = 3)
      : manager(service, 7, host) {
    std::vector<EngineEndpoint> listed;
    for (int i = 1; i <= engines; ++i) listed.push_back(engine(i));
    list(EndpointUpdate::snapshot, listed);
  }
  static EngineEndpoint engine(int id, EngineState state = EngineState::up, int zone = 0, int kind = 0) {
    return {.id = EngineId{static_cast<std::uint32_t>(id)},
            .state = state,
            .zone = ZoneId{zone},
            .kind = MachineKindId{kind},
            .cell = CellId{zone},
            .started_at = std::nullopt};
  }
  void list(EndpointUpdate news, const std::vector<EngineEndpoint>& engines) {
    manager.on_endpoint_update(now, news, engines);
  }
  void take(int id, int type, double work_ms, std::optional<int> key = std::nullopt, double need = 500) {
    Request job{.id = RequestId{static_cast<std::uint64_t>(id)},
                .type = RequestTypeId{type},
                .tenant = TenantId{-1},
                .key = std::nullopt,
                .time_left = type == 0 ? ms(2000) : ms(20000),
                .work_ms = work_ms,
                .memory_mb = need,
                .data_set = DataSetId{id % 5}};
    if (key) job.key = OrderKey{static_cast<std::uint64_t>(*key)};
    manager.on_request(now, job);
  }
  void end(int id, Outcome outcome, Duration elapsed = ms(100), int number = -1) {
    if (number < 0) number = dispatches(id) - 1;
    manager.on_attempt_ended(now, RequestId{static_cast<std::uint64_t>(id)}, number, outcome, elapsed,
                             outcome == Outcome::succeeded, std::nullopt, std::nullopt, {});
  }
  // Lets time pass, delivering each wake in its turn.
  void pass(Duration span) {
    const TimePoint until = now + span;
    while (true) {
      auto next = host.wakes.end();
      for (auto it = host.wakes.begin(); it != host.wakes.end(); ++it) {
        if (it->first <= until && (next == host.wakes.end() || it->first < next->first)) next = it;
      }
      if (next == host.wakes.end()) break;
      const auto [when, mark] = *next;
      host.wakes.erase(next);
      now = host.now = std::max(now, when);
      manager.on_wakeup(now, mark);
    }
    now = host.now = until;
  }
  int dispatches(int id) const {
    int count = 0;
    for (const auto& one : host.sent) count += one.job.value == static_cast<std::uint64_t>(id);
    return count;
  }
  int engine_of(int id) const {
    int last = 0;
    for (const auto& one : host.sent) {
      if (one.job.value == static_cast<std::uint64_t>(id)) last = static_cast<int>(one.engine.value);
    }
    return last;
  }
  static int count(const std::vector<RequestId>& in, int id) {
    return static_cast<int>(std::ranges::count(in, RequestId{static_cast<std::uint64_t>(id)}));
  }
  bool throttled(int id) const { return count(host.throttled, id) > 0; }
  bool cancelled(int id) const { return count(host.cancelled, id) > 0; }
  int answers(int id) const { return count(host.throttled, id) + count(host.cancelled, id); }
};

}  // namespace pearchute
