#include "core/placement_scorer.h"

#include <algorithm>
#include <cstdint>

#include "core/placement_rules.h"

namespace pearchute {

namespace {

// At engines of the shared pool, affinity is applied with probability 0.5 while preferred engines are as fast
// as the others, with a higher one where they are faster, and never where they are a third slower. The
// preference for the own zone is applied with a probability that falls as its answers take longer than those
// of other zones, down to 0 where they take half as long again.
constexpr double affinity_base = 0.5;
constexpr double affinity_slope = 2;
constexpr double zone_slope = 2;
constexpr double min_health_factor = 0.2;
constexpr double max_health_factor = 1.1;
constexpr double time_slot_health_factor = 2;  // an unused time slot cannot be made up for
constexpr double affinity_share = 0.25;
constexpr double max_cross_zone_share = 0.25;
constexpr double min_relative_size = 1e-3;
constexpr int trial_priority = 2;  // a trial is a short request, since a long one would delay the result
constexpr std::size_t random_bits = 32;

double draw(std::knuth_b& random) { return std::generate_canonical<double, random_bits>(random); }

}  // namespace

PlacementScorer::PlacementScorer(const Inputs& inputs) : inputs_(inputs) {
  for (const MachineKind& kind : inputs_.service.kinds) {
    max_memory_mb_ = std::max(max_memory_mb_, kind.memory_mb);
  }
}

bool PlacementScorer::Score::is_better_than(const Score& other) const {
  if (spare_mb != other.spare_mb) return spare_mb > other.spare_mb;
  if (attempts != other.attempts) return attempts < other.attempts;
  if (reserved_mb != other.reserved_mb) return reserved_mb < other.reserved_mb;
  return position < other.position;
}

bool PlacementScorer::is_eligible(TimePoint now, const RequestState& state, const Engine& engine) const {
  const RequestType& type = inputs_.work.type(state);
  if (!engine.is_up || !allows_placement(type, engine.endpoint)) return false;
  if (state.first_uncertain_attempt_at && type.idempotency == Idempotency::idempotent_by_key &&
      !recognizes_repeat(type, engine.endpoint, state.uncertain_zone, state.uncertain_cell)) {
    return false;
  }
  const EngineHealth& health = engine.health;
  if (health.is_ejected(now)) return false;
  if (health.on_probation && (health.trial_outstanding || inputs_.work.priority(state) < trial_priority)) {
    return false;
  }
  return std::ranges::none_of(state.attempts, [&](const AttemptRecord& attempt) {
    return attempt.is_outstanding && attempt.engine == engine.id();
  });
}

PlacementScorer::Choice PlacementScorer::begin_choice(TimePoint now, const RequestState& state,
                                                      const EngineMap& engines) const {
  Choice choice{now, state, inputs_.work.type(state),
                inputs_.affinity.preferred(state.request.data_set, engines)};
  const double overcommit = inputs_.grants.pool_overcommit(state);
  choice.pool_is_full = inputs_.grants.free_pool_slots(now, engines, overcommit) < choice.type.threads;
  const LocalityLatency& locality = inputs_.latency.locality();
  const double affinity = affinity_base + affinity_slope * (locality.other / locality.preferred - 1);
  const double zone_ratio = locality.same_zone / locality.cross_zone;
  choice.uses_affinity = draw(inputs_.random) < affinity;
  choice.uses_zones = draw(inputs_.random) >= zone_slope * (zone_ratio - 1);
  choice.largest_typical_work_ms = inputs_.work.largest_typical_work_ms();
  return choice;
}

bool PlacementScorer::may_use(const Choice& choice, const Engine& engine) const {
  const bool time_slots =
      inputs_.slow_start.uses_time_slots(choice.now, engine, choice.largest_typical_work_ms);
  const bool pool_forbids =
      choice.pool_is_full && !time_slots && inputs_.grants.counts_in_pool(choice.now, engine);
  if (pool_forbids || !is_eligible(choice.now, choice.state, engine)) return false;
  const SlowStart::Work work{inputs_.work.typical_work_ms(choice.state),
                             inputs_.work.warm_up_work_ms(choice.state)};
  return inputs_.slow_start.admits(choice.now, engine, work, choice.largest_typical_work_ms);
}

double PlacementScorer::capacity_factor(const Choice& choice, const Engine& engine) const {
  const double ratio = inputs_.latency.fleet_ratio() / engine.latency.ratio;
  const bool time_slots =
      inputs_.slow_start.uses_time_slots(choice.now, engine, choice.largest_typical_work_ms);
  return std::clamp(ratio, min_health_factor, max_health_factor) *
         (time_slots ? time_slot_health_factor : inputs_.slow_start.capacity_share(choice.now, engine));
}

// The bonus of a preferred engine, as a share of the engine's capacity.
double PlacementScorer::affinity_bonus(const Choice& choice, const Engine& engine) const {
  const bool applies = choice.uses_affinity || !inputs_.grants.is_pooled(engine);
  if (choice.type.waits_for_data_load || !applies || !choice.preferred.contains(engine.id())) return 0;
  return affinity_share;
}

// The penalty of another zone, as a share of the engine's capacity: the cost of crossing zones divided by the
// request's relative size.
double PlacementScorer::cross_zone_penalty(const Choice& choice, const Engine& engine) const {
  const bool applies = choice.uses_zones || !inputs_.grants.is_pooled(engine);
  if (engine.endpoint.zone == inputs_.service.zone || !applies) return 0;
  const double size = std::max(inputs_.work.relative_size(choice.state), min_relative_size);
  return std::min(max_cross_zone_share, inputs_.service.cross_zone_cost / size);
}

bool PlacementScorer::is_avoided_for_data_load(const Choice& choice, const Engine& engine) const {
  return (choice.type.waits_for_data_load || choice.type.loads_data_set) &&
         engine.ledger.is_loading(choice.now, choice.state.request.data_set);
}

// In a shared pool, the spare memory does not reflect the size of a machine. A machine is therefore avoided
// with a probability that grows as its memory is smaller than that of the largest kind.
bool PlacementScorer::is_avoided_as_small(const Engine& engine) const {
  const double memory_ratio = engine.machine.memory_mb / max_memory_mb_;
  return memory_ratio < 1 && inputs_.grants.is_pooled(engine) && draw(inputs_.random) > memory_ratio;
}

// Each reason to avoid an engine subtracts its whole capacity, so that the engine ranks last but is not
// excluded.
double PlacementScorer::spare_mb(const Choice& choice, const Engine& engine, double grant_mb) const {
  const double capacity = inputs_.grants.capacity_mb(engine);
  double spare = capacity * capacity_factor(choice, engine) - engine.ledger.reserved_mb() - grant_mb;
  spare += affinity_bonus(choice, engine) * capacity;
  spare -= cross_zone_penalty(choice, engine) * capacity;
  if (is_avoided_for_data_load(choice, engine)) spare -= capacity;
  if (engine.health.was_full_recently(choice.now)) spare -= capacity;
  for (const AttemptRecord& earlier : choice.state.attempts) {
    if (earlier.engine == engine.id()) spare -= capacity;
  }
  if (is_avoided_as_small(engine)) spare -= capacity;
  return spare;
}

std::optional<Placement> PlacementScorer::choose(TimePoint now, const RequestState& state,
                                                 EngineMap& engines) const {
  const Choice choice = begin_choice(now, state, engines);
  std::optional<Placement> best;
  Score best_score;
  const std::uint64_t count = engines.size();
  const auto index = static_cast<std::uint64_t>(inputs_.service.instance_index);
  // Each manager counts positions from a different engine, spread evenly over the list, so that managers
  // resolve equal scores differently.
  std::uint64_t position = count - 1 - count * index / static_cast<std::uint64_t>(inputs_.service.managers);
  for (auto& [id, engine] : engines) {
    position = (position + 1) % count;
    if (!may_use(choice, engine)) continue;
    const std::optional<double> grant = inputs_.grants.grant_mb(now, engine, state);
    if (!grant) continue;
    const Score score{spare_mb(choice, engine, *grant), engine.ledger.attempts(), engine.ledger.reserved_mb(),
                      position};
    if (best && !score.is_better_than(best_score)) continue;
    best = Placement{&engine, *grant, choice.preferred.contains(id)};
    best_score = score;
  }
  return best;
}

}  // namespace pearchute
