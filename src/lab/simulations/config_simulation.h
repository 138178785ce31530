// Simulates agents that spread configuration versions. Runs the production decisions of fleet/config_version
// and fleet/config_spread on a simulated clock and network; equal seeds give equal runs. Messages are lost,
// duplicated, late and reordered; agents are killed before and after a write and are suspended; disks are
// lost or restored from an older copy; zones and regions are partitioned while both sides publish. The
// simulation checks the rules itself, from the state of all agents and instances.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "fleet/config_spread.h"

namespace pearchute::lab {

class ConfigSimulation {
 public:
  // `sound` is the production behaviour. The others are faulty on purpose, and the checks have to report
  // them.
  enum class Variant { sound, tells_before_write, applies_unverified };
  struct Shape {
    std::uint64_t seed = 1;
    int agents = 5, instances_each = 1, zones = 7, regions = 2;
    double loss = 0, repeated = 0;  // probabilities per message, in the phase with faults
    double calm_loss = 0;           // probability per message, in the phase without faults
    // Faults: kills, lost or restored disks (only together with kills), suspensions, partitions.
    bool kills = false, disks = false, stops = false, cuts = false;
    Variant variant = Variant::sound;
    fleet::Duration troubled = std::chrono::seconds(40);  // length of the phase with faults
    fleet::Duration calm = std::chrono::seconds(60);      // maximum time until all agree afterwards
    fleet::Duration between_publications = std::chrono::seconds(3);  // mean, in the phase with faults
    int calm_publications = 3;   // measured one after another, without faults
    std::size_t content = 2000;  // size of a document, bytes
  };
  struct Result {
    // Violations. regressed: an instance went back to an older version, or an agent that kept its disk
    // restarted with an older version than it had sent.
    std::uint64_t regressed = 0;
    std::uint64_t forgotten = 0;  // confirmed versions that are neither in force nor superseded at the end
    std::uint64_t wrongly_in_force = 0;  // reports of a version in force at an instance that never had it
    std::uint64_t disagreeing = 0;       // agents or instances that differ at the end
    // Not a violation: older versions that instances refused from agents with an older disk.
    std::uint64_t refused_older = 0;
    std::uint64_t published = 0, confirmed = 0, stale_parents = 0, conflicts = 0, kills = 0, disks_lost = 0;
    std::uint64_t messages = 0, bytes = 0;
    std::uint64_t most_message = 0;  // size of the largest message, bytes
    std::uint64_t digest = 0;        // equal for equal runs
    // For each publication without faults: the time until it is in force at all instances, and until its
    // author knows that.
    std::vector<fleet::Duration> in_force, acknowledged;
    fleet::Duration settled{};        // from the end of the faults until all agents agree
    double rest_bytes_a_second = 0;   // sent by an agent without publications, mean
    double busy_bytes_a_second = 0;   // sent by an agent in at least ten seconds from a publication, mean
    std::vector<std::string> faults;  // the first few violations, as text
    bool clean() const { return regressed + forgotten + wrongly_in_force + disagreeing == 0; }
  };
  explicit ConfigSimulation(const Shape& shape);
  ~ConfigSimulation();
  ConfigSimulation(const ConfigSimulation&) = delete;
  ConfigSimulation& operator=(const ConfigSimulation&) = delete;
  // Runs the whole simulation. Call once.
  Result play();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace pearchute::lab
