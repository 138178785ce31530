// Agents that exchange status by levels, on a simulated clock and network, deterministic by its seed: the
// real decisions of fleet/level_gossip with messages that are lost, doubled and late, agents that are killed,
// stopped and cut off, zones and regions that are cut off, aggregators that die, are slow, or understate
// ages. What breaks a rule is seen from outside, by what each agent really said when.
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
  // Single faults that are injected one after another, each healed before the next.
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
    double loss = 0, doubled = 0;  // of messages
    bool kills = false, stops = false, cuts = false, unit_cuts = false, slow = false, liar = false;
    fleet::Duration troubled{};                           // a phase of random trouble before the calm
    fleet::Duration calm = std::chrono::seconds(60);      // at most, until all is fresh again
    fleet::Duration measured = std::chrono::seconds(10);  // without faults, for the bytes
    int changes = 3;                                      // measured one after another
    std::vector<Fault> faults;
    fleet::Duration fault_length = std::chrono::seconds(15);
    // A broken variant that the checks have to catch: the age of a summary counted from when it was sent.
    bool age_from_sending = false;
  };
  struct Recovery {
    Fault fault{};
    fleet::Duration recovered{};      // from its end until every agent's summaries are whole and fresh
    std::uint64_t cut_off_blind = 0;  // agents without a fresh summary of their own region at its end
  };
  struct Result {
    std::uint64_t never_said = 0;      // summaries that differ from what was said
    std::uint64_t stale_as_fresh = 0;  // summaries taken for younger than they are
    std::uint64_t overruled = 0;       // agents whose own past stands against them at the end
    std::uint64_t unsettled = 0;       // agents whose summaries are not whole and fresh at the end
    std::uint64_t checks = 0, summaries_written = 0;
    // Sent by an agent per second without faults: payload, by the estimates of the size of a message.
    double bytes_mean = 0, bytes_max = 0, received_max = 0, messages_mean = 0, messages_max = 0;
    std::uint64_t summaries_kept_max = 0;
    fleet::Duration settled{};            // from the end of the trouble, or the start
    std::vector<fleet::Duration> spread;  // from a change until every agent's fleet summary has it
    fleet::Duration age_max{};            // of the fleet's summary, at any agent, without faults
    std::vector<Recovery> recoveries;
    double gap_share = 0;  // of the looks at it that lacked some agent, without faults
    std::uint64_t digest = 0;
    std::vector<std::string> faults;  // the first few, in words
    bool clean() const { return never_said + stale_as_fresh + overruled + unsettled == 0; }
  };

  explicit LevelSimulation(const Shape& shape);
  ~LevelSimulation();
  LevelSimulation(const LevelSimulation&) = delete;
  LevelSimulation& operator=(const LevelSimulation&) = delete;
  Result play();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace pearchute::lab
