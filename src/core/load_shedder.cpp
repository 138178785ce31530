#include "core/load_shedder.h"

#include <algorithm>

#include "core/tick_interval.h"
#include "core/units.h"

namespace pearchute {

namespace {

// Request rates are smoothed over about this time, costs over about a minute.
constexpr double rate_window_s = 5;
constexpr double rate_decay = 0.98;
constexpr double cost_decay = 0.998;
// Factors per tick: the threshold falls fast while requests wait, and rises slowly otherwise. It never falls
// below the mean cost, where it would shed the most valuable requests and leave engines idle.
constexpr double threshold_decrease_factor = 0.9;
constexpr double threshold_increase_factor = 1.06;
constexpr int late_ticks_to_shed = 2;
constexpr int max_late_ticks = 10;
constexpr double min_sum = 1e-9;
constexpr double min_work_ms = 1e-3;

}  // namespace

LoadShedder::LoadShedder(const ServiceDefinition& service, const WorkModel& work)
    : work_(work),
      over_quota_weight_(service.over_quota_weight),
      tenant_rates_per_second_(service.tenants.size()),
      threshold_(infinite) {
  double sum = min_sum;
  for (const Tenant& tenant : service.tenants) sum += tenant.quota_per_second;
  for (const Tenant& tenant : service.tenants) tenant_shares_.push_back(tenant.quota_per_second / sum);
}

// The value per ms of work. No manager knows all traffic of a tenant, so the tenant's share of the requests
// at this manager is compared with its share of all quotas; requests beyond that are worth less.
double LoadShedder::value_density(const RequestState& state) const {
  double value = std::max(work_.type(state).priority_weight, min_sum);
  if (const int tenant = state.request.tenant.value; tenant >= 0) {
    const auto at = static_cast<std::size_t>(tenant);
    const double quota = tenant_shares_[at] * requests_per_second_;
    const double over_quota_share =
        std::max(0.0, 1 - quota / std::max(tenant_rates_per_second_[at], min_sum));
    value *= 1 - over_quota_share * (1 - over_quota_weight_);
  }
  return value / std::max(work_.corrected_work_ms(state), min_work_ms);
}

double LoadShedder::on_request(const RequestState& state) {
  if (const int tenant = state.request.tenant.value; tenant >= 0) {
    tenant_rates_per_second_[static_cast<std::size_t>(tenant)] += 1.0 / rate_window_s;
  }
  requests_per_second_ += 1.0 / rate_window_s;
  const double cost = 1 / value_density(state);
  max_recent_cost_ = std::max(max_recent_cost_, cost);
  recent_work_ms_ += state.work_ms;
  recent_weight_ += state.work_ms / cost;
  mean_cost_ = recent_work_ms_ / std::max(recent_weight_, min_sum);
  return cost;
}

// If this manager's own processor core is overloaded, requests that cost more than the mean are shed
// regardless of their size; otherwise all answers would be late.
bool LoadShedder::sheds(double cost, bool is_small) const {
  const bool engines_are_overloaded = cost > threshold_ && !is_small;
  const bool own_core_is_overloaded = late_ticks_ >= late_ticks_to_shed && cost > mean_cost_;
  return engines_are_overloaded || own_core_is_overloaded;
}

void LoadShedder::on_tick(TimePoint now, Duration lateness_bound) {
  const bool is_late = next_tick_at_ > TimePoint{} && now > next_tick_at_ + lateness_bound;
  late_ticks_ = is_late ? std::min(late_ticks_ + 1, max_late_ticks) : std::max(late_ticks_ - 1, 0);
  next_tick_at_ = now + tick_interval;
}

void LoadShedder::decay() {
  requests_per_second_ *= rate_decay;
  recent_work_ms_ *= cost_decay;
  recent_weight_ *= cost_decay;
  for (double& rate : tenant_rates_per_second_) rate *= rate_decay;
}

void LoadShedder::adjust_threshold(bool is_queue_delayed) {
  max_recent_cost_ = std::max(max_recent_cost_ * cost_decay, mean_cost_);
  if (is_queue_delayed) {
    threshold_ = std::max(std::min(threshold_, max_recent_cost_) * threshold_decrease_factor, mean_cost_);
    return;
  }
  threshold_ *= threshold_increase_factor;
  if (threshold_ > max_recent_cost_) threshold_ = infinite;
}

}  // namespace pearchute
