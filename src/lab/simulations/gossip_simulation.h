// Agents that tell each other of their instances on a simulated clock and network, deterministic by its seed:
// the real decisions of fleet/bulletin and fleet/asking, with messages that are lost, doubled, late and
// overtaken, agents that are killed (their disk kept, lost, or put back from an older copy), stopped and cut
// off, charters that differ. What breaks a rule is seen from outside, by what each agent really said when.
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
    double loss = 0, doubled = 0;  // of messages
    std::size_t most_in_answer = fleet::GossipState::default_max_answer_bytes;
    bool kills = false, stops = false, cuts = false,
         drops = false;  // drops: agents out of some charters, and back
    fleet::Duration troubled = std::chrono::seconds(60), calm = std::chrono::seconds(30);
  };
  struct Result {
    std::uint64_t never_said = 0;      // words that their agent has not said under that number
    std::uint64_t stale_as_newer = 0;  // word that is said to be newer than it is
    std::uint64_t overruled = 0;       // agents whose own past stands against them at the end
    std::uint64_t apart = 0;           // pairs that do not know each other's word whole and fresh at the end
    std::uint64_t questions = 0, bytes = 0, most_answer = 0, most_kept = 0;
    std::uint64_t changes = 0, digest = 0;
    double bytes_a_second = 0;            // that an agent sends, on average
    std::vector<fleet::Duration> spread;  // from a change in the calm until every agent knows of it
    fleet::Duration settled{};            // from the end of the trouble until all know all
    std::vector<std::string> faults;      // the first few, in words
    bool clean() const { return never_said + stale_as_newer + overruled + apart == 0; }
  };
  explicit GossipSimulation(const Shape& shape);
  ~GossipSimulation();
  GossipSimulation(const GossipSimulation&) = delete;
  GossipSimulation& operator=(const GossipSimulation&) = delete;
  Result play();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace pearchute::lab
