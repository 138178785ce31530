// Agents that lend parts of cold engines' budgets, on a simulated clock and network, deterministic by its
// seed: the real decisions of fleet/parts, with messages that are lost, doubled and late, agents and managers
// that are killed (an agent's disk kept or lost) or stopped, and agents cut off from each other and from
// their managers. What managers send is counted from outside, in every window.
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
    int agents = 3, managers_each = 2, engines = 4, newcomers = 0;
    bool lends = true;
    double busy = 0.17;  // share of managers with twenty times the others' traffic, one at least
    double load = 0.5;   // of the whole budget that all managers together could use
    double loss = 0, doubled = 0;
    bool kills = false, stops = false, cuts = false;
    fleet::Duration window = std::chrono::seconds(2), lease = std::chrono::seconds(6);
    fleet::Duration troubled = std::chrono::seconds(60), calm = std::chrono::seconds(40);
    int broken =
        0;  // a rule left out, to show that it is caught: 1 no wait for the window, 2 no wait to be heard
  };
  struct Result {
    std::uint64_t over_limit = 0;  // windows in which an engine was sent more than its budget
    std::uint64_t lent_twice = 0;  // moments at which the shares there add up to more than all even parts
    double most = 0;               // sent to an engine in any window, over its budget
    double used = 0, wanted = 0;   // of the budget, in the calm
    double fairness = 1;           // Jain's index of what was sent to what was wanted, in the calm
    std::uint64_t orders = 0, asks = 0, grants = 0, digest = 0, open_at_end = 0;
    double decision_us = 0;
    fleet::Duration settle{};  // from the end of the trouble until as much is used as later on average
    std::vector<std::string> faults;
    bool clean() const { return over_limit + lent_twice == 0; }
  };
  explicit BudgetLeaseSimulation(const Shape& shape);
  ~BudgetLeaseSimulation();
  BudgetLeaseSimulation(const BudgetLeaseSimulation&) = delete;
  BudgetLeaseSimulation& operator=(const BudgetLeaseSimulation&) = delete;
  Result play();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace pearchute::lab
