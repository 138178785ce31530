// Simulates agents that gossip the status of their instances. Runs the production decisions of
// fleet/gossip_state and fleet/anti_entropy_scheduler on a simulated clock and network; equal seeds give
// equal runs. Messages are lost, duplicated, late and reordered; agents are killed (their disk is kept, lost,
// or restored from an older copy), suspended and partitioned; agents' configured peers differ. The simulation
// records what each agent published when, and checks what the others know against that record.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "fleet/anti_entropy_scheduler.h"
#include "fleet/gossip_state.h"

namespace pearchute::lab {

class GossipSimulation {
 public:
  struct Shape {
    std::uint64_t seed = 1;
    int agents = 5, instances_each = 4;
    double loss = 0, doubled = 0;  // probabilities that a message is lost or duplicated
    // Maximum size of an answer, bytes.
    std::size_t most_in_answer = fleet::GossipState::default_max_answer_bytes;
    // Faults: kills, suspensions, partitions, and agents removed from another's configured peers and added
    // again.
    bool kills = false, stops = false, cuts = false, drops = false;
    fleet::Duration troubled = std::chrono::seconds(60);  // length of the phase with changes and faults
    fleet::Duration calm = std::chrono::seconds(30);      // maximum time until all agree afterwards
  };
  struct Result {
    // Violations.
    std::uint64_t never_said = 0;      // reports, or sets of reports under a version, never published as such
    std::uint64_t stale_as_newer = 0;  // reports that their reader takes for younger than they are
    std::uint64_t overruled = 0;  // pairs in which a peer knows a greater incarnation than the agent's own
    std::uint64_t apart = 0;      // pairs in which one lacks the other's latest reports at the end
    std::uint64_t questions = 0, bytes = 0;
    std::uint64_t most_answer = 0, most_kept = 0;  // largest answer and largest state of an agent, bytes
    std::uint64_t changes = 0, digest = 0;         // digest: equal for equal runs
    double bytes_a_second = 0;                     // sent by an agent without faults, mean
    std::vector<fleet::Duration> spread;           // from a change without faults until every agent knows it
    fleet::Duration settled{};                     // from the end of the faults until all agents agree
    std::vector<std::string> faults;               // the first few violations, as text
    bool clean() const { return never_said + stale_as_newer + overruled + apart == 0; }
  };
  explicit GossipSimulation(const Shape& shape);
  ~GossipSimulation();
  GossipSimulation(const GossipSimulation&) = delete;
  GossipSimulation& operator=(const GossipSimulation&) = delete;
  // Runs the whole simulation. Call once.
  Result play();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace pearchute::lab
