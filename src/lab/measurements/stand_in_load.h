// Measures the load of the stand-ins' event loop: a measurement is void where the stand-ins are the
// bottleneck.
#pragma once

#include <chrono>

#include "lab/stand_ins/test_cluster.h"

namespace pearchute::lab {

// Above this share of one core the stand-ins may answer late, and a point measured meanwhile is void.
inline constexpr double max_stand_in_share = 0.7;

// The share of one core that the loop's thread has used since the construction of the meter.
class StandInLoadMeter {
 public:
  explicit StandInLoadMeter(TestCluster& cluster);
  double share();
  // Raises `largest_share` to the share so far. Throws TestClusterError where it is above max_stand_in_share.
  void require_below_bound(double& largest_share);

 private:
  std::chrono::nanoseconds thread_cpu_time();

  TestCluster& cluster_;
  const std::chrono::steady_clock::time_point started_at_;
  const std::chrono::nanoseconds started_cpu_;
};

}  // namespace pearchute::lab
