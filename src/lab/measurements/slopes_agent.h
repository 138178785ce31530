// What an agent exchanges, uses and writes at rest, against the agents of the fleet and against the instances
// that it owns.
#pragma once

#include <chrono>
#include <vector>

#include "lab/measurements/measurements.h"
#include "lab/measurements/slopes_series.h"

namespace pearchute::lab {

struct AgentPlan {
  std::vector<int> agents = {3, 6, 12, 20, 30};  // as processes, one instance each
  std::vector<int> instances = {2, 4, 8, 16};    // of each of two agents
  int windows = 3;                               // of which the median counts
  // Longer than the pause after which an agent asks again one that did not answer while all were starting.
  std::chrono::milliseconds warm_up{2500};
  std::chrono::milliseconds window{2500};
};

std::vector<MeasuredSeries> measure_agent_slopes(const Bench& bench, const AgentPlan& plan = {});

}  // namespace pearchute::lab
