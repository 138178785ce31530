// Gossip between all agents ("before") against gossip by levels of zones and regions ("after"): the bytes
// that an agent sends per second, how soon a change is in the fleet's summary everywhere, and how soon all
// status is fresh again after each fault. All run in simulated time: the figures depend on the seed only, not
// on the machine.
#include <algorithm>
#include <future>
#include <iostream>
#include <nlohmann/json.hpp>

#include "lab/measurements/measurements.h"
#include "lab/simulations/gossip_simulation.h"
#include "lab/simulations/level_simulation.h"

namespace pearchute::lab {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int all_with_all_sizes[] = {25, 50, 100, 200};
constexpr int level_sizes[] = {5, 50, 100, 200, 630, 1260};
constexpr int default_histories = 60;  // of small fleets with random faults
constexpr double byte_target = 13'000;
constexpr int target_agents = 630;

double in_ms(fleet::Duration span) { return static_cast<double>(span.count()) / 1000; }

double max_in_ms(const std::vector<fleet::Duration>& spans) {
  return spans.empty() ? 0 : in_ms(std::ranges::max(spans));
}

struct Outcome {
  nlohmann::json report;
  bool passed = true;
};

// Faults are simulated at the target size only: one fault takes as long to simulate as all the rest of a run.
std::vector<LevelSimulation::Fault> faults_at(int agents) {
  if (agents != target_agents) return {};
  return {std::begin(LevelSimulation::all_faults), std::end(LevelSimulation::all_faults)};
}

Outcome run_all_with_all(std::uint64_t seed, int agents) {
  GossipSimulation::Shape shape;
  shape.seed = seed;
  shape.agents = agents;
  shape.instances_each = 2;
  shape.troubled = seconds(1);
  const GossipSimulation::Result result = GossipSimulation(shape).play();
  nlohmann::json report = {{"agents", agents},
                           {"bytes_per_s_mean", static_cast<std::uint64_t>(result.bytes_a_second)},
                           {"spread_ms_max", max_in_ms(result.spread)},
                           {"settle_ms", in_ms(result.settled)}};
  std::cerr << report.dump() + "\n";  // progress of a long run
  return {report, result.clean()};
}

Outcome run_levels(std::uint64_t seed, int agents) {
  LevelSimulation::Shape shape;
  shape.seed = seed;
  shape.agents = agents;
  shape.zones = agents < 7 ? 1 : 7;
  shape.regions = agents < 7 ? 1 : 2;
  shape.faults = faults_at(agents);
  shape.fault_length = seconds(10);
  const LevelSimulation::Result result = LevelSimulation(shape).play();
  nlohmann::json recovered = nlohmann::json::object(), blind = nlohmann::json::object();
  for (const LevelSimulation::Recovery& recovery : result.recoveries) {
    const std::string name(LevelSimulation::name_of(recovery.fault));
    recovered[name] = in_ms(recovery.recovered);
    blind[name] = recovery.cut_off_blind;
  }
  nlohmann::json report = {{"agents", agents},
                           {"regions", shape.regions},
                           {"zones", shape.zones},
                           {"bytes_per_s_mean", static_cast<std::uint64_t>(result.bytes_mean)},
                           {"bytes_per_s_max", static_cast<std::uint64_t>(result.bytes_max)},
                           {"bytes_received_per_s_max", static_cast<std::uint64_t>(result.received_max)},
                           {"messages_per_s_mean", result.messages_mean},
                           {"messages_per_s_max", result.messages_max},
                           {"meets_target", result.bytes_max < byte_target},
                           {"spread_ms_max", max_in_ms(result.spread)},
                           {"settle_ms", in_ms(result.settled)},
                           {"fleet_age_ms_max", in_ms(result.age_max)},
                           {"gap_share", result.gap_share},
                           {"summaries_kept_max", result.summaries_kept_max},
                           {"recovered_ms", recovered},
                           {"blind_in_own_region", blind},
                           {"never_said", result.never_said},
                           {"stale_as_fresh", result.stale_as_fresh},
                           {"overruled", result.overruled},
                           {"unsettled", result.unsettled},
                           {"checks", result.checks},
                           {"faults", result.faults}};
  std::cerr << report.dump() + "\n";  // progress of a long run
  return {report, result.clean()};
}

Outcome run_random_faults(std::uint64_t seed, int histories) {
  bool passed = true;
  std::vector<std::string> faults;
  std::uint64_t never_said = 0, stale = 0, overruled = 0, unsettled = 0, checks = 0;
  std::vector<fleet::Duration> settled;
  for (int history = 0; history < histories; ++history) {
    LevelSimulation::Shape shape;
    shape.seed = seed * 100'000 + static_cast<std::uint64_t>(history);
    shape.agents = 8 + history % 40;
    shape.loss = shape.doubled = 0.1;
    shape.kills = shape.stops = shape.cuts = shape.unit_cuts = shape.slow = true;
    shape.liar = history % 2 == 1;
    shape.troubled = seconds(60);
    shape.measured = seconds(1);
    shape.changes = 0;
    const LevelSimulation::Result result = LevelSimulation(shape).play();
    for (const std::string& fault : result.faults)
      faults.push_back("seed " + std::to_string(shape.seed) + ": " + fault);
    never_said += result.never_said;
    stale += result.stale_as_fresh;
    overruled += result.overruled;
    unsettled += result.unsettled;
    checks += result.checks;
    settled.push_back(result.settled);
    passed = passed && result.clean();
  }
  nlohmann::json report = {{"histories", histories},
                           {"never_said", never_said},
                           {"stale_as_fresh", stale},
                           {"overruled", overruled},
                           {"unsettled", unsettled},
                           {"checks", checks},
                           {"settle_ms_max", max_in_ms(settled)},
                           {"faults", faults}};
  return {report, passed};
}

}  // namespace

int measure_levels(const MeasurementOptions& options) {
  // Simulated time doesn't depend on the machine's load, so the runs go in parallel.
  const int histories = options.size > 0 ? options.size : default_histories;
  std::vector<std::future<Outcome>> all_with_all_runs, level_runs;
  for (const int agents : level_sizes)
    level_runs.push_back(std::async(std::launch::async, run_levels, options.seed, agents));
  for (const int agents : all_with_all_sizes)
    all_with_all_runs.push_back(std::async(std::launch::async, run_all_with_all, options.seed, agents));
  auto random_faults = std::async(std::launch::async, run_random_faults, options.seed, histories);
  bool passed = true;
  const auto collect = [&passed](std::future<Outcome>& one) {
    Outcome outcome = one.get();
    passed = passed && outcome.passed;
    return outcome.report;
  };
  nlohmann::json report;
  for (auto& one : all_with_all_runs) report["before"].push_back(collect(one));
  for (auto& one : level_runs) report["after"].push_back(collect(one));
  report["trouble"] = collect(random_faults);
  std::cout << report.dump() << std::endl;
  return passed ? 0 : 1;
}

}  // namespace pearchute::lab
