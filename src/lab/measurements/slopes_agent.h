// How an agent's traffic, processor time, memory and disk writes at rest grow with the agents of the fleet
// and with the instances that it owns.
#pragma once

#include <chrono>
#include <vector>

#include "lab/measurements/measurements.h"
#include "lab/measurements/slopes_series.h"

namespace pearchute::lab {

struct AgentPlan {
  std::vector<int> agents = {3, 6, 12, 20, 30};  // as processes, one instance each
  std::vector<int> instances = {2, 4, 8, 16};    // of each of two agents
  int windows = 3;                               // the result is their median
  // Longer than the backoff after which an agent retries a peer that did not answer during the start.
  std::chrono::milliseconds warm_up{2500};
  std::chrono::milliseconds window{2500};
};

std::vector<MeasuredSeries> measure_agent_slopes(const MeasurementOptions& options,
                                                 const AgentPlan& plan = {});

}  // namespace pearchute::lab
