// Learned latencies by engine, for the fleet, and by locality (zone, data affinity), and the concurrency
// limits that follow from them.
//
// A latency ratio is the time that an attempt took, divided by the best time for its type and work: 1 is the
// best time, 2 is twice as long. A concurrency factor is the number of usable slots as a multiple of the fair
// share. Attempts that show nothing about an engine's load (very short ones, and those that waited for a data
// load) are ignored.
#pragma once

#include <vector>

#include "core/request_state.h"
#include "core/types.h"
#include "core/work_model.h"

namespace pearchute {

struct Engine;

// The learned latency of one engine or of the whole fleet.
struct EngineLatency {
  double ratio = 1;               // smoothed
  double concurrency_factor = 1;  // usable slots divided by the fair share
};

// Smoothed latency ratios by the locality of an engine relative to the request and to this manager.
struct LocalityLatency {
  double preferred = 1;  // at the preferred engines of the data set
  double other = 1;
  double same_zone = 1;
  double cross_zone = 1;
};

// Learns latencies. It owns the latency of the fleet, and modifies the EngineLatency of each engine.
class LatencyModel {
 public:
  // `work` must outlive the model. `shortest_timeout`, the shortest request timeout of any type, determines
  // how fast the fleet's concurrency factor falls under overload.
  LatencyModel(const WorkModel& work, ZoneId own_zone, Duration shortest_timeout);

  // An attempt has succeeded.
  void on_success(Engine& engine, const RequestState& state, const AttemptRecord& attempt, Duration elapsed);
  // Called at each tick for each outstanding attempt, so that a slow one is learned from before it is
  // answered. `is_ejected`: the engine is ejected, so the attempt affects only the engine's own ratio.
  void on_outstanding(TimePoint now, Engine& engine, const RequestState& state, const AttemptRecord& attempt,
                      bool is_ejected);
  // An engine has rejected an attempt because it is full.
  void on_engine_full(EngineLatency& latency) const;
  // An engine is listed for the first time, has restarted, or is up again. Its ratio is reset to 1 when first
  // listed, else to the fleet's ratio (at least 1). Its concurrency factor is kept.
  void reset(EngineLatency& latency, bool is_first) const;

  // The periodic tick: the caller calls `begin_tick`, then `tick` for each engine, then `end_tick`.
  void begin_tick();
  void tick(Engine& engine, bool counts_for_fleet);
  void end_tick();

  double fleet_ratio() const { return fleet_.ratio; }
  double fleet_concurrency_factor() const { return fleet_.concurrency_factor; }
  const LocalityLatency& locality() const { return locality_; }
  // The 10th and the 95th percentile of the time taken divided by the ideal time, for the type.
  double p10_ratio(RequestTypeId type) const { return quantiles_[static_cast<std::size_t>(type.value)].p10; }
  double p95_ratio(RequestTypeId type) const { return quantiles_[static_cast<std::size_t>(type.value)].p95; }

 private:
  static constexpr double initial_p95 = 3;
  // Percentiles of the time taken divided by the ideal time, of one type.
  struct Quantiles {
    double p10 = 1;
    double p95 = initial_p95;  // assumed slow until answers have been measured
  };
  bool is_overloaded() const;
  void learn_locality(const Engine& engine, const AttemptRecord& attempt, double sample, double weight);
  void adjust_concurrency(EngineLatency& latency, double min_factor, double fair_share_slots,
                          double used_threads, double weight) const;

  const WorkModel& work_;
  ZoneId own_zone_;
  double overload_decay_;
  std::vector<Quantiles> quantiles_;  // by request type
  EngineLatency fleet_;
  LocalityLatency locality_;
  double fleet_threads_ = 0;  // threads in use over all engines in rotation
  double fleet_fair_share_slots_;
};

}  // namespace pearchute
