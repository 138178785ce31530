// Learned latencies: how much longer attempts take than at best, by engine, for the fleet, and by where an
// engine stands (zone, data affinity); and the concurrency limits that follow from them.
//
// A latency ratio is the time an attempt took, divided by the best time of its type: 1 is the best, 2 is
// twice as long. A concurrency factor is the number of slots in use, as a multiple of the fair share.
// Attempts that tell nothing of an engine (very short ones, those behind a data load) are not learned from.
#pragma once

#include <vector>

#include "core/request_state.h"
#include "core/types.h"
#include "core/work_model.h"

namespace pearchute {

struct Engine;

// The latency of one engine, or of the fleet as one.
struct EngineLatency {
  double ratio = 1;               // smoothed
  double concurrency_factor = 1;  // slots over the fair share
};

// Smoothed latency ratios by where the engine stands for the request.
struct LocalityLatency {
  double preferred = 1;  // preferred engines of the data set
  double other = 1;
  double same_zone = 1;
  double cross_zone = 1;
};

// Learns latencies; owns those of the fleet, and changes EngineLatency of each engine.
class LatencyModel {
 public:
  // `shortest_timeout` of any type bounds how fast the fleet's concurrency falls under overload.
  LatencyModel(const WorkModel& work, ZoneId own_zone, Duration shortest_timeout);

  // An attempt has succeeded.
  void on_success(Engine& engine, const RequestState& state, const AttemptRecord& attempt, Duration elapsed);
  // An attempt is still outstanding; one that is already far behind counts before its answer comes.
  // `is_ejected`: only the engine itself is judged by it.
  void on_outstanding(TimePoint now, Engine& engine, const RequestState& state, const AttemptRecord& attempt,
                      bool is_ejected);
  // An engine has rejected an attempt because it is full.
  void on_engine_full(EngineLatency& latency) const;
  // A listed engine has (re)started: its ratio begins at 1 when first listed, else at the fleet's ratio (at
  // least 1). Its concurrency factor stays.
  void reset(EngineLatency& latency, bool is_first) const;

  // The periodic tick: `begin_tick`, then each engine's `tick`, then `end_tick`.
  void begin_tick();
  void tick(Engine& engine, bool counts_for_fleet);
  void end_tick();

  double fleet_ratio() const { return fleet_.ratio; }
  double fleet_concurrency_factor() const { return fleet_.concurrency_factor; }
  const LocalityLatency& locality() const { return locality_; }
  // 10th and 95th percentile of the time taken divided by the ideal time, by type.
  double p10_ratio(RequestTypeId type) const { return quantiles_[static_cast<std::size_t>(type.value)].p10; }
  double p95_ratio(RequestTypeId type) const { return quantiles_[static_cast<std::size_t>(type.value)].p95; }

 private:
  static constexpr double initial_p95 = 3;
  // Of the time taken over the ideal time, by type.
  struct Quantiles {
    double p10 = 1;
    double p95 = initial_p95;  // slow until answers come well
  };
  bool is_overloaded() const;
  void learn_locality(const Engine& engine, const AttemptRecord& attempt, double sample, double weight);
  void adjust_concurrency(EngineLatency& of, double least_factor, double fair_share_slots,
                          double used_threads, double weight) const;

  const WorkModel& work_;
  ZoneId own_zone_;
  double overload_decay_;
  std::vector<Quantiles> quantiles_;  // by request type
  EngineLatency fleet_;
  LocalityLatency locality_;
  double fleet_threads_ = 0;  // over all engines in rotation
  double fleet_fair_share_slots_;
};

}  // namespace pearchute
