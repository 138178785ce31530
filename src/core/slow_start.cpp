// Cold engines: what all managers together may send one while it warms up, and this manager's turns at it.
#include <algorithm>

#include "core/control.h"
#include "core/control_math.h"

namespace pearchute {

using std::chrono::seconds;

// Cold counts from the listed start, or from when the list told of it if that came late.
bool WorkloadManager::cold(TimePoint now, const Engine& engine) const {
  if (rules_.slow_start_limit_multiple <= 0 || rules_.slow_start_window <= Duration(0) ||
      !engine.listed.started_at)
    return false;
  if (now < engine.doubted_until) return true;
  const TimePoint start = *engine.listed.started_at;
  return now < std::max(start, std::min(engine.told, start + seconds(5))) + rules_.slow_start_duration;
}

// What all managers may send it in a window. Four fifths of the stated budget: speeds and learned means are
// uncertain, but not all managers send at once, and an engine soon does more than it starts with.
double WorkloadManager::cold_budget(const Engine& engine) const {
  return 0.8 * rules_.slow_start_limit_multiple * rules_.slow_start_initial_capacity * kind_of(engine).cores *
         in_ms(rules_.slow_start_window);
}

// Whether an engine is cold, and an even part of its budget less than a job of some type.
bool WorkloadManager::by_turns(TimePoint now, const Engine& engine) const {
  if (!cold(now, engine)) return false;
  const double part = cold_budget(engine) / rules_.managers;
  return std::ranges::any_of(types_, [&](const TypeFigures& one) { return usual_work(one) > part; });
}

// What counts against a turn at a cold engine: the estimate, or without one what its type usually needs.
double WorkloadManager::cold_work(const QueuedRequest& held) const {
  const double estimate = held.work_ms * std::max(1.0, types_[held.job.type.value].work_bias);
  return held.job.work_ms ? estimate : std::max(estimate, usual_work(held));
}

// The number of the own turn that lasts now, where all managers have theirs in the order of their numbers, so
// many new ones a window, from the engine's listed start, which all know.
std::optional<std::uint64_t> WorkloadManager::own_turn(TimePoint now, const Engine& engine, int a_window,
                                                       Duration lasts) const {
  const Duration since_start = now - *engine.listed.started_at;
  if (since_start < Duration(0)) return std::nullopt;
  const auto passed = static_cast<std::uint64_t>(since_start * a_window / rules_.slow_start_window);
  const auto all = static_cast<std::uint64_t>(rules_.managers);
  // Whose turn is number 0, backwards.
  const auto first = shared_hash(DataSetId{a_window}, engine.listed.id) % all;
  const auto own = (first + static_cast<std::uint64_t>(rules_.instance_index)) % all;
  const std::uint64_t back = (passed + all - own) % all;  // how many turns ago the own one began
  if (back > passed) return std::nullopt;
  const auto number = static_cast<Duration::rep>(passed - back);
  const TimePoint began = *engine.listed.started_at + number * rules_.slow_start_window / a_window;
  // A turn that began before this manager did may have been used by its last life.
  if (began < TimePoint{} || now - began > lasts) return std::nullopt;
  return passed - back;
}

// Whether a cold engine may be sent this job: any warm one may.
bool WorkloadManager::cold_allows(TimePoint now, const Engine& engine, const QueuedRequest& held) const {
  if (!cold(now, engine)) return true;
  const Duration window = rules_.slow_start_window;
  const auto room = [&](double most, Duration within, double work) {
    for (const auto& [sent, counted] : engine.cold_sends)
      if (sent >= now - within - rules_.event_interval) work += counted;
    return work <= most;
  };
  const bool turns = by_turns(now, engine);
  const double whole = cold_budget(engine);
  const double lost = now.time_since_epoch() < window ? 0.5 : 1;  // its last life may have spent some
  if (room(whole / rules_.managers * (turns ? 0.5 : 1) * lost, window, usual_work(held))) return true;
  if (!turns) return false;
  // Exception: where an even part is less than a job, managers take turns at the engine: six new ones in a
  // window at a sixteenth of the budget, which last one, and one at a quarter (each eighth at half), which
  // lasts two; what is not used is lost. All used to the last come to two thirds of the budget.
  if (own_turn(now, engine, 6, window) && room(whole / 16, window, cold_work(held))) return true;
  const auto turn = own_turn(now, engine, 1, 2 * window);
  return turn && room(whole / (*turn % 8 == 0 ? 2 : 4), 2 * window, cold_work(held));
}

// Exception: starts are told by the wall clock, which may be ahead on this machine when the manager starts,
// and then engines that have just started seem to be long warm. What they tell of each other is sure: the
// latest has started by now, and the others as long before it as they say. Guards against cold engines that
// are pushed over by restarted managers; harms by engines that are less used than they may be for the cold
// time after a start.
void WorkloadManager::doubt_starts(TimePoint now, const std::vector<EngineEndpoint>& engines) {
  std::optional<TimePoint> latest;
  for (const EngineEndpoint& listed : engines) {
    if (listed.started_at) latest = std::max(latest.value_or(TimePoint::min()), *listed.started_at);
  }
  for (const EngineEndpoint& listed : engines) {
    if (!listed.started_at) continue;
    const Duration before_latest = *latest - *listed.started_at;
    engines_.at(listed.id).doubted_until = now + rules_.slow_start_duration - before_latest;
  }
}

}  // namespace pearchute
