// The decisions of one workload manager behind one interface: the caller reports each event by a method call,
// and the manager acts through a DecisionSink.
//
// The manager owns the open requests and the engines, and invokes the decisions in a fixed order. Each
// decision is a class with its own state (docs/architecture.md lists them). The manager has no I/O, no clock
// and no thread, so identical events and an identical seed give identical actions. It is not thread-safe: all
// calls must come from one thread.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "core/data_affinity.h"
#include "core/deadline_policy.h"
#include "core/decision_sink.h"
#include "core/engine.h"
#include "core/grant_policy.h"
#include "core/key_queues.h"
#include "core/latency_model.h"
#include "core/load_shedder.h"
#include "core/outlier_detector.h"
#include "core/placement_scorer.h"
#include "core/probe_scheduler.h"
#include "core/request_queue.h"
#include "core/request_state.h"
#include "core/request_table.h"
#include "core/retry_policy.h"
#include "core/slow_start.h"
#include "core/types.h"
#include "core/work_model.h"

namespace pearchute {

// For all event methods: `now` must not decrease from call to call, attempts of a request are numbered from
// 0, and events about unknown or already forgotten requests, attempts and engines are ignored.
class WorkloadManager final : private RequestQueue::Delegate {
 public:
  // `sink` must outlive the manager. The constructor already uses it: it schedules the periodic tick and
  // subscribes to the endpoint list where the service requires a subscription.
  WorkloadManager(const ServiceDefinition& service, std::uint64_t seed, DecisionSink& sink);
  WorkloadManager(const WorkloadManager&) = delete;
  WorkloadManager& operator=(const WorkloadManager&) = delete;

  // Endpoint discovery
  void on_endpoint_update(TimePoint now, EndpointUpdate kind, const std::vector<EngineEndpoint>& endpoints);
  // Endpoint discovery refused the subscription because it is overloaded.
  void on_endpoints_refused(TimePoint now);

  // Clients
  void on_request(TimePoint now, const Request& request);
  void on_request_cancelled(TimePoint now, RequestId id);
  // The client has disconnected and may reconnect. Until it does, no attempt of the request is sent.
  void on_client_disconnected(TimePoint now, RequestId id);
  void on_client_reconnected(TimePoint now, RequestId id);

  // Engines: reports about outstanding attempts
  void on_stream_started(TimePoint now, RequestId id, int attempt_index);
  void on_progress(TimePoint now, RequestId id, int attempt_index, double share_done);
  void on_spill(TimePoint now, RequestId id, int attempt_index, double missing_mb);
  void on_engine_wait(TimePoint now, RequestId id, int attempt_index, WaitCause cause);
  // `is_finished`: the client has received its final answer. `work_ms` and `memory_mb` are what the request
  // needed, if the answer reports it.
  void on_attempt_ended(TimePoint now, RequestId id, int attempt_index, Outcome outcome, Duration elapsed,
                        bool is_finished, std::optional<double> work_ms, std::optional<double> memory_mb,
                        const LoadReport& load);
  void on_probe_ended(TimePoint now, EngineId engine, Outcome outcome, Duration elapsed,
                      const LoadReport& load);

  // A wake-up that was scheduled through the sink is due.
  void on_wakeup(TimePoint now, std::uint64_t token);
  // The program shuts down: each open request receives its final answer now.
  void closing(TimePoint now);

  // Estimates that the decisions use, for operators. Reading them does not affect any decision.
  struct EngineEstimate {
    double slots = 0;  // threads
    double capacity_mb = 0;
    bool is_cold = false;  // in slow start
  };
  // Calls `visit(engine, estimate)` for each engine, by id.
  template <class Visit>
  void tell_engines(TimePoint now, Visit visit) const {
    for (const auto& [id, engine] : engines_) {
      const EngineEstimate estimate{grants_.slots(now, engine), grants_.capacity_mb(engine),
                                    slow_start_.is_warming_up(now, engine)};
      visit(engine, estimate);
    }
  }
  // What a queued request waits for; `not_queued` also for unknown requests.
  enum class QueuedFor { not_queued, key_order, key_quiet_period, retry_budget, capacity };
  QueuedFor queued_for(TimePoint now, RequestId id);
  std::size_t queued_requests() const { return queue_.size(); }
  // Typical work of a request of the type, in ms on one thread.
  double typical_work_ms(RequestTypeId type) const { return work_.typical_work_ms(type); }
  double largest_typical_work_ms() const { return work_.largest_typical_work_ms(); }

 private:
  // Wake-up tokens that do not belong to a request. The token of a request is its arrival sequence number.
  enum WakeupToken : std::uint64_t { tick_token = 1, subscribe_token = 2, key_token = 3 };

  // RequestQueue::Delegate
  bool may_start(TimePoint now, const RequestState& state) override;
  bool is_eligible(TimePoint now, const RequestState& state, const Engine& engine) const override;
  double capacity_mb(const Engine& engine) const override { return grants_.capacity_mb(engine); }
  bool place(TimePoint now, RequestState& state) override;

  void send(TimePoint now, RequestState& state, const Placement& placement);
  void update_endpoint(TimePoint now, const EngineEndpoint& endpoint);
  void remove_unnamed(const std::vector<EngineEndpoint>& endpoints);
  std::optional<RejectionReason> admission_rejection(TimePoint now, const RequestState& state,
                                                     double cost) const;

  // Attempts (attempt_events.cpp)
  AttemptRecord* record_report(TimePoint now, RequestId id, int attempt_index);
  void cancel_attempt(RequestId id, AttemptRecord& attempt, int attempt_index);
  void release_reservation(TimePoint now, Engine& engine, const RequestState& state,
                           const AttemptRecord& attempt, Outcome outcome);
  void learn_from_outcome(TimePoint now, Engine& engine, RequestState& state, AttemptRecord& attempt,
                          Outcome outcome, Duration elapsed);
  void record_error(TimePoint now, Engine& engine, RequestState& state, AttemptRecord& attempt,
                    Outcome outcome);
  void record_uncertain_outcome(TimePoint now, const Engine& engine, RequestState& state,
                                const AttemptRecord& attempt, Outcome outcome);
  void requeue_or_reject(TimePoint now, RequestState& state, Outcome outcome, bool is_finished);
  void record_failure(TimePoint now, Engine& engine, EjectionReason reason);
  void on_load_report(TimePoint now, Engine& engine, const LoadReport& load);

  // Final answers
  bool is_table_nearly_full() const;
  void finish(RequestState& state);
  void erase_if_done(RequestId id);
  void reject(TimePoint now, RequestState& state, RejectionReason reason);

  // The periodic tick (periodic_tick.cpp)
  void on_tick(TimePoint now);
  void tick_engine(TimePoint now, Engine& engine);
  void replace_overdue_attempts(TimePoint now, Engine& engine);
  void replace_overdue_attempt(TimePoint now, const Engine& engine, RequestId id, int attempt_index);
  bool is_queue_delayed(TimePoint now);
  void reject_unservable(TimePoint now);
  void evict_late_requests(TimePoint now);

  DecisionSink& sink_;
  std::knuth_b random_;
  ServiceDefinition service_;  // without the lists, which the constructor clears after use
  WorkModel work_;
  LatencyModel latency_;
  SlowStart slow_start_;
  GrantPolicy grants_;
  DataAffinity affinity_;
  PlacementScorer placement_;
  RetryPolicy retries_;
  KeyQueues key_queues_;
  LoadShedder shedder_;
  DeadlinePolicy deadlines_;
  OutlierDetector outliers_;
  ProbeScheduler probes_;
  EngineMap engines_;
  RequestTable requests_;
  RequestQueue queue_;
  std::vector<MachineKind> kinds_;
  Duration subscription_backoff_;
};

}  // namespace pearchute
