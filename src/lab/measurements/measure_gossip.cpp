// What agents know of each other: seeded histories of the decisions with every kind of trouble, at a small
// and at a large size, and real agents with relays between them, struck by one fault after another. How soon
// a change is known, how soon all is known again, what it costs; and whether anything old was ever told as
// fresh.
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

double at_share(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::ranges::sort(values);
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}
double in_ms(fleet::Duration span) { return static_cast<double>(span.count()) / 1000; }

nlohmann::json histories(std::uint64_t seed, int number, GossipSimulation::Shape shape, bool& well) {
  std::vector<double> spread, settled;
  std::uint64_t broken = 0, changes = 0, digest = 0, kept = 0, answer = 0;
  double bytes = 0;
  for (int n = 0; n < number; ++n) {
    shape.seed = seed * 100'000 + static_cast<std::uint64_t>(n);
    const GossipSimulation::Result result = GossipSimulation(shape).play();
    for (const std::string& fault : result.faults)
      std::cerr << "seed " << shape.seed << ": " << fault << "\n";
    broken += result.never_said + result.stale_as_newer + result.overruled + result.apart;
    changes += result.changes, digest = digest * 31 + result.digest;
    kept = std::max(kept, result.most_kept), answer = std::max(answer, result.most_answer);
    bytes += result.bytes_a_second / number;
    for (const fleet::Duration one : result.spread) spread.push_back(in_ms(one));
    settled.push_back(in_ms(result.settled));
  }
  well = well && broken == 0;
  return {{"histories", number},
          {"agents", shape.agents},
          {"instances", shape.agents * shape.instances_each},
          {"changes", changes},
          {"broken", broken},
          {"spread_ms_p50", at_share(spread, 0.5)},
          {"spread_ms_p99", at_share(spread, 0.99)},
          {"settle_ms_p50", at_share(settled, 0.5)},
          {"settle_ms_p99", at_share(settled, 0.99)},
          {"bytes_a_second", static_cast<std::uint64_t>(bytes)},
          {"most_kept", kept},
          {"most_answer", answer},
          {"digest", digest}};
}

// Three agents, six managers, eight engines, one fault after another, and load on.
nlohmann::json processes(const Bench& bench, bool& well) {
  ClusterSpec site;
  site.managers = 6, site.engines = 8, site.seed = bench.seed, site.starts_managers = false;
  site.pearchuted = bench.programs + "/pearchuted",
  site.pearchute_agent = bench.programs + "/pearchute-agent";
  AgentCluster fleet(site, 3, true);
  TestCluster& world = fleet.world;
  if (!wait_for([&] { return fleet.all_serve() && fleet.all_know(); }))
    throw TestClusterError("the agents do not come to know each other", world.folder());
  world.must_serve(8);
  world.on([&] {
    world.crowd().offer(200, {{"quick", "SELECT work=5 FROM a_1.t", milliseconds(2000), 0, 5, 8}});
  });
  // An agent that can't hear of a manager's end for longer than word is fresh must not call its word fresh.
  std::knuth_b chance(static_cast<std::knuth_b::result_type>(bench.seed));
  std::uint64_t stale = 0, unknown_at_end = 0;
  std::vector<double> known_again, spread;
  std::vector<std::string> struck;
  const int rounds = bench.size > 0 ? bench.size : 12;
  for (int round = 0; round < rounds; ++round) {
    const auto whom = static_cast<std::size_t>(chance() % 3);
    Agent& agent = fleet.agents[whom];
    const int kind = static_cast<int>(chance() % 4);
    if (kind == 0) agent.end(SIGKILL);
    else if (kind == 1) ::kill(agent.process, SIGSTOP);
    else
      world.on([&] {
        for (int n = 0; n < 3; ++n) struck.push_back(fleet.relays->strike(chance));
      });
    // A manager falls meanwhile: its agent, if it lives, starts it anew, and its word is another.
    const std::string fallen = "n" + std::to_string(1 + chance() % 6);
    const Time fell = steady_now();
    for (const auto& [name, instance] : fleet.conditions()) {
      if (name != fallen) continue;
      ::kill(static_cast<pid_t>(instance.pid()), SIGKILL);
    }
    const Time end = steady_now() + milliseconds(3000 + chance() % 4000);
    while (steady_now() < end) {
      // By what each says itself: an agent that does not answer can't have been heard for as long.
      for (std::size_t who = 0; who < 3; ++who) {
        if (kind > 1 || who == whom) continue;
        const auto known = fleet.agents[who].heard(agent.name);
        const bool silent_long = steady_now() - fell > fleet::GossipState::fresh_for + milliseconds(300);
        stale += known && silent_long && known->freshness() == "fresh";
      }
      world.rest(milliseconds(100));
    }
    world.on([&] { fleet.relays->heal(); });
    if (kind == 0) agent.start();
    if (kind == 1) ::kill(agent.process, SIGCONT);
    const Time healed = steady_now();
    const bool known = wait_for([&] { return fleet.all_serve() && fleet.all_know(); });
    unknown_at_end += !known;
    known_again.push_back(in_ms(steady_now() - healed));
  }
  // What it costs, and how soon a change is known, with no fault.
  const std::uint64_t bytes = world.on([&] { return fleet.relays->bytes(); });
  const Time from = steady_now();
  for (int n = 0; n < 5; ++n) {
    const auto life = [&] {
      const agent::v1::Heard heard = fleet.heard(2, 0);
      for (const auto& word : heard.words()) {
        if (word.instance() == "n1") return word.life();
      }
      return std::uint64_t{0};
    };
    const std::uint64_t before = life();
    ::kill(static_cast<pid_t>(fleet.seen("n1").pid()), SIGKILL);
    const Time fell = steady_now();
    wait_for([&] { return life() != before; });
    spread.push_back(in_ms(steady_now() - fell));
    wait_for([&] { return fleet.all_serve() && fleet.all_know(); });
  }
  const double rate = static_cast<double>(world.on([&] { return fleet.relays->bytes(); }) - bytes) /
                      std::chrono::duration<double>(steady_now() - from).count() / 3;
  world.on([&] { world.crowd().offer(0, {}); });
  world.quiet();
  const HistoryChecker::Verdict verdict = world.verdict();
  for (const std::string& fault : verdict.faults) std::cerr << fault << "\n";
  well = well && stale == 0 && unknown_at_end == 0 && verdict.doubled == 0;
  return {{"faults", rounds},
          {"stale_as_fresh", stale},
          {"unknown_at_end", unknown_at_end},
          {"known_again_ms_p50", at_share(known_again, 0.5)},
          {"known_again_ms_max", at_share(known_again, 1)},
          {"spread_ms_p50", at_share(spread, 0.5)},
          {"spread_ms_max", at_share(spread, 1)},
          {"bytes_a_second_with_tls", static_cast<std::uint64_t>(rate)},
          {"jobs", verdict.sent},
          {"doubled", verdict.doubled}};
}

}  // namespace

int measure_word(const Bench& bench) {
  bool well = true;
  nlohmann::json told;
  const GossipSimulation::Shape trouble = {
      .loss = 0.1, .doubled = 0.1, .kills = true, .stops = true, .cuts = true, .drops = true};
  told["small"] = histories(bench.seed, 1000, trouble, well);
  GossipSimulation::Shape large = trouble;
  large.agents = 50, large.instances_each = 20;
  told["large"] = histories(bench.seed, 3, large, well);
  told["processes"] = processes(bench, well);
  std::cout << told.dump() << std::endl;
  return well ? 0 : 1;
}

}  // namespace pearchute::lab
