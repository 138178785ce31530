#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

#include "lab/scale/scale_faults.h"

namespace pearchute::lab {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int measured_versions = 3;
constexpr seconds in_force_within(30);
// An agent that has just started takes no version before it has heard two others.
constexpr seconds accepted_within(20);

// Publishes a version, and waits until every manager has it.
std::optional<milliseconds> change(ScaleCluster& cluster, int number, std::string& digest) {
  // What a manager passes over while it runs, so that no part waits for its next start.
  const std::string content = nlohmann::json{{"seed", std::to_string(number)}}.dump();
  const std::string parent = digest;
  std::string fault;
  Time published{};
  const Time begun = steady_now();
  do {
    published = steady_now();
    fault = cluster.publish(content, parent, digest);
    if (!fault.empty()) cluster.world().rest(milliseconds(100));
  } while (!fault.empty() && published - begun < accepted_within);
  if (!fault.empty()) {
    std::cerr << "a version of the configuration is not accepted: " << fault << "\n";
    return std::nullopt;
  }
  while (steady_now() - published < in_force_within) {
    if (cluster.managers_in_force(digest) == cluster.managers())
      return duration_cast<milliseconds>(steady_now() - published);
    cluster.world().rest(milliseconds(20));
  }
  std::cerr << "in force at " << cluster.managers_in_force(digest) << " of " << cluster.managers()
            << " managers\n";
  return std::nullopt;
}

}  // namespace

std::optional<milliseconds> measure_configuration_change(ScaleCluster& cluster) {
  std::string digest;
  std::optional<milliseconds> longest;
  // The first begins an epoch, and is not measured.
  for (int number = 0; number <= measured_versions; ++number) {
    const auto took = change(cluster, number, digest);
    if (!took) return std::nullopt;
    if (number > 0) longest = std::max(longest.value_or(milliseconds(0)), *took);
  }
  return longest;
}

}  // namespace pearchute::lab
