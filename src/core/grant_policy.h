// Floor-and-headroom arithmetic: what an engine has room for, and the one fixed grant of memory that a
// request would get there.
//
// Capacity: this manager's share of an engine's memory. Slots: threads it may use there at once. Floor:
// capacity divided by the slots, the least grant; headroom: what stays free so that each slot left can still
// have a floor.
#pragma once

#include <optional>

#include "core/engine.h"
#include "core/latency_model.h"
#include "core/request_state.h"
#include "core/slow_start.h"
#include "core/types.h"
#include "core/work_model.h"

namespace pearchute {

// Works out capacities, slots and grants; stateless but for the settings.
class GrantPolicy {
 public:
  // All must outlive it.
  GrantPolicy(const ServiceDefinition& service, const WorkModel& work, const LatencyModel& latency,
              const SlowStart& slow_start);

  // This manager's share of the fleet's capacity, 0 .. 1: twice an even share, at most all of it.
  double fleet_share() const { return fleet_share_; }
  double initial_slots(const MachineKind& machine) const;

  double capacity_mb(const Engine& engine) const;
  double slots(TimePoint now, const Engine& engine) const;
  double floor_mb(TimePoint now, const Engine& engine) const;
  // Where an engine's slots are less than one request of the largest type, such shares make one shared
  // pool: else many managers' single requests add up past what the engines bear.
  bool is_pooled(const Engine& engine) const;
  // Whether its slots now, learned ones included, are less than a request of the largest type: it counts in
  // the pool's sum. Unlike is_pooled, which goes by the fair share alone.
  bool counts_in_pool(TimePoint now, const Engine& engine) const;
  // Slots that are free in the shared pool. `overcommit`: a multiple of its slots.
  double free_pool_slots(TimePoint now, const EngineMap& engines, double overcommit) const;
  double pool_overcommit(const RequestState& state) const;

  // The grant in MB that the request would get there now. Without pressure (latency ratio up to 2, not full
  // in the last 2 s, a slot to spare) reserved memory is no limit; else none where the ledger has no room.
  std::optional<double> grant_mb(TimePoint now, const Engine& engine, const RequestState& state) const;

 private:
  bool has_no_pressure(TimePoint now, const Engine& engine, int threads, double slots) const;
  bool may_overrun_slots(const Engine& engine, const RequestState& state, double need_mb, int threads,
                         double slots) const;

  const ServiceDefinition& service_;
  const WorkModel& work_;
  const LatencyModel& latency_;
  const SlowStart& slow_start_;
  double fleet_share_;
};

}  // namespace pearchute
