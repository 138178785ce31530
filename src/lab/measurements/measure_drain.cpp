// How long after a manager receives an order to drain an engine its last new attempt reaches that engine:
// five managers, eight engines, steady load, 120 drains at random moments by default. Fails where an attempt
// comes 500 ms or more after the order, or where a client's history breaks a rule.
#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

#include "errors/error.h"
#include "lab/measurements/measurements.h"
#include "lab/stand_ins/test_cluster.h"

namespace pearchute::lab {

using std::chrono::milliseconds;

int measure_drain(const MeasurementOptions& options) {
  const int drains = options.size > 0 ? options.size : 120;
  ClusterSpec spec;
  spec.managers = 5, spec.engines = 8, spec.seed = options.seed,
  spec.pearchuted = options.programs + "/pearchuted";
  TestCluster cluster(spec);
  cluster.must_serve(8);
  std::vector<Ask> mix = {{"quick", "SELECT work=4 FROM a_1.t", milliseconds(2000), 0, 4, 8},
                          {"quick", "SELECT work=12 FROM a_2.t", milliseconds(2000), 0, 12, 16},
                          {"report", "SELECT work=60 pages=2 FROM a_3.t", milliseconds(3500), 0, 60, 64},
                          {"once", "UPDATE work=8 a_4.t", milliseconds(2000), 0, 8, 8},
                          {"load", "INSERT work=10 INTO a_5.t", milliseconds(2500), 7, 10, 16},
                          {"load", "INSERT work=10 INTO a_5.t", milliseconds(2500), 8, 10, 16}};
  cluster.on([&] { cluster.crowd().offer(1500, mix); });
  cluster.rest(milliseconds(500));

  std::knuth_b rng(static_cast<std::knuth_b::result_type>(options.seed));
  const auto random_pause = [&](unsigned min_ms, unsigned max_ms) {
    return milliseconds(min_ms + rng() % (max_ms - min_ms));
  };
  std::set<std::size_t> drained;
  std::uint64_t generation = 0;
  const auto order_all_managers = [&](std::size_t engine, bool drain) {
    const std::string name = cluster.on([&] { return cluster.engines()[engine]->name(); });
    ++generation;
    for (std::size_t m = 0; m < cluster.managers().size(); ++m) {
      if (!drain) cluster.on([&] { cluster.record().drain_over(name, static_cast<int>(m)); });
      const admin::v1::Reply reply = cluster.order(m, name, drain, generation);
      if (reply.ordered().verdict() != "done")
        throw TestClusterError("a manager did not carry out a drain order: " + reply.fault(),
                               cluster.folder());
      const Time received_at(reply.ordered().came_monotonic_us());
      if (drain) cluster.on([&] { cluster.record().drain_came(name, static_cast<int>(m), received_at); });
    }
  };
  for (int drain_count = 0; drain_count < drains;) {
    cluster.rest(random_pause(20, 120));
    const std::size_t engine = rng() % 8;
    if (drained.size() < 3 && !drained.contains(engine)) {
      order_all_managers(engine, true), drained.insert(engine), ++drain_count;
    } else if (!drained.empty()) {
      const std::size_t restored =
          *std::next(drained.begin(), static_cast<std::ptrdiff_t>(rng() % drained.size()));
      order_all_managers(restored, false), drained.erase(restored);
    }
  }
  cluster.rest(milliseconds(700));
  while (!drained.empty()) order_all_managers(*drained.begin(), false), drained.erase(drained.begin());
  cluster.on([&] { cluster.crowd().offer(0, {}); });
  cluster.quiet();

  HistoryChecker::Verdict verdict = cluster.verdict();
  std::vector<Time>& delays = verdict.drain_delays;
  std::ranges::sort(delays);
  const auto delay_ms = [&](double share) {
    return delays.empty()
               ? 0.0
               : static_cast<double>(
                     delays[static_cast<std::size_t>(share * static_cast<double>(delays.size() - 1))]
                         .count()) /
                     1000;
  };
  for (const std::string& fault : verdict.faults) std::cerr << fault << "\n";
  const nlohmann::json report = {{"drains", drains},
                                 {"orders", verdict.drains},
                                 {"jobs", verdict.sent},
                                 {"done", verdict.done},
                                 {"refused", verdict.refused},
                                 {"failed", verdict.failed},
                                 {"late_over_500ms", verdict.late_over_500ms},
                                 {"p50_ms", delay_ms(0.5)},
                                 {"p99_ms", delay_ms(0.99)},
                                 {"max_ms", delay_ms(1)},
                                 {"lost", verdict.lost},
                                 {"doubled", verdict.doubled},
                                 {"twice_run", verdict.twice_run},
                                 {"overlaps", verdict.overlaps},
                                 {"disorder", verdict.disorder},
                                 {"late_answers", verdict.late},
                                 {"seed", options.seed}};
  std::cout << report.dump() << std::endl;
  return verdict.clean() && delay_ms(1) < 500 ? 0 : 1;
}

}  // namespace pearchute::lab
