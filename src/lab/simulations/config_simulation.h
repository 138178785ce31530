// Agents that spread configuration versions on a simulated clock and network, deterministic by its seed: the
// real decisions of fleet/config_version and fleet/config_spread, with messages that are lost, repeated, late
// and reordered, agents that are killed at each point of a write, disks that are lost or put back from an
// older copy, agents that stop, and cuts of zones and regions with both sides publishing. What breaks a rule
// is seen from outside.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "fleet/config_spread.h"

namespace pearchute::lab {

class ConfigSimulation {
 public:
  // Broken ones have to be caught by the checker.
  enum class Variant { sound, tells_before_write, applies_unverified };
  struct Shape {
    std::uint64_t seed = 1;
    int agents = 5, instances_each = 1, zones = 7, regions = 2;
    double loss = 0, repeated = 0;  // of messages, while there is trouble
    double calm_loss = 0;
    bool kills = false, disks = false, stops = false, cuts = false;
    Variant variant = Variant::sound;
    fleet::Duration troubled = std::chrono::seconds(40), calm = std::chrono::seconds(60);
    fleet::Duration between_publications = std::chrono::seconds(3);  // while there is trouble, on average
    int calm_publications = 3;
    std::size_t content = 2000;  // bytes of a document
  };
  struct Result {
    std::uint64_t regressed = 0;  // replaced by an older version, or less on disk than was told
    std::uint64_t forgotten = 0;  // confirmed, and neither in force nor superseded at the end
    std::uint64_t wrongly_in_force = 0;
    std::uint64_t disagreeing = 0;    // agents or instances that differ at the end
    std::uint64_t refused_older = 0;  // by managers, from agents with an older disk; no fault
    std::uint64_t published = 0, confirmed = 0, stale_parents = 0, conflicts = 0, kills = 0, disks_lost = 0;
    std::uint64_t messages = 0, bytes = 0, most_message = 0, digest = 0;
    std::vector<fleet::Duration> in_force, acknowledged;  // of each calm publication, everywhere
    fleet::Duration settled{};                            // from the end of the trouble until all agree
    double rest_bytes_a_second = 0;                       // that an agent sends, on average
    double busy_bytes_a_second = 0;                       // the same over the ten seconds after a publication
    std::vector<std::string> faults;                      // the first few, in words
    bool clean() const { return regressed + forgotten + wrongly_in_force + disagreeing == 0; }
  };
  explicit ConfigSimulation(const Shape& shape);
  ~ConfigSimulation();
  ConfigSimulation(const ConfigSimulation&) = delete;
  ConfigSimulation& operator=(const ConfigSimulation&) = delete;
  Result play();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace pearchute::lab
