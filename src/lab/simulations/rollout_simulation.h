// Simulates rollouts over a fleet of agents and instances. Runs the production decisions of fleet/ (leases,
// instance lifecycles, lease owners, rollouts) on a simulated clock and network; equal seeds give equal runs.
// Agents are killed at named points, suspended or partitioned; messages are lost, duplicated and late. The
// simulation checks the rules itself, by what happens to the instances.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fleet/lease_owner.h"
#include "fleet/rollout.h"

namespace pearchute::lab {

class RolloutSimulation {
 public:
  struct Shape {
    std::uint64_t seed = 1;
    int agents = 3, instances_each = 2, zones = 2;
    double loss = 0, doubled = 0;  // probabilities that a message is lost or duplicated
    // The kill point at which an agent is killed: one of all_points(), "random" for any of those that the run
    // reaches, or empty for none.
    std::string kill_at = "";
    // The agent that is killed: "passer" for the one that reaches the point, "coordinator" for the one that
    // coordinates the first rollout, or "both".
    std::string kill_whom = "passer";
    int kill_pass = 1;                // the agent is killed when the point is reached for this time, from 1
    bool comes_back = true;           // killed agents are started again
    double cut_off = 0, stopped = 0;  // probabilities that one agent is partitioned or suspended for a while
    double falls = 0;                 // probability that a version other than 1 crashes right after its start
    double hangs = 0;                 // probability that an instance ignores requests to shut down
    bool rival = false;               // a second operator starts a rollout that takes over the leases
  };
  struct Result {
    bool over = false;
    fleet::Rollout::State state{};
    // Violations.
    std::uint64_t unknown_states = 0;  // instances at the end whose real state isn't what their agent records
    std::uint64_t fence_breaks = 0;    // steps accepted under an old fence
    std::uint64_t below_floor = 0;     // instances taken out of service below their zone's minimum
    std::uint64_t early_give_ups = 0;  // leases that expired at the agent before they did at the coordinator
    std::uint64_t messages = 0, decisions = 0, steps = 0;
    bool killed = false;
    fleet::Duration lasted{};             // of the rollout
    fleet::Duration recovery{};           // from the kill until no step, lease or unsettled instance is left
    double decision_us = 0;               // wall time per decision, mean
    std::set<std::string> points;         // kill points that were reached
    bool going_back = false;              // the first rollout was rolled back
    std::map<std::string, int> versions;  // running at the end, by instance; 0: no process
    std::vector<std::string> faults;      // the first few violations, as text
  };
  explicit RolloutSimulation(const Shape& shape);
  ~RolloutSimulation();
  RolloutSimulation(const RolloutSimulation&) = delete;
  RolloutSimulation& operator=(const RolloutSimulation&) = delete;
  // Runs the plan over all instances; its targets are filled in here. Call once.
  Result play(fleet::RolloutPlan plan);
  // Returns the names of all kill points.
  static const std::vector<std::string>& all_points();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace pearchute::lab
