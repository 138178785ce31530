// Lending parts of cold engines' budgets: the decisions under seeded histories with every kind of trouble, at
// a small size and with 1,000 managers under 50 agents, each beside the same without lending.
#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

#include "lab/measurements/measurements.h"
#include "lab/simulations/budget_lease_simulation.h"

namespace pearchute::lab {

using std::chrono::seconds;

namespace {

nlohmann::json play(std::uint64_t seed, int number, BudgetLeaseSimulation::Shape shape, bool& well) {
  double used = 0, off = 0, served = 0, served_off = 0, most = 0, us = 0, fairness = 1;
  std::uint64_t over = 0, twice = 0, digest = 0, orders = 0;
  for (int n = 0; n < number; ++n) {
    shape.seed = seed * 100'000 + static_cast<std::uint64_t>(n), shape.lends = true;
    const BudgetLeaseSimulation::Result result = BudgetLeaseSimulation(shape).play();
    for (const std::string& fault : result.faults)
      std::cerr << "seed " << shape.seed << ": " << fault << "\n";
    shape.lends = false;
    const BudgetLeaseSimulation::Result without = BudgetLeaseSimulation(shape).play();
    over += result.over_limit + without.over_limit, twice += result.lent_twice;
    used += result.used / number, off += without.used / number;
    served += result.wanted / number, served_off += without.wanted / number;
    most = std::max(most, result.most), fairness = std::min(fairness, result.fairness);
    digest = digest * 31 + result.digest, orders += result.orders, us += result.decision_us / number;
  }
  well = well && over == 0 && twice == 0 && used >= 1.5 * off;
  return {{"histories", number},
          {"managers", shape.agents * shape.managers_each},
          {"engines", shape.engines},
          {"cold_over_limit", over},
          {"lent_twice", twice},
          {"most_of_limit", most},
          {"used", used},
          {"used_without", off},
          {"served", served},
          {"served_without", served_off},
          {"least_fairness", fairness},
          {"event_us", us},
          {"digest", digest}};
}

}  // namespace

int measure_parts(const Bench& bench) {
  bool well = true;
  nlohmann::json told;
  BudgetLeaseSimulation::Shape shape = {
      .loss = 0.1, .doubled = 0.1, .kills = true, .stops = true, .cuts = true};
  told["uneven"] = play(bench.seed, 600, shape, well);
  shape.load = 1.2;
  told["more_wanted_than_there_is"] = play(bench.seed, 400, shape, well);
  shape.load = 0.5, shape.agents = 50, shape.managers_each = 20, shape.engines = 20;
  shape.loss = shape.doubled = 0.05, shape.troubled = seconds(30), shape.calm = seconds(30);
  told["large"] = play(bench.seed, 1, shape, well);
  std::cout << told.dump() << std::endl;
  return well ? 0 : 1;
}

}  // namespace pearchute::lab
