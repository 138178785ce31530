// The combined effect of many managers that share the same engines, in a simulation with real decision code.
#include <cassert>
#include <cstdio>
#include <utility>

#include "lab/simulations/many_managers.h"
#include "manager_fixture.h"

using namespace pearchute;
using lab::ManyManagers;

namespace {

ManyManagers::Seen simulate(const ManyManagers::Shape& shape) {
  const ManyManagers::Seen result = ManyManagers(shape).play();
  std::fprintf(stderr, "seed %d: sent %d of %d and %d of %d, cold %.3f most %.2f, engine %.2f, zone %.2f\n",
               static_cast<int>(shape.seed), result.sent[0], result.taken[0], result.sent[1], result.taken[1],
               result.cold_used, result.cold_most, result.most_engine, result.most_zone);
  return result;
}

// Most engines are in slow start. Requests of every type are sent, the starting engines get a part of the
// work, and the sum of the work that all managers send to each of them stays within four fifths of the limit
// in every window.
void most_engines_starting() {
  struct Case {
    ManyManagers::Shape shape;
    double min_short_share, min_long_share;  // of the arrived requests that are sent
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
    const ManyManagers::Seen result = simulate(c.shape);
    assert(result.cold_most <= 0.8 && result.cold_bound <= 1 && result.cold_used > 0.05);
    assert(result.sent[0] > c.min_short_share * result.taken[0] &&
           result.sent[1] > c.min_long_share * result.taken[1]);
  }
}

// Few managers, whose engines are fully loaded. Half of the managers restart within the first windows, and
// each receives the endpoint list at a different time. The worst window stays within the limit.
void few_managers() {
  struct Case {
    int managers, engines, cold;
    double jobs_per_second;
  };
  std::uint64_t seed = 8;
  for (const Case& c : {Case{6, 12, 8, 40}, Case{20, 16, 12, 16}, Case{30, 16, 12, 11}}) {
    ManyManagers::Shape shape{.seed = seed++, .managers = c.managers, .engines = c.engines, .cold = c.cold};
    shape.jobs_per_second = c.jobs_per_second, shape.restart = ms(2500), shape.list_within = ms(2000);
    const ManyManagers::Seen result = simulate(shape);
    assert(result.cold_most <= 1 && result.cold_bound <= 1 && result.cold_used > 0.05);
    assert(result.sent[0] > 0.5 * result.taken[0] && result.sent[1] > 0.3 * result.taken[1]);
  }
}

// Uneven traffic over zones, and data sets with different request rates, do not concentrate the work on a few
// overloaded engines, although each manager has only a request or two at any of them.
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
    const ManyManagers::Seen result = simulate(c.shape);
    assert(result.most_engine < c.most_engine && result.most_zone < c.most_zone);
  }
}

// A type with a higher cost than others is not shed entirely when engines are overloaded.
void costly_type() {
  for (const std::uint64_t seed : {1, 2}) {
    const ManyManagers::Seen result =
        simulate({.seed = seed, .engines = 5, .jobs_per_second = 2.5, .long_value = 0.5});
    assert(1.0 * result.sent[1] / result.taken[1] > 0.6 * result.sent[0] / result.taken[0]);
  }
}

// The slots of an overloaded shared pool fall by about half within the shortest request timeout.
void overloaded_pool() {
  ServiceDefinition service = small_service();
  service.managers = 100;
  ManagerFixture fixture(service, 8);
  const auto slots = [&] {
    double all = 0;
    fixture.manager.tell_engines(fixture.now,
                                 [&](const Engine&, const auto& estimate) { all += estimate.slots; });
    return all;
  };
  const double before = slots();
  int id = 0;
  std::map<int, bool> ended;
  // Long requests take six times their ideal time.
  while (fixture.now.time_since_epoch() < service.types[0].request_timeout) {
    for (int i = 0; i < 4; ++i) fixture.add_request(++id, 1, 900);
    fixture.advance(ms(100));
    for (int i = 1; i <= id; ++i)
      if (fixture.attempt_count(i) > 0 && !std::exchange(ended[i], true))
        fixture.end_attempt(i, Outcome::succeeded, ms(2700));
  }
  assert(slots() <= 0.55 * before);
}

}  // namespace

int main() { most_engines_starting(), few_managers(), uneven_traffic(), costly_type(), overloaded_pool(); }
