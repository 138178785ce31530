// The plan of a rollout, as an operator requests it: the instances to step, the kind of step, and the limits.
#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "fleet/instance_lifecycle.h"
#include "fleet/time.h"

namespace pearchute::fleet {

// An instance that a rollout steps, and its location.
struct Target {
  std::string instance;
  std::string agent;  // the agent that owns the instance
  std::string zone;
};

// Default limits of a plan. The margin is how far the share of successful requests may fall at a gate.
inline constexpr double default_success_share_margin = 0.02;
inline constexpr Duration default_rollout_lease = std::chrono::seconds(30);
inline constexpr Duration default_drain_timeout = std::chrono::seconds(30);
inline constexpr Duration default_start_timeout = std::chrono::seconds(30);

// A rollout's targets and limits. They do not change while it runs.
struct RolloutPlan {
  std::string id;   // unique; the operation that holds the leases
  std::string who;  // the operator
  StepKind kind = StepKind::restart;
  Fallback fallback = Fallback::serve_again;  // for a step whose lease ends
  int version = 0;                            // command version that a change starts
  int version_before = 0;                     // command version to which a change is rolled back
  std::vector<Target> targets;                // stepped in this order, as the limits allow
  int max_concurrent = 1;                     // maximum number of steps in progress
  int batch = 0;                              // number of instances between two gates; 0: no gate
  std::map<std::string, int> min_serving;     // minimum number of serving instances by zone; others: none
  Duration warm{};                            // how long an instance has to serve before it counts as serving
  Duration gate{};                            // how long the success share is observed between two batches
  double margin = default_success_share_margin;  // how far the success share may fall at a gate
  int failures = 0;                              // number of failed steps that are tolerated
  bool reverts = false;                          // roll a change back, instead of aborting, when more fail
  bool take_over = false;                        // end leases that other operations hold on the targets
  Duration lease_duration = default_rollout_lease;
  Duration drain_within = default_drain_timeout;  // time for requests in flight to end
  Duration up_within = default_start_timeout;     // time from an instance's start until it serves
};

}  // namespace pearchute::fleet
