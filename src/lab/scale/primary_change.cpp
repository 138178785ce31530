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

// At a low rate the group has few home engines; a group with more than its share of the load gets more of
// them.
constexpr milliseconds probe_interval(100);
constexpr seconds observation_time(6);
constexpr seconds recovery_timeout(20);
constexpr std::size_t min_consecutive_on_time = 20;
const char* const group_statement = "SELECT work=5 FROM a_77.t";
// A probe is on time within twice the 99th percentile before the failure, but at least within this limit,
// which allows for the delays of a loaded machine.
constexpr milliseconds min_on_time_limit(100);

struct Probe {
  Time sent{}, answered{};
  std::string statement;
  bool answered_or_lost = false, done = false;
};

// Statements of one group of tables, sent at a steady rate to the managers in turn.
class Probes {
 public:
  explicit Probes(TestCluster& cluster) : cluster_(cluster) {}

  void send() {
    cluster_.on([this] {
      const auto managers = cluster_.managers().size();
      const int manager = static_cast<int>(next_manager_++ % managers);
      if (!cluster_.crowd().up(manager)) return;
      const auto probe = std::make_shared<Probe>();
      probe->sent = steady_now();
      const Ask ask{"quick", group_statement, milliseconds(2000), 0, 5, 8};
      probe->statement = cluster_.crowd().ask(manager, ask, [probe](std::optional<Answer> answer) {
        probe->answered = steady_now();
        probe->answered_or_lost = true, probe->done = answer == Answer::done;
      });
      probes_.push_back(probe);
    });
    cluster_.rest(probe_interval);
  }

  // Returns the index of the engine that received most of the probes, and its share of them.
  std::pair<std::size_t, double> home() {
    return cluster_.on([this] {
      std::vector<std::size_t> begun(cluster_.engines().size());
      for (const auto& probe : probes_) {
        for (std::size_t e = 0; e < begun.size(); ++e)
          begun[e] += cluster_.engines()[e]->begun_times(probe->statement) > 0;
      }
      const auto largest = std::ranges::max_element(begun);
      const double all = std::max(1.0, static_cast<double>(probes_.size()));
      return std::pair{static_cast<std::size_t>(largest - begun.begin()),
                       static_cast<double>(*largest) / all};
    });
  }

  Time on_time_limit() {
    return cluster_.on([this] {
      std::vector<Time> latencies;
      for (const auto& probe : probes_) {
        if (probe->answered_or_lost && probe->done) latencies.push_back(probe->answered - probe->sent);
      }
      if (latencies.empty()) return Time(min_on_time_limit);
      std::ranges::sort(latencies);
      const auto rank = static_cast<std::size_t>(0.99 * static_cast<double>(latencies.size() - 1));
      return std::max<Time>(2 * latencies[rank], min_on_time_limit);
    });
  }

  // Returns the time of sending of the first of twenty consecutive probes, sent at `from` or later, that were
  // all answered within `limit`.
  std::optional<Time> on_time_from(Time from, Time limit) {
    return cluster_.on([&]() -> std::optional<Time> {
      std::size_t consecutive = 0;
      Time first{};
      for (const auto& probe : probes_) {
        if (probe->sent < from) continue;
        const bool on_time = probe->answered_or_lost && probe->done && probe->answered - probe->sent <= limit;
        if (!on_time) consecutive = 0;
        else if (consecutive++ == 0) first = probe->sent;
        if (consecutive >= min_consecutive_on_time) return first;
      }
      return std::nullopt;
    });
  }

 private:
  TestCluster& cluster_;
  std::deque<std::shared_ptr<Probe>> probes_;
  std::size_t next_manager_ = 0;
};

// Checks every window that starts with the begin of a statement.
void check_slow_start(TestCluster& cluster, std::size_t engine, Time since, const ColdRule& rule, int cores,
                      PrimaryChange& change) {
  const auto begun = cluster.on([&] { return cluster.engines()[engine]->begun_work(); });
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

PrimaryChange measure_primary_change(TestCluster& cluster, const ColdRule& cold, int cores) {
  Probes probes(cluster);
  for (const Time end = steady_now() + observation_time; steady_now() < end;) probes.send();
  PrimaryChange change;
  const auto [home, share] = probes.home();
  change.home = cluster.engines()[home]->name(), change.home_share = share;
  const Time limit = probes.on_time_limit();
  const Time failed_at = steady_now();
  cluster.on([&cluster, engine = home] {
    cluster.engines()[engine]->die();
    cluster.channel().tell({cluster.member(engine, "left")}, false);
  });
  while (steady_now() - failed_at < recovery_timeout) {
    probes.send();
    if (const auto first = probes.on_time_from(failed_at, limit)) {
      change.over = duration_cast<milliseconds>(*first - failed_at);
      break;
    }
  }
  const Time restored_at = steady_now();
  cluster.on([&cluster, engine = home] {
    cluster.engines()[engine]->live();
    cluster.channel().tell({cluster.member(engine)}, false);
  });
  while (steady_now() - restored_at < cold.lasts) probes.send();
  check_slow_start(cluster, home, restored_at, cold, cores, change);
  return change;
}

}  // namespace pearchute::lab
