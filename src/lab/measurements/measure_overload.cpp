// One manager while the offered load exceeds what its core can sustain, as after the loss of a region at peak
// load: whether final answers stay within their timeouts, which classes are rejected and how early, whether a
// rule is broken, and how soon the manager serves all requests again once the load has fallen. The engines
// have capacity to spare; the manager's core is the bottleneck.
#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

#include "lab/checkers/process_usage.h"
#include "lab/load/load_cluster.h"
#include "lab/load/load_generator.h"
#include "lab/measurements/measurements.h"

namespace pearchute::lab {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr int default_engines = 80;
constexpr int client_connections = 4'920;  // 3.1 million client connections over 630 managers
constexpr milliseconds search_step(1500);
constexpr double first_rate = 1000;
constexpr int max_doublings = 6;
constexpr int bisections = 3;
constexpr double served_share = 0.99;  // of the offered requests, for a rate to count as sustained
constexpr std::size_t low_value = 0, high_value = 1;

LoadClusterSpec cluster_spec(const MeasurementOptions& options) {
  LoadClusterSpec spec;
  spec.pearchuted = options.programs + "/pearchuted";
  spec.engines.engines = options.size > 0 ? options.size : default_engines;
  spec.engines.seed = options.seed;
  spec.seed = options.seed;
  return spec;
}

LoadGeneratorSpec generator_spec(const MeasurementOptions& options, const LoadCluster& cluster) {
  const milliseconds timeout(2000);
  LoadGeneratorSpec spec;
  spec.manager = cluster.manager_address();
  spec.seed = options.seed;
  spec.kept_connections = client_connections;
  // The classes differ by their value only; class_run_once is also never run twice.
  spec.classes = {{class_of_low_value, "SELECT work=5 FROM a_1.t", timeout, 5, 8, 0.55},
                  {class_of_high_value, "SELECT work=5 FROM a_1.t", timeout, 5, 8, 0.40},
                  {class_run_once, "SELECT work=5 FROM a_1.t", timeout, 5, 8, 0.05}};
  return spec;
}

double share_of(std::uint64_t part, std::uint64_t total) {
  return total == 0 ? 1 : static_cast<double>(part) / static_cast<double>(total);
}

// The highest rate found that the manager sustains.
struct SustainedRate {
  double per_second = 0;
  bool is_void = false;  // the generator lagged in a step of the search
  LoadCounts counts;
};

// Doubles the rate until the manager fails to sustain it, then bisects between the sustained and the failing
// rate.
SustainedRate find_sustained_rate(LoadGenerator& generator) {
  SustainedRate found;
  double lowest_failing = 0;
  const auto try_rate = [&](double rate) {
    const LoadResult result = generator.run({{rate, search_step}});
    const ClassResult total = result.steps.front().total();
    found.counts += result.counts();
    found.is_void = found.is_void || result.is_void();
    const bool sustained = share_of(total.answered_in_time, total.offered) >= served_share;
    if (sustained) found.per_second = rate;
    else lowest_failing = rate;
    std::cerr << "search: " << rate << "/s, answered in time "
              << share_of(total.answered_in_time, total.offered) << ", lag p99 "
              << result.steps.front().lag.quantile_ms(0.99) << " ms\n";
    return sustained;
  };
  double rate = first_rate;
  for (int i = 0; i < max_doublings && try_rate(rate); ++i) rate *= 2;
  for (int i = 0; i < bisections && lowest_failing > 0; ++i)
    try_rate((found.per_second + lowest_failing) / 2);
  return found;
}

json class_json(const ClassResult& result) {
  return {{"offered", result.offered},
          {"answered_in_time", result.answered_in_time},
          {"served_share", share_of(result.answered_in_time, result.offered)},
          {"rejected_with_advice", result.counts.rejected_with_advice},
          {"rejected_without_advice", result.counts.rejected_without_advice},
          {"failed", result.counts.failed},
          {"lost", result.counts.lost},
          {"doubled", result.counts.doubled},
          {"late", result.counts.late},
          {"misdelivered", result.counts.misdelivered},
          {"unreached", result.counts.unreached},
          {"no_connection", result.no_connection},
          {"latency_p50_ms", result.latency.quantile_ms(0.5)},
          {"latency_p99_ms", result.latency.quantile_ms(0.99)},
          {"rejection_p50_ms", result.rejection_time.quantile_ms(0.5)},
          {"rejection_p99_ms", result.rejection_time.quantile_ms(0.99)}};
}

json step_json(const StepResult& step, double sustained, double cpu_share) {
  json report = class_json(step.total());
  report["offered_per_s"] = step.step.per_second;
  report["of_borne"] = step.step.per_second / sustained;
  report["manager_cpu_share"] = cpu_share;
  report["lag_p99_ms"] = step.lag.quantile_ms(0.99);
  report["lag_max_ms"] = step.lag.max_ms();
  report["void"] = step.is_void();
  report["low_value"] = class_json(step.classes[low_value]);
  report["high_value"] = class_json(step.classes[high_value]);
  return report;
}

}  // namespace

int measure_overload(const MeasurementOptions& options) {
  LoadCluster cluster(cluster_spec(options));
  LoadGenerator generator(generator_spec(options, cluster));
  const SustainedRate sustained = find_sustained_rate(generator);
  if (sustained.per_second <= 0) {
    std::cout
        << json{{"error", "the first rate of the search was not borne"}, {"void", sustained.is_void}}.dump()
        << std::endl;
    return sustained.counts.keeps_rules_but_for_lateness() ? 0 : 1;
  }
  const double rate = sustained.per_second;
  const std::vector<LoadStep> steps = {{rate * 0.5, milliseconds(2000)},
                                       {rate, milliseconds(4000)},
                                       {rate * 1.5, milliseconds(5000)},
                                       {rate * 2, milliseconds(5000)},
                                       {rate * 0.5, milliseconds(6000)}};
  ProcessUsageSampler usage(cluster.manager_process());
  const LoadResult result = generator.run(steps, [&](std::size_t) { usage.sample(); });

  const ExecutionCounts executions = cluster.executions().counts();
  LoadCounts counts = result.counts();
  counts += sustained.counts;
  json report = {{"engines", cluster.engines().addresses().size()},
                 {"borne_per_s", rate},
                 {"connections_most", result.connections_most},
                 {"connections_turned_away", result.connections_turned_away},
                 {"lost", counts.lost},
                 {"doubled", counts.doubled},
                 {"late", counts.late},
                 {"misdelivered", counts.misdelivered},
                 {"twice_run", executions.twice_run},
                 {"overlaps", executions.overlaps},
                 {"manager_runs", cluster.manager_runs()},
                 {"manager_memory_kb", usage.most_resident_kb()},
                 {"finished", result.finished},
                 {"void", result.is_void()}};
  for (std::size_t i = 0; i < steps.size(); ++i) {
    const bool sampled = usage.samples().size() == steps.size() + 1;
    const double share = sampled ? cpu_share_between(usage.samples()[i], usage.samples()[i + 1]) : 0;
    report["steps"].push_back(step_json(result.steps[i], rate, share));
  }
  const auto recovered = result.time_to_share(steps.size() - 1, served_share);
  report["recovered_ms"] = recovered ? json(recovered->count()) : json(nullptr);
  std::cout << report.dump() << std::endl;
  const bool keeps_rules = counts.keeps_rules_but_for_lateness() && executions.keeps_rules() &&
                           cluster.manager_runs() && result.finished;
  return keeps_rules ? 0 : 1;
}

}  // namespace pearchute::lab
