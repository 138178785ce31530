// Control at the size of a fleet: real managers with traffic under real agents, beside racks of hollow hosts
// that run the same control code, in two regions with seven zones. What control costs at rest, and how soon
// all is known again after each fault.
#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

#include "errors/error.h"
#include "lab/measurements/measurements.h"
#include "lab/scale/scale_cluster.h"
#include "lab/scale/scale_faults.h"
#include "lab/scale/scale_report.h"

namespace pearchute::lab {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int default_managers = 64;
constexpr seconds known_at_start_within(120);
// A small run, as in CI, is over within some twenty seconds.
constexpr int small_run = 32;
constexpr seconds measured_at_rest(10), measured_at_rest_small(3);
constexpr double statements_a_second_of_a_manager = 25;
constexpr int table_groups = 40;
constexpr double most_memory_share = 0.5;

// Usage of some processes, at the beginning and the end of a span of rest.
void add_share(const std::vector<ScaleCluster::Usage>& before, const std::vector<ScaleCluster::Usage>& after,
               double time_ms, std::vector<double>& cpu, std::vector<double>& memory) {
  for (std::size_t n = 0; n < before.size() && n < after.size(); ++n) {
    const std::chrono::duration<double, std::milli> spent = after[n].used.cpu_time - before[n].used.cpu_time;
    const auto shared_by = static_cast<double>(after[n].shared_by);
    cpu.push_back(spent.count() / time_ms / shared_by);
    memory.push_back(static_cast<double>(after[n].used.resident_kb) / 1024 / shared_by);
  }
}

// A real manager costs what it takes itself and its part of its agent.
void add_real(const std::vector<double>& managers, const std::vector<double>& agents, double& most) {
  for (std::size_t m = 0; m < managers.size(); ++m)
    most = std::max(most, managers[m] + agents[m * agents.size() / managers.size()]);
}

void measure_rest(ScaleCluster& cluster, ScaleResult& result) {
  const auto sent_before = cluster.bytes_sent();
  const Time begun = steady_now();
  const auto hollow_before = cluster.hollow_usage(), agents_before = cluster.real_agent_usage(),
             managers_before = cluster.real_manager_usage();
  cluster.world().rest(result.managers < small_run ? measured_at_rest_small : measured_at_rest);
  const auto hollow = cluster.hollow_usage(), agents = cluster.real_agent_usage(),
             managers = cluster.real_manager_usage();
  const double used_ms = std::chrono::duration<double, std::milli>(steady_now() - begun).count();
  const auto sent = cluster.bytes_sent();
  const double sent_s = std::chrono::duration<double>(steady_now() - begun).count();

  std::vector<double> hollow_cpu, hollow_memory, agent_cpu, agent_memory, manager_cpu, manager_memory;
  add_share(hollow_before, hollow, used_ms, hollow_cpu, hollow_memory);
  add_share(agents_before, agents, used_ms, agent_cpu, agent_memory);
  add_share(managers_before, managers, used_ms, manager_cpu, manager_memory);
  result.control_cpu_share_max = std::ranges::max(hollow_cpu);
  result.control_memory_mb_max = std::ranges::max(hollow_memory);
  add_real(manager_cpu, agent_cpu, result.control_cpu_share_max);
  add_real(manager_memory, agent_memory, result.control_memory_mb_max);

  double all = 0;
  for (const auto& [agent, bytes] : sent) {
    const auto before = sent_before.find(agent);
    const std::uint64_t earlier = before == sent_before.end() ? 0 : before->second;
    const double rate = static_cast<double>(bytes - earlier) / sent_s;
    result.control_bytes_per_s_max = std::max(result.control_bytes_per_s_max, rate);
    all += rate;
  }
  result.control_bytes_per_s_mean = all / static_cast<double>(std::max<std::size_t>(sent.size(), 1));
}

void strike_all(ScaleCluster& cluster, const ScalePlan& plan, const std::vector<ScaleFault>& faults,
                ScaleResult& result) {
  FaultInjector injector(cluster, plan);
  for (const ScaleFault fault : faults) {
    if (fault == ScaleFault::configuration) {
      result.config_in_force = measure_configuration_change(cluster);
    } else if (fault == ScaleFault::primary) {
      const PrimaryChange change =
          measure_primary_change(cluster.world(), scale_cold_rule(), ClusterSpec{}.cores);
      result.primary_change = change.over, result.primary_home_share = change.home_share;
      result.cold_over_limit = change.cold_over_limit;
      result.cold_most_of_limit = change.cold_most_of_limit;
    } else {
      result.recovered[std::string(name_of(fault))] = injector.strike(fault);
    }
  }
  result.stale_as_fresh = injector.stale_as_fresh();
}

// Short and long statements of many groups of tables.
std::vector<Ask> traffic() {
  std::vector<Ask> mix;
  for (int group = 1; group <= table_groups; ++group) {
    const std::string table = "a_" + std::to_string(group) + ".t";
    mix.push_back({"quick", "SELECT work=5 FROM " + table, milliseconds(2000), 0, 5, 8});
    mix.push_back({"report", "SELECT work=30 FROM " + table, milliseconds(3500), 0, 30, 32});
  }
  return mix;
}

}  // namespace

int measure_scale(const Bench& bench) {
  const std::vector<ScaleFault> faults = scale_faults_in(bench.faults);
  const ScalePlan plan(bench.size > 0 ? bench.size : default_managers, bench.seed);
  ScaleResult result;
  result.managers = plan.managers(), result.engines = plan.engines(), result.agents = plan.agents();
  result.real_managers = plan.real_managers(), result.real_agents = plan.real_agents().size();
  result.hollow_processes = plan.racks().size();
  const Time begun = steady_now();
  ScaleCluster cluster(plan, bench.programs, bench.seed);
  TestCluster& world = cluster.world();
  world.must_serve(static_cast<std::uint64_t>(plan.engines()));
  result.all_fresh_at_start = cluster.until_all_fresh(begun, known_at_start_within);
  result.processes = cluster.processes();
  result.memory_share = cluster.memory_share();
  if (result.memory_share > most_memory_share)
    throw TestClusterError("the run takes more than half of the machine's memory", world.folder(),
                           "choose a smaller --size");
  measure_rest(cluster, result);

  const double rate = statements_a_second_of_a_manager * plan.real_managers();
  world.on([&] { world.crowd().offer(rate, traffic()); });
  strike_all(cluster, plan, faults, result);
  world.on([&] { world.crowd().offer(0, {}); });
  world.quiet();
  result.memory_share = std::max(result.memory_share, cluster.memory_share());
  const HistoryChecker::Verdict verdict = world.verdict();
  for (const std::string& fault : verdict.faults) std::cerr << fault << "\n";
  result.sent = verdict.sent, result.done = verdict.done;
  result.lost = verdict.lost, result.doubled = verdict.doubled + verdict.twice_run;
  if (!bench.predicted.empty()) result.predicted_error_max = predicted_error(bench.predicted, result);
  std::cout << to_json(result).dump() << std::endl;
  return rules_hold(result) ? 0 : 1;
}

}  // namespace pearchute::lab
