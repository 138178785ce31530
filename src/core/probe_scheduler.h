// Schedules probes of engines that report their load only in answers to probes. Engines are probed in turn,
// as often as the cost of probes allows, and no more often than their reported load changes.
#pragma once

#include <vector>

#include "core/engine.h"
#include "core/types.h"

namespace pearchute {

// Maintains the next engine in turn and the number of probes that are due.
class ProbeScheduler {
 public:
  explicit ProbeScheduler(const ServiceDefinition& service);
  // Returns the engines to probe now; called once per tick. No engines if probes do not report the load.
  std::vector<EngineId> due(const EngineMap& engines, double requests_per_second);

 private:
  bool is_enabled_;
  double probe_cost_;  // of one probe, relative to the value of a mean request
  double due_probes_ = 0;
  EngineId last_probed_{};
};

}  // namespace pearchute
