// A fleet of agents and instances on a simulated clock and network, deterministic by its seed: the real
// decisions of fleet/ (leases, lives, keepers, rollouts), with agents that are killed at named points,
// stopped or cut off, and messages that are lost, doubled and late. What breaks a rule is seen from outside,
// by what happens to the instances.
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
    double loss = 0, doubled = 0;  // of messages
    std::string kill_at = "";      // a named point, or "random" for one of those that are passed; empty: none
    std::string kill_whom = "passer";  // who passes the point, "coordinator" instead, or "both"
    int kill_pass = 1;                 // at which passing of the point
    bool comes_back = true;            // those that were killed start again
    double cut_off = 0, stopped = 0;   // shares of seeds in which an agent is cut off or stopped for a while
    double falls = 0, hangs = 0;       // of instances: fall after their new start, do not end when asked
    bool rival = false;                // a second operator takes over partway
  };
  struct Result {
    bool over = false;
    fleet::Rollout::State state{};
    std::uint64_t unknown_states = 0, fence_breaks = 0, below_floor = 0, early_give_ups = 0;
    std::uint64_t messages = 0, decisions = 0, steps = 0;
    bool killed = false;
    fleet::Duration lasted{}, recovery{};  // of the rollout; from the kill until all is known and settled
    double decision_us = 0;                // on average, on this machine
    std::set<std::string> points;          // that were passed
    bool going_back = false;
    std::map<std::string, int> versions;  // that run at the end, by instance; 0: none
    std::vector<std::string> faults;
  };
  explicit RolloutSimulation(const Shape& shape);
  ~RolloutSimulation();
  RolloutSimulation(const RolloutSimulation&) = delete;
  RolloutSimulation& operator=(const RolloutSimulation&) = delete;
  // `plan` gets its targets here.
  Result play(fleet::RolloutPlan plan);
  static const std::vector<std::string>& all_points();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace pearchute::lab
