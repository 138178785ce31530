#include "core/probe_scheduler.h"

#include <algorithm>

#include "core/tick_interval.h"

namespace pearchute {

namespace {

// The share of the value of all requests that may be spent on probes.
constexpr double probe_budget_share = 0.005;
constexpr double min_probe_cost = 1e-4;  // relative to the value of a mean request
// The load that an engine reports changes about every 0.5 s, which is five ticks, so at most a fifth of the
// engines are probed per tick.
constexpr double max_due_share = 0.2;

}  // namespace

ProbeScheduler::ProbeScheduler(const ServiceDefinition& service)
    : is_enabled_(service.allows_probes && service.load_reports_in_probes), probe_cost_(service.probe_cost) {}

std::vector<EngineId> ProbeScheduler::due(const EngineMap& engines, double requests_per_second) {
  std::vector<EngineId> chosen;
  if (!is_enabled_ || engines.empty()) return chosen;
  const double max_due = max_due_share * static_cast<double>(engines.size());
  const double affordable =
      probe_budget_share / std::max(probe_cost_, min_probe_cost) * requests_per_second / ticks_per_second;
  due_probes_ += std::min(max_due, affordable);
  for (; due_probes_ >= 1; due_probes_ -= 1) {
    auto next = engines.upper_bound(last_probed_);
    if (next == engines.end()) next = engines.begin();
    last_probed_ = next->first;
    if (next->second.is_up) chosen.push_back(next->first);
  }
  return chosen;
}

}  // namespace pearchute
