// Floor-and-headroom arithmetic: how much an engine has room for, and the fixed memory grant that a request
// would get there.
//
// Capacity: this manager's share of an engine's memory. Slots: the threads that it may use there at once.
// Floor: the minimum grant, which is the capacity divided by the slots. Headroom: the memory that is kept
// free so that each unused slot can still get a floor.
#pragma once

#include <optional>

#include "core/engine.h"
#include "core/latency_model.h"
#include "core/request_state.h"
#include "core/slow_start.h"
#include "core/types.h"
#include "core/work_model.h"

namespace pearchute {

// Computes capacities, slots and grants. Stateless except for the settings.
class GrantPolicy {
 public:
  // All must outlive it.
  GrantPolicy(const ServiceDefinition& service, const WorkModel& work, const LatencyModel& latency,
              const SlowStart& slow_start);

  // This manager's share of the fleet's capacity, 0 .. 1: twice an even share, but no more than 1.
  double fleet_share() const { return fleet_share_; }
  // Slots of a newly listed engine, before any latency is learned.
  double initial_slots(const MachineKind& machine) const;

  double capacity_mb(const Engine& engine) const;
  double slots(TimePoint now, const Engine& engine) const;
  double floor_mb(TimePoint now, const Engine& engine) const;
  // Whether the engine belongs to the shared pool: its fair-share slots are fewer than the threads of one
  // request of the largest type. Without the pool, every manager could send one request to every engine, and
  // the sum over many managers would overload the engines.
  bool is_pooled(const Engine& engine) const;
  // Whether the engine's slots count in the sum of the shared pool: they are fewer than the threads of one
  // request of the largest type. Unlike is_pooled, this uses the current, learned slots instead of the fair
  // share.
  bool counts_in_pool(TimePoint now, const Engine& engine) const;
  // Free slots of the shared pool, if `overcommit` times its slots may be used.
  double free_pool_slots(TimePoint now, const EngineMap& engines, double overcommit) const;
  double pool_overcommit(const RequestState& state) const;

  // The grant in MB that the request would get at the engine now, or none if the ledger has no room. Without
  // pressure (latency ratio up to 2, no rejection as full in the last 2 s, and slots left besides this
  // request) reserved memory does not limit the grant.
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
