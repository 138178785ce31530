#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>

#include "lab/scale/scale_faults.h"

namespace pearchute::lab {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Seldom enough for the group to have few homes: one that draws more than its part is given more.
constexpr milliseconds probe_every(100);
constexpr seconds watched_before(6);
constexpr seconds over_within(20);
constexpr std::size_t on_time_in_a_row = 20;
const char* const group_statement = "SELECT work=5 FROM a_77.t";
// On time is within twice what 99 of 100 took before, and at least this: a loaded machine's own delays.
constexpr milliseconds least_on_time(100);

struct Probe {
  Time sent{}, answered{};
  std::string statement;
  bool over = false, done = false;
};

// Statements of one group of tables, at a steady rate over all managers in turn.
class Probes {
 public:
  explicit Probes(TestCluster& world) : world_(world) {}

  void send() {
    world_.on([this] {
      const auto managers = world_.managers().size();
      const int manager = static_cast<int>(next_manager_++ % managers);
      if (!world_.crowd().up(manager)) return;
      const auto probe = std::make_shared<Probe>();
      probe->sent = steady_now();
      const Ask ask{"quick", group_statement, milliseconds(2000), 0, 5, 8};
      probe->statement = world_.crowd().ask(manager, ask, [probe](std::optional<Answer> answer) {
        probe->answered = steady_now();
        probe->over = true, probe->done = answer == Answer::done;
      });
      probes_.push_back(probe);
    });
    world_.rest(probe_every);
  }

  // The engine that began most of them, and its share.
  std::pair<std::size_t, double> home() {
    return world_.on([this] {
      std::vector<std::size_t> begun(world_.engines().size());
      for (const auto& probe : probes_) {
        for (std::size_t e = 0; e < begun.size(); ++e)
          begun[e] += world_.engines()[e]->begun_times(probe->statement) > 0;
      }
      const auto most = std::ranges::max_element(begun);
      const double all = std::max(1.0, static_cast<double>(probes_.size()));
      return std::pair{static_cast<std::size_t>(most - begun.begin()), static_cast<double>(*most) / all};
    });
  }

  Time usual_latency() {
    return world_.on([this] {
      std::vector<Time> latencies;
      for (const auto& probe : probes_) {
        if (probe->over && probe->done) latencies.push_back(probe->answered - probe->sent);
      }
      if (latencies.empty()) return Time(least_on_time);
      std::ranges::sort(latencies);
      const auto rank = static_cast<std::size_t>(0.99 * static_cast<double>(latencies.size() - 1));
      return std::max<Time>(2 * latencies[rank], least_on_time);
    });
  }

  // When the first was sent of so many in a row, from `from` on, that were all done within `limit`.
  std::optional<Time> on_time_from(Time from, Time limit) {
    return world_.on([&]() -> std::optional<Time> {
      std::size_t row = 0;
      Time first{};
      for (const auto& probe : probes_) {
        if (probe->sent < from) continue;
        const bool on_time = probe->over && probe->done && probe->answered - probe->sent <= limit;
        if (!on_time) row = 0;
        else if (row++ == 0) first = probe->sent;
        if (row >= on_time_in_a_row) return first;
      }
      return std::nullopt;
    });
  }

 private:
  TestCluster& world_;
  std::deque<std::shared_ptr<Probe>> probes_;
  std::size_t next_manager_ = 0;
};

// Each window that begins with a statement.
void check_cold(TestCluster& world, std::size_t engine, Time since, const ColdRule& rule, int cores,
                PrimaryChange& change) {
  const auto begun = world.on([&] { return world.engines()[engine]->begun_work(); });
  for (auto first = begun.begin(); first != begun.end(); ++first) {
    if (first->at < since) continue;
    double work_ms = 0;
    for (auto at = first; at != begun.end() && at->at <= first->at + rule.window; ++at)
      work_ms += at->work_ms;
    const double share = work_ms / rule.most_work_ms(cores);
    change.cold_over_limit += share > 1;
    change.cold_most_of_limit = std::max(change.cold_most_of_limit, share);
  }
}

}  // namespace

PrimaryChange measure_primary_change(TestCluster& world, const ColdRule& cold, int cores) {
  Probes probes(world);
  for (const Time end = steady_now() + watched_before; steady_now() < end;) probes.send();
  PrimaryChange change;
  const auto [home, share] = probes.home();
  change.home = world.engines()[home]->name(), change.home_share = share;
  const Time limit = probes.usual_latency();
  const Time struck = steady_now();
  world.on([&world, engine = home] {
    world.engines()[engine]->die();
    world.channel().tell({world.member(engine, "left")}, false);
  });
  while (steady_now() - struck < over_within) {
    probes.send();
    if (const auto first = probes.on_time_from(struck, limit)) {
      change.over = duration_cast<milliseconds>(*first - struck);
      break;
    }
  }
  const Time back = steady_now();
  world.on([&world, engine = home] {
    world.engines()[engine]->live();
    world.channel().tell({world.member(engine)}, false);
  });
  while (steady_now() - back < cold.lasts) probes.send();
  check_cold(world, home, back, cold, cores, change);
  return change;
}

}  // namespace pearchute::lab
