// How long after a manager has an order to drain an engine the last new dispatch reaches that engine: five
// managers, eight engines, steady load, at least a hundred drains at random moments.
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

int measure_drain(const Bench& bench) {
  const int drains = bench.size > 0 ? bench.size : 120;
  ClusterSpec site;
  site.managers = 5, site.engines = 8, site.seed = bench.seed,
  site.pearchuted = bench.programs + "/pearchuted";
  TestCluster world(site);
  world.must_serve(8);
  std::vector<Ask> mix = {{"quick", "SELECT work=4 FROM a_1.t", milliseconds(2000), 0, 4, 8},
                          {"quick", "SELECT work=12 FROM a_2.t", milliseconds(2000), 0, 12, 16},
                          {"report", "SELECT work=60 pages=2 FROM a_3.t", milliseconds(3500), 0, 60, 64},
                          {"once", "UPDATE work=8 a_4.t", milliseconds(2000), 0, 8, 8},
                          {"load", "INSERT work=10 INTO a_5.t", milliseconds(2500), 7, 10, 16},
                          {"load", "INSERT work=10 INTO a_5.t", milliseconds(2500), 8, 10, 16}};
  world.on([&] { world.crowd().offer(1500, mix); });
  world.rest(milliseconds(500));

  std::knuth_b chance(static_cast<std::knuth_b::result_type>(bench.seed));
  const auto pause = [&](unsigned least, unsigned most) {
    return milliseconds(least + chance() % (most - least));
  };
  std::set<std::size_t> drained;
  std::uint64_t generation = 0;
  const auto order_all = [&](std::size_t engine, bool drain) {
    const std::string name = world.on([&] { return world.engines()[engine]->name(); });
    ++generation;
    for (std::size_t m = 0; m < world.managers().size(); ++m) {
      if (!drain) world.on([&] { world.record().drain_over(name, static_cast<int>(m)); });
      const admin::v1::Reply reply = world.order(m, name, drain, generation);
      if (reply.ordered().verdict() != "done")
        throw TestClusterError("an order is not done: " + reply.fault(), world.folder());
      const Time came(reply.ordered().came_monotonic_us());
      if (drain) world.on([&] { world.record().drain_came(name, static_cast<int>(m), came); });
    }
  };
  for (int done = 0; done < drains;) {
    world.rest(pause(20, 120));
    const std::size_t engine = chance() % 8;
    if (drained.size() < 3 && !drained.contains(engine)) {
      order_all(engine, true), drained.insert(engine), ++done;
    } else if (!drained.empty()) {
      const std::size_t back =
          *std::next(drained.begin(), static_cast<std::ptrdiff_t>(chance() % drained.size()));
      order_all(back, false), drained.erase(back);
    }
  }
  world.rest(milliseconds(700));
  while (!drained.empty()) order_all(*drained.begin(), false), drained.erase(drained.begin());
  world.on([&] { world.crowd().offer(0, {}); });
  world.quiet();

  HistoryChecker::Verdict verdict = world.verdict();
  std::vector<Time>& delays = verdict.drain_delays;
  std::ranges::sort(delays);
  const auto at = [&](double share) {
    return delays.empty()
               ? 0.0
               : static_cast<double>(
                     delays[static_cast<std::size_t>(share * static_cast<double>(delays.size() - 1))]
                         .count()) /
                     1000;
  };
  for (const std::string& fault : verdict.faults) std::cerr << fault << "\n";
  const nlohmann::json told = {{"drains", drains},
                               {"orders", verdict.drains},
                               {"jobs", verdict.sent},
                               {"done", verdict.done},
                               {"refused", verdict.refused},
                               {"failed", verdict.failed},
                               {"late_over_500ms", verdict.late_over_500ms},
                               {"p50_ms", at(0.5)},
                               {"p99_ms", at(0.99)},
                               {"max_ms", at(1)},
                               {"lost", verdict.lost},
                               {"doubled", verdict.doubled},
                               {"twice_run", verdict.twice_run},
                               {"overlaps", verdict.overlaps},
                               {"disorder", verdict.disorder},
                               {"late_answers", verdict.late},
                               {"seed", bench.seed}};
  std::cout << told.dump() << std::endl;
  return verdict.clean() && at(1) < 500 ? 0 : 1;
}

}  // namespace pearchute::lab
