#include "lab/measurements/slopes_agent.h"

#include <signal.h>

#include <algorithm>
#include <array>
#include <fstream>

#include "errors/error.h"
#include "lab/checkers/process_usage.h"
#include "lab/measurements/process_cpu_clock.h"
#include "lab/measurements/stand_in_load.h"
#include "lab/stand_ins/agent_cluster.h"

namespace pearchute::lab {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds ready_timeout{60};

ClusterSpec cluster_of(const MeasurementOptions& options, int instances) {
  ClusterSpec spec;
  spec.managers = instances;
  spec.engines = 2;
  spec.seed = options.seed;
  spec.starts_managers = false;
  spec.pearchuted = options.programs + "/pearchuted";
  spec.pearchute_agent = options.programs + "/pearchute-agent";
  return spec;
}

// The number of transactions that have changed a SQLite file with a rollback journal: the file change counter
// of its header, four bytes at offset 24 in big-endian order. 0 where the file can't be read.
std::uint32_t transactions_written(const std::string& database) {
  constexpr std::streamoff counter_offset = 24;
  std::ifstream file(database, std::ios::binary);
  std::array<char, 4> bytes{};
  file.seekg(counter_offset);
  if (!file.read(bytes.data(), bytes.size())) return 0;
  std::uint32_t counter = 0;
  for (const char byte : bytes) counter = counter << 8 | static_cast<unsigned char>(byte);
  return counter;
}

// Agents as processes with their instances, and relays between the agents that count bytes.
class AgentsUnderMeasure {
 public:
  struct Usage {
    // Means over the agents: bytes/s to other agents, us/s of processor time, kB resident, transactions/s.
    double bytes = 0, cpu = 0, memory = 0, writes = 0;
  };

  AgentsUnderMeasure(const MeasurementOptions& options, const AgentPlan& plan, int agents, int instances_each)
      : cluster_(cluster_of(options, agents * instances_each), static_cast<std::size_t>(agents), true) {
    if (!wait_for([&] { return cluster_.all_serve() && all_fresh(); }, ready_timeout))
      throw TestClusterError("the agents have no fresh status of each other after the start",
                             cluster_.world.folder());
    cluster_.world.rest(plan.warm_up);
  }

  // Kills all instances at once; the cluster's destructor would stop one after another.
  ~AgentsUnderMeasure() {
    const auto instances = cluster_.conditions();
    for (Agent& agent : cluster_.agents) agent.end(SIGKILL);
    for (const auto& [name, instance] : instances) {
      if (instance.pid() > 0) ::kill(static_cast<pid_t>(instance.pid()), SIGKILL);
    }
  }
  AgentsUnderMeasure(const AgentsUnderMeasure&) = delete;
  AgentsUnderMeasure& operator=(const AgentsUnderMeasure&) = delete;

  Usage measure(const AgentPlan& plan) {
    StandInLoadMeter stand_ins(cluster_.world);
    std::vector<double> bytes;
    std::vector<double> writes;
    Usage usage;
    usage.cpu = median_of(plan.windows, [&] {
      std::vector<CpuMeter> meters;
      for (const Agent& agent : cluster_.agents) meters.emplace_back(agent.process);
      const std::uint64_t relayed_before = relayed_bytes();
      const std::uint64_t writes_before = writes_so_far();
      cluster_.world.rest(plan.window);
      const double agent_seconds = meters.front().seconds() * static_cast<double>(meters.size());
      bytes.push_back(static_cast<double>(relayed_bytes() - relayed_before) / agent_seconds);
      writes.push_back(static_cast<double>(writes_so_far() - writes_before) / agent_seconds);
      double cpu = 0;
      for (const CpuMeter& meter : meters) cpu += meter.microseconds_per_second();
      return cpu / static_cast<double>(meters.size());
    });
    usage.bytes = median(bytes);
    usage.writes = median(writes);
    usage.memory = mean_memory_kb();
    stand_ins.require_below_bound(largest_stand_in_share_);
    return usage;
  }

  std::uint64_t writes_so_far() const {
    std::uint64_t writes = 0;
    for (const Agent& agent : cluster_.agents)
      writes += transactions_written(cluster_.world.folder() + "/" + agent.name + ".db");
    return writes;
  }
  double largest_stand_in_share() const { return largest_stand_in_share_; }

 private:
  static double median(std::vector<double> values) {
    std::ranges::sort(values);
    return values[values.size() / 2];
  }
  bool all_fresh() {
    return std::ranges::all_of(cluster_.agents, [&](Agent& agent) {
      const auto status = agent.show();
      if (!status) return false;
      const auto fresh =
          std::ranges::count_if(status->heard(), [](const auto& one) { return one.freshness() == "fresh"; });
      return static_cast<std::size_t>(fresh) + 1 >= cluster_.agents.size();
    });
  }
  std::uint64_t relayed_bytes() {
    return cluster_.world.on([&] { return cluster_.relays->bytes(); });
  }
  double mean_memory_kb() const {
    double sum = 0;
    for (const Agent& agent : cluster_.agents) {
      const auto usage = read_process_usage(agent.process);
      if (!usage) throw TestClusterError(agent.name + " has ended", cluster_.world.folder());
      sum += static_cast<double>(usage->resident_kb);
    }
    return sum / static_cast<double>(cluster_.agents.size());
  }

  AgentCluster cluster_;
  double largest_stand_in_share_ = 0;
};

void declare(SeriesSet& series) {
  const std::string by_agents =
      "agents as processes with one instance each, TLS over relays on loopback, at rest, mean of the agents, "
      "median of windows";
  const std::string bytes = by_agents +
                            "; bytes between agents with TLS and HTTP/2, their own instances' admin channels "
                            "not counted; what one agent sends another receives, so both are one mean";
  series.declare({"agent.bytes_sent.by_agents", "agent", "bytes sent to other agents", "bytes/s",
                  "agents of the fleet", "agents"},
                 bytes);
  series.declare({"agent.bytes_received.by_agents", "agent", "bytes received from other agents", "bytes/s",
                  "agents of the fleet", "agents"},
                 bytes);
  series.declare({"agent.cpu.by_agents", "agent", "processor time", "us/s", "agents of the fleet", "agents"},
                 by_agents);
  series.declare(
      {"agent.memory.by_agents", "agent", "resident memory", "kB", "agents of the fleet", "agents"},
      by_agents);
  const std::string by_instances =
      "two agents as processes, each with so many instances, TLS over relays on loopback, at rest, mean of "
      "the agents, median of windows";
  const auto instances = [&](const std::string& name, const std::string& quantity, const std::string& unit) {
    series.declare({name, "agent", quantity, unit, "instances of an agent", "instances"}, by_instances);
  };
  instances("agent.bytes_sent.by_instances", "bytes sent to other agents", "bytes/s");
  instances("agent.cpu.by_instances", "processor time", "us/s");
  instances("agent.memory.by_instances", "resident memory", "kB");
  instances("agent.disk_writes.by_instances", "transactions written to its store", "writes/s");
}

void measure_by_agents(const MeasurementOptions& options, const AgentPlan& plan, SeriesSet& series) {
  double share = 0;
  for (const int size : plan.agents) {
    AgentsUnderMeasure agents(options, plan, size, 1);
    const AgentsUnderMeasure::Usage usage = agents.measure(plan);
    series.add("agent.bytes_sent.by_agents", size, usage.bytes);
    series.add("agent.bytes_received.by_agents", size, usage.bytes);
    series.add("agent.cpu.by_agents", size, usage.cpu);
    series.add("agent.memory.by_agents", size, usage.memory);
    share = std::max(share, agents.largest_stand_in_share());
  }
  const std::string relay_load = "the relays used " + std::to_string(share) + " of a core at most";
  for (const char* name : {"agent.bytes_sent.by_agents", "agent.bytes_received.by_agents",
                           "agent.cpu.by_agents", "agent.memory.by_agents"})
    series.append_to_source(name, relay_load);
}

void measure_by_instances(const MeasurementOptions& options, const AgentPlan& plan, SeriesSet& series) {
  constexpr int agents_of_a_point = 2;
  std::string writes_at_start;
  for (const int size : plan.instances) {
    AgentsUnderMeasure agents(options, plan, agents_of_a_point, size);
    writes_at_start += (writes_at_start.empty() ? "" : ", ") +
                       std::to_string(agents.writes_so_far() / agents_of_a_point) + " for " +
                       std::to_string(size);
    const AgentsUnderMeasure::Usage usage = agents.measure(plan);
    series.add("agent.bytes_sent.by_instances", size, usage.bytes);
    series.add("agent.cpu.by_instances", size, usage.cpu);
    series.add("agent.memory.by_instances", size, usage.memory);
    series.add("agent.disk_writes.by_instances", size, usage.writes);
  }
  series.append_to_source("agent.disk_writes.by_instances",
                          "transactions from a first start until all instances serve: " + writes_at_start);
}

}  // namespace

std::vector<MeasuredSeries> measure_agent_slopes(const MeasurementOptions& options, const AgentPlan& plan) {
  SeriesSet series;
  declare(series);
  measure_by_agents(options, plan, series);
  measure_by_instances(options, plan, series);
  return series.take();
}

}  // namespace pearchute::lab
