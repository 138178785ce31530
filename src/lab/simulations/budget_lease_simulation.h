// Simulates agents that lend parts of warming engines' budgets to each other. Runs the production decisions
// of fleet/budget_leases on a simulated clock and network; equal seeds give equal runs. Messages are lost,
// duplicated and late; agents and managers are killed (an agent's disk is kept or lost) or suspended; agents
// are partitioned from each other and from their managers. The simulation itself counts what managers send to
// each engine in every window and compares it with the engine's budget.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "fleet/budget_leases.h"

namespace pearchute::lab {

class BudgetLeaseSimulation {
 public:
  struct Shape {
    std::uint64_t seed = 1;
    int agents = 3, managers_each = 2, engines = 4;
    int newcomers = 0;   // managers that joined after the shares were allotted and have no equal share
    bool lends = true;   // false: agents request no leases
    double busy = 0.17;  // share of managers, at least one, with twenty times the traffic of the others
    double load = 0.5;   // traffic of all managers together, as a share of the whole budget
    double loss = 0, doubled = 0;                     // probabilities that a message is lost or duplicated
    bool kills = false, stops = false, cuts = false;  // faults: kills, suspensions, partitions
    fleet::Duration window = std::chrono::seconds(2), lease = std::chrono::seconds(6);
    fleet::Duration troubled = std::chrono::seconds(60);  // length of the phase with faults
    fleet::Duration calm = std::chrono::seconds(40);      // length of the phase without faults
    // Disables one rule, to show that the checks catch it. 0: none; 1: the lender doesn't wait for a window
    // to pass; 2: the lender doesn't wait for its manager's acknowledgement.
    int broken = 0;
  };
  struct Result {
    std::uint64_t over_limit = 0;  // windows in which an engine was sent more than its budget
    std::uint64_t lent_twice = 0;  // samples in which the shares in force at an engine exceed its budget
    double most = 0;               // the most work sent to an engine in any window, as a share of its budget
    double used = 0;      // mean share of the budget in use, in the second half of the phase without faults
    double wanted = 0;    // work sent over work demanded, in the same time
    double fairness = 1;  // Jain's index over managers of sent to demanded work, in the same time
    std::uint64_t orders = 0, asks = 0, grants = 0;  // share orders, lease requests, responses with a lease
    std::uint64_t digest = 0;                        // equal for equal runs
    std::uint64_t open_at_end = 0;                   // leases still granted at the end
    double decision_us = 0;                          // wall time per simulated event, mean
    fleet::Duration settle{};                        // not set
    std::vector<std::string> faults;                 // the first few violations, as text
    bool clean() const { return over_limit + lent_twice == 0; }
  };
  explicit BudgetLeaseSimulation(const Shape& shape);
  ~BudgetLeaseSimulation();
  BudgetLeaseSimulation(const BudgetLeaseSimulation&) = delete;
  BudgetLeaseSimulation& operator=(const BudgetLeaseSimulation&) = delete;
  // Runs the whole simulation. Call once.
  Result play();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace pearchute::lab
