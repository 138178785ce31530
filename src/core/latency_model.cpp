#include "core/latency_model.h"

#include <algorithm>
#include <cmath>

#include "core/engine.h"
#include "core/units.h"

namespace pearchute {

namespace {

// Quantiles are estimated by multiplicative steps; an estimate settles where its steps down and up balance.
constexpr double p10_step_down = 0.955;
constexpr double p10_step_up = 1.005;
constexpr double p95_step_up = 1.0475;
constexpr double p95_step_down = 0.9975;

constexpr double min_sample = 0.5;
constexpr double max_sample = 20.0;
constexpr double max_outstanding_sample = 10.0;
constexpr double outstanding_sample_weight = 0.025;
// An outstanding attempt is learned from once its age exceeds this multiple of the best time.
constexpr double slow_attempt_ratio = 2.0;
// Samples of the fleet are capped at this multiple of its smoothed value, so that a few failing engines do
// not determine it.
constexpr double max_sample_multiple = 2;

// The concurrency factor falls while the latency ratio is above overload_ratio and the 95th percentile of
// some type is above overload_p95_ratio. Otherwise it rises while used_share_to_increase of the slots are
// used.
constexpr double overload_ratio = 1.5;
constexpr double overload_p95_ratio = 2;
constexpr double decrease_share = 0.15;
constexpr double increase_share = 0.15;
constexpr double max_increase = 0.25;
constexpr double used_share_to_increase = 0.7;
constexpr double max_concurrency_factor = 1.5;
// At this factor the fair shares of all managers add up to one thread per core. The minimum for the shared
// pool of the fleet is twice that, since managers use the pool unevenly.
constexpr double min_engine_factor = 0.25;
constexpr double min_fleet_factor = 0.5;
constexpr double engine_full_decrease = 0.8;

// Shares and factors that are applied at each tick (tick_interval).
constexpr double unused_share = 0.25;
constexpr double engine_recovery = 0.02;
constexpr double fleet_recovery = 0.01;
constexpr double locality_recovery = 0.005;
constexpr double max_overload_decay = 0.99;
// Under overload the concurrency factor of the fleet halves within half of the shortest request timeout.
constexpr double halving_ticks_ms = 200.0;
constexpr double min_timeout_ms = 1000.0;

constexpr double min_fair_share_slots = 1e-9;

}  // namespace

LatencyModel::LatencyModel(const WorkModel& work, ZoneId own_zone, Duration shortest_timeout)
    : work_(work),
      own_zone_(own_zone),
      overload_decay_(
          std::min(max_overload_decay,
                   std::exp2(-halving_ticks_ms / std::max(to_ms(shortest_timeout), min_timeout_ms)))),
      quantiles_(work.type_count()),
      fleet_fair_share_slots_(min_fair_share_slots) {}

// Whether the 95th percentile of some type exceeds twice its ideal time. Latency ratios, which relate to the
// best time, do not prove an overload: where caches are warm, the best time is below the typical one.
bool LatencyModel::is_overloaded() const {
  return std::ranges::any_of(quantiles_, [](const Quantiles& one) { return one.p95 > overload_p95_ratio; });
}

void LatencyModel::learn_locality(const Engine& engine, const AttemptRecord& attempt, double sample,
                                  double weight) {
  double& by_affinity = attempt.at_preferred_engine ? locality_.preferred : locality_.other;
  double& by_zone = engine.endpoint.zone == own_zone_ ? locality_.same_zone : locality_.cross_zone;
  by_affinity += weight * (std::min(sample, max_sample_multiple * by_affinity) - by_affinity);
  by_zone += weight * (std::min(sample, max_sample_multiple * by_zone) - by_zone);
}

void LatencyModel::adjust_concurrency(EngineLatency& latency, double min_factor, double fair_share_slots,
                                      double used_threads, double weight) const {
  if (latency.ratio > overload_ratio && is_overloaded()) {
    latency.concurrency_factor *= 1 - decrease_share * weight;
  } else if (used_threads > used_share_to_increase * fair_share_slots * latency.concurrency_factor) {
    latency.concurrency_factor += weight * std::max(increase_share * latency.concurrency_factor,
                                                    std::min(1 / fair_share_slots, max_increase));
  }
  latency.concurrency_factor = std::clamp(latency.concurrency_factor, min_factor, max_concurrency_factor);
}

void LatencyModel::on_success(Engine& engine, const RequestState& state, const AttemptRecord& attempt,
                              Duration elapsed) {
  if (attempt.waits_for_data_load || work_.is_negligible(state)) return;
  Quantiles& type = quantiles_[static_cast<std::size_t>(state.request.type.value)];
  const double ratio = to_ms(elapsed) / work_.ideal_ms(state);
  type.p10 *= ratio < type.p10 ? p10_step_down : p10_step_up;
  type.p95 *= ratio > type.p95 ? p95_step_up : p95_step_down;
  const double sample = std::clamp(ratio / type.p10, min_sample, max_sample);
  const double weight = work_.sample_weight(state);
  EngineLatency& own = engine.latency;
  own.ratio += weight * (sample - own.ratio);
  learn_locality(engine, attempt, sample, weight);
  adjust_concurrency(own, min_engine_factor, engine.ledger.fair_share_slots(),
                     engine.ledger.reserved_threads(), weight);
  fleet_.ratio += weight * (std::min(sample, max_sample_multiple * fleet_.ratio) - fleet_.ratio);
  adjust_concurrency(fleet_, min_fleet_factor, fleet_fair_share_slots_, static_cast<int>(fleet_threads_),
                     weight);
}

void LatencyModel::on_outstanding(TimePoint now, Engine& engine, const RequestState& state,
                                  const AttemptRecord& attempt, bool is_ejected) {
  if (attempt.waits_for_data_load || work_.is_negligible(state)) return;
  const double best_ms = work_.ideal_ms(state) * p10_ratio(state.request.type);
  const double sample =
      std::min(to_ms(now - attempt.sent_at) / std::max(best_ms, 1.0), max_outstanding_sample);
  const double weight = outstanding_sample_weight * work_.sample_weight(state);
  double& own = engine.latency.ratio;
  if (sample > std::max(slow_attempt_ratio, own)) own += weight * (sample - own);
  if (is_ejected) return;
  const double fleet = fleet_.ratio;
  if (sample > slow_attempt_ratio) learn_locality(engine, attempt, sample, weight);
  if (sample > std::max(slow_attempt_ratio, fleet)) {
    fleet_.ratio += weight * (std::min(sample, max_sample_multiple * fleet) - fleet);
  }
}

void LatencyModel::on_engine_full(EngineLatency& latency) const {
  latency.concurrency_factor = std::max(latency.concurrency_factor * engine_full_decrease, min_engine_factor);
}

void LatencyModel::reset(EngineLatency& latency, bool is_first) const {
  latency.ratio = is_first ? 1 : std::max(1.0, fleet_.ratio);
}

void LatencyModel::begin_tick() {
  fleet_threads_ = 0;
  fleet_fair_share_slots_ = min_fair_share_slots;
}

// The ratio of an engine that is hardly used decays towards 1, since too few attempts would show its
// recovery.
void LatencyModel::tick(Engine& engine, bool counts_for_fleet) {
  EngineLatency& own = engine.latency;
  const double fair_share = engine.ledger.fair_share_slots();
  const int threads = engine.ledger.reserved_threads();
  if (threads < unused_share * fair_share * own.concurrency_factor) {
    own.ratio += engine_recovery * (1 - own.ratio);
  }
  if (own.ratio > overload_ratio && is_overloaded()) {
    own.concurrency_factor = std::max(own.concurrency_factor * max_overload_decay, min_engine_factor);
  }
  if (!counts_for_fleet) return;
  fleet_threads_ += threads;
  fleet_fair_share_slots_ += fair_share;
}

// The ratios of other zones and of preferred engines slowly return to the normal ones, so that both are tried
// again.
void LatencyModel::end_tick() {
  locality_.cross_zone += locality_recovery * (1 - locality_.cross_zone);
  locality_.preferred += locality_recovery * (locality_.other - locality_.preferred);
  if (fleet_threads_ < unused_share * fleet_fair_share_slots_ * fleet_.concurrency_factor) {
    fleet_.ratio += fleet_recovery * (1 - fleet_.ratio);
  }
  if (fleet_.ratio > overload_ratio && is_overloaded()) {
    fleet_.concurrency_factor = std::max(fleet_.concurrency_factor * overload_decay_, min_fleet_factor);
  }
}

}  // namespace pearchute
