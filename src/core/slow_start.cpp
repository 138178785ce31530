#include "core/slow_start.h"

#include <algorithm>

#include "core/engine.h"
#include "core/units.h"

namespace pearchute {

namespace {

// An engine start counts as listed at most this long after it happened, even if the list reports it later.
constexpr std::chrono::seconds max_listing_delay(5);
// The share of the configured limit that managers use, since engine speeds and learned means are uncertain.
constexpr double used_share_of_limit = 0.8;
// In the first window after its start, a manager uses this share, since it does not know how much work its
// predecessor has sent.
constexpr double share_after_own_start = 0.5;
constexpr double share_beside_time_slots = 0.5;
// Time slots: in each window six short slots and one long slot begin, and every eighth long slot has a larger
// share. Fully used, they take two thirds of the budget on average.
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
  const TimePoint listed_by = std::min(listed_at, *started_at + max_listing_delay);
  return now < std::max(*started_at, listed_by) + service.slow_start_duration;
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
  const double warm_up_progress =
      is_warming_up(now, engine) ? (now - engine.slow_start.listed_at) / (1.0 * service_.slow_start_duration)
                                 : 1;
  const double initial = service_.slow_start_initial_capacity;
  return initial + (1 - initial) * std::min(warm_up_progress, 1.0);
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
  const double share_factor = now.time_since_epoch() < window ? share_after_own_start : 1;
  const double own_share =
      budget / service_.managers * (time_slots ? share_beside_time_slots : 1) * share_factor;
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

// The number of the current time slot, if it is this manager's; none otherwise. Slots are counted from the
// engine's start, `slots_per_window` of them begin in each window, and managers own them in the order of
// their indices.
std::optional<std::uint64_t> SlowStart::own_time_slot(TimePoint now, const Engine& engine,
                                                      int slots_per_window, Duration length) const {
  const TimePoint started_at = *engine.endpoint.started_at;
  const Duration since_start = now - started_at;
  if (since_start < Duration(0)) return std::nullopt;
  const Duration window = service_.slow_start_window;
  const auto slots_begun = static_cast<std::uint64_t>(since_start * slots_per_window / window);
  const auto managers = static_cast<std::uint64_t>(service_.managers);
  // A hash of the engine chooses the owner of slot 0; the following slots belong to the managers after it.
  const auto first = rendezvous_hash(std::int64_t{slots_per_window}, engine.id()) % managers;
  const auto own = (first + static_cast<std::uint64_t>(service_.instance_index)) % managers;
  const std::uint64_t slots_ago = (slots_begun + managers - own) % managers;
  if (slots_ago > slots_begun) return std::nullopt;
  const auto slot = static_cast<Duration::rep>(slots_begun - slots_ago);
  const TimePoint slot_start = started_at + slot * window / slots_per_window;
  // A slot that began before this manager started may have been used by its predecessor.
  if (slot_start < TimePoint{} || now - slot_start > length) return std::nullopt;
  return slots_begun - slots_ago;
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
