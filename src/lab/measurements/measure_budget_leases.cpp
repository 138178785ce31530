// Budget leases, by which agents lend each other parts of the budgets of engines in slow start: simulated
// histories with every kind of fault, drawn from a seed, at a small size and with 1,000 managers under 50
// agents. Each history is also run without lending, for comparison.
#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

#include "lab/measurements/measurements.h"
#include "lab/simulations/budget_lease_simulation.h"

namespace pearchute::lab {

using std::chrono::seconds;

namespace {

// Runs each history with and without lending. Clears `passed` where a window exceeds its budget in either
// run, a share is lent twice, or lending uses less than 1.5 times what is used without it.
nlohmann::json run_histories(std::uint64_t seed, int histories, BudgetLeaseSimulation::Shape shape,
                             bool& passed) {
  double used = 0, used_without = 0, served = 0, served_without = 0, most_of_limit = 0, decision_us = 0,
         fairness = 1;
  std::uint64_t over_limit = 0, lent_twice = 0, digest = 0, orders = 0;
  for (int history = 0; history < histories; ++history) {
    shape.seed = seed * 100'000 + static_cast<std::uint64_t>(history), shape.lends = true;
    const BudgetLeaseSimulation::Result result = BudgetLeaseSimulation(shape).play();
    for (const std::string& fault : result.faults)
      std::cerr << "seed " << shape.seed << ": " << fault << "\n";
    shape.lends = false;
    const BudgetLeaseSimulation::Result without = BudgetLeaseSimulation(shape).play();
    over_limit += result.over_limit + without.over_limit, lent_twice += result.lent_twice;
    used += result.used / histories, used_without += without.used / histories;
    served += result.wanted / histories, served_without += without.wanted / histories;
    most_of_limit = std::max(most_of_limit, result.most), fairness = std::min(fairness, result.fairness);
    digest = digest * 31 + result.digest, orders += result.orders,
    decision_us += result.decision_us / histories;
  }
  passed = passed && over_limit == 0 && lent_twice == 0 && used >= 1.5 * used_without;
  return {{"histories", histories},
          {"managers", shape.agents * shape.managers_each},
          {"engines", shape.engines},
          {"cold_over_limit", over_limit},
          {"lent_twice", lent_twice},
          {"most_of_limit", most_of_limit},
          {"used", used},
          {"used_without", used_without},
          {"served", served},
          {"served_without", served_without},
          {"least_fairness", fairness},
          {"event_us", decision_us},
          {"digest", digest}};
}

}  // namespace

int measure_budget_leases(const MeasurementOptions& options) {
  bool passed = true;
  nlohmann::json report;
  BudgetLeaseSimulation::Shape shape = {
      .loss = 0.1, .doubled = 0.1, .kills = true, .stops = true, .cuts = true};
  report["uneven"] = run_histories(options.seed, 600, shape, passed);
  shape.load = 1.2;
  report["more_wanted_than_there_is"] = run_histories(options.seed, 400, shape, passed);
  shape.load = 0.5, shape.agents = 50, shape.managers_each = 20, shape.engines = 20;
  shape.loss = shape.doubled = 0.05, shape.troubled = seconds(30), shape.calm = seconds(30);
  report["large"] = run_histories(options.seed, 1, shape, passed);
  std::cout << report.dump() << std::endl;
  return passed ? 0 : 1;
}

}  // namespace pearchute::lab
