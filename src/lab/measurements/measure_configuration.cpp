// How soon a configuration version is in force everywhere and what spreading it costs, at 5 to 1,260 agents
// without faults; and histories with every kind of fault, drawn from a seed, in which no rule may be broken.
// All run in simulated time, so the figures do not depend on the machine.
#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

#include "lab/measurements/measurements.h"
#include "lab/simulations/config_simulation.h"

namespace pearchute::lab {

using std::chrono::seconds;

namespace {

// The quantile of the values in milliseconds; 0 where there are none.
double quantile_ms(std::vector<fleet::Duration> values, double share) {
  if (values.empty()) return 0;
  std::ranges::sort(values);
  const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  return static_cast<double>(values[index].count()) / 1000;
}

// Clears `passed` where a history breaks a rule.
nlohmann::json run_histories(std::uint64_t seed, int histories, ConfigSimulation::Shape shape, bool& passed) {
  std::vector<fleet::Duration> in_force, acknowledged, settled;
  ConfigSimulation::Result sum;
  for (int history = 0; history < histories; ++history) {
    shape.seed = seed * 100'000 + static_cast<std::uint64_t>(history);
    const ConfigSimulation::Result result = ConfigSimulation(shape).play();
    for (const std::string& fault : result.faults)
      std::cerr << "seed " << shape.seed << ": " << fault << "\n";
    passed = passed && result.clean();
    in_force.insert(in_force.end(), result.in_force.begin(), result.in_force.end());
    acknowledged.insert(acknowledged.end(), result.acknowledged.begin(), result.acknowledged.end());
    settled.push_back(result.settled);
    sum.regressed += result.regressed, sum.forgotten += result.forgotten;
    sum.wrongly_in_force += result.wrongly_in_force, sum.disagreeing += result.disagreeing;
    sum.published += result.published, sum.confirmed += result.confirmed;
    sum.conflicts += result.conflicts, sum.kills += result.kills, sum.disks_lost += result.disks_lost;
    sum.most_message = std::max(sum.most_message, result.most_message);
    sum.rest_bytes_a_second += result.rest_bytes_a_second / histories;
    sum.busy_bytes_a_second += result.busy_bytes_a_second / histories;
    sum.digest = sum.digest * 31 + result.digest;
  }
  return {{"histories", histories},
          {"agents", shape.agents},
          {"published", sum.published},
          {"confirmed", sum.confirmed},
          {"conflicts", sum.conflicts},
          {"kills", sum.kills},
          {"disks_lost", sum.disks_lost},
          {"regressed", sum.regressed},
          {"forgotten", sum.forgotten},
          {"wrongly_in_force", sum.wrongly_in_force},
          {"disagreeing", sum.disagreeing},
          {"in_force_ms_p50", quantile_ms(in_force, 0.5)},
          {"in_force_ms_p99", quantile_ms(in_force, 0.99)},
          {"in_force_ms_max", quantile_ms(in_force, 1)},
          {"acknowledged_ms_p50", quantile_ms(acknowledged, 0.5)},
          {"acknowledged_ms_max", quantile_ms(acknowledged, 1)},
          {"settled_ms_max", quantile_ms(settled, 1)},
          {"rest_bytes_a_second", sum.rest_bytes_a_second},
          {"busy_bytes_a_second", sum.busy_bytes_a_second},
          {"most_message", sum.most_message},
          {"digest", sum.digest}};
}

}  // namespace

int measure_configuration(const MeasurementOptions& options) {
  bool passed = true;
  nlohmann::json report;
  ConfigSimulation::Shape fault_free;
  fault_free.calm_loss = 0.01;
  for (const int agents : {5, 50, 630, 1260}) {
    fault_free.agents = agents;
    fault_free.calm_publications = agents > 1000 ? 1 : agents > 100 ? 3 : 10;
    report["calm_" + std::to_string(agents)] =
        run_histories(options.seed, agents > 100 ? 1 : 10, fault_free, passed);
  }
  ConfigSimulation::Shape faulty;
  faulty.loss = 0.1, faulty.repeated = 0.1;
  faulty.kills = faulty.disks = faulty.stops = faulty.cuts = true;
  faulty.calm_publications = 1;
  report["trouble_5"] = run_histories(options.seed, options.size > 0 ? options.size : 200, faulty, passed);
  faulty.agents = 50;
  report["trouble_50"] = run_histories(options.seed, 10, faulty, passed);
  faulty.agents = 630, faulty.troubled = seconds(10);
  report["trouble_630"] = run_histories(options.seed, 1, faulty, passed);
  std::cout << report.dump() << std::endl;
  return passed ? 0 : 1;
}

}  // namespace pearchute::lab
