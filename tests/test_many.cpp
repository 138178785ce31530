// Many managers as instances of the module in one process, each with little traffic, over the same engines:
// what all of them do together, which none of them sees.
#include <cstdio>
#include <deque>
#include <memory>
#include <random>

#include "bench.h"

using namespace pearchute;

namespace {

struct Fleet {
  struct Sent {
    Span when;
    double work_ms;
  };
  struct Ending {
    Span when;
    int job;
    int number;
  };
  struct Member {
    Bench bench;
    std::size_t read = 0;
    std::map<int, std::pair<int, double>> jobs;  // type and work
    std::vector<Ending> endings;
    Member(const ServiceDefinition& service, const std::vector<ListedEngine>& engines) : bench(service, 0) {
      bench.list(ListNews::complete, engines);
    }
  };
  std::vector<std::unique_ptr<Member>> members;
  std::map<int, std::vector<Sent>> at;  // by engine
  std::map<int, int> taken, sent;       // by type
  std::minstd_rand chance;
  int next = 1;
  Span now{};

  double draw() { return std::generate_canonical<double, 24>(chance); }

  void step(Span step, double jobs_per_second, const std::vector<double>& mean_work, double long_part,
            const std::map<int, double>& slowness) {
    now += step;
    for (auto& one : members) {
      Bench& bench = one->bench;
      bench.pass(step);
      if (draw() < jobs_per_second * static_cast<double>(step.count()) / 1e6) {
        const int type = draw() < long_part ? 1 : 0;
        const double work = mean_work[static_cast<std::size_t>(type)] * (0.25 + 1.5 * draw());
        one->jobs[next] = {type, work}, taken[type] += 1;
        bench.take(next++, type, work, std::nullopt, 100);
      }
      for (std::size_t i = 0; i < one->endings.size();) {
        const Ending ending = one->endings[i];
        if (ending.when > bench.now) {
          ++i;
          continue;
        }
        one->endings[i] = one->endings.back(), one->endings.pop_back();
        bench.end(ending.job, Outcome::done, ms(static_cast<int>(one->jobs[ending.job].second)), ending.number);
      }
      for (; one->read < bench.host.sent.size(); ++one->read) {
        const auto& dispatch = bench.host.sent[one->read];
        const int id = static_cast<int>(dispatch.job.value), engine = static_cast<int>(dispatch.engine.value);
        const auto& [type, work] = one->jobs[id];
        at[engine].push_back({now, work}), sent[type] += 1;
        const double takes = work / (type + 1) * slowness.at(engine);
        one->endings.push_back({bench.now + ms(static_cast<int>(takes)), id, 0});
      }
    }
  }
};

// Most engines have just started. Every type is sent, the cold ones take a part of the work, and the sum of
// what all managers send to each stays within the stated budget in every window.
void most_engines_cold() {
  struct Case {
    unsigned seed;
    int managers, warm, cold;
    double jobs_per_second;  // at each
    Span restarted;          // how long after the engines' start half of the managers start anew; 0: never
  };
  const Case cases[] = {{1, 120, 8, 12, 1.5, ms(0)},     {2, 120, 8, 12, 1.5, ms(4000)},
                        {3, 300, 12, 18, 0.9, ms(2500)}, {4, 40, 4, 12, 3, ms(0)},
                        {5, 120, 2, 18, 1.5, ms(7300)}};
  for (const Case& c : cases) {
    ServiceDefinition service = small_service();
    service.zone = ZoneId{0}, service.managers = c.managers;
    service.cold_lasts = seconds(15), service.cold_from = 0.3, service.tip_multiple = 2.5;
    service.tip_window = seconds(1), service.round = ms(1);
    Fleet fleet;
    fleet.chance.seed(c.seed);
    std::map<int, double> slowness;
    const auto listed = [&](Span now) {
      std::vector<ListedEngine> engines;
      for (int i = 1; i <= c.warm + c.cold; ++i) {
        engines.push_back(Bench::engine(i, EngineState::up, i % 3));
        slowness[i] = i <= c.warm ? 1 : 1.5;
        if (i > c.warm) engines.back().online_since = -now;
      }
      return engines;
    };
    const auto start = [&](int i, Span now) {
      service.own_number = i, service.zone = ZoneId{i % 3};
      return std::make_unique<Fleet::Member>(service, listed(now));
    };
    for (int i = 0; i < c.managers; ++i) fleet.members.push_back(start(i, ms(0)));
    for (Span now{}; now < seconds(14); now += ms(20)) {
      if (c.restarted > ms(0) && now == c.restarted / ms(20) * ms(20))
        for (int i = 0; i < c.managers; i += 2) fleet.members[static_cast<std::size_t>(i)] = start(i, now);
      fleet.step(ms(20), c.jobs_per_second, {150, 900}, 0.2, slowness);
    }
    const double limit = 2.5 * 0.3 * 8 * 1000;
    double most = 0, sum = 0;
    for (int i = c.warm + 1; i <= c.warm + c.cold; ++i) {
      std::deque<Fleet::Sent> window;
      double inside = 0;
      std::vector<Fleet::Sent> all = fleet.at[i];
      for (const Fleet::Sent& one : all) {
        inside += one.work_ms, sum += one.work_ms, window.push_back(one);
        while (window.front().when <= one.when - seconds(1)) inside -= window.front().work_ms, window.pop_front();
        most = std::max(most, inside);
      }
    }
    const double used = sum / (limit * 14 * c.cold);
    std::fprintf(stderr, "seed %u: short %d of %d, long %d of %d sent; cold engines: %.3f of the budget used, most %.2f\n",
                c.seed, fleet.sent[0], fleet.taken[0], fleet.sent[1], fleet.taken[1], used, most / limit);
    assert(most <= 0.8 * limit);
    assert(used > 0.05);
    assert(fleet.sent[0] > fleet.taken[0] / 2 && fleet.sent[1] > fleet.taken[1] / 4);
  }
}

}  // namespace

int main() { most_engines_cold(); }
