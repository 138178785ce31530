#include "lab/measurements/slopes_channel_engine.h"

#include <algorithm>

#include "errors/error.h"
#include "lab/measurements/stand_in_load.h"
#include "lab/stand_ins/test_cluster.h"

namespace pearchute::lab {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds list_event_interval{40};
constexpr milliseconds list_settle_time{300};
// Longer than the 400 ms of silence of an open statement after which a manager sends a liveness probe.
constexpr milliseconds liveness_probe_delay{700};

ClusterSpec cluster_of(const MeasurementOptions& options, const ChannelEnginePlan& plan, int managers) {
  ClusterSpec spec;
  spec.managers = managers;
  spec.engines = plan.engines;
  spec.seed = options.seed;
  spec.pearchuted = options.programs + "/pearchuted";
  // Enough cores for a statement of each manager at each engine.
  spec.cores = 2 * managers;
  spec.sla_time = milliseconds(15'000);
  spec.slowest = milliseconds(30'000);
  return spec;
}

class ManagersUnderMeasure {
 public:
  ManagersUnderMeasure(const MeasurementOptions& options, const ChannelEnginePlan& plan, int managers)
      : plan_(plan), managers_(managers), cluster_(cluster_of(options, plan, managers)) {
    cluster_.must_serve(static_cast<std::uint64_t>(plan.engines));
  }

  void measure_channel(SeriesSet& series) {
    const std::size_t streams = cluster_.on([&] { return cluster_.channel().streams(); });
    series.add("channel.connections.by_managers", managers_, static_cast<double>(streams));
    const std::uint64_t before = channel_bytes();
    for (int event = 0; event < plan_.list_events; ++event) {
      cluster_.on([&] { cluster_.channel().tell(cluster_.members_now(), true); });
      cluster_.rest(list_event_interval);
    }
    cluster_.rest(list_settle_time);
    series.add("channel.bytes.by_managers", managers_,
               static_cast<double>(channel_bytes() - before) / plan_.list_events);
  }

  // Opens one long statement per manager and engine, so that connections are open and liveness probes are
  // sent.
  void measure_engine(SeriesSet& series) {
    open_statements();
    cluster_.rest(liveness_probe_delay);
    series.add("engine.connections.by_managers", managers_, connections() / plan_.engines);
    const double probes_per_second = median_of(plan_.windows, [&] {
      const std::uint64_t before = liveness_probes();
      const Time started_at = steady_now();
      cluster_.rest(plan_.window);
      return static_cast<double>(liveness_probes() - before) /
             std::chrono::duration<double>(steady_now() - started_at).count();
    });
    series.add("engine.probes.by_managers", managers_, probes_per_second / plan_.engines);
    if (!cluster_.quiet(plan_.statement + std::chrono::seconds(10)))
      throw TestClusterError("the long statements did not end in time", cluster_.folder());
  }

  TestCluster& cluster() { return cluster_; }

 private:
  void open_statements() {
    Ask ask;
    ask.type = "once";
    ask.statement = "UPDATE work=" + std::to_string(plan_.statement.count()) + " a_1.t";
    ask.patience = milliseconds(25'000);
    ask.cost_ms = static_cast<double>(plan_.statement.count());
    cluster_.on([&] {
      for (int statement = 0; statement < plan_.engines; ++statement) {
        for (int manager = 0; manager < managers_; ++manager) cluster_.crowd().ask(manager, ask, {});
      }
    });
    const std::uint64_t all =
        static_cast<std::uint64_t>(plan_.engines) * static_cast<std::uint64_t>(managers_);
    const auto all_begun = [&] {
      std::uint64_t begun = 0;
      for (const auto& engine : cluster_.engines()) begun += engine->begun();
      return begun >= all;
    };
    if (!cluster_.until(all_begun, plan_.statement))
      throw TestClusterError("the long statements did not all reach their engines in time",
                             cluster_.folder());
  }

  std::uint64_t channel_bytes() {
    return cluster_.on([&] { return cluster_.channel().bytes_sent() + cluster_.channel().bytes_received(); });
  }
  double connections() {
    return cluster_.on([&] {
      double open = 0;
      for (const auto& engine : cluster_.engines()) open += static_cast<double>(engine->connections());
      return open;
    });
  }
  std::uint64_t liveness_probes() {
    return cluster_.on([&] {
      std::uint64_t probes = 0;
      for (const auto& engine : cluster_.engines()) probes += engine->signs();
      return probes;
    });
  }

  const ChannelEnginePlan& plan_;
  const int managers_;
  TestCluster cluster_;
};

void declare(SeriesSet& series, const ChannelEnginePlan& plan) {
  const std::string setting =
      "pearchuted as processes over " + std::to_string(plan.engines) + " stand-in engines on loopback";
  const std::string statements = setting +
                                 ", as many long statements open at each manager as there are engines; at "
                                 "rest a manager holds no connection and asks for no sign of life";
  const auto declare_one = [&](const std::string& name, const std::string& role, const std::string& quantity,
                               const std::string& unit, const std::string& source) {
    series.declare({name, role, quantity, unit, "managers", "managers"}, source);
  };
  declare_one("channel.connections.by_managers", "channel", "streams open", "connections", setting);
  declare_one("channel.bytes.by_managers", "channel", "bytes of an event with the whole list to all managers",
              "bytes/event", setting);
  declare_one("engine.connections.by_managers", "engine", "connections open at one engine", "connections",
              statements);
  declare_one("engine.probes.by_managers", "engine", "signs of life that one engine is asked for", "probes/s",
              statements);
}

}  // namespace

std::vector<MeasuredSeries> measure_channel_engine_slopes(const MeasurementOptions& options,
                                                          const ChannelEnginePlan& plan) {
  SeriesSet series;
  declare(series, plan);
  double largest_share = 0;
  for (const int size : plan.managers) {
    ManagersUnderMeasure managers(options, plan, size);
    StandInLoadMeter stand_ins(managers.cluster());
    managers.measure_channel(series);
    managers.measure_engine(series);
    stand_ins.require_below_bound(largest_share);
  }
  std::vector<MeasuredSeries> all = series.take();
  for (MeasuredSeries& one : all)
    one.source += "; the stand-ins used " + std::to_string(largest_share) + " of a core at most";
  return all;
}

}  // namespace pearchute::lab
