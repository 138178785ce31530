#include "core/latency_model.h"

#include <algorithm>
#include <cmath>

#include "core/engine.h"
#include "core/units.h"

namespace pearchute {

namespace {

// Quantiles by steps: each settles where the steps down and up balance.
constexpr double p10_step_down = 0.955;
constexpr double p10_step_up = 1.005;
constexpr double p95_step_up = 1.0475;
constexpr double p95_step_down = 0.9975;

constexpr double least_sample = 0.5;
constexpr double largest_sample = 20.0;
constexpr double largest_outstanding_sample = 10.0;
constexpr double outstanding_sample_weight = 0.025;
// An outstanding attempt counts once it has taken so many times the best.
constexpr double far_behind_ratio = 2.0;
// No sample counts over this multiple of the smoothed value of the fleet: a few sick engines are not the
// fleet.
constexpr double sample_bound = 2;

// The concurrency follows the latency: down from this ratio, up while slots are used and ratios are below.
constexpr double overload_ratio = 1.5;
constexpr double overload_p95_ratio = 2;
constexpr double decrease_share = 0.15;
constexpr double increase_share = 0.15;
constexpr double largest_increase = 0.25;
constexpr double used_share_to_increase = 0.7;
constexpr double largest_factor = 1.5;
// Where all fair shares make one thread a core; twice that for the fleet's pool, which is used unevenly.
constexpr double least_engine_factor = 0.25;
constexpr double least_fleet_factor = 0.5;
constexpr double engine_full_decrease = 0.8;

// Applied at each tick (tick_interval).
constexpr double unused_share = 0.25;
constexpr double engine_recovery = 0.02;
constexpr double fleet_recovery = 0.01;
constexpr double locality_recovery = 0.005;
constexpr double overload_decay_slowest = 0.99;
// Under overload the fleet's factor halves in half of the shortest timeout.
constexpr double halving_ticks_ms = 200.0;
constexpr double least_timeout_ms = 1000.0;

constexpr double least_fair_share_slots = 1e-9;

}  // namespace

LatencyModel::LatencyModel(const WorkModel& work, ZoneId own_zone, Duration shortest_timeout)
    : work_(work),
      own_zone_(own_zone),
      overload_decay_(
          std::min(overload_decay_slowest,
                   std::exp2(-halving_ticks_ms / std::max(to_ms(shortest_timeout), least_timeout_ms)))),
      quantiles_(work.type_count()),
      fleet_fair_share_slots_(least_fair_share_slots) {}

// Some type's 95th percentile is over twice its ideal time. Ratios to the best time alone don't show
// overload: where data is warm, the best time is below the typical one.
bool LatencyModel::is_overloaded() const {
  return std::ranges::any_of(quantiles_, [](const Quantiles& one) { return one.p95 > overload_p95_ratio; });
}

void LatencyModel::learn_locality(const Engine& engine, const AttemptRecord& attempt, double sample,
                                  double weight) {
  double& by_affinity = attempt.at_preferred_engine ? locality_.preferred : locality_.other;
  double& by_zone = engine.endpoint.zone == own_zone_ ? locality_.same_zone : locality_.cross_zone;
  by_affinity += weight * (std::min(sample, sample_bound * by_affinity) - by_affinity);
  by_zone += weight * (std::min(sample, sample_bound * by_zone) - by_zone);
}

void LatencyModel::adjust_concurrency(EngineLatency& of, double least_factor, double fair_share_slots,
                                      double used_threads, double weight) const {
  if (of.ratio > overload_ratio && is_overloaded()) {
    of.concurrency_factor *= 1 - decrease_share * weight;
  } else if (used_threads > used_share_to_increase * fair_share_slots * of.concurrency_factor) {
    of.concurrency_factor += weight * std::max(increase_share * of.concurrency_factor,
                                               std::min(1 / fair_share_slots, largest_increase));
  }
  of.concurrency_factor = std::clamp(of.concurrency_factor, least_factor, largest_factor);
}

void LatencyModel::on_success(Engine& engine, const RequestState& state, const AttemptRecord& attempt,
                              Duration elapsed) {
  if (attempt.waits_for_data_load || work_.is_negligible(state)) return;
  Quantiles& type = quantiles_[static_cast<std::size_t>(state.request.type.value)];
  const double ratio = to_ms(elapsed) / work_.ideal_ms(state);
  type.p10 *= ratio < type.p10 ? p10_step_down : p10_step_up;
  type.p95 *= ratio > type.p95 ? p95_step_up : p95_step_down;
  const double sample = std::clamp(ratio / type.p10, least_sample, largest_sample);
  const double weight = work_.sample_weight(state);
  EngineLatency& own = engine.latency;
  own.ratio += weight * (sample - own.ratio);
  learn_locality(engine, attempt, sample, weight);
  adjust_concurrency(own, least_engine_factor, engine.ledger.fair_share_slots(),
                     engine.ledger.reserved_threads(), weight);
  fleet_.ratio += weight * (std::min(sample, sample_bound * fleet_.ratio) - fleet_.ratio);
  adjust_concurrency(fleet_, least_fleet_factor, fleet_fair_share_slots_, static_cast<int>(fleet_threads_),
                     weight);
}

void LatencyModel::on_outstanding(TimePoint now, Engine& engine, const RequestState& state,
                                  const AttemptRecord& attempt, bool is_ejected) {
  if (attempt.waits_for_data_load || work_.is_negligible(state)) return;
  const double best_ms = work_.ideal_ms(state) * p10_ratio(state.request.type);
  const double sample =
      std::min(to_ms(now - attempt.sent_at) / std::max(best_ms, 1.0), largest_outstanding_sample);
  const double weight = outstanding_sample_weight * work_.sample_weight(state);
  double& own = engine.latency.ratio;
  if (sample > std::max(far_behind_ratio, own)) own += weight * (sample - own);
  if (is_ejected) return;
  const double fleet = fleet_.ratio;
  if (sample > far_behind_ratio) learn_locality(engine, attempt, sample, weight);
  if (sample > std::max(far_behind_ratio, fleet)) {
    fleet_.ratio += weight * (std::min(sample, sample_bound * fleet) - fleet);
  }
}

void LatencyModel::on_engine_full(EngineLatency& latency) const {
  latency.concurrency_factor =
      std::max(latency.concurrency_factor * engine_full_decrease, least_engine_factor);
}

void LatencyModel::reset(EngineLatency& latency, bool is_first) const {
  latency.ratio = is_first ? 1 : std::max(1.0, fleet_.ratio);
}

void LatencyModel::begin_tick() {
  fleet_threads_ = 0;
  fleet_fair_share_slots_ = least_fair_share_slots;
}

// An engine that is hardly used can't show that it has recovered: its ratio decays towards the best.
void LatencyModel::tick(Engine& engine, bool counts_for_fleet) {
  EngineLatency& own = engine.latency;
  const double fair_share = engine.ledger.fair_share_slots();
  const int threads = engine.ledger.reserved_threads();
  if (threads < unused_share * fair_share * own.concurrency_factor) {
    own.ratio += engine_recovery * (1 - own.ratio);
  }
  if (own.ratio > overload_ratio && is_overloaded()) {
    own.concurrency_factor = std::max(own.concurrency_factor * overload_decay_slowest, least_engine_factor);
  }
  if (!counts_for_fleet) return;
  fleet_threads_ += threads;
  fleet_fair_share_slots_ += fair_share;
}

// Other zones and preferred engines slowly count like the rest again, so that both are tried again.
void LatencyModel::end_tick() {
  locality_.cross_zone += locality_recovery * (1 - locality_.cross_zone);
  locality_.preferred += locality_recovery * (locality_.other - locality_.preferred);
  if (fleet_threads_ < unused_share * fleet_fair_share_slots_ * fleet_.concurrency_factor) {
    fleet_.ratio += fleet_recovery * (1 - fleet_.ratio);
  }
  if (fleet_.ratio > overload_ratio && is_overloaded()) {
    fleet_.concurrency_factor = std::max(fleet_.concurrency_factor * overload_decay_, least_fleet_factor);
  }
}

}  // namespace pearchute
