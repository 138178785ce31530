// The gossip of agents about their instances: simulated histories with every kind of fault, drawn from a
// seed, at a small and at a large size, and real agents with relays between them, with one fault after
// another. How soon every agent has a change, how soon all status is fresh again after a fault, how many
// bytes it costs, and whether an agent ever reports old status as fresh.
#include <signal.h>

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>

#include "errors/error.h"
#include "lab/measurements/measurements.h"
#include "lab/simulations/gossip_simulation.h"
#include "lab/stand_ins/agent_cluster.h"

namespace pearchute::lab {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// The quantile of the values; 0 where there are none.
double quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::ranges::sort(values);
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}
double in_ms(fleet::Duration span) { return static_cast<double>(span.count()) / 1000; }

// Clears `passed` where a history breaks a rule.
nlohmann::json run_histories(std::uint64_t seed, int histories, GossipSimulation::Shape shape, bool& passed) {
  std::vector<double> spread, settled;
  std::uint64_t broken = 0, changes = 0, digest = 0, max_state_bytes = 0, max_answer_bytes = 0;
  double bytes = 0;
  for (int n = 0; n < histories; ++n) {
    shape.seed = seed * 100'000 + static_cast<std::uint64_t>(n);
    const GossipSimulation::Result result = GossipSimulation(shape).play();
    for (const std::string& fault : result.faults)
      std::cerr << "seed " << shape.seed << ": " << fault << "\n";
    broken += result.never_said + result.stale_as_newer + result.overruled + result.apart;
    changes += result.changes, digest = digest * 31 + result.digest;
    max_state_bytes = std::max(max_state_bytes, result.most_kept),
    max_answer_bytes = std::max(max_answer_bytes, result.most_answer);
    bytes += result.bytes_a_second / histories;
    for (const fleet::Duration one : result.spread) spread.push_back(in_ms(one));
    settled.push_back(in_ms(result.settled));
  }
  passed = passed && broken == 0;
  return {{"histories", histories},
          {"agents", shape.agents},
          {"instances", shape.agents * shape.instances_each},
          {"changes", changes},
          {"broken", broken},
          {"spread_ms_p50", quantile(spread, 0.5)},
          {"spread_ms_p99", quantile(spread, 0.99)},
          {"settle_ms_p50", quantile(settled, 0.5)},
          {"settle_ms_p99", quantile(settled, 0.99)},
          {"bytes_a_second", static_cast<std::uint64_t>(bytes)},
          {"most_kept", max_state_bytes},
          {"most_answer", max_answer_bytes},
          {"digest", digest}};
}

// Three agents, six managers and eight engines as processes, under load, with one fault after another. Clears
// `passed` where an agent reports old status as fresh, where status isn't fresh everywhere in time after a
// fault has ended, or where a client gets two answers.
nlohmann::json run_processes(const MeasurementOptions& options, bool& passed) {
  ClusterSpec spec;
  spec.managers = 6, spec.engines = 8, spec.seed = options.seed, spec.starts_managers = false;
  spec.pearchuted = options.programs + "/pearchuted",
  spec.pearchute_agent = options.programs + "/pearchute-agent";
  AgentCluster fleet(spec, 3, true);
  TestCluster& cluster = fleet.world;
  if (!wait_for([&] { return fleet.all_serve() && fleet.all_know(); }))
    throw TestClusterError("the agents have no fresh status of each other after the start", cluster.folder());
  cluster.must_serve(8);
  cluster.on([&] {
    cluster.crowd().offer(200, {{"quick", "SELECT work=5 FROM a_1.t", milliseconds(2000), 0, 5, 8}});
  });
  // An agent that has received nothing from another for longer than status stays fresh must not report that
  // agent's status as fresh.
  std::knuth_b rng(static_cast<std::knuth_b::result_type>(options.seed));
  std::uint64_t stale = 0, not_fresh_at_end = 0;
  std::vector<double> fresh_again, spread;
  std::vector<std::string> injected_faults;
  const int rounds = options.size > 0 ? options.size : 12;
  for (int round = 0; round < rounds; ++round) {
    const auto faulty_agent = static_cast<std::size_t>(rng() % 3);
    Agent& agent = fleet.agents[faulty_agent];
    const int kind = static_cast<int>(rng() % 4);
    if (kind == 0) agent.end(SIGKILL);
    else if (kind == 1) ::kill(agent.process, SIGSTOP);
    else
      cluster.on([&] {
        for (int n = 0; n < 3; ++n) injected_faults.push_back(fleet.relays->strike(rng));
      });
    // A manager is killed meanwhile: its agent, if it runs, restarts it, and its status changes.
    const std::string killed_instance = "n" + std::to_string(1 + rng() % 6);
    const Time killed_at = steady_now();
    for (const auto& [name, instance] : fleet.conditions()) {
      if (name != killed_instance) continue;
      ::kill(static_cast<pid_t>(instance.pid()), SIGKILL);
    }
    const Time end = steady_now() + milliseconds(3000 + rng() % 4000);
    while (steady_now() < end) {
      // Each agent's own report is checked, and only where another agent was killed or stopped: that one
      // sends nothing until it runs again. After a fault of the relays its status may still arrive.
      for (std::size_t observer = 0; observer < 3; ++observer) {
        if (kind > 1 || observer == faulty_agent) continue;
        const auto known = fleet.agents[observer].heard(agent.name);
        const bool silent_too_long =
            steady_now() - killed_at > fleet::GossipState::fresh_for + milliseconds(300);
        stale += known && silent_too_long && known->freshness() == "fresh";
      }
      cluster.rest(milliseconds(100));
    }
    cluster.on([&] { fleet.relays->heal(); });
    if (kind == 0) agent.start();
    if (kind == 1) ::kill(agent.process, SIGCONT);
    const Time fault_ended_at = steady_now();
    const bool fresh = wait_for([&] { return fleet.all_serve() && fleet.all_know(); });
    not_fresh_at_end += !fresh;
    fresh_again.push_back(in_ms(steady_now() - fault_ended_at));
  }
  // The bytes per second, and how soon an agent has a change, without faults.
  const std::uint64_t bytes = cluster.on([&] { return fleet.relays->bytes(); });
  const Time started_at = steady_now();
  for (int n = 0; n < 5; ++n) {
    const auto incarnation_of_n1 = [&] {
      const agent::v1::Heard heard = fleet.heard(2, 0);
      for (const auto& entry : heard.words()) {
        if (entry.instance() == "n1") return entry.life();
      }
      return std::uint64_t{0};
    };
    const std::uint64_t before = incarnation_of_n1();
    ::kill(static_cast<pid_t>(fleet.seen("n1").pid()), SIGKILL);
    const Time killed_at = steady_now();
    wait_for([&] { return incarnation_of_n1() != before; });
    spread.push_back(in_ms(steady_now() - killed_at));
    wait_for([&] { return fleet.all_serve() && fleet.all_know(); });
  }
  const double rate = static_cast<double>(cluster.on([&] { return fleet.relays->bytes(); }) - bytes) /
                      std::chrono::duration<double>(steady_now() - started_at).count() / 3;
  cluster.on([&] { cluster.crowd().offer(0, {}); });
  cluster.quiet();
  const HistoryChecker::Verdict verdict = cluster.verdict();
  for (const std::string& fault : verdict.faults) std::cerr << fault << "\n";
  passed = passed && stale == 0 && not_fresh_at_end == 0 && verdict.doubled == 0;
  return {{"faults", rounds},
          {"stale_as_fresh", stale},
          {"unknown_at_end", not_fresh_at_end},
          {"known_again_ms_p50", quantile(fresh_again, 0.5)},
          {"known_again_ms_max", quantile(fresh_again, 1)},
          {"spread_ms_p50", quantile(spread, 0.5)},
          {"spread_ms_max", quantile(spread, 1)},
          {"bytes_a_second_with_tls", static_cast<std::uint64_t>(rate)},
          {"jobs", verdict.sent},
          {"doubled", verdict.doubled}};
}

}  // namespace

int measure_gossip(const MeasurementOptions& options) {
  bool passed = true;
  nlohmann::json report;
  const GossipSimulation::Shape faulty = {
      .loss = 0.1, .doubled = 0.1, .kills = true, .stops = true, .cuts = true, .drops = true};
  report["small"] = run_histories(options.seed, 1000, faulty, passed);
  GossipSimulation::Shape large = faulty;
  large.agents = 50, large.instances_each = 20;
  report["large"] = run_histories(options.seed, 3, large, passed);
  report["processes"] = run_processes(options, passed);
  std::cout << report.dump() << std::endl;
  return passed ? 0 : 1;
}

}  // namespace pearchute::lab
