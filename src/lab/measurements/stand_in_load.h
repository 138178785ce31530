// How busy the loop of a laboratory's stand-ins is: a measurement is void where the stand-ins are the
// bottleneck.
#pragma once

#include <chrono>

#include "lab/stand_ins/test_cluster.h"

namespace pearchute::lab {

// Above this share of one core the stand-ins may be late, and a point that was taken meanwhile is void.
inline constexpr double most_stand_in_share = 0.7;

// The share of a core that the loop's thread used since the meter was made.
class StandInLoadMeter {
 public:
  explicit StandInLoadMeter(TestCluster& cluster);
  double share();
  // Throws TestClusterError above the bound, and keeps the largest share seen.
  void require_below_bound(double& largest_share);

 private:
  std::chrono::nanoseconds thread_cpu_time();

  TestCluster& cluster_;
  const std::chrono::steady_clock::time_point started_at_;
  const std::chrono::nanoseconds started_cpu_;
};

}  // namespace pearchute::lab
