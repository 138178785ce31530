// The control plane at the size of a fleet: real managers with traffic under real agents, beside racks of
// hollow hosts that run the same control code, in two regions with seven zones. What control costs at rest,
// and how soon all status is fresh again after each fault.
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
constexpr seconds fresh_at_start_timeout(120);
// Below this number of managers the span at rest is shorter, so that a run in CI takes about twenty seconds.
constexpr int small_run_managers = 32;
constexpr seconds rest_duration(10), small_run_rest_duration(3);
constexpr double statements_per_second_per_manager = 25;
constexpr int table_groups = 40;
constexpr double max_memory_share = 0.5;

// Appends the processor share and the memory in MB of each process over a span of rest, from its usage before
// and after it. Both are divided by the number of managers (with their agents) that share the process.
void add_share(const std::vector<ScaleCluster::Usage>& before, const std::vector<ScaleCluster::Usage>& after,
               double time_ms, std::vector<double>& cpu, std::vector<double>& memory) {
  for (std::size_t n = 0; n < before.size() && n < after.size(); ++n) {
    const std::chrono::duration<double, std::milli> spent = after[n].used.cpu_time - before[n].used.cpu_time;
    const auto shared_by = static_cast<double>(after[n].shared_by);
    cpu.push_back(spent.count() / time_ms / shared_by);
    memory.push_back(static_cast<double>(after[n].used.resident_kb) / 1024 / shared_by);
  }
}

// Raises `max` to the highest cost of a real manager: its own and that of the agent that owns it.
void raise_to_real_managers(const std::vector<double>& managers, const std::vector<double>& agents,
                            double& max) {
  for (std::size_t m = 0; m < managers.size(); ++m)
    max = std::max(max, managers[m] + agents[m * agents.size() / managers.size()]);
}

void measure_rest(ScaleCluster& cluster, ScaleResult& result) {
  const auto sent_before = cluster.bytes_sent();
  const Time started_at = steady_now();
  const auto hollow_before = cluster.hollow_usage(), agents_before = cluster.real_agent_usage(),
             managers_before = cluster.real_manager_usage();
  cluster.world().rest(result.managers < small_run_managers ? small_run_rest_duration : rest_duration);
  const auto hollow = cluster.hollow_usage(), agents = cluster.real_agent_usage(),
             managers = cluster.real_manager_usage();
  const double usage_ms = std::chrono::duration<double, std::milli>(steady_now() - started_at).count();
  const auto sent = cluster.bytes_sent();
  const double sent_s = std::chrono::duration<double>(steady_now() - started_at).count();

  std::vector<double> hollow_cpu, hollow_memory, agent_cpu, agent_memory, manager_cpu, manager_memory;
  add_share(hollow_before, hollow, usage_ms, hollow_cpu, hollow_memory);
  add_share(agents_before, agents, usage_ms, agent_cpu, agent_memory);
  add_share(managers_before, managers, usage_ms, manager_cpu, manager_memory);
  result.control_cpu_share_max = std::ranges::max(hollow_cpu);
  result.control_memory_mb_max = std::ranges::max(hollow_memory);
  raise_to_real_managers(manager_cpu, agent_cpu, result.control_cpu_share_max);
  raise_to_real_managers(manager_memory, agent_memory, result.control_memory_mb_max);

  double total_rate = 0;
  for (const auto& [agent, bytes] : sent) {
    const auto before = sent_before.find(agent);
    const std::uint64_t earlier = before == sent_before.end() ? 0 : before->second;
    const double rate = static_cast<double>(bytes - earlier) / sent_s;
    result.control_bytes_per_s_max = std::max(result.control_bytes_per_s_max, rate);
    total_rate += rate;
  }
  result.control_bytes_per_s_mean = total_rate / static_cast<double>(std::max<std::size_t>(sent.size(), 1));
}

void inject_all(ScaleCluster& cluster, const ScalePlan& plan, const std::vector<ScaleFault>& faults,
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

// Short and long statements on many groups of tables.
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

int measure_scale(const MeasurementOptions& options) {
  const std::vector<ScaleFault> faults = scale_faults_in(options.faults);
  const ScalePlan plan(options.size > 0 ? options.size : default_managers, options.seed);
  ScaleResult result;
  result.managers = plan.managers(), result.engines = plan.engines(), result.agents = plan.agents();
  result.real_managers = plan.real_managers(), result.real_agents = plan.real_agents().size();
  result.hollow_processes = plan.racks().size();
  const Time started_at = steady_now();
  ScaleCluster cluster(plan, options.programs, options.seed);
  TestCluster& test_cluster = cluster.world();
  test_cluster.must_serve(static_cast<std::uint64_t>(plan.engines()));
  result.all_fresh_at_start = cluster.until_all_fresh(started_at, fresh_at_start_timeout);
  result.processes = cluster.processes();
  result.memory_share = cluster.memory_share();
  if (result.memory_share > max_memory_share)
    throw TestClusterError("the run uses " + std::to_string(result.memory_share) +
                               " of the machine's memory, over the bound of " +
                               std::to_string(max_memory_share),
                           test_cluster.folder(), "choose a smaller --size");
  measure_rest(cluster, result);

  const double rate = statements_per_second_per_manager * plan.real_managers();
  test_cluster.on([&] { test_cluster.crowd().offer(rate, traffic()); });
  inject_all(cluster, plan, faults, result);
  test_cluster.on([&] { test_cluster.crowd().offer(0, {}); });
  test_cluster.quiet();
  result.memory_share = std::max(result.memory_share, cluster.memory_share());
  const HistoryChecker::Verdict verdict = test_cluster.verdict();
  for (const std::string& fault : verdict.faults) std::cerr << fault << "\n";
  result.sent = verdict.sent, result.done = verdict.done;
  result.lost = verdict.lost, result.doubled = verdict.doubled + verdict.twice_run;
  if (!options.predicted.empty()) result.predicted_error_max = predicted_error(options.predicted, result);
  std::cout << to_json(result).dump() << std::endl;
  return rules_hold(result) ? 0 : 1;
}

}  // namespace pearchute::lab
