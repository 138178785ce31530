#include "core/probe_scheduler.h"

#include <algorithm>

#include "core/tick_interval.h"

namespace pearchute {

namespace {

// Share of the value of all requests that is spent on probes.
constexpr double spent_share = 0.005;
constexpr double least_price = 1e-4;  // in values of a mean request
// An engine's report changes about every 0.5 s, five ticks: at most a fifth of the engines are probed in one.
constexpr double most_due_share = 0.2;

}  // namespace

ProbeScheduler::ProbeScheduler(const ServiceDefinition& service)
    : is_enabled_(service.allows_probes && service.load_reports_in_probes), price_(service.probe_cost) {}

std::vector<EngineId> ProbeScheduler::due(const EngineMap& engines, double requests_per_second) {
  std::vector<EngineId> chosen;
  if (!is_enabled_ || engines.empty()) return chosen;
  const double most = most_due_share * static_cast<double>(engines.size());
  const double earned = spent_share / std::max(price_, least_price) * requests_per_second / ticks_per_second;
  due_ += std::min(most, earned);
  for (; due_ >= 1; due_ -= 1) {
    auto next = engines.upper_bound(last_probed_);
    if (next == engines.end()) next = engines.begin();
    last_probed_ = next->first;
    if (next->second.is_up) chosen.push_back(next->first);
  }
  return chosen;
}

}  // namespace pearchute
