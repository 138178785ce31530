// What is caused in a scale run, each by the plan's seed, and how long it takes until every agent knows every
// other one as fresh again. Meanwhile it is checked from outside that nobody calls fresh what can't be.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lab/scale/scale_cluster.h"

namespace pearchute::lab {

enum class ScaleFault { ordinary, rack, zone, regions, third, primary, configuration };
std::string_view name_of(ScaleFault fault);
std::vector<ScaleFault> all_scale_faults();
// "third,zone"; empty: all. Throws UsageError.
std::vector<ScaleFault> scale_faults_in(const std::string& text);

class FaultInjector {
 public:
  FaultInjector(ScaleCluster& cluster, const ScalePlan& plan) : cluster_(cluster), plan_(plan) {}

  // Until all is known again, from the moment the fault is mended: hosts are started again, a cut ends; none
  // where the bound is passed. Not for a change of primary, which measure_primary_change() has.
  std::optional<std::chrono::milliseconds> strike(ScaleFault fault);
  std::uint64_t stale_as_fresh() const { return stale_as_fresh_; }

 private:
  void hold(const Expected& expected);
  Time lose_racks(const std::set<std::size_t>& racks);
  Time cut_regions();
  Time restart_third(std::uint64_t salt);
  Time restart_one_by_one();

  ScaleCluster& cluster_;
  const ScalePlan& plan_;
  std::uint64_t stale_as_fresh_ = 0;
};

// The engine at home for a group of tables fails and leaves the list; later it comes back, cold.
struct PrimaryChange {
  std::string home;
  double home_share = 0;  // of the group's statements that it had before
  // From its end to the first statement of those that are all served on time again; none: not within the
  // bound.
  std::optional<std::chrono::milliseconds> over;
  // Windows in which the engine that came back was sent more than the rule for cold engines allows, and the
  // worst one as a share of that.
  std::uint64_t cold_over_limit = 0;
  double cold_most_of_limit = 0;
};
PrimaryChange measure_primary_change(TestCluster& world, const ColdRule& cold, int cores);

// From its publication at one agent until every manager, real and hollow, has a version in force; none where
// that takes longer than the bound. Settings that a manager takes while it runs, by a few versions in turn.
std::optional<std::chrono::milliseconds> measure_configuration_change(ScaleCluster& cluster);

}  // namespace pearchute::lab
