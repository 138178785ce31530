// Whether a job may go: the rules of the service on repeats, order, placement and the ration.
#include <algorithm>

#include "core/control.h"
#include "core/control_math.h"

namespace pearchute {

bool WorkloadManager::may_throttle(TimePoint now, const QueuedRequest& held) const {
  const RequestType& type = type_of(held);
  if (type.idempotency == Idempotency::idempotent) return true;
  if (held.out == 0 && !held.first_uncertain_attempt_at) return true;
  if (type.idempotency == Idempotency::non_idempotent ||
      type.deduplication_scope != DeduplicationScope::fleet)
    return false;
  const TimePoint first =
      held.first_uncertain_attempt_at ? *held.first_uncertain_attempt_at : held.dispatches.front().sent;
  return now < first + type.deduplication_window;
}

// Nothing may follow the dispatches that it had, whatever comes.
bool WorkloadManager::spent(TimePoint now, const QueuedRequest& held) const {
  const RequestType& type = type_of(held);
  if (static_cast<int>(held.dispatches.size()) >= rules_.max_attempts) return true;
  if (!held.first_uncertain_attempt_at || type.idempotency == Idempotency::idempotent) return false;
  // Two rounds short of the window: clocks are read a round apart.
  return type.idempotency == Idempotency::non_idempotent ||
         now + 2 * rules_.event_interval >= *held.first_uncertain_attempt_at + type.deduplication_window;
}

// Dispatches past the first: two at once only for a restartable job, and within the ration.
bool WorkloadManager::may_go(TimePoint now, const QueuedRequest& held) {
  const RequestType& type = type_of(held);
  // Not within a round of its end: what is on its way then could come to its engine after the final answer.
  if (held.over || held.streaming || now + rules_.event_interval >= held.end || spent(now, held))
    return false;
  if (!may_begin(held)) return false;
  if (held.out > 0 && (!rules_.allows_hedging || type.idempotency != Idempotency::idempotent)) return false;
  if (held.job.key && type.ordered_by_key) {
    const OrderLine& line = lines_.at(*held.job.key);
    if (line.jobs.front() != held.job.id) return false;
    if (held.dispatches.empty() && now < line.rests_until) return false;
  }
  return held.dispatches.empty() || within_ration(now);
}

bool WorkloadManager::within_ration(TimePoint now) {
  if (!rules_.retry_budget_window) return true;
  // A job taken just at the window's edge is not counted, a dispatch there is.
  const TimePoint from = now - *rules_.retry_budget_window;
  while (!taken_.empty() && taken_.front() <= from + rules_.event_interval) taken_.pop_front();
  while (!resent_.empty() && resent_.front() < from - rules_.event_interval) resent_.pop_front();
  const double earned =
      rules_.retry_budget_minimum + rules_.retry_budget_ratio * static_cast<double>(taken_.size());
  return static_cast<double>(resent_.size()) + 1 <= earned;
}

bool WorkloadManager::may_go_to(TimePoint now, const QueuedRequest& held, const Engine& engine) const {
  const RequestType& type = type_of(held);
  if (!engine.known_up) return false;
  const auto named = [](const auto& allowed, auto id) {
    return !allowed || std::ranges::count(*allowed, id);
  };
  if (!named(type.zones, engine.listed.zone) || !named(type.kinds, engine.listed.kind)) return false;
  if (held.first_uncertain_attempt_at && type.idempotency == Idempotency::idempotent_by_key) {
    if (type.deduplication_scope == DeduplicationScope::zone && engine.listed.zone != held.uncertain_zone)
      return false;
    if (type.deduplication_scope == DeduplicationScope::cell && engine.listed.cell != held.uncertain_cell)
      return false;
  }
  // A trial is one short job: a long one would keep the engine waiting for its verdict.
  if (now < engine.closed_until) return false;
  if (engine.on_trial && (engine.trying || priority(held) < 2)) return false;
  const EngineId id = engine.listed.id;  // no copy to where the job is still out
  return std::ranges::none_of(held.dispatches, [&](auto& d) { return d.out && d.engine == id; });
}

}  // namespace pearchute
