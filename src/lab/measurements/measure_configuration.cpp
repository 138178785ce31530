// How soon a configuration version is in force everywhere and what spreading it costs, at 5 to 1,260 agents
// in a calm; and seeded histories with every kind of trouble, in which no rule may be broken. Simulated time:
// the figures do not depend on the machine.
#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

#include "lab/measurements/measurements.h"
#include "lab/simulations/config_simulation.h"

namespace pearchute::lab {

using std::chrono::seconds;

namespace {

double at_share(std::vector<fleet::Duration> values, double share) {
  if (values.empty()) return 0;
  std::ranges::sort(values);
  const auto at = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  return static_cast<double>(values[at].count()) / 1000;
}

nlohmann::json play(std::uint64_t seed, int histories, ConfigSimulation::Shape shape, bool& well) {
  std::vector<fleet::Duration> in_force, acknowledged, settled;
  ConfigSimulation::Result sum;
  for (int n = 0; n < histories; ++n) {
    shape.seed = seed * 100'000 + static_cast<std::uint64_t>(n);
    const ConfigSimulation::Result result = ConfigSimulation(shape).play();
    for (const std::string& fault : result.faults)
      std::cerr << "seed " << shape.seed << ": " << fault << "\n";
    well = well && result.clean();
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
          {"in_force_ms_p50", at_share(in_force, 0.5)},
          {"in_force_ms_p99", at_share(in_force, 0.99)},
          {"in_force_ms_max", at_share(in_force, 1)},
          {"acknowledged_ms_p50", at_share(acknowledged, 0.5)},
          {"acknowledged_ms_max", at_share(acknowledged, 1)},
          {"settled_ms_max", at_share(settled, 1)},
          {"rest_bytes_a_second", sum.rest_bytes_a_second},
          {"busy_bytes_a_second", sum.busy_bytes_a_second},
          {"most_message", sum.most_message},
          {"digest", sum.digest}};
}

}  // namespace

int measure_configuration(const Bench& bench) {
  bool well = true;
  nlohmann::json told;
  ConfigSimulation::Shape calm;
  calm.calm_loss = 0.01;
  for (const int agents : {5, 50, 630, 1260}) {
    calm.agents = agents;
    calm.calm_publications = agents > 1000 ? 1 : agents > 100 ? 3 : 10;
    told["calm_" + std::to_string(agents)] = play(bench.seed, agents > 100 ? 1 : 10, calm, well);
  }
  ConfigSimulation::Shape trouble;
  trouble.loss = 0.1, trouble.repeated = 0.1;
  trouble.kills = trouble.disks = trouble.stops = trouble.cuts = true;
  trouble.calm_publications = 1;
  told["trouble_5"] = play(bench.seed, bench.size > 0 ? bench.size : 200, trouble, well);
  trouble.agents = 50;
  told["trouble_50"] = play(bench.seed, 10, trouble, well);
  trouble.agents = 630, trouble.troubled = seconds(10);
  told["trouble_630"] = play(bench.seed, 1, trouble, well);
  std::cout << told.dump() << std::endl;
  return well ? 0 : 1;
}

}  // namespace pearchute::lab
