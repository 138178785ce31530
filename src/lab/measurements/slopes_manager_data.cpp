#include "lab/measurements/slopes_manager_data.h"

#include <algorithm>
#include <cmath>
#include <thread>

#include "errors/error.h"
#include "lab/checkers/process_usage.h"
#include "lab/load/held_connections.h"
#include "lab/load/load_cluster.h"
#include "lab/load/load_generator.h"

namespace pearchute::lab {

using capacity::Slope;
using capacity::SlopeDescription;
using capacity::SlopePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int default_engines = 80;
constexpr double default_rate = 1000;  // statements a second
constexpr milliseconds default_work(5);
constexpr milliseconds rest_time(1000);
constexpr milliseconds warm_time(1500);  // until connections to engines are open and estimates are stable
constexpr milliseconds measured_time(2500);
constexpr double served_share = 0.99;  // below it a point gets a remark

// The points of one slope, with remarks on them in its source.
struct Series {
  SlopeDescription description;
  std::string source;
  std::vector<SlopePoint> points;
  void add(double driver, double value) { points.push_back({driver, value}); }
  void remark(const std::string& text) { source += "; " + text; }
  // Leaves out the second largest size, which the fit predicts.
  Slope fit() const { return capacity::fit_slope(description, points, points.size() - 2, source); }
};

LoadClusterSpec cluster_spec(const MeasurementOptions& options, int engines, int cores = 8) {
  LoadClusterSpec spec;
  spec.pearchuted = options.programs + "/pearchuted";
  spec.engines.engines = engines;
  spec.engines.cores = cores;
  spec.engines.threads = 3;
  spec.engines.seed = options.seed;
  spec.seed = options.seed;
  spec.sockets = 16'384;
  spec.longest_timeout = seconds(10);
  spec.sla_time = seconds(9);  // so that the manager doesn't reject long statements
  return spec;
}

LoadGeneratorSpec generator_spec(const MeasurementOptions& options, const LoadCluster& cluster,
                                 milliseconds work, int connections) {
  StatementClass statement_class;
  statement_class.name = class_of_low_value;
  statement_class.statement = "SELECT work=" + std::to_string(work.count()) + " FROM a_1.t";
  statement_class.cost_ms = static_cast<double>(work.count());
  LoadGeneratorSpec spec;
  spec.manager = cluster.manager_address();
  spec.seed = options.seed;
  spec.kept_connections = connections;
  spec.classes = {statement_class};
  return spec;
}

ProcessUsage usage_of(const LoadCluster& cluster) {
  const auto usage = read_process_usage(cluster.manager_process());
  if (!usage) throw TestClusterError("the manager has ended", "slopes of a manager's data path");
  return *usage;
}

// The manager's cost at one rate over the measured time.
struct LoadCost {
  double cpu_share = 0;         // of a core, including the share at rest
  double us_for_statement = 0;  // without the share at rest
  double open_statements = 0;   // on average, by Little's law
  std::string remark;           // empty where the point is valid
};

LoadCost cost_of_one_run(LoadCluster& cluster, LoadGenerator& generator, double rate, double rest_share) {
  ProcessUsageSampler usage(cluster.manager_process());
  const LoadResult result =
      generator.run({{rate, warm_time}, {rate, measured_time}}, [&](std::size_t) { usage.sample(); });
  if (usage.samples().size() != 3)
    throw TestClusterError("the manager has ended", "slopes of a manager's data path");
  const StepResult& step = result.steps[1];
  const ClassResult total = step.total();
  const double seconds_measured = std::chrono::duration<double>(measured_time).count();
  const double served = static_cast<double>(total.answered_in_time);
  LoadCost cost;
  cost.cpu_share = cpu_share_between(usage.samples()[1], usage.samples()[2]);
  const double spent_us = (cost.cpu_share - rest_share) * seconds_measured * 1e6;
  cost.us_for_statement = std::max(spent_us, 0.0) / std::max(served, 1.0);
  cost.open_statements = served / seconds_measured * total.latency.quantile_ms(0.5) / 1000;
  if (step.is_void())
    cost.remark = "void at " + std::to_string(std::lround(rate)) + "/s, the generator's lag p99 was " +
                  std::to_string(std::lround(step.lag.quantile_ms(0.99))) + " ms";
  if (served < served_share * static_cast<double>(total.offered))
    cost.remark += (cost.remark.empty() ? "" : ", ") + std::string("of ") + std::to_string(total.offered) +
                   " offered " + std::to_string(total.answered_in_time) + " were answered in time";
  return cost;
}

// Runs the load a second time where the first run got a remark.
LoadCost cost_of_load(LoadCluster& cluster, LoadGenerator& generator, double rate, double rest_share) {
  const LoadCost first = cost_of_one_run(cluster, generator, rate, rest_share);
  return first.remark.empty() ? first : cost_of_one_run(cluster, generator, rate, rest_share);
}

// The median of five starts.
double time_to_ready_ms(const LoadClusterSpec& spec) {
  constexpr std::size_t starts = 5;
  std::vector<double> times;
  while (times.size() < starts)
    times.push_back(static_cast<double>(LoadCluster(spec).time_to_ready().count()));
  std::ranges::sort(times);
  return times[starts / 2];
}

double share_at_rest(const LoadCluster& cluster) {
  const ProcessUsage before = usage_of(cluster);
  std::this_thread::sleep_for(rest_time);
  return cpu_share_between(before, usage_of(cluster));
}

// All engines are up. Each size has a manager of its own.
void measure_by_engines(const MeasurementOptions& options, std::vector<Slope>& slopes) {
  Series cpu{{"manager.statement_cpu.by_engines", "manager", "processor time of a statement", "us/statement",
              "engines known", "engines"},
             "1,000 statements a second of 5 ms, what is spent at rest taken off",
             {}};
  Series memory{
      {"manager.memory.by_engines_known", "manager", "resident memory", "kB", "engines known", "engines"},
      "at rest, before the first statement",
      {}};
  Series ready{{"manager.ready_time.by_engines", "manager", "time from its start until it is ready", "ms",
                "engines known", "engines"},
               "the list is in its configuration; the median of 5 starts, checked each 2 ms",
               {}};
  for (const int engines : {80, 160, 320, 640, 1024}) {
    ready.add(engines, time_to_ready_ms(cluster_spec(options, engines)));
    LoadCluster cluster(cluster_spec(options, engines));
    const double rest_share = share_at_rest(cluster);
    memory.add(engines, static_cast<double>(usage_of(cluster).resident_kb));
    LoadGenerator generator(generator_spec(options, cluster, default_work, 300));
    const LoadCost cost = cost_of_load(cluster, generator, default_rate, rest_share);
    cpu.add(engines, cost.us_for_statement);
    if (!cost.remark.empty()) cpu.remark(std::to_string(engines) + " engines: " + cost.remark);
  }
  for (const Series* one : {&cpu, &memory, &ready}) slopes.push_back(one->fit());
}

void measure_by_rate(const MeasurementOptions& options, std::vector<Slope>& slopes) {
  Series cpu{{"manager.cpu_share.by_rate", "manager", "processor time", "cores", "statements a second",
              "statements/s"},
             "80 engines, statements of 5 ms, what is spent at rest included",
             {}};
  LoadCluster cluster(cluster_spec(options, default_engines));
  LoadGenerator generator(generator_spec(options, cluster, default_work, 1200));
  for (const int rate : {300, 750, 1500, 3000, 4500, 6000}) {
    const LoadCost cost = cost_of_load(cluster, generator, rate, 0);
    cpu.add(rate, cost.cpu_share);
    if (!cost.remark.empty()) cpu.remark(cost.remark);
  }
  slopes.push_back(cpu.fit());
}

// Varies the number of open statements at one rate by the length of the statements.
void measure_by_open(const MeasurementOptions& options, std::vector<Slope>& slopes) {
  constexpr int many_cores = 32;  // so that no statement waits for a core
  Series cpu{{"manager.statement_cpu.by_open", "manager", "processor time of a statement", "us/statement",
              "open statements", "statements"},
             "80 engines, 1,000 statements a second of 20 to 800 ms, what is spent at rest taken off",
             {}};
  LoadCluster cluster(cluster_spec(options, default_engines, many_cores));
  const double rest_share = share_at_rest(cluster);
  for (const int work_ms : {20, 50, 150, 400, 800}) {
    const milliseconds work(work_ms);
    LoadGenerator generator(generator_spec(options, cluster, work, 300));
    const LoadCost cost = cost_of_load(cluster, generator, default_rate, rest_share);
    cpu.add(cost.open_statements, cost.us_for_statement);
    if (!cost.remark.empty()) cpu.remark(std::to_string(work.count()) + " ms: " + cost.remark);
  }
  slopes.push_back(cpu.fit());
}

void measure_by_idle_connections(const MeasurementOptions& options, std::vector<Slope>& slopes) {
  Series memory{{"manager.memory.by_idle_connections", "manager", "resident memory", "kB",
                 "idle client connections", "connections"},
                "80 engines known, each connection has had one answer",
                {}};
  Series descriptors{{"manager.descriptors.by_connections", "manager", "open descriptors", "descriptors",
                      "client connections", "connections"},
                     "80 engines known, none connected",
                     {}};
  LoadCluster cluster(cluster_spec(options, default_engines));
  HeldConnections connections(cluster.manager_address());
  for (const int count : {500, 1000, 2000, 4000, 6000}) {
    connections.open_up_to(static_cast<std::size_t>(count));
    connections.refresh();
    const ProcessUsage usage = usage_of(cluster);
    memory.add(count, static_cast<double>(usage.resident_kb));
    descriptors.add(count, static_cast<double>(usage.descriptors));
  }
  slopes.push_back(memory.fit());
  slopes.push_back(descriptors.fit());
}

// A manager with the given number of statements running on its engines, each on a client connection of its
// own; `connections` may be larger. Read its usage right after construction: two seconds after a long
// statement's arrival the manager answers its client with a link, and the connection has no open statement
// any more.
class OpenStatements {
 public:
  OpenStatements(const LoadClusterSpec& spec, int connections, int statements)
      : cluster_(spec), connections_(cluster_.manager_address()) {
    constexpr milliseconds work(5000), timeout(9000), start_timeout(1700), poll_interval(2);
    // A larger burst would wait in the manager for longer than the statements stay open.
    constexpr int batch_size = 100;
    connections_.open_up_to(static_cast<std::size_t>(connections));
    const auto deadline = std::chrono::steady_clock::now() + start_timeout;
    for (int sent = 0; sent < statements; sent += batch_size) {
      const int batch = std::min(batch_size, statements - sent);
      connections_.begin_statements(static_cast<std::size_t>(sent), static_cast<std::size_t>(batch),
                                    class_of_low_value, work, timeout,
                                    first_id + static_cast<std::uint64_t>(sent));
      while (begun() < sent + batch && std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(poll_interval);
    }
  }
  LoadCluster& cluster() { return cluster_; }
  int begun() { return static_cast<int>(cluster_.engines().begun()); }

 private:
  static constexpr std::uint64_t first_id = 1;
  LoadCluster cluster_;
  HeldConnections connections_;
};

constexpr int cores_for_open_statements = 64;  // statements that an engine runs at once

void measure_by_open_statements(const MeasurementOptions& options, std::vector<Slope>& slopes) {
  Series memory{{"manager.memory.by_open_statements", "manager", "resident memory", "kB",
                 "client connections with an open statement", "statements"},
                "80 engines, each statement is out at an engine; with the memory of its connection",
                {}};
  for (const int count : {250, 500, 1000, 2000, 4000}) {
    OpenStatements open(cluster_spec(options, default_engines, cores_for_open_statements), count, count);
    memory.add(count, static_cast<double>(usage_of(open.cluster()).resident_kb));
    if (open.begun() < count)
      memory.remark("of " + std::to_string(count) + " only " + std::to_string(open.begun()) + " were out");
  }
  slopes.push_back(memory.fit());
}

// Each statement goes to an engine of its own, so each opens one connection.
void measure_by_engines_connected(const MeasurementOptions& options, std::vector<Slope>& slopes) {
  constexpr int engines_known = 1024;
  Series memory{{"manager.memory.by_engines_connected", "manager", "resident memory", "kB",
                 "engines connected", "engines"},
                "1,024 engines known and 1,024 client connections throughout, one open statement at each "
                "engine connected; with the memory of the statement",
                {}};
  for (const int connected : {64, 128, 256, 512, engines_known}) {
    OpenStatements open(cluster_spec(options, engines_known), engines_known, connected);
    memory.add(connected, static_cast<double>(usage_of(open.cluster()).resident_kb));
    const auto connections = open.cluster().engines().connections();
    if (connections != static_cast<std::uint64_t>(connected))
      memory.remark("at " + std::to_string(connected) + " there were " + std::to_string(connections) +
                    " connections to engines");
  }
  slopes.push_back(memory.fit());
}

}  // namespace

std::vector<Slope> measure_manager_data_slopes(const MeasurementOptions& options) {
  raise_descriptor_limit();
  std::vector<Slope> slopes;
  measure_by_engines(options, slopes);
  measure_by_rate(options, slopes);
  measure_by_open(options, slopes);
  measure_by_idle_connections(options, slopes);
  measure_by_open_statements(options, slopes);
  measure_by_engines_connected(options, slopes);
  return slopes;
}

}  // namespace pearchute::lab
