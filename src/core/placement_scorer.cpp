#include "core/placement_scorer.h"

#include <algorithm>
#include <cstdint>

#include "core/placement_rules.h"

namespace pearchute {

namespace {

// In a shared pool affinity is heeded half of the time, more as answers from preferred engines come quicker,
// never where they take a third longer; the own zone is left as answers there take longer, always at half as
// long again.
constexpr double affinity_base = 0.5;
constexpr double affinity_slope = 2;
constexpr double zone_slope = 2;
constexpr double least_health = 0.2;
constexpr double largest_health = 1.1;
constexpr double time_slot_health = 2;  // a time slot that is not used is lost
constexpr double affinity_share = 0.25;
constexpr double largest_cross_zone_share = 0.25;
constexpr double least_relative_size = 1e-3;
constexpr int trial_priority = 2;  // a trial is a short request: a long one would delay the verdict
constexpr std::size_t random_bits = 32;

double draw(std::knuth_b& random) { return std::generate_canonical<double, random_bits>(random); }

}  // namespace

PlacementScorer::PlacementScorer(const Inputs& inputs) : in_(inputs) {
  for (const MachineKind& kind : in_.service.kinds) {
    largest_memory_mb_ = std::max(largest_memory_mb_, kind.memory_mb);
  }
}

bool PlacementScorer::Score::is_better_than(const Score& other) const {
  if (spare_mb != other.spare_mb) return spare_mb > other.spare_mb;
  if (attempts != other.attempts) return attempts < other.attempts;
  if (reserved_mb != other.reserved_mb) return reserved_mb < other.reserved_mb;
  return position < other.position;
}

bool PlacementScorer::is_eligible(TimePoint now, const RequestState& state, const Engine& engine) const {
  const RequestType& type = in_.work.type(state);
  if (!engine.is_up || !allows_placement(type, engine.endpoint)) return false;
  if (state.first_uncertain_attempt_at && type.idempotency == Idempotency::idempotent_by_key &&
      !recognizes_repeat(type, engine.endpoint, state.uncertain_zone, state.uncertain_cell)) {
    return false;
  }
  const EngineHealth& health = engine.health;
  if (health.is_ejected(now)) return false;
  if (health.on_probation && (health.trial_outstanding || in_.work.priority(state) < trial_priority)) {
    return false;
  }
  return std::ranges::none_of(state.attempts, [&](const AttemptRecord& attempt) {
    return attempt.is_outstanding && attempt.engine == engine.id();
  });
}

PlacementScorer::Choice PlacementScorer::begin_choice(TimePoint now, const RequestState& state,
                                                      const EngineMap& engines) const {
  Choice choice{now, state, in_.work.type(state), in_.affinity.preferred(state.request.data_set, engines)};
  const double overcommit = in_.grants.pool_overcommit(state);
  choice.pool_is_full = in_.grants.free_pool_slots(now, engines, overcommit) < choice.type.threads;
  const LocalityLatency& locality = in_.latency.locality();
  const double affinity = affinity_base + affinity_slope * (locality.other / locality.preferred - 1);
  const double zone_ratio = locality.same_zone / locality.cross_zone;
  choice.heeds_affinity = draw(in_.random) < affinity;
  choice.heeds_zones = draw(in_.random) >= zone_slope * (zone_ratio - 1);
  choice.largest_typical_work_ms = in_.work.largest_typical_work_ms();
  return choice;
}

bool PlacementScorer::may_use(const Choice& choice, const Engine& engine) const {
  const bool time_slots = in_.slow_start.uses_time_slots(choice.now, engine, choice.largest_typical_work_ms);
  const bool pool_forbids =
      choice.pool_is_full && !time_slots && in_.grants.counts_in_pool(choice.now, engine);
  if (pool_forbids || !is_eligible(choice.now, choice.state, engine)) return false;
  const SlowStart::Work work{in_.work.typical_work_ms(choice.state), in_.work.warm_up_work_ms(choice.state)};
  return in_.slow_start.admits(choice.now, engine, work, choice.largest_typical_work_ms);
}

double PlacementScorer::capacity_factor(const Choice& choice, const Engine& engine) const {
  const double ratio = in_.latency.fleet_ratio() / engine.latency.ratio;
  const bool time_slots = in_.slow_start.uses_time_slots(choice.now, engine, choice.largest_typical_work_ms);
  return std::clamp(ratio, least_health, largest_health) *
         (time_slots ? time_slot_health : in_.slow_start.capacity_share(choice.now, engine));
}

// As a share of the engine's capacity.
double PlacementScorer::affinity_bonus(const Choice& choice, const Engine& engine) const {
  const bool is_heeded = choice.heeds_affinity || !in_.grants.is_pooled(engine);
  if (choice.type.waits_for_data_load || !is_heeded || !choice.preferred.contains(engine.id())) return 0;
  return affinity_share;
}

// As a share of the engine's capacity: by what crossing zones costs the request's work.
double PlacementScorer::cross_zone_penalty(const Choice& choice, const Engine& engine) const {
  const bool is_heeded = choice.heeds_zones || !in_.grants.is_pooled(engine);
  if (engine.endpoint.zone == in_.service.zone || !is_heeded) return 0;
  const double size = std::max(in_.work.relative_size(choice.state), least_relative_size);
  return std::min(largest_cross_zone_share, in_.service.cross_zone_cost / size);
}

bool PlacementScorer::is_avoided_for_data_load(const Choice& choice, const Engine& engine) const {
  return (choice.type.waits_for_data_load || choice.type.loads_data_set) &&
         engine.ledger.is_loading(choice.now, choice.state.request.data_set);
}

// In a shared pool a request's need sets all ledgers alike: machines are passed over as they are smaller.
bool PlacementScorer::is_avoided_as_small(const Engine& engine) const {
  const double part = engine.machine.memory_mb / largest_memory_mb_;
  return part < 1 && in_.grants.is_pooled(engine) && draw(in_.random) > part;
}

// Each reason to avoid an engine takes off its whole capacity: it comes last, but is not excluded.
double PlacementScorer::spare_mb(const Choice& choice, const Engine& engine, double grant_mb) const {
  const double capacity = in_.grants.capacity_mb(engine);
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
  const auto index = static_cast<std::uint64_t>(in_.service.instance_index);
  // Each manager begins its count at another engine, spread evenly over the list, so that equal scores
  // differ.
  std::uint64_t position = count - 1 - count * index / static_cast<std::uint64_t>(in_.service.managers);
  for (auto& [id, engine] : engines) {
    position = (position + 1) % count;
    if (!may_use(choice, engine)) continue;
    const std::optional<double> grant = in_.grants.grant_mb(now, engine, state);
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
