// Rollouts in the simulated fleet with an agent killed at a random point; ten with real processes; and the
// time and messages of one over a large fleet against the ideal that its limits allow.
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

fleet::RolloutPlan plan_of(std::uint64_t seed) {
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

// Five managers under three agents, load on; in each rollout one agent, the coordinator among them, is killed
// at a random moment and comes back. What is known and whether zones keep their least is seen from outside.
nlohmann::json with_processes(const Bench& bench, bool& well) {
  ClusterSpec site;
  site.managers = 5, site.engines = 4, site.seed = bench.seed, site.starts_managers = false;
  site.pearchuted = bench.programs + "/pearchuted",
  site.pearchute_agent = bench.programs + "/pearchute-agent";
  AgentCluster fleet(site);
  TestCluster& world = fleet.world;
  const auto serve = [&] { return fleet.all_serve(); };
  if (!wait_for(serve))
    throw TestClusterError("the managers don't come up under their agents", world.folder());
  world.must_serve(4);
  world.on([&] {
    world.crowd().offer(150, {{"quick", "SELECT work=5 FROM a_1.t", milliseconds(2000), 0, 5, 8},
                              {"once", "UPDATE work=8 a_4.t", milliseconds(2000), 0, 8, 8}});
  });
  const auto all_up = [&] {
    return world.on([&] {
      for (int m = 0; m < 5; ++m) {
        if (!world.crowd().up(m)) return false;
      }
      return true;
    });
  };
  wait_for(all_up);
  std::knuth_b chance(static_cast<std::knuth_b::result_type>(bench.seed));
  std::uint64_t unknown = 0, fences = 0, below = 0, done = 0;
  std::vector<double> recovery;
  const int rounds = 10;
  for (int round = 0; round < rounds; ++round) {
    const std::string id = "real" + std::to_string(round);
    Agent& coordinator = fleet.agents[chance() % 3];
    Agent& victim = fleet.agents[chance() % 3];
    agent::v1::Plan plan = fleet.plan(id, "restart");
    plan.set_fallback(round % 2 == 0 ? "serve_again" : "finish"), plan.set_warm_ms(700);
    std::string fault;
    if (!coordinator.start_rollout(plan, &fault).ok() || !fault.empty())
      throw TestClusterError("a rollout is not begun: " + fault, world.folder());
    // Clients' checks come five times a second; who came back counts as serving after its warm time only, so
    // a low count is no late look.
    const auto look = [&] {
      std::map<std::string, int> up;
      world.on([&] {
        for (int m = 0; m < 5; ++m)
          up[world.managers()[static_cast<std::size_t>(m)].zone] += world.crowd().up(m);
      });
      below += up["east"] < 2 || up["west"] < 1;
    };
    const auto watch = [&](milliseconds time) {
      for (const Time end = steady_now() + time; steady_now() < end; world.rest(milliseconds(20))) look();
    };
    watch(milliseconds(100 + chance() % 3000));
    victim.end(SIGKILL);
    const Time killed = steady_now();
    watch(milliseconds(200 + chance() % 2000));
    victim.start();
    // At rest: over, or paused and then aborted; every instance serves and nobody holds it.
    const bool rests = wait_for([&] {
      look();
      const std::string state = coordinator.rollout(id).state();
      if (state == "paused") coordinator.say(id, "abort");
      return state == "done" || state == "failed" || state == "aborted";
    });
    const bool known = wait_for([&] {
      const auto all = fleet.conditions();
      return serve() && std::ranges::none_of(all, [](const auto& one) { return one.second.has_claim(); });
    });
    unknown += !rests || !known;
    done += coordinator.rollout(id).state() == "done";
    recovery.push_back(std::chrono::duration<double, std::milli>(steady_now() - killed).count());
    // What the rollout held is over: under its fence nothing is taken any more.
    const auto taken = fleet.agents[2].claim("probe" + std::to_string(round), {"n5"}, true);
    if (taken.granted()) fences += fleet.agents[2].step("n5", id, taken.fences().at("n5") - 1).accepted();
    wait_for([&] { return !fleet.seen("n5").has_claim() && all_up(); });
  }
  world.on([&] { world.crowd().offer(0, {}); });
  world.quiet();
  const HistoryChecker::Verdict verdict = world.verdict();
  for (const std::string& what : verdict.faults) std::cerr << what << "\n";
  std::ranges::sort(recovery);
  well = well && unknown + fences + below + verdict.doubled + verdict.lost == 0;
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

int measure_rollout(const Bench& bench) {
  const int count = bench.size > 0 ? bench.size : 300;
  std::uint64_t unknown = 0, fences = 0, floor = 0, early = 0, killed = 0;
  std::vector<double> recovery;
  for (int i = 0; i < count; ++i) {
    RolloutSimulation::Shape shape{.seed = bench.seed * 100'000 + static_cast<std::uint64_t>(i)};
    shape.agents = 5, shape.instances_each = 2, shape.loss = 0.05, shape.doubled = 0.05;
    shape.kill_at = "random", shape.kill_whom = i % 5 == 0 ? "both" : "passer";
    shape.cut_off = 0.2, shape.stopped = 0.1, shape.hangs = i % 4 == 0 ? 0.2 : 0;
    RolloutSimulation model(shape);
    const RolloutSimulation::Result result = model.play(plan_of(shape.seed));
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
  RolloutSimulation::Shape large{.seed = bench.seed};
  large.agents = 50, large.instances_each = 20, large.zones = 4;
  fleet::RolloutPlan plan = plan_of(1);
  plan.max_concurrent = 20, plan.batch = 0,
  plan.min_serving = {{"z0", 200}, {"z1", 200}, {"z2", 200}, {"z3", 200}};
  plan.drain_within = seconds(30), plan.up_within = seconds(30), plan.lease_duration = seconds(30);
  RolloutSimulation model(large);
  const RolloutSimulation::Result result = model.play(plan);
  // One instance takes 0.85 s to end and 0.55 s to start on average, and half a second to be warm.
  const double ideal_s = 1000.0 / plan.max_concurrent * (0.85 + 0.55 + 0.5);
  const double took_s = static_cast<double>(result.lasted.count()) / 1e6;
  bool well = true;
  const nlohmann::json processes = with_processes(bench, well);
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
                               {"processes", processes},
                               {"seed", bench.seed}};
  std::cout << told.dump() << std::endl;
  const bool large_clean = result.unknown_states + result.fence_breaks + result.below_floor == 0 &&
                           result.state == fleet::Rollout::State::done;
  return unknown + fences + floor + early == 0 && large_clean && well && killed > 0 ? 0 : 1;
}

}  // namespace pearchute::lab
