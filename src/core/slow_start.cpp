#include "core/slow_start.h"

#include <algorithm>

#include "core/engine.h"
#include "core/units.h"

namespace pearchute {

namespace {

// A list that tells of a start late counts as having told it by then.
constexpr std::chrono::seconds longest_listing_delay(5);
// The part of the stated limit that is used: speeds and learned means are uncertain.
constexpr double used_share_of_limit = 0.8;
// After its own start a manager does not know what its predecessor has sent in the first window.
constexpr double share_after_own_start = 0.5;
constexpr double share_beside_time_slots = 0.5;
// Time slots: six short ones begin in each window and one long one, every eighth of which has a larger share.
// Fully used they average two thirds of the budget.
constexpr int short_slots_per_window = 6;
constexpr double short_slot_share = 1.0 / 16;
constexpr int long_slots_per_window = 1;
constexpr int long_slot_windows = 2;
constexpr double long_slot_share = 1.0 / 4;
constexpr double larger_slot_share = 1.0 / 2;
constexpr std::uint64_t larger_slot_every = 8;
constexpr int remembered_windows = long_slot_windows + 1;

}  // namespace

bool is_warming_up(const ServiceDefinition& service, TimePoint now, std::optional<TimePoint> started_at,
                   TimePoint listed_at) {
  if (service.slow_start_limit_multiple <= 0 || service.slow_start_window <= Duration(0) || !started_at) {
    return false;
  }
  const TimePoint known_by = std::min(listed_at, *started_at + longest_listing_delay);
  return now < std::max(*started_at, known_by) + service.slow_start_duration;
}

double slow_start_limit_ms(const ServiceDefinition& service, int cores) {
  return service.slow_start_limit_multiple * service.slow_start_initial_capacity * cores *
         to_ms(service.slow_start_window);
}

bool SlowStart::is_warming_up(TimePoint now, const Engine& engine) const {
  const std::optional<TimePoint> started_at = engine.endpoint.started_at;
  if (!started_at || service_.slow_start_limit_multiple <= 0 || service_.slow_start_window <= Duration(0)) {
    return false;
  }
  if (now < engine.slow_start.start_uncertain_until) return true;
  return pearchute::is_warming_up(service_, now, started_at, engine.slow_start.listed_at);
}

double SlowStart::budget_ms(const Engine& engine) const {
  return used_share_of_limit * service_.slow_start_limit_multiple * service_.slow_start_initial_capacity *
         engine.machine.cores * to_ms(service_.slow_start_window);
}

bool SlowStart::uses_time_slots(TimePoint now, const Engine& engine, double largest_typical_work_ms) const {
  return is_warming_up(now, engine) && largest_typical_work_ms > budget_ms(engine) / service_.managers;
}

double SlowStart::capacity_share(TimePoint now, const Engine& engine) const {
  const double warmed = is_warming_up(now, engine)
                            ? (now - engine.slow_start.listed_at) / (1.0 * service_.slow_start_duration)
                            : 1;
  const double initial = service_.slow_start_initial_capacity;
  return initial + (1 - initial) * std::min(warmed, 1.0);
}

bool SlowStart::fits(TimePoint now, const Engine& engine, Duration within, double work_ms,
                     double limit_ms) const {
  for (const auto& [sent_at, counted_ms] : engine.slow_start.admitted) {
    if (sent_at >= now - within - service_.event_interval) work_ms += counted_ms;
  }
  return work_ms <= limit_ms;
}

bool SlowStart::admits(TimePoint now, const Engine& engine, const Work& work,
                       double largest_typical_work_ms) const {
  if (!is_warming_up(now, engine)) return true;
  const Duration window = service_.slow_start_window;
  const bool time_slots = uses_time_slots(now, engine, largest_typical_work_ms);
  const double budget = budget_ms(engine);
  const double known_share = now.time_since_epoch() < window ? share_after_own_start : 1;
  const double own_share =
      budget / service_.managers * (time_slots ? share_beside_time_slots : 1) * known_share;
  if (fits(now, engine, window, work.typical_ms, own_share)) return true;
  return time_slots && admits_in_time_slot(now, engine, work.warm_up_ms);
}

bool SlowStart::admits_in_time_slot(TimePoint now, const Engine& engine, double work_ms) const {
  const Duration window = service_.slow_start_window;
  const double budget = budget_ms(engine);
  if (own_time_slot(now, engine, short_slots_per_window, window) &&
      fits(now, engine, window, work_ms, budget * short_slot_share)) {
    return true;
  }
  const Duration length = long_slot_windows * window;
  const auto slot = own_time_slot(now, engine, long_slots_per_window, length);
  if (!slot) return false;
  const double share = *slot % larger_slot_every == 0 ? larger_slot_share : long_slot_share;
  return fits(now, engine, length, work_ms, budget * share);
}

// The number of the own time slot that lasts now, where all managers have theirs in the order of their
// indices, so many new ones a window, from the engine's start.
std::optional<std::uint64_t> SlowStart::own_time_slot(TimePoint now, const Engine& engine,
                                                      int slots_per_window, Duration length) const {
  const TimePoint started_at = *engine.endpoint.started_at;
  const Duration since_start = now - started_at;
  if (since_start < Duration(0)) return std::nullopt;
  const Duration window = service_.slow_start_window;
  const auto passed = static_cast<std::uint64_t>(since_start * slots_per_window / window);
  const auto managers = static_cast<std::uint64_t>(service_.managers);
  // Slot 0 belongs to a manager by hash, those that follow to the ones before it.
  const auto first = rendezvous_hash(std::int64_t{slots_per_window}, engine.id()) % managers;
  const auto own = (first + static_cast<std::uint64_t>(service_.instance_index)) % managers;
  const std::uint64_t slots_ago = (passed + managers - own) % managers;
  if (slots_ago > passed) return std::nullopt;
  const auto slot = static_cast<Duration::rep>(passed - slots_ago);
  const TimePoint began = started_at + slot * window / slots_per_window;
  // A slot that began before this manager did may have been used by its predecessor.
  if (began < TimePoint{} || now - began > length) return std::nullopt;
  return passed - slots_ago;
}

void SlowStart::on_sent(TimePoint now, Engine& engine, const Work& work,
                        double largest_typical_work_ms) const {
  std::deque<EngineSlowStart::AdmittedWork>& admitted = engine.slow_start.admitted;
  std::erase_if(admitted, [&](const auto& one) {
    return one.sent_at < now - remembered_windows * service_.slow_start_window;
  });
  if (!is_warming_up(now, engine)) return;
  const bool time_slots = uses_time_slots(now, engine, largest_typical_work_ms);
  admitted.push_back({now, time_slots ? work.warm_up_ms : work.typical_ms});
}

std::vector<std::optional<TimePoint>> SlowStart::uncertain_starts(
    TimePoint now, const std::vector<EngineEndpoint>& endpoints) const {
  std::optional<TimePoint> latest;
  for (const EngineEndpoint& endpoint : endpoints) {
    if (endpoint.started_at) latest = std::max(latest.value_or(TimePoint::min()), *endpoint.started_at);
  }
  std::vector<std::optional<TimePoint>> uncertain_until;
  for (const EngineEndpoint& endpoint : endpoints) {
    std::optional<TimePoint> until;
    if (endpoint.started_at) until = now + service_.slow_start_duration - (*latest - *endpoint.started_at);
    uncertain_until.push_back(until);
  }
  return uncertain_until;
}

}  // namespace pearchute
