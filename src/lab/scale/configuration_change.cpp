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
constexpr seconds in_force_timeout(30);
// An agent that has just started accepts no version before it has received gossip of two others.
constexpr seconds acceptance_timeout(20);

// Publishes a version and waits until it is in force at every manager. Returns the time that this took, or
// nothing if a timeout passed.
std::optional<milliseconds> publish_and_wait(ScaleCluster& cluster, int number, std::string& digest) {
  // A running manager ignores the seed, so no part of the version waits for its next start.
  const std::string content = nlohmann::json{{"seed", std::to_string(number)}}.dump();
  const std::string parent = digest;
  std::string fault;
  Time published{};
  const Time start = steady_now();
  do {
    published = steady_now();
    fault = cluster.publish(content, parent, digest);
    if (!fault.empty()) cluster.world().rest(milliseconds(100));
  } while (!fault.empty() && published - start < acceptance_timeout);
  if (!fault.empty()) {
    std::cerr << "a configuration version was not accepted: " << fault << "\n";
    return std::nullopt;
  }
  while (steady_now() - published < in_force_timeout) {
    if (cluster.managers_in_force(digest) == cluster.managers())
      return duration_cast<milliseconds>(steady_now() - published);
    cluster.world().rest(milliseconds(20));
  }
  std::cerr << "the configuration version is in force at " << cluster.managers_in_force(digest) << " of "
            << cluster.managers() << " managers\n";
  return std::nullopt;
}

}  // namespace

std::optional<milliseconds> measure_configuration_change(ScaleCluster& cluster) {
  std::string digest;
  std::optional<milliseconds> longest;
  // The first version starts an epoch, and is not measured.
  for (int number = 0; number <= measured_versions; ++number) {
    const auto duration = publish_and_wait(cluster, number, digest);
    if (!duration) return std::nullopt;
    if (number > 0) longest = std::max(longest.value_or(milliseconds(0)), *duration);
  }
  return longest;
}

}  // namespace pearchute::lab
