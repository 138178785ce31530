// The periodic work: it decays smoothed values, replaces overdue attempts, adjusts load shedding to the queue
// delay, and rejects requests that can no longer be served in time.
#include <algorithm>

#include "core/tick_interval.h"
#include "core/workload_manager.h"

namespace pearchute {

namespace {

// A tick counts as late only beyond this delay, even where the event interval is shorter.
constexpr Duration min_lateness_bound = std::chrono::milliseconds(20);

}  // namespace

void WorkloadManager::on_tick(TimePoint now) {
  sink_.schedule_wakeup(tick_interval, tick_token);
  shedder_.on_tick(now, std::max<Duration>(service_.event_interval, min_lateness_bound));
  shedder_.decay();
  affinity_.decay();
  key_queues_.forget_idle(now);
  std::erase_if(engines_, [](const auto& one) { return one.second.can_be_forgotten(); });
  latency_.begin_tick();
  for (auto& [id, engine] : engines_) tick_engine(now, engine);
  latency_.end_tick();
  for (const EngineId id : probes_.due(engines_, shedder_.requests_per_second())) sink_.probe(id);
  shedder_.adjust_threshold(is_queue_delayed(now));
  reject_unservable(now);
  evict_late_requests(now);
}

void WorkloadManager::tick_engine(TimePoint now, Engine& engine) {
  replace_overdue_attempts(now, engine);
  const EngineHealth& health = engine.health;
  // An ejected engine may hang, so what it executes may take longer than estimated.
  if (!health.is_ejected(now) && !health.on_probation) engine.ledger.release_abandoned(now);
  for (const auto& [sent_at, attempt] : engine.outstanding) {
    const RequestState& state = requests_.at(attempt.first);
    const AttemptRecord& record = state.attempts[static_cast<std::size_t>(attempt.second)];
    latency_.on_outstanding(now, engine, state, record, health.is_ejected(now));
  }
  latency_.tick(engine, engine.is_up && !health.on_probation);
}

// Replaces the attempts that are overdue, or all attempts at the engine if it is ejected.
void WorkloadManager::replace_overdue_attempts(TimePoint now, Engine& engine) {
  int silence_score = 0;
  std::vector<std::pair<RequestId, int>> overdue;
  for (const auto& [sent_at, attempt] : engine.outstanding) {
    const RequestState& state = requests_.at(attempt.first);
    const AttemptRecord& record = state.attempts[static_cast<std::size_t>(attempt.second)];
    const OutlierDetector::Expectation expected{
        deadlines_.overdue_after(state, OutlierDetector::min_overdue_age), service_.progress_interval};
    if (!outliers_.is_overdue(now, record, expected)) continue;
    overdue.push_back(attempt);
    silence_score += outliers_.silence_weight(now, engine.health, record, expected);
  }
  if (silence_score > OutlierDetector::silence_threshold) record_failure(now, engine, EjectionReason::silent);
  if (engine.health.is_ejected(now)) {
    overdue.clear();
    for (const auto& [sent_at, attempt] : engine.outstanding) overdue.push_back(attempt);
  }
  for (const auto& [id, attempt_index] : overdue) replace_overdue_attempt(now, engine, id, attempt_index);
}

// Allows a hedged request beside the overdue attempt if possible, else cancels the attempt, so that the
// request can be sent to another engine. At an engine that is not ejected, this takes a replacement token.
void WorkloadManager::replace_overdue_attempt(TimePoint now, const Engine& engine, RequestId id,
                                              int attempt_index) {
  RequestState& state = requests_.at(id);
  AttemptRecord& attempt = state.attempts[static_cast<std::size_t>(attempt_index)];
  const RequestType& type = work_.type(state);
  if (state.is_finished || state.is_queued || state.is_streaming) return;
  if (attempt.is_cancelling || attempt.is_overdue) return;
  if (type.idempotency == Idempotency::non_idempotent || !retries_.may_have_attempt(state)) return;
  const bool needs_token = !engine.health.is_ejected(now);
  if (needs_token && !retries_.has_replacement_token()) return;
  if (retries_.may_hedge(type)) {
    attempt.is_overdue = true;
    queue_.push(state);
  } else if (service_.allows_cancel) {
    cancel_attempt(id, attempt, attempt_index);
  } else {
    return;
  }
  if (needs_token) retries_.take_replacement_token();
}

// Whether a queued request that may start has waited for longer than the queue delay bound.
bool WorkloadManager::is_queue_delayed(TimePoint now) {
  bool is_queue_delayed = false;
  queue_.visit([&](const RequestState& state) {
    if (state.outstanding > 0 || !may_start(now, state)) return;
    is_queue_delayed |= now > state.arrived_at + LoadShedder::queue_delay_bound;
  });
  return is_queue_delayed;
}

// Rejects queued requests that cannot be served any more, early enough for their clients to retry in time.
void WorkloadManager::reject_unservable(TimePoint now) {
  queue_.visit([&](RequestState& state) {
    if (state.outstanding > 0) return;
    if (deadlines_.has_client_abandoned(now, state)) {
      reject(now, state, RejectionReason::client_disconnected);
    } else if (deadlines_.is_missed(now, state)) {
      reject(now, state, RejectionReason::queued_too_long);
    } else if (retries_.attempts_exhausted(now, work_.type(state), state)) {
      reject(now, state, RejectionReason::attempts_exhausted);
    }
  });
}

// While the table is nearly full, rejects idempotent requests past their latency objective, oldest first.
void WorkloadManager::evict_late_requests(TimePoint now) {
  requests_.visit_by_arrival([&](RequestState& state) {
    if (!is_table_nearly_full()) return false;
    const bool is_idempotent = work_.type(state).idempotency == Idempotency::idempotent;
    if (now >= state.objective_at && is_idempotent && !state.is_streaming) {
      reject(now, state, RejectionReason::table_full);
    }
    return true;
  });
}

}  // namespace pearchute
