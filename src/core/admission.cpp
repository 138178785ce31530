// Whether a job may go: the rules of the service on repeats, order, placement and the ration.
#include <algorithm>

#include "core/control.h"
#include "core/control_math.h"

namespace pearchute {

bool WorkloadManager::may_throttle(Span now, const HeldJob& held) const {
  const ReservationType& type = type_of(held);
  if (type.effect == Effect::restartable) return true;
  if (held.out == 0 && !held.first_doubt) return true;
  if (type.effect == Effect::run_once || type.reach != Reach::all) return false;
  const Span first = held.first_doubt ? *held.first_doubt : held.dispatches.front().sent;
  return now < first + type.repeat_window;
}

// Nothing may follow the dispatches that it had, whatever comes.
bool WorkloadManager::spent(Span now, const HeldJob& held) const {
  const ReservationType& type = type_of(held);
  if (static_cast<int>(held.dispatches.size()) >= rules_.most_dispatches) return true;
  if (!held.first_doubt || type.effect == Effect::restartable) return false;
  // Two rounds short of the window: clocks are read a round apart.
  return type.effect == Effect::run_once || now + 2 * rules_.round >= *held.first_doubt + type.repeat_window;
}

// Dispatches past the first: two at once only for a restartable job, and within the ration.
bool WorkloadManager::may_go(Span now, const HeldJob& held) {
  const ReservationType& type = type_of(held);
  // Not within a round of its end: what is on its way then could come to its engine after the final answer.
  if (held.over || held.streaming || now + rules_.round >= held.end || spent(now, held)) return false;
  if (!may_begin(held)) return false;
  if (held.out > 0 && (!rules_.second_copies || type.effect != Effect::restartable)) return false;
  if (held.job.key && type.in_order) {
    const OrderLine& line = lines_.at(*held.job.key);
    if (line.jobs.front() != held.job.id) return false;
    if (held.dispatches.empty() && now < line.rests_until) return false;
  }
  return held.dispatches.empty() || within_ration(now);
}

bool WorkloadManager::within_ration(Span now) {
  if (!rules_.ration_window) return true;
  // A job taken just at the window's edge is not counted, a dispatch there is.
  const Span from = now - *rules_.ration_window;
  while (!taken_.empty() && taken_.front() <= from + rules_.round) taken_.pop_front();
  while (!resent_.empty() && resent_.front() < from - rules_.round) resent_.pop_front();
  const double earned = rules_.ration_few + rules_.ration_share * static_cast<double>(taken_.size());
  return static_cast<double>(resent_.size()) + 1 <= earned;
}

bool WorkloadManager::may_go_to(Span now, const HeldJob& held, const Engine& engine) const {
  const ReservationType& type = type_of(held);
  if (!engine.known_up) return false;
  const auto named = [](const auto& allowed, auto id) {
    return !allowed || std::ranges::count(*allowed, id);
  };
  if (!named(type.zones, engine.listed.zone) || !named(type.kinds, engine.listed.kind)) return false;
  if (held.first_doubt && type.effect == Effect::keyed) {
    if (type.reach == Reach::zone && engine.listed.zone != held.doubt_zone) return false;
    if (type.reach == Reach::cell && engine.listed.cell != held.doubt_cell) return false;
  }
  // A trial is one short job: a long one would keep the engine waiting for its verdict.
  if (now < engine.closed_until) return false;
  if (engine.on_trial && (engine.trying || priority(held) < 2)) return false;
  const EngineId id = engine.listed.id;  // no copy to where the job is still out
  return std::ranges::none_of(held.dispatches, [&](auto& d) { return d.out && d.engine == id; });
}

}  // namespace pearchute
