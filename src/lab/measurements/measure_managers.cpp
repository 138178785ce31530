// Many managers together, as instances of the decision module in a simulation: how near the worst slow-start
// window of a cold engine comes to the stated limit over several seeds, how evenly work is spread, and how
// long a call into the module takes with few and with many engines. Fails where a window exceeds the limit.
#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

#include "lab/measurements/measurements.h"
#include "lab/simulations/many_managers.h"

namespace pearchute::lab {

using std::chrono::milliseconds;
using std::chrono::seconds;

int measure_managers(const MeasurementOptions& options) {
  const int seeds = options.size > 0 ? options.size : 20;
  nlohmann::json report = {{"seeds", seeds}};
  double max_limit_use = 0;
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
      // In the next five cases the engines carry as much load as they can bear, every second manager restarts
      // within the first windows, and the managers learn of the cold engines at times spread over two
      // seconds.
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
    ManyManagers::Seen highest;
    double min_sent_shares[2] = {1, 1};  // the lowest share of requests sent to an engine, by type
    for (int i = 0; i < seeds; ++i) {
      ManyManagers::Shape shape = c.shape;
      shape.seed = options.seed * 1000 + static_cast<std::uint64_t>(i);
      const ManyManagers::Seen seen = ManyManagers(shape).play();
      highest.cold_most = std::max(highest.cold_most, seen.cold_most);
      highest.cold_used = std::max(highest.cold_used, seen.cold_used);
      highest.cold_bound = std::max(highest.cold_bound, seen.cold_bound);
      highest.most_engine = std::max(highest.most_engine, seen.most_engine);
      highest.most_zone = std::max(highest.most_zone, seen.most_zone);
      for (int type : {0, 1})
        min_sent_shares[type] = std::min(min_sent_shares[type], 1.0 * seen.sent[type] / seen.taken[type]);
    }
    max_limit_use = std::max({max_limit_use, highest.cold_most, highest.cold_bound});
    nlohmann::json& row = report[c.name];
    row = {{"least_short_sent", min_sent_shares[0]}, {"least_long_sent", min_sent_shares[1]}};
    if (c.shape.cold > 0) row["cold_most"] = highest.cold_most, row["cold_used"] = highest.cold_used;
    if (c.shape.cold > 0) row["cold_bound"] = highest.cold_bound;
    else row["most_engine"] = highest.most_engine, row["most_zone"] = highest.most_zone;
  }
  for (const int engines : {80, 350, 1024}) {
    ManyManagers::Shape shape{
        .seed = options.seed, .managers = 20, .engines = engines, .jobs_per_second = 20};
    shape.lasts = seconds(5);
    report["call_us"][std::to_string(engines)] = ManyManagers(shape).play().call_us;
  }
  std::cout << report.dump() << std::endl;
  return max_limit_use <= 1 ? 0 : 1;
}

}  // namespace pearchute::lab
