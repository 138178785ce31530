// Placement: chooses the engine with the highest score for a request, among the engines that may execute it,
// that admit it (slow start) and whose ledger has room.
//
// The score is the memory in MB that would remain spare at the engine after the grant. The capacity is scaled
// by the engine's health, and bonuses and penalties are added, each by a function below. Ties are resolved by
// fewer attempts, then less reserved memory, then the position in the list, which differs by manager, so that
// managers with empty ledgers do not all choose the same engine.
#pragma once

#include <optional>
#include <random>

#include "core/data_affinity.h"
#include "core/engine.h"
#include "core/grant_policy.h"
#include "core/latency_model.h"
#include "core/request_state.h"
#include "core/slow_start.h"
#include "core/types.h"
#include "core/work_model.h"

namespace pearchute {

// The engine that a request is sent to, and its memory grant.
struct Placement {
  Engine* engine = nullptr;
  double grant_mb = 0;
  bool at_preferred_engine = false;  // by data affinity
};

// Scores engines for a request. Stateless except for the settings.
class PlacementScorer {
 public:
  // The decisions that placement uses; all must outlive it. `random` decides whether the preferences for
  // affinity, zone and machine size apply to a choice.
  struct Inputs {
    const ServiceDefinition& service;
    const WorkModel& work;
    const LatencyModel& latency;
    const SlowStart& slow_start;
    const GrantPolicy& grants;
    const DataAffinity& affinity;
    std::knuth_b& random;
  };
  explicit PlacementScorer(const Inputs& inputs);

  // Whether the request may be sent to the engine at all. Checks the engine's state, allowed placement,
  // deduplication scope, ejection and probation, and that the request has no outstanding attempt there.
  bool is_eligible(TimePoint now, const RequestState& state, const Engine& engine) const;
  // Returns the engine with the highest score; none if no eligible engine has room. Draws random numbers.
  std::optional<Placement> choose(TimePoint now, const RequestState& state, EngineMap& engines) const;

 private:
  // Values that are the same for all engines in one choice.
  struct Choice {
    TimePoint now;
    const RequestState& state;
    const RequestType& type;
    DataAffinity::PreferredEngines preferred;
    bool pool_is_full = false;
    bool uses_affinity = false;  // for engines of the shared pool
    bool uses_zones = true;      // for engines of the shared pool
    double largest_typical_work_ms = 0;
  };
  // Compared member by member, in this order.
  struct Score {
    double spare_mb = 0;
    int attempts = 0;
    double reserved_mb = 0;
    std::uint64_t position = 0;
    bool is_better_than(const Score& other) const;
  };
  Choice begin_choice(TimePoint now, const RequestState& state, const EngineMap& engines) const;
  bool may_use(const Choice& choice, const Engine& engine) const;
  double spare_mb(const Choice& choice, const Engine& engine, double grant_mb) const;
  double capacity_factor(const Choice& choice, const Engine& engine) const;
  double affinity_bonus(const Choice& choice, const Engine& engine) const;
  double cross_zone_penalty(const Choice& choice, const Engine& engine) const;
  bool is_avoided_for_data_load(const Choice& choice, const Engine& engine) const;
  bool is_avoided_as_small(const Engine& engine) const;

  Inputs inputs_;
  double max_memory_mb_ = 1;  // the largest of all kinds of machines
};

}  // namespace pearchute
