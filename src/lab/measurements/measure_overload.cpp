// One manager as the offered load passes what its core bears, as when a region is lost at the peak: whether
// final answers stay in time, who is rejected and how early, whether a rule is broken, and how soon it serves
// all again once the load has fallen. The engines have room to spare; the manager's core is what is short.
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

constexpr int usual_engines = 80;
constexpr int client_connections = 4'920;  // a manager's share of 3.1 million, by 630
constexpr milliseconds search_step(1500);
constexpr double first_rate = 1000;
constexpr int most_doublings = 6;
constexpr int bisections = 3;
constexpr double served_share = 0.99;  // of what is offered, for a rate to count as borne
constexpr std::size_t low_value = 0, high_value = 1;

LoadClusterSpec cluster_spec(const Bench& bench) {
  LoadClusterSpec spec;
  spec.pearchuted = bench.programs + "/pearchuted";
  spec.engines.engines = bench.size > 0 ? bench.size : usual_engines;
  spec.engines.seed = bench.seed;
  spec.seed = bench.seed;
  return spec;
}

LoadGeneratorSpec generator_spec(const Bench& bench, const LoadCluster& cluster) {
  const milliseconds timeout(2000);
  LoadGeneratorSpec spec;
  spec.manager = cluster.manager_address();
  spec.seed = bench.seed;
  spec.kept_connections = client_connections;
  // They differ by their value only.
  spec.classes = {{class_of_low_value, "SELECT work=5 FROM a_1.t", timeout, 5, 8, 0.55},
                  {class_of_high_value, "SELECT work=5 FROM a_1.t", timeout, 5, 8, 0.40},
                  {class_run_once, "SELECT work=5 FROM a_1.t", timeout, 5, 8, 0.05}};
  return spec;
}

double share_of(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 1 : static_cast<double>(part) / static_cast<double>(whole);
}

// The highest rate found at which a step is borne.
struct BorneRate {
  double per_second = 0;
  bool is_void = false;  // a step of the search was beyond the generator
  LoadCounts counts;
};

BorneRate find_borne_rate(LoadGenerator& generator) {
  BorneRate found;
  double too_much = 0;
  const auto is_borne = [&](double rate) {
    const LoadResult result = generator.run({{rate, search_step}});
    const ClassResult total = result.steps.front().total();
    found.counts += result.counts();
    found.is_void = found.is_void || result.is_void();
    const bool borne = share_of(total.answered_in_time, total.offered) >= served_share;
    if (borne) found.per_second = rate;
    else too_much = rate;
    std::cerr << "search: " << rate << "/s, answered in time "
              << share_of(total.answered_in_time, total.offered) << ", lag p99 "
              << result.steps.front().lag.quantile_ms(0.99) << " ms\n";
    return borne;
  };
  double rate = first_rate;
  for (int i = 0; i < most_doublings && is_borne(rate); ++i) rate *= 2;
  for (int i = 0; i < bisections && too_much > 0; ++i) is_borne((found.per_second + too_much) / 2);
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

json step_json(const StepResult& step, double borne, double cpu_share) {
  json told = class_json(step.total());
  told["offered_per_s"] = step.step.per_second;
  told["of_borne"] = step.step.per_second / borne;
  told["manager_cpu_share"] = cpu_share;
  told["lag_p99_ms"] = step.lag.quantile_ms(0.99);
  told["lag_max_ms"] = step.lag.max_ms();
  told["void"] = step.is_void();
  told["low_value"] = class_json(step.classes[low_value]);
  told["high_value"] = class_json(step.classes[high_value]);
  return told;
}

}  // namespace

int measure_overload(const Bench& bench) {
  LoadCluster cluster(cluster_spec(bench));
  LoadGenerator generator(generator_spec(bench, cluster));
  const BorneRate borne = find_borne_rate(generator);
  if (borne.per_second <= 0) {
    std::cout << json{{"error", "the first rate of the search was not borne"}, {"void", borne.is_void}}.dump()
              << std::endl;
    return borne.counts.keeps_rules_but_for_lateness() ? 0 : 1;
  }
  const double rate = borne.per_second;
  const std::vector<LoadStep> steps = {{rate * 0.5, milliseconds(2000)},
                                       {rate, milliseconds(4000)},
                                       {rate * 1.5, milliseconds(5000)},
                                       {rate * 2, milliseconds(5000)},
                                       {rate * 0.5, milliseconds(6000)}};
  ProcessUsageSampler usage(cluster.manager_process());
  const LoadResult result = generator.run(steps, [&](std::size_t) { usage.sample(); });

  const ExecutionCounts executions = cluster.executions().counts();
  LoadCounts counts = result.counts();
  counts += borne.counts;
  json told = {{"engines", cluster.engines().addresses().size()},
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
    told["steps"].push_back(step_json(result.steps[i], rate, share));
  }
  const auto recovered = result.time_to_share(steps.size() - 1, served_share);
  told["recovered_ms"] = recovered ? json(recovered->count()) : json(nullptr);
  std::cout << told.dump() << std::endl;
  const bool keeps_rules = counts.keeps_rules_but_for_lateness() && executions.keeps_rules() &&
                           cluster.manager_runs() && result.finished;
  return keeps_rules ? 0 : 1;
}

}  // namespace pearchute::lab
