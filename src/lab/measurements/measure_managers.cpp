// What many managers do together, as instances of the module: how near the worst window of a cold engine
// comes to the stated limit over seeds, how evenly work lies, and what a call into the module costs with few
// and with many engines.
#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

#include "lab/measurements/measurements.h"
#include "lab/simulations/many_managers.h"

namespace pearchute::lab {

using std::chrono::milliseconds;
using std::chrono::seconds;

int measure_managers(const Bench& bench) {
  const int seeds = bench.size > 0 ? bench.size : 20;
  nlohmann::json told = {{"seeds", seeds}};
  double worst = 0;
  struct Case {
    const char* name;
    ManyManagers::Shape shape;
  };
  const Case cases[] = {
      {"six in ten cold", {.managers = 300, .engines = 80, .cold = 48, .jobs_per_second = 3}},
      {"all cold", {.managers = 300, .engines = 80, .cold = 80, .jobs_per_second = 3}},
      {"six in ten cold, half start anew",
       {.managers = 300, .engines = 80, .cold = 48, .jobs_per_second = 3, .restart = seconds(3)}},
      {"six in ten cold, no estimates",
       {.managers = 300, .engines = 80, .cold = 48, .jobs_per_second = 3, .estimates = false}},
      // Each pool as busy as its engines can be; half of the managers start anew within the first windows,
      // lists come over two seconds.
      {"6 managers",
       {.managers = 6,
        .engines = 12,
        .cold = 8,
        .jobs_per_second = 40,
        .restart = milliseconds(2500),
        .list_within = seconds(2)}},
      {"20 managers",
       {.managers = 20,
        .engines = 16,
        .cold = 12,
        .jobs_per_second = 16,
        .restart = milliseconds(2500),
        .list_within = seconds(2)}},
      {"30 managers",
       {.managers = 30,
        .engines = 16,
        .cold = 12,
        .jobs_per_second = 11,
        .restart = milliseconds(2500),
        .list_within = seconds(2)}},
      {"30 managers, no estimates",
       {.managers = 30,
        .engines = 16,
        .cold = 12,
        .jobs_per_second = 11,
        .estimates = false,
        .restart = milliseconds(2500),
        .list_within = seconds(2)}},
      {"300 managers",
       {.managers = 300,
        .engines = 80,
        .cold = 48,
        .jobs_per_second = 4,
        .restart = milliseconds(2500),
        .list_within = seconds(2)}},
      {"uneven traffic",
       {.managers = 300, .engines = 80, .jobs_per_second = 2, .first_zone = 3, .counted_from = seconds(5)}}};
  for (const Case& c : cases) {
    ManyManagers::Seen least, most;
    double shares[2] = {1, 1};
    for (int i = 0; i < seeds; ++i) {
      ManyManagers::Shape shape = c.shape;
      shape.seed = bench.seed * 1000 + static_cast<std::uint64_t>(i);
      const ManyManagers::Seen seen = ManyManagers(shape).play();
      most.cold_most = std::max(most.cold_most, seen.cold_most);
      most.cold_used = std::max(most.cold_used, seen.cold_used);
      most.cold_bound = std::max(most.cold_bound, seen.cold_bound);
      most.most_engine = std::max(most.most_engine, seen.most_engine);
      most.most_zone = std::max(most.most_zone, seen.most_zone);
      for (int type : {0, 1}) shares[type] = std::min(shares[type], 1.0 * seen.sent[type] / seen.taken[type]);
    }
    worst = std::max({worst, most.cold_most, most.cold_bound});
    nlohmann::json& row = told[c.name];
    row = {{"least_short_sent", shares[0]}, {"least_long_sent", shares[1]}};
    if (c.shape.cold > 0) row["cold_most"] = most.cold_most, row["cold_used"] = most.cold_used;
    if (c.shape.cold > 0) row["cold_bound"] = most.cold_bound;
    else row["most_engine"] = most.most_engine, row["most_zone"] = most.most_zone;
  }
  for (const int engines : {80, 350, 1024}) {
    ManyManagers::Shape shape{.seed = bench.seed, .managers = 20, .engines = engines, .jobs_per_second = 20};
    shape.lasts = seconds(5);
    told["call_us"][std::to_string(engines)] = ManyManagers(shape).play().call_us;
  }
  std::cout << told.dump() << std::endl;
  return worst <= 1 ? 0 : 1;
}

}  // namespace pearchute::lab
