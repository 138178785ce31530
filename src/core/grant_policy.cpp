#include "core/grant_policy.h"

#include <algorithm>

namespace pearchute {

namespace {

constexpr double even_shares_per_manager = 2.0;  // load differs between managers, so few are at the mean
constexpr double slots_per_core = 2.0;
constexpr double capacity_in_typical_requests = 2;
constexpr double min_memory_share_beside_others = 0.1;
constexpr double min_slots = 8.0;  // the floor is never over an eighth of the capacity
// Above this latency ratio, latency objectives are at risk.
constexpr double pressure_ratio = 2;
// Requests of the highest priority, which are the shortest and have the highest value per engine time, may
// exceed the slots by half, so that long requests that fill the ledgers do not block them.
constexpr double highest_priority_overcommit = 1.5;

}  // namespace

GrantPolicy::GrantPolicy(const ServiceDefinition& service, const WorkModel& work, const LatencyModel& latency,
                         const SlowStart& slow_start)
    : service_(service),
      work_(work),
      latency_(latency),
      slow_start_(slow_start),
      fleet_share_(std::min(1.0, even_shares_per_manager / service.managers)) {}

double GrantPolicy::initial_slots(const MachineKind& machine) const {
  return slots_per_core * machine.cores * fleet_share_;
}

// Where engines report the granted share of their memory, the capacity is bounded by what other managers
// leave free. Beyond its own share, this manager uses only half of the free memory, since other managers act
// on the same report.
double GrantPolicy::capacity_mb(const Engine& engine) const {
  const double memory = engine.machine.memory_mb;
  const double typical = work_.max_typical_memory_mb();
  const double share =
      std::max(memory * fleet_share_, std::min(memory, capacity_in_typical_requests * typical));
  const std::optional<double> others = engine.ledger.reserved_by_others_mb();
  if (!others) return share;
  const double left = std::max(memory - *others, min_memory_share_beside_others * memory);
  const double reserved = engine.ledger.reserved_mb();
  return std::min(left, std::max(share, reserved + (left - reserved) / 2));
}

double GrantPolicy::slots(TimePoint now, const Engine& engine) const {
  const double factor =
      is_pooled(engine) ? latency_.fleet_concurrency_factor() : engine.latency.concurrency_factor;
  const double learned = engine.ledger.fair_share_slots() * factor;
  const std::optional<double> reported = engine.ledger.reported_slots(now);
  return reported ? std::max(learned, *reported) : learned;
}

double GrantPolicy::floor_mb(TimePoint now, const Engine& engine) const {
  return capacity_mb(engine) / std::max(min_slots, slots(now, engine));
}

bool GrantPolicy::is_pooled(const Engine& engine) const {
  return engine.ledger.fair_share_slots() < work_.max_threads();
}

bool GrantPolicy::counts_in_pool(TimePoint now, const Engine& engine) const {
  return slots(now, engine) < work_.max_threads();
}

double GrantPolicy::pool_overcommit(const RequestState& state) const {
  return work_.priority(state) == highest_priority ? highest_priority_overcommit : 1;
}

// Excludes engines that are warming up with time slots, since their threads can be used only in those time
// slots. An unused pool always has room for one request of the type with the most threads.
double GrantPolicy::free_pool_slots(TimePoint now, const EngineMap& engines, double overcommit) const {
  double free = 0;
  int used = 0;
  const double largest_work_ms = work_.largest_typical_work_ms();
  for (const auto& [id, engine] : engines) {
    const double own = slots(now, engine);
    if (!engine.is_up || engine.health.on_probation || !counts_in_pool(now, engine)) continue;
    if (slow_start_.uses_time_slots(now, engine, largest_work_ms)) continue;
    free += overcommit * own - engine.ledger.reserved_threads();
    used += engine.ledger.reserved_threads();
  }
  return std::max<double>(free, work_.max_threads() - used);
}

bool GrantPolicy::has_no_pressure(TimePoint now, const Engine& engine, int threads, double slots) const {
  return engine.latency.ratio <= pressure_ratio && !engine.health.was_full_recently(now) && threads < slots;
}

bool GrantPolicy::may_overrun_slots(const Engine& engine, const RequestState& state, double need_mb,
                                    int threads, double slots) const {
  if (need_mb <= 0 || work_.priority(state) != highest_priority ||
      threads > highest_priority_overcommit * slots + 1) {
    return false;
  }
  return need_mb <= engine.machine.memory_mb - engine.ledger.reserved_mb() -
                        engine.ledger.reserved_by_others_mb().value_or(0);
}

std::optional<double> GrantPolicy::grant_mb(TimePoint now, const Engine& engine,
                                            const RequestState& state) const {
  const EngineLedger& ledger = engine.ledger;
  const double capacity = capacity_mb(engine);
  const double slot_count = slots(now, engine);
  const double max_grant_mb = service_.max_grant_share * engine.machine.memory_mb;
  const double need = std::min(work_.needed_mb(state), max_grant_mb);
  const int threads = ledger.reserved_threads() + work_.type(state).threads;
  if (has_no_pressure(now, engine, threads, slot_count)) {
    return need > 0 ? need : std::min(capacity / min_slots, max_grant_mb);
  }
  if (may_overrun_slots(engine, state, need, threads, slot_count)) return need;
  const auto& starvation = ledger.starvation_reservation();
  const bool reserved_for_other = starvation && starvation->request != state.request.id;
  int slots_left = std::max(static_cast<int>(slot_count), work_.max_threads()) - threads;
  if (reserved_for_other) slots_left -= starvation->threads;
  const double floor = floor_mb(now, engine);
  const double free = capacity - ledger.reserved_mb() - (reserved_for_other ? starvation->mb : 0);
  const double max_mb = std::min(free - floor * std::max(slots_left, 0), max_grant_mb);
  if (slots_left < 0 || max_mb < floor) return std::nullopt;
  if (need <= 0) return max_mb;
  // A request with an estimate may use the memory that is kept for the other slots, since a spill costs more
  // than a slot without memory. If even that is too little, the request waits, unless the ledger is empty:
  // waiting could not make more room for it.
  if (need > std::min(free, max_grant_mb) && ledger.reserved_mb() > 0) return std::nullopt;
  return std::clamp(need, floor, std::min(free, max_grant_mb));
}

}  // namespace pearchute
