// What the slopes predict for a scale run: the figures at rest that `measure scale` measures under the same
// names. Pure.
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
  Figure control_cpu_share_max;     // of a core, of a manager with its share of the agent
  Figure control_memory_mb_max;     // the same
};

// Throws SlopeError where the slopes don't suffice, and for levels where no slope of them is there.
ScalePrediction predict_scale(const Target& target, const std::vector<Slope>& slopes, const ScaleSize& size);

}  // namespace pearchute::lab::capacity
