// Handles events of clients, endpoint discovery and wake-ups, and implements admission and final answers.
#include "core/workload_manager.h"

#include <algorithm>
#include <set>

#include "core/tick_interval.h"
#include "core/units.h"

namespace pearchute {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds subscription_backoff_base(500);
constexpr seconds min_backoff_limit(1);
constexpr int subscription_attempts_within_poll = 4;
constexpr double min_jitter_factor = 0.75;
constexpr double jitter_factor_range = 0.5;
constexpr std::size_t random_bits = 32;
constexpr int seed_upper_half_shift = 32;
// Bounds the cost of a queue scan, which runs whenever an attempt ends and at each tick.
constexpr std::size_t max_queue_length = 600;
// Above nine tenths of max_open_requests, requests are evicted to keep room for new ones.
constexpr double table_tenths = 10;
constexpr double table_tenths_in_use = 9;
constexpr seconds max_counted_timeout(60);

ServiceDefinition normalized(ServiceDefinition service) {
  service.managers = std::max(1, service.managers);
  if (!service.sends_retry_after) service.max_retry_after = Duration(0);
  return service;
}

Duration shortest_timeout(const std::vector<RequestType>& types) {
  Duration shortest = max_counted_timeout;
  for (const RequestType& type : types) shortest = std::min(shortest, type.request_timeout);
  return shortest;
}

}  // namespace

WorkloadManager::WorkloadManager(const ServiceDefinition& service, std::uint64_t seed, DecisionSink& sink)
    : sink_(sink),
      random_(static_cast<std::knuth_b::result_type>(seed ^ (seed >> seed_upper_half_shift))),
      service_(normalized(service)),
      work_(service_.types),
      latency_(work_, service_.zone, shortest_timeout(service_.types)),
      slow_start_(service_),
      grants_(service_, work_, latency_, slow_start_),
      affinity_(service_.zone),
      placement_({service_, work_, latency_, slow_start_, grants_, affinity_, random_}),
      retries_(service_),
      key_queues_(service_.key_quiet_period),
      shedder_(service_, work_),
      deadlines_(service_, work_, latency_),
      probes_(service_),
      queue_(requests_, work_, engines_, *this),
      kinds_(service_.kinds),
      subscription_backoff_(subscription_backoff_base) {
  // Only the constructors above read these lists; the decisions keep references to the other settings.
  service_.types.clear();
  service_.tenants.clear();
  service_.kinds.clear();
  if (service_.requires_subscription) sink_.subscribe_endpoints();
  sink_.schedule_wakeup(tick_interval, tick_token);
}

// ---- Endpoint discovery

void WorkloadManager::on_endpoint_update(TimePoint now, EndpointUpdate kind,
                                         const std::vector<EngineEndpoint>& endpoints) {
  if (kind != EndpointUpdate::cached) subscription_backoff_ = subscription_backoff_base;
  for (const EngineEndpoint& endpoint : endpoints) update_endpoint(now, endpoint);
  if (kind == EndpointUpdate::cached) {
    const auto uncertain_until = slow_start_.uncertain_starts(now, endpoints);
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
      if (!uncertain_until[i]) continue;
      engines_.at(endpoints[i].id).slow_start.start_uncertain_until = *uncertain_until[i];
    }
  }
  if (kind != EndpointUpdate::delta) remove_unnamed(endpoints);
  queue_.release(now);
}

void WorkloadManager::update_endpoint(TimePoint now, const EngineEndpoint& endpoint) {
  const bool is_first = !engines_.contains(endpoint.id);
  Engine& engine = engines_[endpoint.id];
  const bool was_up = engine.is_up;
  const bool has_restarted = endpoint.started_at && endpoint.started_at != engine.endpoint.started_at;
  engine.endpoint = endpoint;
  engine.is_up = endpoint.state == EngineState::up;
  const int kind = endpoint.kind.value;
  engine.machine = kind >= 0 ? kinds_[static_cast<std::size_t>(kind)] : MachineKind{};
  if (is_first) engine.ledger.set_fair_share_slots(grants_.initial_slots(engine.machine));
  const bool is_up_again = engine.is_up && !was_up;
  if (!is_first && !has_restarted && !is_up_again) return;
  engine.slow_start.listed_at = now;
  outliers_.reset(now, engine.health);
  latency_.reset(engine.latency, is_first);
  engine.ledger.forget_reserved_by_others();
  engine.ledger.release_all_abandoned();
}

void WorkloadManager::remove_unnamed(const std::vector<EngineEndpoint>& endpoints) {
  std::set<EngineId> listed_ids;
  for (const EngineEndpoint& endpoint : endpoints) listed_ids.insert(endpoint.id);
  for (auto& [id, engine] : engines_) {
    if (listed_ids.contains(id)) continue;
    engine.is_up = false;
    engine.endpoint.state = EngineState::removed;
  }
}

// Retries the subscription with exponential backoff and jitter, since endpoint discovery is overloaded.
void WorkloadManager::on_endpoints_refused(TimePoint) {
  if (!service_.requires_subscription) return;
  const double jitter =
      min_jitter_factor + jitter_factor_range * std::generate_canonical<double, random_bits>(random_);
  sink_.schedule_wakeup(from_ms(to_ms(subscription_backoff_) * jitter), subscribe_token);
  const Duration max_backoff =
      std::max<Duration>(min_backoff_limit, service_.max_poll_interval / subscription_attempts_within_poll);
  subscription_backoff_ = std::min(2 * subscription_backoff_, max_backoff);
}

// ---- Clients

void WorkloadManager::on_request(TimePoint now, const Request& request) {
  RequestState& state = requests_.add(request);
  state.work_ms = work_.on_request(request);
  state.arrived_at = now;
  deadlines_.on_request(now, state);
  retries_.on_request(now);
  if (request.key && work_.type(state).ordered_by_key) key_queues_.add(*request.key, request.id);
  sink_.schedule_wakeup(state.deadline - now, state.arrival_sequence);
  affinity_.on_request(request.data_set);
  const double cost = shedder_.on_request(state);
  if (const auto reason = admission_rejection(now, state, cost)) return reject(now, state, *reason);
  queue_.push(state);
  queue_.release_newcomer(now, state);
}

// Returns why the newly arrived request is not admitted, or none if it is admitted.
std::optional<RejectionReason> WorkloadManager::admission_rejection(TimePoint now, const RequestState& state,
                                                                    double cost) const {
  if (state.deadline <= now) return RejectionReason::deadline_exceeded;
  // Rejecting this request leaves the order of the other requests of its key well defined.
  if (!state.request.arrival_order_known && work_.type(state).ordered_by_key) {
    return RejectionReason::arrival_order_unknown;
  }
  if (shedder_.sheds(cost, work_.is_small_for_type(state))) return RejectionReason::overload;
  if (deadlines_.is_unreachable(now, state)) return RejectionReason::deadline_unreachable;
  if (queue_.size() >= max_queue_length) return RejectionReason::queue_full;
  return std::nullopt;
}

void WorkloadManager::on_request_cancelled(TimePoint now, RequestId id) {
  RequestState* state = requests_.find(id);
  if (!state) return;
  finish(*state);
  erase_if_done(id);
  queue_.release(now);
}

// No attempt is started while the client is disconnected. Outstanding attempts continue, since a client whose
// connection broke may reconnect.
void WorkloadManager::on_client_disconnected(TimePoint now, RequestId id) {
  RequestState* state = requests_.find(id);
  if (state && !state->client_disconnected_at) state->client_disconnected_at = now;
}

void WorkloadManager::on_client_reconnected(TimePoint now, RequestId id) {
  RequestState* state = requests_.find(id);
  if (!state || !state->client_disconnected_at) return;
  state->client_disconnected_at.reset();
  queue_.release(now);
}

// ---- Wake-ups

void WorkloadManager::on_wakeup(TimePoint now, std::uint64_t token) {
  if (token == tick_token) on_tick(now);
  if (token == subscribe_token) sink_.subscribe_endpoints();
  if (RequestState* state = requests_.find_by_sequence(token)) {
    if (!state->is_finished && !state->is_streaming && now >= state->deadline) {
      reject(now, *state, RejectionReason::deadline_exceeded);
    }
  } else if (token >= RequestTable::first_sequence) {
    return;  // the request is no longer open; no capacity has become free
  }
  queue_.release(now);
}

void WorkloadManager::on_shutdown(TimePoint now) {
  requests_.visit_by_arrival([&](RequestState& state) {
    reject(now, state, RejectionReason::shutting_down);
    return true;
  });
}

// ---- Sending

bool WorkloadManager::may_start(TimePoint now, const RequestState& state) {
  const RequestType& type = work_.type(state);
  if (state.is_finished || state.is_streaming || deadlines_.is_too_close(now, state)) return false;
  if (retries_.attempts_exhausted(now, type, state) || !retries_.may_have_attempt(state)) return false;
  if (state.outstanding > 0 && !retries_.may_hedge(type)) return false;
  if (state.request.key && type.ordered_by_key) {
    if (!key_queues_.is_first(*state.request.key, state.request.id)) return false;
    if (state.attempts.empty() && key_queues_.is_quiet(now, *state.request.key)) return false;
  }
  return state.attempts.empty() || retries_.within_budget(now);
}

bool WorkloadManager::is_eligible(TimePoint now, const RequestState& state, const Engine& engine) const {
  return placement_.is_eligible(now, state, engine);
}

bool WorkloadManager::place(TimePoint now, RequestState& state) {
  const std::optional<Placement> placement = placement_.choose(now, state, engines_);
  if (placement) send(now, state, *placement);
  return placement.has_value();
}

void WorkloadManager::send(TimePoint now, RequestState& state, const Placement& placement) {
  const RequestType& type = work_.type(state);
  const RequestId id = state.request.id;
  Engine& engine = *placement.engine;
  queue_.remove(state);
  if (engine.ledger.is_reserved_for(id)) engine.ledger.cancel_starvation_reservation();
  if (!state.attempts.empty()) retries_.on_retry(now);
  const int attempt_index = static_cast<int>(state.attempts.size());
  AttemptRecord& attempt = state.attempts.emplace_back();
  attempt.engine = engine.id();
  attempt.sent_at = now;
  attempt.last_report_at = now;
  attempt.grant_mb = placement.grant_mb;
  attempt.threads = type.threads;
  attempt.at_preferred_engine = placement.at_preferred_engine;
  attempt.is_trial = engine.health.on_probation;
  if (attempt.is_trial) outliers_.begin_trial(engine.health);
  engine.ledger.reserve(attempt.grant_mb, attempt.threads);
  engine.outstanding.insert({now, {id, attempt_index}});
  if (type.loads_data_set) engine.ledger.begin_data_load(state.request.data_set);
  const SlowStart::Work work{work_.typical_work_ms(state), work_.warm_up_work_ms(state)};
  slow_start_.on_sent(now, engine, work, work_.largest_typical_work_ms());
  state.outstanding += 1;
  if (service_.engines_take_grants || service_.engines_take_priority) {
    const double grant_mb = service_.engines_take_grants ? attempt.grant_mb : 0;
    sink_.set_execution_terms(id, grant_mb, work_.priority(state));
  }
  // A retry that waits for a connection must not be sent after the deduplication window, when engines would
  // no longer recognize it as a repeat.
  if (const auto latest = retries_.latest_repeat(type, state)) {
    sink_.limit_send_delay(id, std::max(*latest - now, Duration(1)));
  }
  sink_.send_attempt(id, engine.id(), Duration(0));
}

// ---- Final answers

// Whether over nine tenths of max_open_requests are open; evict_late_requests and on_engine_wait then evict.
bool WorkloadManager::is_table_nearly_full() const {
  return service_.max_open_requests > 0 &&
         table_tenths * static_cast<double>(requests_.size()) >
             table_tenths_in_use * static_cast<double>(service_.max_open_requests);
}

void WorkloadManager::finish(RequestState& state) {
  state.is_finished = true;
  queue_.remove(state);
  for (auto& [id, engine] : engines_) {
    if (engine.ledger.is_reserved_for(state.request.id)) engine.ledger.cancel_starvation_reservation();
  }
  if (!service_.allows_cancel) return;
  for (std::size_t i = 0; i < state.attempts.size(); ++i) {
    AttemptRecord& attempt = state.attempts[i];
    if (!attempt.is_outstanding || attempt.is_cancelling) continue;
    cancel_attempt(state.request.id, attempt, static_cast<int>(i));
  }
}

void WorkloadManager::erase_if_done(RequestId id) {
  const RequestState* state = requests_.find(id);
  if (!state || !state->is_finished || state->outstanding > 0) return;
  if (state->request.key && work_.type(*state).ordered_by_key) key_queues_.remove(*state->request.key, id);
  sink_.cancel_wakeup(state->arrival_sequence);
  requests_.erase(id);
}

void WorkloadManager::reject(TimePoint now, RequestState& state, RejectionReason reason) {
  if (state.is_finished) return;
  const RequestId id = state.request.id;
  sink_.on_rejection(id, reason);
  const bool is_safe_to_resend = retries_.is_safe_to_resend(now, work_.type(state), state);
  finish(state);
  if (is_safe_to_resend) sink_.throttle(id, deadlines_.retry_after(now, state));
  else sink_.fail(id);
  erase_if_done(id);
}

// ---- For operators

WorkloadManager::QueuedFor WorkloadManager::queued_for(TimePoint now, RequestId id) {
  const RequestState* state = requests_.find(id);
  if (!state || !state->is_queued) return QueuedFor::not_queued;
  if (state->request.key && work_.type(*state).ordered_by_key) {
    if (!key_queues_.is_first(*state->request.key, id)) return QueuedFor::key_order;
    if (state->attempts.empty() && key_queues_.is_quiet(now, *state->request.key)) {
      return QueuedFor::key_quiet_period;
    }
  }
  return state->attempts.empty() || retries_.within_budget(now) ? QueuedFor::capacity
                                                                : QueuedFor::retry_budget;
}

}  // namespace pearchute
