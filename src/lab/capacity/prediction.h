// The figures that the slopes predict for a scale run without traffic. `measure scale` measures the same
// figures under the same names.
#pragma once

#include <vector>

#include "lab/capacity/costs.h"
#include "lab/capacity/slope.h"
#include "lab/capacity/target.h"

namespace pearchute::lab::capacity {

struct ScaleSize {
  double managers = 0;
  double engines = 0;
  double agents = 0;
  Spreading spreading = Spreading::all_with_all;
};

struct ScalePrediction {
  Figure control_bytes_per_s_mean;  // sent by an agent
  Figure control_cpu_share_max;     // of a core, by a manager with its share of the agent
  Figure control_memory_mb_max;     // of a manager with its share of the agent
};

// Throws SlopeError if a required slope is missing or unusable, or if levels are asked for without their
// slope.
ScalePrediction predict_scale(const Target& target, const std::vector<Slope>& slopes, const ScaleSize& size);

}  // namespace pearchute::lab::capacity
