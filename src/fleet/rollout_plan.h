// What an operator asks of a rollout: which instances are stepped, how, and within which limits.
#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "fleet/instance_lifecycle.h"
#include "fleet/time.h"

namespace pearchute::fleet {

// An instance that a rollout steps, and where it is.
struct Target {
  std::string instance;
  std::string agent;  // that owns it
  std::string zone;
};

// How far the share of successful requests may fall at a gate, unless the plan says otherwise.
inline constexpr double default_success_share_margin = 0.02;
inline constexpr Duration default_rollout_lease = std::chrono::seconds(30);
inline constexpr Duration default_drain_timeout = std::chrono::seconds(30);
inline constexpr Duration default_start_timeout = std::chrono::seconds(30);

// A rollout's targets and limits. They do not change while it runs.
struct RolloutPlan {
  std::string id;   // unique; the operation under which leases are held
  std::string who;  // the operator
  StepKind kind = StepKind::restart;
  Fallback fallback = Fallback::serve_again;  // of a step whose lease ends
  int version = 0;                            // of the command, of a change
  int version_before = 0;                     // to which a change is rolled back
  std::vector<Target> targets;                // stepped in this order, as the limits allow
  int max_concurrent = 1;                     // steps in progress
  int batch = 0;                              // instances between two gates; 0: no gate
  std::map<std::string, int> min_serving;     // instances by zone; a zone that is not named has no minimum
  Duration warm{};                            // how long an instance has to serve before it counts as serving
  Duration gate{};                            // how long the success share is observed between two batches
  double margin = default_success_share_margin;  // how far the success share may fall at a gate
  int failures = 0;                              // failed steps that are tolerated
  bool reverts = false;                          // a change that fails more often is rolled back
  bool take_over = false;                        // of leases that other operations hold
  Duration lease_duration = default_rollout_lease;
  Duration drain_within = default_drain_timeout;  // until what is in flight has ended
  Duration up_within = default_start_timeout;     // until an instance serves after its start
};

}  // namespace pearchute::fleet
