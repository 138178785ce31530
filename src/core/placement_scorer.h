// Placement: which engine a request goes to. Among the engines that may execute it, that admit it (slow
// start) and whose ledger has room, the one with the highest score.
//
// The score is the memory in MB that stays spare there after the grant, scaled by the engine's health and
// raised or lowered by terms that are each a function below. Equal scores: fewer attempts, less reserved
// memory, and then a position in the list that differs by manager, lest fresh ledgers all pick the same
// engine.
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

// Where a request is sent, and with which grant.
struct Placement {
  Engine* engine = nullptr;
  double grant_mb = 0;
  bool at_preferred_engine = false;  // by data affinity
};

// Scores engines for a request; stateless but for the settings.
class PlacementScorer {
 public:
  // What placement asks. All must outlive it. `random` decides between preferences where they compete.
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

  // Whether the request may be sent to the engine at all: placement, deduplication scope, ejection,
  // probation, no other attempt of it there.
  bool is_eligible(TimePoint now, const RequestState& state, const Engine& engine) const;
  // The best engine; none where no eligible one has room. Draws random numbers.
  std::optional<Placement> choose(TimePoint now, const RequestState& state, EngineMap& engines) const;

 private:
  // What holds for one choice over all engines.
  struct Choice {
    TimePoint now;
    const RequestState& state;
    const RequestType& type;
    DataAffinity::PreferredEngines preferred;
    bool pool_is_full = false;
    bool heeds_affinity = false;  // at pooled engines
    bool heeds_zones = true;      // at pooled engines
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

  Inputs in_;
  double largest_memory_mb_ = 1;  // of any kind of machine
};

}  // namespace pearchute
