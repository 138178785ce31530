// Probes of engines whose load only probes report: in turn, as many as their price allows, and none to an
// engine more often than its report changes.
#pragma once

#include <vector>

#include "core/engine.h"
#include "core/types.h"

namespace pearchute {

// Keeps which engine is next, and how many probes are due.
class ProbeScheduler {
 public:
  explicit ProbeScheduler(const ServiceDefinition& service);
  // The engines to probe now. Called once a tick.
  std::vector<EngineId> due(const EngineMap& engines, double requests_per_second);

 private:
  bool is_enabled_;
  double price_;  // of a probe, in requests' worth
  double due_ = 0;
  EngineId last_probed_{};
};

}  // namespace pearchute
