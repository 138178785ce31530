// The vocabulary that the decisions and their callers share: identifiers, time, requests, endpoints,
// outcomes, and the service as its settings define it at start.
//
// Names here are those of the field. The names that settings, protocols and counters use are mapped to them
// once, in src/service and in each codec. All types are values without I/O.
#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace pearchute {

// A length of time, in microseconds.
using Duration = std::chrono::microseconds;

// The steady clock of this instance: its epoch is the instance's start, and steps of the wall clock don't
// move it. It has no now(): whoever drives the decisions passes the time in.
struct InstanceClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<InstanceClock>;
  static constexpr bool is_steady = true;
};

// A moment, as time since the instance's start; one before the start is negative. A value-initialized
// TimePoint is the start. Durations and moments don't mix: their sums and differences are those of
// std::chrono.
using TimePoint = InstanceClock::time_point;

// An integer that names one thing of one kind; ids of different kinds don't mix.
template <class Tag, class Number>
struct Id {
  Number value{};
  auto operator<=>(const Id&) const = default;
};

using RequestId = Id<struct RequestTag, std::uint64_t>;
using EngineId = Id<struct EngineTag, std::uint32_t>;
using OrderKey = Id<struct OrderKeyTag, std::uint64_t>;
using DataSetId = Id<struct DataSetTag, std::int64_t>;
// Positions in the lists of the ServiceDefinition; -1 where a name is not in its list.
using RequestTypeId = Id<struct RequestTypeTag, int>;
using TenantId = Id<struct TenantTag, int>;
using ZoneId = Id<struct ZoneTag, int>;
using MachineKindId = Id<struct MachineKindTag, int>;
using CellId = Id<struct CellTag, std::int64_t>;

// How an attempt ended.
enum class Outcome {
  succeeded,         // answered, and the answer is with the client
  engine_error,      // the engine reported a failure; it may have executed
  engine_full,       // rejected by the engine before it executed
  timed_out,         // no answer in time; it may have executed or still execute
  unreachable,       // no connection
  connection_reset,  // the connection broke; it may have executed
  cancelled,         // cancelled by this manager; it may have executed
  not_sent,          // never left: the request was over or its attempts exhausted
  count
};
// The keys of outcomes in counters, by the enumerators' order; part of the counters' format.
inline constexpr std::array<std::string_view, static_cast<std::size_t>(Outcome::count)> outcome_keys = {
    "done", "error", "full", "timed_out", "unreachable", "reset", "stopped", "never_sent"};

// Whether the engine certainly never executed the attempt.
constexpr bool proves_not_executed(Outcome outcome) {
  return outcome == Outcome::engine_full || outcome == Outcome::unreachable || outcome == Outcome::not_sent;
}

// Whether it is certain that the attempt no longer executes and never will.
constexpr bool end_is_certain(Outcome outcome) {
  return proves_not_executed(outcome) || outcome == Outcome::succeeded || outcome == Outcome::engine_error;
}

// Why a request gets its final answer without a result.
enum class RejectionReason {
  overload,              // load shedding: its value for the engine time it needs is too low
  deadline_unreachable,  // on arrival: can't meet its latency objective
  queue_full,            // too many requests are queued
  deadline_exceeded,     // its request timeout has passed, or nearly
  queued_too_long,       // queued, and can no longer meet its latency objective
  attempts_exhausted,    // no attempt is left, or a further one might execute twice
  attempt_not_sent,      // its attempt could not leave this manager
  client_disconnected,
  table_full,             // evicted to make room near the most open requests
  shutting_down,          // the manager ends
  arrival_order_unknown,  // it can't be told which request of its key came first
  count
};
// The keys of rejection reasons in counters, by the enumerators' order; part of the counters' format.
inline constexpr std::array<std::string_view, static_cast<std::size_t>(RejectionReason::count)>
    rejection_reason_keys = {"costly",    "hopeless",    "queue_full", "time_is_up", "too_late",     "spent",
                             "not_taken", "client_gone", "crammed",    "ending",     "order_unknown"};

// The names of rejection reasons in log lines, by the enumerators' order.
inline constexpr std::array<std::string_view, static_cast<std::size_t>(RejectionReason::count)>
    rejection_reason_names = {"overload",          "deadline_unreachable", "queue_full",
                              "deadline_exceeded", "queued_too_long",      "attempts_exhausted",
                              "attempt_not_sent",  "client_disconnected",  "table_full",
                              "shutting_down",     "arrival_order_unknown"};

// Whether a request may execute more than once.
enum class Idempotency {
  idempotent,         // any number of times
  idempotent_by_key,  // engines within its deduplication scope drop repeats for its deduplication window
  non_idempotent      // at most once
};

// Which engines drop a repeat of a request that is idempotent by key.
enum class DeduplicationScope { fleet, zone, cell };

// What the endpoint list says of an engine.
enum class EngineState { up, draining, removed };

// What an update of the endpoint list holds.
enum class EndpointUpdate {
  delta,     // only the endpoints that changed
  snapshot,  // every endpoint; those that are not named are removed
  cached     // a snapshot from before this manager's start
};

// What an attempt that has begun waits for at its engine.
enum class WaitCause { memory, data_load };

// What engines do where their memory is exhausted.
enum class MemoryExhaustionPolicy { queue, abort, overcommit };

// A class of requests, with what the settings say of it.
struct RequestType {
  Idempotency idempotency = Idempotency::idempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::fleet;
  Duration deduplication_window{};  // for how long repeats by key are dropped
  Duration latency_objective{};     // an answer within this earns the whole priority weight
  // The latency objective grows by this multiple of the request's work divided by its threads.
  double latency_objective_per_work = 0;
  Duration request_timeout{};  // after which its client no longer waits
  double priority_weight = 1;
  double late_value_share = 0;  // share of the weight that an answer after the objective still earns
  int threads = 1;
  bool ordered_by_key = false;       // requests of one key execute one at a time, in order of arrival
  bool loads_data_set = false;       // it loads its data set, which is locked meanwhile
  bool waits_for_data_load = false;  // it waits where its data set is being loaded
  std::optional<std::vector<ZoneId>> zones = std::nullopt;  // allowed placement; none: anywhere
  std::optional<std::vector<MachineKindId>> kinds = std::nullopt;
};

// A customer whose requests share a quota.
struct Tenant {
  double quota_per_second = 0;  // requests within its share, over all managers
};

// What machines of one kind have.
struct MachineKind {
  int cores = 1;
  double memory_mb = 0;
};

// The service as the settings define it. Durations of 0 and counts of 0 mean "not set" where a field says so.
struct ServiceDefinition {
  std::vector<RequestType> types;
  std::vector<Tenant> tenants;
  std::vector<MachineKind> kinds;
  ZoneId zone{-1};         // this manager's own
  int instance_index = 0;  // of this manager, from 0
  int managers = 1;        // in the fleet

  // Endpoint discovery
  bool endpoints_on_request = false;  // the list comes only after a subscription
  Duration poll_within{};             // the longest a manager may go without asking for the list
  Duration event_interval{};          // least time between two deliveries of events
  Duration drain_grace{};             // how long a draining engine may still be sent attempts

  // Slow start of engines
  Duration slow_start_duration{};
  double slow_start_initial_capacity = 1;  // share of the full capacity that an engine starts with
  double slow_start_limit_multiple = 0;    // of the capacity in a window; 0: no limit
  Duration slow_start_window{};

  // Order by key
  Duration key_quiet_period{};  // after an attempt with an uncertain outcome

  // Retries
  std::optional<Duration> retry_budget_window;  // none: retries are not limited by a budget
  double retry_budget_minimum = 0;              // retries in a window that are always allowed
  double retry_budget_ratio = 0;                // further retries for each request in a window
  int max_attempts = 1;
  bool allows_hedging = false;

  std::int64_t max_open_requests = 0;  // 0: not limited
  bool allows_cancel = false;          // engines take cancellations of attempts
  bool allows_probes = false;
  bool load_reports_in_probes = false;
  bool engines_take_grants = false;
  bool engines_take_priority = false;
  bool sends_retry_after = false;
  Duration max_retry_after{};
  double max_grant_share = 1;  // of an engine's memory that one request may get
  MemoryExhaustionPolicy memory_exhaustion_policy = MemoryExhaustionPolicy::queue;
  Duration progress_interval{};  // between two progress reports of an attempt; 0: none come

  // Costs and weights of decisions, relative to the value of a mean request
  double over_quota_weight = 1;  // share of the weight that a tenant's requests beyond its quota keep
  double cross_zone_cost = 0;
  double probe_cost = 0;
};

// An engine as the endpoint list names it.
struct EngineEndpoint {
  EngineId id;
  EngineState state = EngineState::up;
  ZoneId zone{-1};
  MachineKindId kind{-1};
  CellId cell{};
  std::optional<TimePoint> started_at;  // since this manager's start; negative where it was before
};

// A request as the front hands it to the decisions.
struct Request {
  RequestId id;
  RequestTypeId type;
  TenantId tenant{-1};
  std::optional<OrderKey> key;
  bool arrival_order_known = true;  // among the requests of its key
  Duration time_left{};             // of its client's timeout
  std::optional<double> work_ms;    // estimated, as time on one thread
  std::optional<double> memory_mb;  // estimated
  DataSetId data_set;
};

// The load that an engine reports, as far as it does.
struct LoadReport {
  std::optional<double> outstanding;   // requests that it holds
  std::optional<double> backlog;       // requests that wait there
  std::optional<double> memory_share;  // granted, of its memory
  std::optional<double> disk_share;
};

}  // namespace pearchute

template <class Tag, class Number>
struct std::hash<pearchute::Id<Tag, Number>> {
  std::size_t operator()(const pearchute::Id<Tag, Number>& id) const { return std::hash<Number>{}(id.value); }
};
