// Rollouts in a simulated fleet with an agent killed at a random point, ten rollouts with real processes, and
// the time and messages of a simulated rollout over 1,000 instances against the shortest time that its limits
// allow.
#include <signal.h>

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

#include "errors/error.h"
#include "lab/measurements/measurements.h"
#include "lab/simulations/rollout_simulation.h"
#include "lab/stand_ins/agent_cluster.h"

namespace pearchute::lab {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

fleet::RolloutPlan make_plan(std::uint64_t seed) {
  fleet::RolloutPlan plan;
  plan.id = "roll", plan.who = "lab";
  plan.kind = seed % 2 ? fleet::StepKind::restart : fleet::StepKind::change;
  plan.version = plan.kind == fleet::StepKind::change ? 2 : 0, plan.version_before = 1;
  plan.fallback = seed % 3 ? fleet::Fallback::serve_again : fleet::Fallback::finish;
  plan.max_concurrent = 6, plan.batch = 8, plan.gate = milliseconds(500), plan.warm = milliseconds(500);
  plan.min_serving = {{"z0", 3}, {"z1", 3}};
  plan.lease_duration = seconds(6), plan.drain_within = seconds(4), plan.up_within = seconds(8),
  plan.failures = 1;
  return plan;
}

// Five managers under three agents, under load. In each rollout one agent, which may be the coordinator, is
// killed at a random moment and restarted. Whether the rollout's state is known at the end, and whether each
// zone keeps its minimum of serving instances, is checked from outside. Clears `passed` where a rule is
// broken.
nlohmann::json run_with_processes(const MeasurementOptions& options, bool& passed) {
  ClusterSpec spec;
  spec.managers = 5, spec.engines = 4, spec.seed = options.seed, spec.starts_managers = false;
  spec.pearchuted = options.programs + "/pearchuted",
  spec.pearchute_agent = options.programs + "/pearchute-agent";
  AgentCluster fleet(spec);
  TestCluster& cluster = fleet.world;
  const auto all_serve = [&] { return fleet.all_serve(); };
  if (!wait_for(all_serve))
    throw TestClusterError("the agents did not start their managers in time", cluster.folder());
  cluster.must_serve(4);
  cluster.on([&] {
    cluster.crowd().offer(150, {{"quick", "SELECT work=5 FROM a_1.t", milliseconds(2000), 0, 5, 8},
                                {"once", "UPDATE work=8 a_4.t", milliseconds(2000), 0, 8, 8}});
  });
  const auto all_up = [&] {
    return cluster.on([&] {
      for (int m = 0; m < 5; ++m) {
        if (!cluster.crowd().up(m)) return false;
      }
      return true;
    });
  };
  wait_for(all_up);
  std::knuth_b rng(static_cast<std::knuth_b::result_type>(options.seed));
  std::uint64_t unknown = 0, fences = 0, below = 0, done = 0;
  std::vector<double> recovery;
  const int rounds = 10;
  for (int round = 0; round < rounds; ++round) {
    const std::string id = "real" + std::to_string(round);
    Agent& coordinator = fleet.agents[rng() % 3];
    Agent& victim = fleet.agents[rng() % 3];
    agent::v1::Plan plan = fleet.plan(id, "restart");
    plan.set_fallback(round % 2 == 0 ? "serve_again" : "finish"), plan.set_warm_ms(700);
    std::string fault;
    if (!coordinator.start_rollout(plan, &fault).ok() || !fault.empty())
      throw TestClusterError("a rollout did not start: " + fault, cluster.folder());
    // Clients check each manager five times a second, so their view lags by up to 200 ms. A restarted
    // instance counts as serving only after its warm time of 700 ms, so a low count is a violation and not a
    // stale view.
    const auto check_zone_minimums = [&] {
      std::map<std::string, int> up;
      cluster.on([&] {
        for (int m = 0; m < 5; ++m)
          up[cluster.managers()[static_cast<std::size_t>(m)].zone] += cluster.crowd().up(m);
      });
      below += up["east"] < 2 || up["west"] < 1;
    };
    const auto check_zone_minimums_for = [&](milliseconds time) {
      for (const Time end = steady_now() + time; steady_now() < end; cluster.rest(milliseconds(20)))
        check_zone_minimums();
    };
    check_zone_minimums_for(milliseconds(100 + rng() % 3000));
    victim.end(SIGKILL);
    const Time killed = steady_now();
    check_zone_minimums_for(milliseconds(200 + rng() % 2000));
    victim.start();
    // The rollout has to end (where it pauses, it is aborted); then every instance has to serve, without a
    // lease.
    const bool has_ended = wait_for([&] {
      check_zone_minimums();
      const std::string state = coordinator.rollout(id).state();
      if (state == "paused") coordinator.say(id, "abort");
      return state == "done" || state == "failed" || state == "aborted";
    });
    const bool is_settled = wait_for([&] {
      const auto all = fleet.conditions();
      return all_serve() && std::ranges::none_of(all, [](const auto& one) { return one.second.has_claim(); });
    });
    unknown += !has_ended || !is_settled;
    done += coordinator.rollout(id).state() == "done";
    recovery.push_back(std::chrono::duration<double, std::milli>(steady_now() - killed).count());
    // The rollout's leases have ended: a step with a fence older than the newest one must be refused.
    const auto claim = fleet.agents[2].claim("probe" + std::to_string(round), {"n5"}, true);
    if (claim.granted()) fences += fleet.agents[2].step("n5", id, claim.fences().at("n5") - 1).accepted();
    wait_for([&] { return !fleet.seen("n5").has_claim() && all_up(); });
  }
  cluster.on([&] { cluster.crowd().offer(0, {}); });
  cluster.quiet();
  const HistoryChecker::Verdict verdict = cluster.verdict();
  for (const std::string& fault : verdict.faults) std::cerr << fault << "\n";
  std::ranges::sort(recovery);
  passed = passed && unknown + fences + below + verdict.doubled + verdict.lost == 0;
  return {{"rollouts", rounds},
          {"done", done},
          {"unknown_states", unknown},
          {"fence_breaks", fences},
          {"below_floor", below},
          {"recovery_p50_ms", recovery[recovery.size() / 2]},
          {"recovery_max_ms", recovery.back()},
          {"jobs", verdict.sent},
          {"lost", verdict.lost},
          {"doubled", verdict.doubled}};
}

}  // namespace

int measure_rollout(const MeasurementOptions& options) {
  const int count = options.size > 0 ? options.size : 300;
  std::uint64_t unknown = 0, fences = 0, floor = 0, early = 0, killed = 0;
  std::vector<double> recovery;
  for (int i = 0; i < count; ++i) {
    RolloutSimulation::Shape shape{.seed = options.seed * 100'000 + static_cast<std::uint64_t>(i)};
    shape.agents = 5, shape.instances_each = 2, shape.loss = 0.05, shape.doubled = 0.05;
    shape.kill_at = "random", shape.kill_whom = i % 5 == 0 ? "both" : "passer";
    shape.cut_off = 0.2, shape.stopped = 0.1, shape.hangs = i % 4 == 0 ? 0.2 : 0;
    RolloutSimulation simulation(shape);
    const RolloutSimulation::Result result = simulation.play(make_plan(shape.seed));
    unknown += result.unknown_states, fences += result.fence_breaks, floor += result.below_floor;
    early += result.early_give_ups, killed += result.killed;
    if (result.killed) recovery.push_back(static_cast<double>(result.recovery.count()) / 1000);
    for (const std::string& fault : result.faults)
      std::cerr << "seed " << shape.seed << ": " << fault << "\n";
  }
  std::ranges::sort(recovery);
  const auto quantile = [&](double share) {
    return recovery.empty()
               ? 0.0
               : recovery[static_cast<std::size_t>(share * static_cast<double>(recovery.size() - 1))];
  };
  // A thousand instances under fifty agents, twenty at once, without faults: its time is compared with the
  // shortest that the limits allow.
  RolloutSimulation::Shape large{.seed = options.seed};
  large.agents = 50, large.instances_each = 20, large.zones = 4;
  fleet::RolloutPlan plan = make_plan(1);
  plan.max_concurrent = 20, plan.batch = 0,
  plan.min_serving = {{"z0", 200}, {"z1", 200}, {"z2", 200}, {"z3", 200}};
  plan.drain_within = seconds(30), plan.up_within = seconds(30), plan.lease_duration = seconds(30);
  RolloutSimulation simulation(large);
  const RolloutSimulation::Result result = simulation.play(plan);
  // In the simulation one instance takes 0.85 s to end and 0.55 s to start on average, and 0.5 s to be warm.
  const double ideal_s = 1000.0 / plan.max_concurrent * (0.85 + 0.55 + 0.5);
  const double took_s = static_cast<double>(result.lasted.count()) / 1e6;
  bool passed = true;
  const nlohmann::json processes = run_with_processes(options, passed);
  const nlohmann::json report = {{"rollouts", count},
                                 {"killed", killed},
                                 {"unknown_states", unknown},
                                 {"fence_breaks", fences},
                                 {"below_floor", floor},
                                 {"early_give_ups", early},
                                 {"recovery_p50_ms", quantile(0.5)},
                                 {"recovery_p99_ms", quantile(0.99)},
                                 {"large_instances", 1000},
                                 {"large_done", result.state == fleet::Rollout::State::done},
                                 {"large_s", took_s},
                                 {"large_ideal_s", ideal_s},
                                 {"large_messages_an_instance", static_cast<double>(result.messages) / 1000},
                                 {"large_decision_us", result.decision_us},
                                 {"processes", processes},
                                 {"seed", options.seed}};
  std::cout << report.dump() << std::endl;
  const bool large_clean = result.unknown_states + result.fence_breaks + result.below_floor == 0 &&
                           result.state == fleet::Rollout::State::done;
  return unknown + fences + floor + early == 0 && large_clean && passed && killed > 0 ? 0 : 1;
}

}  // namespace pearchute::lab
