// Simulates agents that exchange status by levels: groups, zones, regions and the fleet. Runs the production
// decisions of fleet/level_gossip on a simulated clock and network; equal seeds give equal runs. Messages are
// lost, duplicated and late; agents are killed, suspended and partitioned; zones and regions are partitioned;
// aggregators are killed, are slow, or understate the ages of summaries. A LevelChecker checks all summaries
// against what the agents really published and when.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/level_gossip.h"

namespace pearchute::lab {

class LevelSimulation {
 public:
  // Single faults, injected one after another; each is repaired before the next.
  enum class Fault {
    aggregator_killed,
    aggregator_slow,
    aggregator_cut_one_way,
    aggregator_understates_ages,
    zone_cut,
    region_cut,
    third_restarted,
  };
  static constexpr Fault all_faults[] = {Fault::aggregator_killed,
                                         Fault::aggregator_slow,
                                         Fault::aggregator_cut_one_way,
                                         Fault::aggregator_understates_ages,
                                         Fault::zone_cut,
                                         Fault::region_cut,
                                         Fault::third_restarted};
  static std::string_view name_of(Fault fault);

  struct Shape {
    std::uint64_t seed = 1;
    int agents = 12, regions = 2, zones = 4, instances_each = 2;
    double loss = 0, doubled = 0;  // probabilities that a message is lost or duplicated
    // Random faults in the first phase: kills, suspensions, partitions of one agent, partitions of a zone or
    // region, slow agents, and an aggregator that understates ages.
    bool kills = false, stops = false, cuts = false, unit_cuts = false, slow = false, liar = false;
    fleet::Duration troubled{};                       // length of the phase with random faults
    fleet::Duration calm = std::chrono::seconds(60);  // maximum time until every agent sees the whole fleet
    fleet::Duration measured = std::chrono::seconds(10);  // time without faults in which bytes are measured
    int changes = 3;                                      // measured one after another
    std::vector<Fault> faults;                            // injected after the measurements
    fleet::Duration fault_length = std::chrono::seconds(15);
    // Enables a faulty variant that the checks have to report: the age of a summary counts from its sending.
    bool age_from_sending = false;
  };
  struct Recovery {
    Fault fault{};
    fleet::Duration recovered{};      // from the end of the fault until every agent sees the whole fleet
    std::uint64_t cut_off_blind = 0;  // agents without a fresh summary of their own region at the fault's end
  };
  struct Result {
    // Violations.
    std::uint64_t never_said = 0;      // summaries that differ from what was published
    std::uint64_t stale_as_fresh = 0;  // summaries that a reader takes for younger than they are
    std::uint64_t overruled = 0;  // 1 if, at the end, a peer has a newer summary of a writer than its own
    std::uint64_t unsettled = 0;  // agents that don't see the whole fleet, fresh, at the end
    std::uint64_t checks = 0, summaries_written = 0;
    // Payload of an agent per second without faults, from estimated message sizes.
    double bytes_mean = 0, bytes_max = 0, received_max = 0, messages_mean = 0, messages_max = 0;
    std::uint64_t summaries_kept_max = 0;
    // From the end of the random faults (without them: from the start window's end) until every agent sees
    // the whole fleet.
    fleet::Duration settled{};
    std::vector<fleet::Duration> spread;  // from a change until every agent's fleet summary includes it
    fleet::Duration age_max{};            // maximum age of the fleet's summary at any agent, without faults
    std::vector<Recovery> recoveries;
    double gap_share = 0;             // share of the samples of it that lacked some agent, without faults
    std::uint64_t digest = 0;         // equal for equal runs
    std::vector<std::string> faults;  // the first few violations, as text
    bool clean() const { return never_said + stale_as_fresh + overruled + unsettled == 0; }
  };

  explicit LevelSimulation(const Shape& shape);
  ~LevelSimulation();
  LevelSimulation(const LevelSimulation&) = delete;
  LevelSimulation& operator=(const LevelSimulation&) = delete;
  // Runs the whole simulation. Call once.
  Result play();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace pearchute::lab
