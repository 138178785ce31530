#include "lab/measurements/stand_in_load.h"

#include <algorithm>
#include <ctime>

#include "errors/error.h"

namespace pearchute::lab {

StandInLoadMeter::StandInLoadMeter(TestCluster& cluster)
    : cluster_(cluster), started_at_(std::chrono::steady_clock::now()), started_cpu_(thread_cpu_time()) {}

std::chrono::nanoseconds StandInLoadMeter::thread_cpu_time() {
  return cluster_.on([] {
    timespec used{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
  });
}

double StandInLoadMeter::share() {
  const std::chrono::duration<double> used = thread_cpu_time() - started_cpu_;
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - started_at_;
  return elapsed.count() > 0 ? used.count() / elapsed.count() : 0;
}

void StandInLoadMeter::require_below_bound(double& largest_share) {
  const double now = share();
  largest_share = std::max(largest_share, now);
  if (now <= max_stand_in_share) return;
  throw TestClusterError("the stand-ins used " + std::to_string(now) + " of a core, over the bound of " +
                             std::to_string(max_stand_in_share) + "; the point is void",
                         cluster_.folder(), "measure on a machine with less other load");
}

}  // namespace pearchute::lab
