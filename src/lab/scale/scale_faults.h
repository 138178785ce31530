// The faults of a scale run, whose targets are drawn by the seed of the plan, and the time until every agent
// has fresh gossip of every other one again. During a fault, no agent may mark gossip of an unreachable agent
// as fresh.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lab/scale/scale_cluster.h"

namespace pearchute::lab {

// The enumerators have the names of the faults on the command line and in the report:
// ordinary: some hollow hosts and a real agent restart, one after another;
// rack, zone: all hollow hosts of a rack or a zone fail for five seconds;
// regions: the two regions are cut off from each other for five seconds;
// third: a third of the hollow hosts restarts at the same time;
// primary: the home engine of a group of tables fails;
// configuration: new configuration versions are published.
enum class ScaleFault { ordinary, rack, zone, regions, third, primary, configuration };
std::string_view name_of(ScaleFault fault);
std::vector<ScaleFault> all_scale_faults();
// Parses a list such as "third,zone"; an empty one stands for all faults. Throws UsageError.
std::vector<ScaleFault> scale_faults_in(const std::string& text);

class FaultInjector {
 public:
  FaultInjector(ScaleCluster& cluster, const ScalePlan& plan) : cluster_(cluster), plan_(plan) {}

  // Causes the fault and ends it. Returns the time from its end until every agent has fresh gossip of every
  // other one, or nothing after 60 s. Throws UsageError for the faults primary and configuration, which
  // measure_primary_change() and measure_configuration_change() cause.
  std::optional<std::chrono::milliseconds> strike(ScaleFault fault);
  std::uint64_t stale_as_fresh() const { return stale_as_fresh_; }

 private:
  void check_during_fault(const ExpectedGossip& expected);
  Time fail_racks(const std::set<std::size_t>& racks);
  Time cut_regions();
  Time restart_third(std::uint64_t salt);
  Time restart_one_by_one();

  ScaleCluster& cluster_;
  const ScalePlan& plan_;
  std::uint64_t stale_as_fresh_ = 0;
};

// The home engine of a group of tables fails and is removed from the endpoint list. Later it returns, cold.
struct PrimaryChange {
  std::string home;       // name of the engine
  double home_share = 0;  // its share of the group's statements before the failure
  // The time from the failure to the first of twenty consecutive statements that are served on time. Nothing
  // if that takes more than 20 s.
  std::optional<std::chrono::milliseconds> over;
  // The number of windows in which the returned engine received more work than the slow-start rule allows,
  // and the work of the worst window relative to the limit.
  std::uint64_t cold_over_limit = 0;
  double cold_most_of_limit = 0;
};
PrimaryChange measure_primary_change(TestCluster& cluster, const ColdRule& cold, int cores);

// Publishes a few configuration versions in turn at one agent. Returns the longest time until a version is in
// force at every manager, real and hollow, or nothing if a version is not accepted within 20 s or not in
// force within 30 s.
std::optional<std::chrono::milliseconds> measure_configuration_change(ScaleCluster& cluster);

}  // namespace pearchute::lab
