#include "lab/measurements/slopes_manager_control.h"

#include <signal.h>

#include <algorithm>

#include "errors/error.h"
#include "lab/measurements/process_cpu_clock.h"
#include "lab/measurements/stand_in_load.h"
#include "lab/stand_ins/test_cluster.h"

namespace pearchute::lab {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds warm_up{500};
constexpr milliseconds list_event_interval{80};
// Longer than the 400 ms of silence of an open statement after which a manager sends a liveness probe.
constexpr milliseconds liveness_probe_delay{700};
constexpr milliseconds liveness_window{800};
// Statements are sent in batches: the manager would reject a part of a burst of a thousand.
constexpr int statement_batch_size = 16;
constexpr milliseconds statement_batch_interval{12};

std::string milliseconds_text(milliseconds time) { return std::to_string(time.count()) + " ms"; }

ClusterSpec cluster_of(const MeasurementOptions& options, int engines) {
  ClusterSpec spec;
  spec.engines = engines;
  spec.seed = options.seed;
  spec.pearchuted = options.programs + "/pearchuted";
  // Clients with an open statement may take a third of the descriptors, and here there is one per engine.
  spec.sockets = 4 * engines + 512;
  spec.manager_memory_mb = 256;
  // A manager rejects statements that can't end within their SLA time, and these last for seconds.
  spec.sla_time = milliseconds(15'000);
  spec.slowest = milliseconds(30'000);
  return spec;
}

// A statement of the given length, of a type that is never run twice.
Ask long_statement(milliseconds length) {
  Ask ask;
  ask.type = "once";
  ask.statement = "UPDATE work=" + std::to_string(length.count()) + " a_1.t";
  ask.patience = milliseconds(25'000);
  ask.cost_ms = static_cast<double>(length.count());
  return ask;
}

// One manager over a number of stand-in engines, with the measurements on it.
class ManagerUnderMeasure {
 public:
  ManagerUnderMeasure(const MeasurementOptions& options, const ManagerControlPlan& plan, int engines)
      : plan_(plan), engines_(engines), cluster_(cluster_of(options, engines)) {
    cluster_.must_serve(static_cast<std::uint64_t>(engines));
    cluster_.rest(warm_up);
  }

  void measure_rest(SeriesSet& series) {
    // The channel sends a comment once a second, so bytes are counted over all windows together.
    const CpuMeter all_windows(manager());
    const std::uint64_t bytes = bytes_exchanged();
    const double cpu = median_of(plan_.windows, [&] {
      const CpuMeter meter(manager());
      cluster_.rest(plan_.rest_window);
      return meter.microseconds_per_second();
    });
    const double bytes_per_second = static_cast<double>(bytes_exchanged() - bytes) / all_windows.seconds();
    rest_cpu_ = cpu;
    series.add("manager.control_cpu_at_rest.by_engines", engines_, cpu);
    series.add("manager.control_bytes_at_rest.by_engines", engines_, bytes_per_second);
  }

  void measure_list_events(SeriesSet& series) {
    measure_events(series, "manager.list_event", true);
    measure_events(series, "manager.list_change", false);
  }

  void measure_status_calls(SeriesSet& series) {
    const double cpu = median_of(plan_.windows, [&] {
      const CpuMeter meter(manager());
      for (int i = 0; i < plan_.status_calls; ++i) cluster_.status(0);
      return (meter.microseconds() - rest_cpu_ * meter.seconds()) / plan_.status_calls;
    });
    series.add("manager.status_call_cpu.by_engines", engines_, cpu);
  }

  // The processor time of a start in us, until the manager is at rest; the cost at rest is subtracted.
  double start_cpu() {
    return median_of(plan_.windows, [&] {
      cluster_.signal(0, SIGKILL);
      if (!cluster_.until([&] { return cluster_.ended(0) != -1; }))
        throw TestClusterError("the manager did not end after SIGKILL", cluster_.folder());
      cluster_.start(0);
      const CpuMeter meter(manager());
      cluster_.rest(plan_.start_window);
      const double used = process_total() - rest_cpu_ * meter.seconds();
      cluster_.must_serve(static_cast<std::uint64_t>(engines_));
      return used;
    });
  }

  // Opens a connection to each engine with one long statement per engine, and takes the processor time beyond
  // that of the same statements over open connections. The second set of statements is longer, so that
  // liveness probes can be counted meanwhile.
  void measure_connections(SeriesSet& series, double start_cpu_difference) {
    const double opening = sending_cpu(plan_.opening_statement);
    const std::size_t connected = engines_connected();
    if (!quiet()) throw TestClusterError("the long statements did not end in time", cluster_.folder());
    const double reusing = sending_cpu(plan_.waiting_statement);
    series.add("manager.handshake_cpu.by_engines", engines_,
               std::max(0.0, start_cpu_difference + opening - reusing));
    connected_share_ = static_cast<double>(connected) / engines_;
    cluster_.rest(liveness_probe_delay);
    const double bytes = median_of(plan_.windows, [&] {
      const std::uint64_t before = engine_bytes();
      const Time started_at = steady_now();
      cluster_.rest(liveness_window);
      return static_cast<double>(engine_bytes() - before) /
             std::chrono::duration<double>(steady_now() - started_at).count();
    });
    series.add("manager.heartbeat_bytes.by_engines_connected", static_cast<double>(engines_connected()),
               bytes);
    if (!quiet()) throw TestClusterError("the long statements did not end in time", cluster_.folder());
  }

  double rest_cpu() const { return rest_cpu_; }
  double connected_share() const { return connected_share_; }
  TestCluster& cluster() { return cluster_; }

 private:
  pid_t manager() { return cluster_.managers()[0].process; }

  double process_total() {
    return std::chrono::duration<double, std::micro>(process_cpu_time(manager())).count();
  }

  void measure_events(SeriesSet& series, const std::string& name, bool whole_list) {
    std::uint64_t bytes = 0;
    const double cpu = median_of(plan_.windows, [&] {
      // The cost at rest is measured right before, for the same time, since it varies with the machine's
      // other load.
      const CpuMeter at_rest(manager());
      cluster_.rest(plan_.list_events * list_event_interval);
      const double rest_cpu = at_rest.microseconds_per_second();
      const CpuMeter meter(manager());
      const std::uint64_t sent_before = cluster_.on([&] { return cluster_.channel().bytes_sent(); });
      for (int event = 0; event < plan_.list_events; ++event) {
        cluster_.on([&] { send_event(event, whole_list); });
        cluster_.rest(list_event_interval);
      }
      bytes = cluster_.on([&] { return cluster_.channel().bytes_sent(); }) - sent_before;
      return (meter.microseconds() - rest_cpu * meter.seconds()) / plan_.list_events;
    });
    series.add(name + "_cpu.by_engines", engines_, cpu);
    series.add(name + "_bytes.by_engines", engines_, static_cast<double>(bytes) / plan_.list_events);
  }

  // Sends a change of one engine's phase, in an event with that engine alone or with the whole list.
  void send_event(int number, bool whole_list) {
    const std::size_t changed = static_cast<std::size_t>(number / 2) % static_cast<std::size_t>(engines_);
    const std::string phase = number % 2 == 0 ? "leaving" : "active";
    if (!whole_list) return cluster_.channel().tell({cluster_.member(changed, phase)}, false);
    std::vector<StandInChannel::Member> members = cluster_.members_now();
    members[changed].phase = phase;
    cluster_.channel().tell(members, true);
  }

  // The manager's processor time in us for sending one statement to each engine, until all run; the cost at
  // rest is subtracted.
  double sending_cpu(milliseconds length) {
    const std::uint64_t begun_before = statements_begun();
    const CpuMeter meter(manager());
    for (int sent = 0; sent < engines_; sent += statement_batch_size) {
      const int batch = std::min(statement_batch_size, engines_ - sent);
      cluster_.on([&] {
        for (int i = 0; i < batch; ++i) cluster_.crowd().ask(0, long_statement(length), {});
      });
      cluster_.rest(statement_batch_interval);
    }
    const auto all_begun = [&] {
      return statements_begun_on_loop() >= begun_before + static_cast<std::uint64_t>(engines_);
    };
    if (!cluster_.until(all_begun, length)) {
      const HistoryChecker::Verdict verdict = cluster_.verdict();
      throw TestClusterError(std::to_string(statements_begun() - begun_before) + " of " +
                                 std::to_string(engines_) + " statements reached their engines in time, " +
                                 std::to_string(verdict.refused) + " were rejected",
                             cluster_.folder());
    }
    return meter.microseconds() - rest_cpu_ * meter.seconds();
  }

  bool quiet() { return cluster_.quiet(plan_.waiting_statement + std::chrono::seconds(10)); }

  std::uint64_t statements_begun_on_loop() {
    std::uint64_t begun = 0;
    for (const auto& engine : cluster_.engines()) begun += engine->begun();
    return begun;
  }
  std::uint64_t statements_begun() {
    return cluster_.on([&] { return statements_begun_on_loop(); });
  }
  std::size_t engines_connected() {
    return cluster_.on([&] {
      return static_cast<std::size_t>(
          std::ranges::count_if(cluster_.engines(), [](const auto& one) { return one->connections() > 0; }));
    });
  }
  std::uint64_t engine_bytes() {
    return cluster_.on([&] {
      std::uint64_t bytes = 0;
      for (const auto& engine : cluster_.engines()) bytes += engine->bytes_received() + engine->bytes_sent();
      return bytes;
    });
  }
  std::uint64_t bytes_exchanged() {
    return engine_bytes() +
           cluster_.on([&] { return cluster_.channel().bytes_received() + cluster_.channel().bytes_sent(); });
  }

  const ManagerControlPlan& plan_;
  const int engines_;
  TestCluster cluster_;
  double rest_cpu_ = 0, connected_share_ = 0;
};

void declare(SeriesSet& series, const ManagerControlPlan& plan) {
  const std::string setting =
      "one pearchuted over stand-in engines on loopback, no client load, the front's five checks a second "
      "included; median of windows";
  const auto by_engines = [&](const std::string& name, const std::string& quantity, const std::string& unit,
                              const std::string& source) {
    series.declare({"manager." + name + ".by_engines", "manager", quantity, unit, "engines known", "engines"},
                   source);
  };
  by_engines("control_cpu_at_rest", "processor time at rest", "us/s", setting);
  by_engines("control_bytes_at_rest", "bytes exchanged at rest", "bytes/s",
             "over the whole of the windows, both ways at the stand-in list channel and engines; no client "
             "load, so no connection to an engine is open; the front's checks not counted");
  const std::string whole = "the whole list in one event, one engine's phase changed; " + setting;
  by_engines("list_event_cpu", "processor time of an event with the whole list", "us/event", whole);
  by_engines("list_event_bytes", "bytes of an event with the whole list", "bytes/event", whole);
  const std::string change = "an event with the one engine that changed; " + setting;
  by_engines("list_change_cpu", "processor time of an event with one engine", "us/event", change);
  by_engines("list_change_bytes", "bytes of an event with one engine", "bytes/event", change);
  by_engines("status_call_cpu", "processor time of a status call", "us/call",
             "status calls one after another over the admin channel; " + setting);
  by_engines("handshake_cpu", "processor time of a start and of a connection to each engine", "us",
             "a start with the list less a start with an empty one, within " +
                 milliseconds_text(plan.start_window) +
                 ", and one statement for each engine over new connections less the same over open ones; a "
                 "manager connects to an engine with its first statement there");
  series.declare({"manager.heartbeat_bytes.by_engines_connected", "manager", "bytes of signs of life",
                  "bytes/s", "engines connected", "engines"},
                 "signs of life both ways, one statement open and silent at each engine; without an open "
                 "statement a manager asks for none");
}

}  // namespace

std::vector<MeasuredSeries> measure_manager_control_slopes(const MeasurementOptions& options,
                                                           const ManagerControlPlan& plan) {
  SeriesSet series;
  declare(series, plan);
  double start_cpu_without_engines = 0;
  {
    SeriesSet unused;
    declare(unused, plan);
    ManagerUnderMeasure without_engines(options, plan, 0);
    without_engines.measure_rest(unused);
    start_cpu_without_engines = without_engines.start_cpu();
  }
  double largest_share = 0, min_connected_share = 1;
  for (const int engines : plan.engines) {
    ManagerUnderMeasure manager(options, plan, engines);
    StandInLoadMeter stand_ins(manager.cluster());
    manager.measure_rest(series);
    manager.measure_list_events(series);
    manager.measure_status_calls(series);
    manager.measure_connections(series, manager.start_cpu() - start_cpu_without_engines);
    stand_ins.require_below_bound(largest_share);
    min_connected_share = std::min(min_connected_share, manager.connected_share());
  }
  series.append_to_source("manager.handshake_cpu.by_engines",
                          std::to_string(min_connected_share) + " of the engines were connected at least");
  std::vector<MeasuredSeries> all = series.take();
  for (MeasuredSeries& one : all)
    one.source += "; the stand-ins used " + std::to_string(largest_share) + " of a core at most";
  return all;
}

}  // namespace pearchute::lab
