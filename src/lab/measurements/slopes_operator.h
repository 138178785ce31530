// What operators wait for, against the instances of the fleet: a status of all, and a rollout over all.
#pragma once

#include <vector>

#include "lab/measurements/measurements.h"
#include "lab/measurements/slopes_series.h"

namespace pearchute::lab {

struct OperatorPlan {
  std::vector<int> endpoints = {50, 100, 200, 400, 800};
  int repeats = 3;                                                  // of a status, of which the median counts
  std::vector<int> rollout_instances = {100, 200, 400, 800, 1000};  // multiples of 20
};

std::vector<MeasuredSeries> measure_operator_slopes(const Bench& bench, const OperatorPlan& plan = {});

}  // namespace pearchute::lab
