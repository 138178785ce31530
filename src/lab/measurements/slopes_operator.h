// How the time that operators wait grows with the instances of the fleet: for a status of all instances, and
// for a rollout over all of them.
#pragma once

#include <vector>

#include "lab/measurements/measurements.h"
#include "lab/measurements/slopes_series.h"

namespace pearchute::lab {

struct OperatorPlan {
  std::vector<int> endpoints = {50, 100, 200, 400, 800};
  int repeats = 3;  // of a status; the result is their median
  // Multiples of 20, the instances of one agent.
  std::vector<int> rollout_instances = {100, 200, 400, 800, 1000};
};

std::vector<MeasuredSeries> measure_operator_slopes(const MeasurementOptions& options,
                                                    const OperatorPlan& plan = {});

}  // namespace pearchute::lab
