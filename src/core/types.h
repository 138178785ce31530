// The types that the decisions and their callers share: identifiers, time, requests, endpoints, outcomes, and
// the service as its settings define it at start.
//
// Settings, protocols and counters use names of their own; src/service and each codec map them to the names
// here. All types are plain values without I/O.
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

// The steady clock of this instance. Its epoch is the instance's start, and steps of the wall clock do not
// affect it. It has no now(): the caller of the decisions passes the current time to each event.
struct InstanceClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<InstanceClock>;
  static constexpr bool is_steady = true;
};

// A point in time, counted from the instance's start: earlier points are negative, and a value-initialized
// TimePoint is the start itself. Arithmetic with durations follows std::chrono.
using TimePoint = InstanceClock::time_point;

// An integer identifier. `Tag` makes the identifiers of different kinds distinct types.
template <class Tag, class Number>
struct Id {
  Number value{};
  auto operator<=>(const Id&) const = default;
};

using RequestId = Id<struct RequestTag, std::uint64_t>;
using EngineId = Id<struct EngineTag, std::uint32_t>;
using OrderKey = Id<struct OrderKeyTag, std::uint64_t>;
using DataSetId = Id<struct DataSetTag, std::int64_t>;
// Positions in the lists of ServiceDefinition and Deployment; -1 for a name that is not in its list.
using RequestTypeId = Id<struct RequestTypeTag, int>;
using TenantId = Id<struct TenantTag, int>;
using ZoneId = Id<struct ZoneTag, int>;
using MachineKindId = Id<struct MachineKindTag, int>;
using CellId = Id<struct CellTag, std::int64_t>;

// How an attempt ended.
enum class Outcome {
  succeeded,         // the engine answered, and the answer was passed to the client
  engine_error,      // the engine reported a failure; the attempt may have executed
  engine_full,       // the engine rejected the attempt before executing it
  timed_out,         // no answer in time; the attempt may have executed or still be executing
  unreachable,       // the engine could not be connected to
  connection_reset,  // the connection broke; the attempt may have executed
  cancelled,         // this manager cancelled the attempt; it may have executed
  not_sent,          // the attempt never left this manager
  count
};
// The keys of outcomes in counters, in the order of the enumerators. They are part of the counter format.
inline constexpr std::array<std::string_view, static_cast<std::size_t>(Outcome::count)> outcome_keys = {
    "done", "error", "full", "timed_out", "unreachable", "reset", "stopped", "never_sent"};

// Whether the outcome proves that the engine never executed the attempt.
constexpr bool proves_not_executed(Outcome outcome) {
  return outcome == Outcome::engine_full || outcome == Outcome::unreachable || outcome == Outcome::not_sent;
}

// Whether the outcome proves that the attempt is not executing and never will execute from now on.
constexpr bool proves_ended(Outcome outcome) {
  return proves_not_executed(outcome) || outcome == Outcome::succeeded || outcome == Outcome::engine_error;
}

// Why a request receives a final answer without a result.
enum class RejectionReason {
  overload,              // load shedding: its priority weight is too low for the engine time it needs
  deadline_unreachable,  // on arrival, it cannot meet its latency objective
  queue_full,            // the queue has reached its maximum length
  deadline_exceeded,     // its request timeout has passed or is about to pass
  queued_too_long,       // while queued, it became unable to meet its latency objective
  attempts_exhausted,    // no attempts are left, or a further one might execute the request twice
  attempt_not_sent,      // its attempt could not leave this manager
  client_disconnected,
  table_full,             // evicted because the number of open requests is near its limit
  shutting_down,          // the manager is shutting down
  arrival_order_unknown,  // the arrival order among the requests of its key is unknown
  count
};
// The keys of rejection reasons in counters, in the order of the enumerators. They are part of the counter
// format.
inline constexpr std::array<std::string_view, static_cast<std::size_t>(RejectionReason::count)>
    rejection_reason_keys = {"costly",    "hopeless",    "queue_full", "time_is_up", "too_late",     "spent",
                             "not_taken", "client_gone", "crammed",    "ending",     "order_unknown"};

// The names of rejection reasons in log lines, in the order of the enumerators.
inline constexpr std::array<std::string_view, static_cast<std::size_t>(RejectionReason::count)>
    rejection_reason_names = {"overload",          "deadline_unreachable", "queue_full",
                              "deadline_exceeded", "queued_too_long",      "attempts_exhausted",
                              "attempt_not_sent",  "client_disconnected",  "table_full",
                              "shutting_down",     "arrival_order_unknown"};

// Whether a request may execute more than once.
enum class Idempotency {
  idempotent,         // may execute any number of times
  idempotent_by_key,  // engines in its deduplication scope drop repeats within its deduplication window
  non_idempotent      // must execute at most once
};

// Which engines recognize and drop a repeat of a request that is idempotent by key.
enum class DeduplicationScope { fleet, zone, cell };

// The state of an engine according to the endpoint list.
enum class EngineState { up, draining, removed };

// What an update of the endpoint list contains.
enum class EndpointUpdate {
  delta,     // only the endpoints that changed
  snapshot,  // all endpoints; those that it does not contain are removed
  cached     // a snapshot that was stored before this manager's start
};

// What an attempt waits for at its engine.
enum class WaitCause { memory, data_load };

// What an engine does when its memory is exhausted.
enum class MemoryExhaustionPolicy { queue, abort, overcommit };

// A class of requests, as the settings define it.
struct RequestType {
  Idempotency idempotency = Idempotency::idempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::fleet;
  Duration deduplication_window{};  // repeats by key are dropped for this long
  Duration latency_objective{};     // an answer within this time earns the full priority weight
  // The latency objective grows by this multiple of the request's work divided by its threads.
  double latency_objective_per_work = 0;
  Duration request_timeout{};  // its client stops waiting after this time
  double priority_weight = 1;
  double late_value_share = 0;  // share of the weight that an answer after the objective earns, 0 .. 1
  int threads = 1;
  bool ordered_by_key = false;       // requests of one key execute one at a time, in order of arrival
  bool loads_data_set = false;       // loads its data set and locks it meanwhile
  bool waits_for_data_load = false;  // waits at an engine that is loading its data set
  std::optional<std::vector<ZoneId>> zones = std::nullopt;  // where it may execute; none: anywhere
  std::optional<std::vector<MachineKindId>> kinds = std::nullopt;
};

// A customer, whose requests share a quota.
struct Tenant {
  double quota_per_second = 0;  // over all managers
};

// The resources of one kind of machine.
struct MachineKind {
  int cores = 1;
  double memory_mb = 0;
};

// The service as the settings define it. A duration or count of 0 means "not set" only where a field says so.
struct ServiceDefinition {
  std::vector<RequestType> types;
  std::vector<Tenant> tenants;
  std::vector<MachineKind> kinds;
  ZoneId zone{-1};         // this manager's own
  int instance_index = 0;  // of this manager, from 0
  int managers = 1;        // in the fleet

  // Endpoint discovery
  bool requires_subscription = false;  // the list is sent only after a subscription
  Duration max_poll_interval{};        // maximum time between two requests for the list
  Duration event_interval{};           // minimum time between two deliveries of events
  Duration drain_grace{};              // for this long a draining engine may still be sent attempts

  // Slow start of engines
  Duration slow_start_duration{};
  double slow_start_initial_capacity = 1;  // share of the full capacity at the engine's start, 0 .. 1
  // Work that may be sent in a window, as a multiple of the initial capacity in it; 0: no limit.
  double slow_start_limit_multiple = 0;
  Duration slow_start_window{};

  // Order by key
  Duration key_quiet_period{};  // after an attempt with an uncertain outcome

  // Retries
  std::optional<Duration> retry_budget_window;  // none: no retry budget applies
  double retry_budget_minimum = 0;              // retries that are always allowed in a window
  double retry_budget_ratio = 0;                // additional retries per request in a window
  // Requests beyond this number earn no further retries within a window, so that a flood of them doesn't fill
  // the memory.
  static constexpr std::size_t max_counted_requests = 65536;
  int max_attempts = 1;
  bool allows_hedging = false;

  std::int64_t max_open_requests = 0;  // 0: not limited
  bool allows_cancel = false;          // engines accept cancellations of attempts
  bool allows_probes = false;
  bool load_reports_in_probes = false;
  bool engines_take_grants = false;
  bool engines_take_priority = false;
  bool sends_retry_after = false;
  Duration max_retry_after{};
  double max_grant_share = 1;  // share of an engine's memory that one request may be granted, 0 .. 1
  MemoryExhaustionPolicy memory_exhaustion_policy = MemoryExhaustionPolicy::queue;
  Duration progress_interval{};  // between two progress reports of an attempt; 0: no reports

  // Costs are relative to the value of a mean request.
  double over_quota_weight = 1;  // share of the weight that requests beyond a tenant's quota keep, 0 .. 1
  double cross_zone_cost = 0;
  double probe_cost = 0;
};

// An engine as the endpoint list describes it.
struct EngineEndpoint {
  EngineId id;
  EngineState state = EngineState::up;
  ZoneId zone{-1};
  MachineKindId kind{-1};
  CellId cell{};
  std::optional<TimePoint> started_at;  // negative if before this manager's start; none: unknown
};

// A request as the front passes it to the decisions.
struct Request {
  RequestId id;
  RequestTypeId type;
  TenantId tenant{-1};
  std::optional<OrderKey> key;
  bool arrival_order_known = true;  // relative to the other requests of its key
  Duration time_left{};             // until its client's timeout
  std::optional<double> work_ms;    // estimated work, in ms on one thread
  std::optional<double> memory_mb;  // estimated memory
  DataSetId data_set;
};

// The load that an engine reports; each field is absent if the engine does not report it.
struct LoadReport {
  std::optional<double> outstanding;   // requests at the engine, executing or waiting
  std::optional<double> backlog;       // requests that wait at the engine
  std::optional<double> memory_share;  // granted share of its memory, 0 .. 1
  std::optional<double> disk_share;
};

}  // namespace pearchute

template <class Tag, class Number>
struct std::hash<pearchute::Id<Tag, Number>> {
  std::size_t operator()(const pearchute::Id<Tag, Number>& id) const { return std::hash<Number>{}(id.value); }
};
