// Many managers over the same engines, as instances of the module: what all of them do together.
#include <cassert>
#include <cstdio>
#include <utility>

#include "bench.h"
#include "lab/simulations/many_managers.h"

using namespace pearchute;
using lab::ManyManagers;

namespace {

ManyManagers::Seen played(const ManyManagers::Shape& shape) {
  const ManyManagers::Seen seen = ManyManagers(shape).play();
  std::fprintf(stderr, "seed %d: sent %d of %d and %d of %d, cold %.3f most %.2f, engine %.2f, zone %.2f\n",
               static_cast<int>(shape.seed), seen.sent[0], seen.taken[0], seen.sent[1], seen.taken[1],
               seen.cold_used, seen.cold_most, seen.most_engine, seen.most_zone);
  return seen;
}

// Most engines have just started. Every type is sent, the cold ones take a part of the work, and the sum of
// what all managers send to each stays within four fifths of the stated budget in every window.
void most_engines_cold() {
  struct Case {
    ManyManagers::Shape shape;
    double least_short, least_long;  // share of those taken that is sent
  };
  const Case cases[] = {
      {{.seed = 1, .engines = 20, .cold = 12}, 0.9, 0.9},
      {{.seed = 2, .engines = 20, .cold = 12, .restart = ms(4000)}, 0.9, 0.9},
      {{.seed = 3, .managers = 300, .engines = 30, .cold = 18, .jobs_per_second = 0.9, .restart = ms(2500)},
       0.9,
       0.9},
      {{.seed = 4, .managers = 40, .engines = 16, .cold = 12, .jobs_per_second = 3}, 0.9, 0.9},
      {{.seed = 5, .engines = 20, .cold = 18, .restart = ms(7300)}, 0.6, 0.6},
      {{.seed = 6, .engines = 20, .cold = 20}, 0.4, 0.25},
      {{.seed = 7, .engines = 20, .cold = 16, .estimates = false}, 0.5, 0.3}};
  for (const Case& c : cases) {
    const ManyManagers::Seen seen = played(c.shape);
    assert(seen.cold_most <= 0.8 && seen.cold_bound <= 1 && seen.cold_used > 0.05);
    assert(seen.sent[0] > c.least_short * seen.taken[0] && seen.sent[1] > c.least_long * seen.taken[1]);
  }
}

// Few managers, as busy as their engines can be, of which half start anew within the first windows, while the
// list comes at other times to each: the worst window stays within the whole budget.
void few_managers() {
  struct Case {
    int managers, engines, cold;
    double jobs_per_second;
  };
  std::uint64_t seed = 8;
  for (const Case& c : {Case{6, 12, 8, 40}, Case{20, 16, 12, 16}, Case{30, 16, 12, 11}}) {
    ManyManagers::Shape shape{.seed = seed++, .managers = c.managers, .engines = c.engines, .cold = c.cold};
    shape.jobs_per_second = c.jobs_per_second, shape.restart = ms(2500), shape.list_within = ms(2000);
    const ManyManagers::Seen seen = played(shape);
    assert(seen.cold_most <= 1 && seen.cold_bound <= 1 && seen.cold_used > 0.05);
    assert(seen.sent[0] > 0.5 * seen.taken[0] && seen.sent[1] > 0.3 * seen.taken[1]);
  }
}

// Traffic that lies unevenly over zones, and data sets that differ in use: neither piles the work up on few
// engines once these are crowded, though each manager has but a job or two anywhere.
void uneven_traffic() {
  struct Case {
    ManyManagers::Shape shape;
    double most_engine, most_zone;
  };
  const Case cases[] = {
      {{.seed = 1, .managers = 150, .engines = 24, .jobs_per_second = 2.2}, 1.8, 1.2},
      {{.seed = 2, .managers = 150, .engines = 24, .jobs_per_second = 1.4, .first_zone = 3}, 2.2, 1.5},
      {{.seed = 3, .managers = 90, .engines = 18, .jobs_per_second = 1.6, .first_zone = 4}, 2, 1.6}};
  for (Case c : cases) {
    c.shape.lasts = seconds(25), c.shape.counted_from = seconds(5);
    const ManyManagers::Seen seen = played(c.shape);
    assert(seen.most_engine < c.most_engine && seen.most_zone < c.most_zone);
  }
}

// A type that costs more than others is not turned away as a whole when work overruns the engines.
void costly_type() {
  for (const std::uint64_t seed : {1, 2}) {
    const ManyManagers::Seen seen =
        played({.seed = seed, .engines = 5, .jobs_per_second = 2.5, .long_value = 0.5});
    assert(1.0 * seen.sent[1] / seen.taken[1] > 0.6 * seen.sent[0] / seen.taken[0]);
  }
}

// A crowded pool's slots are down by half within the shortest patience.
void crowd() {
  ServiceDefinition service = small_service();
  service.managers = 100;
  Bench bench(service, 8);
  const auto slots = [&] {
    double all = 0;
    bench.manager.tell_engines(bench.now, [&](const Engine&, const auto& belief) { all += belief.slots; });
    return all;
  };
  const double before = slots();
  int id = 0;
  std::map<int, bool> ended;
  while (bench.now.time_since_epoch() <
         service.types[0].request_timeout) {  // long ones come back at six times their best
    for (int i = 0; i < 4; ++i) bench.take(++id, 1, 900);
    bench.pass(ms(100));
    for (int i = 1; i <= id; ++i)
      if (bench.dispatches(i) > 0 && !std::exchange(ended[i], true))
        bench.end(i, Outcome::succeeded, ms(2700));
  }
  assert(slots() <= 0.55 * before);
}

}  // namespace

int main() { most_engines_cold(), few_managers(), uneven_traffic(), costly_type(), crowd(); }
