// Handles the events of attempts: reports of engines about outstanding attempts, and the ends of attempts.
#include <algorithm>

#include "core/units.h"
#include "core/workload_manager.h"

namespace pearchute {

namespace {

// An attempt of an idempotent request is cancelled and retried when its projected total time exceeds
// restart_ratio times the typical time and its projected remaining time exceeds restart_gain_ratio times the
// typical time. Errors of the estimates alone do not reach these ratios.
constexpr double restart_ratio = 6;
constexpr double restart_gain_ratio = 2;
constexpr double min_share_done = 0.002;

}  // namespace

// Records that the engine has reported something about the attempt. Returns null if the attempt is not
// outstanding.
AttemptRecord* WorkloadManager::record_report(TimePoint now, RequestId id, int attempt_index) {
  AttemptRecord* attempt = requests_.find_outstanding(id, attempt_index);
  if (!attempt) return nullptr;
  outliers_.on_response(now, engines_.at(attempt->engine).health);
  attempt->last_report_at = now;
  return attempt;
}

void WorkloadManager::cancel_attempt(RequestId id, AttemptRecord& attempt, int attempt_index) {
  attempt.is_cancelling = true;
  sink_.cancel_attempt(id, attempt_index);
}

void WorkloadManager::on_stream_started(TimePoint now, RequestId id, int attempt_index) {
  record_report(now, id, attempt_index);
  if (RequestState* state = requests_.find(id)) state->is_streaming = true;
}

void WorkloadManager::on_progress(TimePoint now, RequestId id, int attempt_index, double share_done) {
  AttemptRecord* attempt = record_report(now, id, attempt_index);
  if (!attempt || !service_.allows_cancel) return;
  const RequestState& state = requests_.at(id);
  const bool is_idempotent = work_.type(state).idempotency == Idempotency::idempotent;
  if (state.is_finished || attempt->is_cancelling || !is_idempotent) return;
  if (attempt->waits_for_data_load) {
    if (share_done <= 0) on_engine_wait(now, id, attempt_index, WaitCause::data_load);
    return;
  }
  const double elapsed_ms = to_ms(now - attempt->sent_at);
  const double total_ms = elapsed_ms / std::max(share_done, min_share_done);
  const double typical_ms =
      work_.ideal_ms(state) * latency_.p10_ratio(state.request.type) * std::max(1.0, latency_.fleet_ratio());
  const bool is_slow = total_ms > restart_ratio * typical_ms;
  const bool restart_gains = total_ms - elapsed_ms > restart_gain_ratio * typical_ms;
  if (is_slow && restart_gains && retries_.may_have_attempt(state)) {
    cancel_attempt(id, *attempt, attempt_index);
  }
}

void WorkloadManager::on_spill(TimePoint now, RequestId id, int attempt_index, double missing_mb) {
  const AttemptRecord* attempt = record_report(now, id, attempt_index);
  if (attempt) work_.on_spill(requests_.at(id).request, attempt->grant_mb, missing_mb);
}

// This report is the only sign of data loads by other managers. For the typical duration of a load, the
// engine is ranked last for requests on that data set. The waiting attempt of an idempotent request is
// cancelled if another engine can take it; a request that cannot move is rejected if the request table is
// nearly full.
void WorkloadManager::on_engine_wait(TimePoint now, RequestId id, int attempt_index, WaitCause cause) {
  AttemptRecord* attempt = record_report(now, id, attempt_index);
  if (!attempt || cause != WaitCause::data_load) return;
  RequestState& state = requests_.at(id);
  attempt->waits_for_data_load = true;
  const DataSetId data_set = state.request.data_set;
  const double load_ms = work_.typical_data_load_ms() * std::max(1.0, latency_.fleet_ratio());
  engines_.at(attempt->engine).ledger.record_data_load_by_others(data_set, now + from_ms(load_ms));
  const bool may_move = service_.allows_cancel && !state.is_finished && !attempt->is_cancelling &&
                        retries_.may_have_attempt(state) &&
                        work_.type(state).idempotency == Idempotency::idempotent;
  const auto is_free = [&](const auto& one) {
    return !one.second.ledger.is_loading(now, data_set) && is_eligible(now, state, one.second);
  };
  if (may_move && std::ranges::any_of(engines_, is_free)) {
    cancel_attempt(id, *attempt, attempt_index);
  } else if (is_table_nearly_full()) {
    reject(now, state, RejectionReason::table_full);
  }
}

void WorkloadManager::on_probe_ended(TimePoint now, EngineId id, Outcome outcome, Duration,
                                     const LoadReport& load) {
  const auto at = engines_.find(id);
  if (at != engines_.end() && outcome == Outcome::succeeded) on_load_report(now, at->second, load);
  queue_.release(now);
}

void WorkloadManager::on_load_report(TimePoint now, Engine& engine, const LoadReport& load) {
  if (engine.endpoint.kind.value < 0) return;
  engine.ledger.on_load_report(now, load, engine.machine, grants_.fleet_share());
}

void WorkloadManager::on_attempt_ended(TimePoint now, RequestId id, int attempt_index, Outcome outcome,
                                       Duration elapsed, bool is_finished, std::optional<double> work_ms,
                                       std::optional<double> memory_mb, const LoadReport& load) {
  AttemptRecord* attempt = requests_.find_outstanding(id, attempt_index);
  if (!attempt) return;
  RequestState& state = requests_.at(id);
  attempt->is_outstanding = false;
  state.outstanding -= 1;
  Engine& engine = engines_.at(attempt->engine);
  engine.outstanding.erase({attempt->sent_at, {id, attempt_index}});
  release_reservation(now, engine, state, *attempt, outcome);
  on_load_report(now, engine, load);
  if (outcome == Outcome::succeeded) work_.on_success(state.request, elapsed, work_ms, memory_mb);
  learn_from_outcome(now, engine, state, *attempt, outcome, elapsed);
  record_uncertain_outcome(now, engine, state, *attempt, outcome);
  requeue_or_reject(now, state, outcome, is_finished);
  erase_if_done(id);
  queue_.release(now);
}

// Where attempts cannot be cancelled, an attempt that has timed out continues to execute. It keeps its
// reservation for its estimated remaining time at the engine's latency ratio; otherwise the engine would
// repeatedly be filled up with work that no client waits for.
void WorkloadManager::release_reservation(TimePoint now, Engine& engine, const RequestState& state,
                                          const AttemptRecord& attempt, Outcome outcome) {
  if (outcome == Outcome::timed_out && !service_.allows_cancel) {
    const TimePoint until = now + deadlines_.remaining_execution(state, engine.latency.ratio);
    engine.ledger.release_at(until, attempt.grant_mb, attempt.threads);
  } else {
    engine.ledger.release(attempt.grant_mb, attempt.threads);
  }
  engine.ledger.grow_starvation_reservation(attempt.grant_mb, grants_.floor_mb(now, engine));
  if (attempt.is_trial) outliers_.end_trial(engine.health);
  if (work_.type(state).loads_data_set) engine.ledger.end_data_load(state.request.data_set);
}

void WorkloadManager::learn_from_outcome(TimePoint now, Engine& engine, RequestState& state,
                                         AttemptRecord& attempt, Outcome outcome, Duration elapsed) {
  switch (outcome) {
    case Outcome::succeeded:
      outliers_.on_success(now, engine.health);
      if (work_.type(state).waits_for_data_load) {
        engine.ledger.forget_data_load_by_others(state.request.data_set);
      }
      latency_.on_success(engine, state, attempt, elapsed);
      break;
    case Outcome::engine_error:
    case Outcome::connection_reset:
      record_error(now, engine, state, attempt, outcome);
      break;
    case Outcome::engine_full:  // does not count as a response, since an engine that hangs is full, too
      outliers_.on_full(now, engine.health);
      latency_.on_engine_full(engine.latency);
      break;
    case Outcome::unreachable:  // the engine is taken as dead, together with all that it was executing
      engine.ledger.release_all_abandoned();
      record_failure(now, engine, EjectionReason::unreachable);
      break;
    case Outcome::timed_out:
      if (engine.health.last_response_at < attempt.sent_at) {
        record_failure(now, engine, EjectionReason::unanswered);
      }
      break;
    case Outcome::cancelled:
    case Outcome::not_sent:
    case Outcome::count:
      break;
  }
}

// If a request fails on a second engine, too, the request is at fault: the error counts against neither
// engine.
void WorkloadManager::record_error(TimePoint now, Engine& engine, RequestState& state, AttemptRecord& attempt,
                                   Outcome outcome) {
  if (outcome == Outcome::engine_error) outliers_.on_response(now, engine.health);
  attempt.error_share = outliers_.error_share(engine.health, outcome);
  for (AttemptRecord& earlier : state.attempts) {
    if (earlier.error_share == 0 || earlier.engine == attempt.engine) continue;
    const auto at = engines_.find(earlier.engine);
    if (at != engines_.end()) outliers_.remove_errors(at->second.health, earlier.error_share);
    earlier.error_share = -1;
    attempt.error_share = -1;
  }
  outliers_.add_errors(engine.health, std::max(attempt.error_share, 0.0));
  if (outliers_.exceeds_error_rate(engine.health, outcome)) {
    record_failure(now, engine, EjectionReason::errors);
  }
}

void WorkloadManager::record_failure(TimePoint now, Engine& engine, EjectionReason reason) {
  OutlierDetector::FleetHealth fleet;
  for (const auto& [id, other] : engines_) {
    if (!other.is_up) continue;
    fleet.up += 1;
    if (other.health.is_ejected(now) || other.health.on_probation) fleet.out_of_rotation += 1;
  }
  if (!outliers_.record_failure(now, engine.health, reason, fleet)) return;
  sink_.trace_event("engine " + std::to_string(engine.id().value) + " is left out");
}

// Records that the attempt may have executed, and where, and starts the quiet period of its ordered key. For
// the order by key a cancelled attempt has an uncertain outcome, even if its result arrives after the
// cancellation.
void WorkloadManager::record_uncertain_outcome(TimePoint now, const Engine& engine, RequestState& state,
                                               const AttemptRecord& attempt, Outcome outcome) {
  if (!proves_not_executed(outcome) && outcome != Outcome::succeeded && !state.first_uncertain_attempt_at) {
    state.first_uncertain_attempt_at = attempt.sent_at;
    state.uncertain_zone = engine.endpoint.zone;
    state.uncertain_cell = engine.endpoint.cell;
  }
  const bool result_crossed_cancellation =
      attempt.is_cancelling && (outcome == Outcome::succeeded || outcome == Outcome::engine_error);
  const bool is_ordered = state.request.key && work_.type(state).ordered_by_key;
  if (!is_ordered || (proves_ended(outcome) && !result_crossed_cancellation)) return;
  key_queues_.begin_quiet_period(now, *state.request.key);
  sink_.schedule_wakeup(service_.key_quiet_period + service_.event_interval, key_token);
}

// Queues an unfinished request again, or rejects it, once it has no outstanding attempt.
void WorkloadManager::requeue_or_reject(TimePoint now, RequestState& state, Outcome outcome,
                                        bool is_finished) {
  if (is_finished) return finish(state);
  if (state.is_finished || state.outstanding > 0) return;
  queue_.push(state);
  const bool was_retracted = outcome == Outcome::not_sent && state.client_disconnected_at;
  if (now >= state.deadline) {
    reject(now, state, RejectionReason::deadline_exceeded);
  } else if (outcome == Outcome::not_sent && !was_retracted) {
    reject(now, state, RejectionReason::attempt_not_sent);
  } else if (retries_.attempts_exhausted(now, work_.type(state), state)) {
    reject(now, state, RejectionReason::attempts_exhausted);
  }
}

}  // namespace pearchute
