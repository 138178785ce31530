// A Host that writes down what it is told, and a workload manager on a small service of three engines.
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

inline Span ms(int n) { return milliseconds(n); }

struct NotedHost : Host {
  struct Sent {
    JobId job;
    EngineId engine;
    double grant;
    int priority;
  };
  std::vector<Sent> sent;
  std::vector<JobId> throttled, cancelled;
  std::vector<std::pair<JobId, int>> stopped;
  std::vector<std::pair<Span, std::uint64_t>> wakes;
  std::map<JobId, Span> leave_within;
  int probes = 0, subscriptions = 0;
  double grant = 0;
  int priority = 1;
  Span now{};

  void dispatch(JobId job, EngineId engine, Span) override { sent.push_back({job, engine, grant, priority}); }
  void set_terms(JobId, double grant_mb, int rank) override { grant = grant_mb, priority = rank; }
  void must_leave_within(JobId job, Span span) override { leave_within[job] = span; }
  void stop_dispatch(JobId job, int number) override { stopped.push_back({job, number}); }
  void throttle(JobId job, Span) override { throttled.push_back(job); }
  void cancel_for_good(JobId job) override { cancelled.push_back(job); }
  void wake_in(Span span, std::uint64_t mark) override { wakes.push_back({now + span, mark}); }
  void probe(EngineId) override { ++probes; }
  void subscribe_list() override { ++subscriptions; }
  void remark(std::string_view) override {}
};

// Type 0 is short on one thread, type 1 long on two; both restartable unless a case says otherwise.
inline ServiceDefinition small_service() {
  ServiceDefinition service;
  ReservationType quick, slow;
  quick.sla_time = ms(300), quick.sla_stretch = 2, quick.job_timeout = ms(2000);
  slow.sla_time = ms(1500), slow.sla_stretch = 2.5, slow.job_timeout = ms(20000);
  slow.billed_value = 20, slow.threads = 2;
  service.types = {quick, slow};
  service.kinds = {{.cores = 8, .memory_mb = 16000}, {.cores = 4, .memory_mb = 8000}};
  service.zone = ZoneId{0};
  service.managers = 2, service.round = ms(5), service.most_dispatches = 4;
  service.takes_grants = service.takes_priority = true;
  service.takes_retry_advice = true, service.longest_retry_advice = ms(2000);
  service.grant_cap = 0.5;
  return service;
}

struct Bench {
  NotedHost host;
  Span now{};
  WorkloadManager manager;
  std::map<std::uint64_t, int> numbers;

  explicit Bench(const ServiceDefinition& service = small_service(), int engines = 3)
      : manager(service, 7, host) {
    std::vector<ListedEngine> listed;
    for (int i = 1; i <= engines; ++i) listed.push_back(engine(i));
    list(ListNews::complete, listed);
  }
  static ListedEngine engine(int id, EngineState state = EngineState::up, int zone = 0, int kind = 0) {
    return {.id = EngineId{static_cast<std::uint32_t>(id)},
            .state = state,
            .zone = ZoneId{zone},
            .kind = KindId{kind},
            .cell = CellId{zone},
            .online_since = std::nullopt};
  }
  void list(ListNews news, const std::vector<ListedEngine>& engines) {
    manager.list_came(now, news, engines);
  }
  void take(int id, int type, double work_ms, std::optional<int> key = std::nullopt, double need = 500) {
    Job job{.id = JobId{static_cast<std::uint64_t>(id)},
            .type = TypeId{type},
            .customer = CustomerId{-1},
            .key = std::nullopt,
            .time_left = type == 0 ? ms(2000) : ms(20000),
            .work_ms = work_ms,
            .memory_mb = need,
            .data_set = DataSetId{id % 5}};
    if (key) job.key = OrderKey{static_cast<std::uint64_t>(*key)};
    manager.job_taken(now, job);
  }
  void end(int id, Outcome outcome, Span elapsed = ms(100), int number = -1) {
    if (number < 0) number = dispatches(id) - 1;
    manager.dispatch_ended(now, JobId{static_cast<std::uint64_t>(id)}, number, outcome, elapsed,
                           outcome == Outcome::done, std::nullopt, std::nullopt, {});
  }
  // Lets time pass, delivering each wake in its turn.
  void pass(Span span) {
    const Span until = now + span;
    while (true) {
      auto next = host.wakes.end();
      for (auto it = host.wakes.begin(); it != host.wakes.end(); ++it) {
        if (it->first <= until && (next == host.wakes.end() || it->first < next->first)) next = it;
      }
      if (next == host.wakes.end()) break;
      const auto [when, mark] = *next;
      host.wakes.erase(next);
      now = host.now = std::max(now, when);
      manager.woken(now, mark);
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
  static int count(const std::vector<JobId>& in, int id) {
    return static_cast<int>(std::ranges::count(in, JobId{static_cast<std::uint64_t>(id)}));
  }
  bool throttled(int id) const { return count(host.throttled, id) > 0; }
  bool cancelled(int id) const { return count(host.cancelled, id) > 0; }
  int answers(int id) const { return count(host.throttled, id) + count(host.cancelled, id); }
};

}  // namespace pearchute
