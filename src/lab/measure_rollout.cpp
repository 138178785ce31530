// Rollouts in the simulated fleet with an agent killed at a random point; and the time and messages of one
// over a large fleet against the ideal that its limits allow.
#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

#include "lab/fleet_model.h"
#include "lab/measure.h"

namespace pearchute::lab {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

fleet::RolloutPlan plan_of(std::uint64_t seed) {
  fleet::RolloutPlan plan;
  plan.id = "roll", plan.who = "lab";
  plan.kind = seed % 2 ? fleet::StepKind::restart : fleet::StepKind::change;
  plan.version = plan.kind == fleet::StepKind::change ? 2 : 0, plan.version_before = 1;
  plan.fallback = seed % 3 ? fleet::Fallback::serve_again : fleet::Fallback::finish;
  plan.at_once = 6, plan.batch = 8, plan.gate = milliseconds(500), plan.warm = milliseconds(500);
  plan.least_serving = {{"z0", 3}, {"z1", 3}};
  plan.lease = seconds(6), plan.drain_within = seconds(4), plan.up_within = seconds(8), plan.failures = 1;
  return plan;
}

}  // namespace

int measure_rollout(const Bench& bench) {
  const int count = bench.size > 0 ? bench.size : 300;
  std::uint64_t unknown = 0, fences = 0, floor = 0, early = 0, killed = 0;
  std::vector<double> recovery;
  for (int i = 0; i < count; ++i) {
    FleetModel::Shape shape{.seed = bench.seed * 100'000 + static_cast<std::uint64_t>(i)};
    shape.agents = 5, shape.instances_each = 2, shape.loss = 0.05, shape.doubled = 0.05;
    shape.kill_at = "random", shape.kill_whom = i % 5 == 0 ? "both" : "passer";
    shape.cut_off = 0.2, shape.stopped = 0.1, shape.hangs = i % 4 == 0 ? 0.2 : 0;
    FleetModel model(shape);
    const FleetModel::Result result = model.play(plan_of(shape.seed));
    unknown += result.unknown_states, fences += result.fence_breaks, floor += result.below_floor;
    early += result.early_give_ups, killed += result.killed;
    if (result.killed) recovery.push_back(static_cast<double>(result.recovery.count()) / 1000);
    for (const std::string& fault : result.faults)
      std::cerr << "seed " << shape.seed << ": " << fault << "\n";
  }
  std::ranges::sort(recovery);
  const auto at = [&](double share) {
    return recovery.empty()
               ? 0.0
               : recovery[static_cast<std::size_t>(share * static_cast<double>(recovery.size() - 1))];
  };
  // A thousand instances under fifty agents, twenty at once, nothing goes wrong: against what the limits
  // allow.
  FleetModel::Shape large{.seed = bench.seed};
  large.agents = 50, large.instances_each = 20, large.zones = 4;
  fleet::RolloutPlan plan = plan_of(1);
  plan.at_once = 20, plan.batch = 0,
  plan.least_serving = {{"z0", 200}, {"z1", 200}, {"z2", 200}, {"z3", 200}};
  plan.drain_within = seconds(30), plan.up_within = seconds(30), plan.lease = seconds(30);
  FleetModel model(large);
  const FleetModel::Result result = model.play(plan);
  // One instance takes 0.85 s to end and 0.55 s to start on average, and half a second to be warm.
  const double ideal_s = 1000.0 / plan.at_once * (0.85 + 0.55 + 0.5);
  const double took_s = static_cast<double>(result.lasted.count()) / 1e6;
  const nlohmann::json told = {{"rollouts", count},
                               {"killed", killed},
                               {"unknown_states", unknown},
                               {"fence_breaks", fences},
                               {"below_floor", floor},
                               {"early_give_ups", early},
                               {"recovery_p50_ms", at(0.5)},
                               {"recovery_p99_ms", at(0.99)},
                               {"large_instances", 1000},
                               {"large_done", result.state == fleet::Rollout::State::done},
                               {"large_s", took_s},
                               {"large_ideal_s", ideal_s},
                               {"large_messages_an_instance", static_cast<double>(result.messages) / 1000},
                               {"large_decision_us", result.decision_us},
                               {"seed", bench.seed}};
  std::cout << told.dump() << std::endl;
  const bool large_clean = result.unknown_states + result.fence_breaks + result.below_floor == 0 &&
                           result.state == fleet::Rollout::State::done;
  return unknown + fences + floor + early == 0 && large_clean && killed > 0 ? 0 : 1;
}

}  // namespace pearchute::lab
