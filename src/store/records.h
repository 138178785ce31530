// Records of the store that are not types of the fleet module: plain values, without behaviour.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "fleet/rollout.h"

namespace pearchute::store {

// Identifies one process of this machine permanently. A pid alone is reused; a pid with its start time and
// the machine's boot id is not.
struct ProcessRecord {
  std::int64_t pid = 0;
  std::uint64_t start_ticks = 0;  // clock ticks from the machine's boot to the process's start
  std::string boot_id;            // the kernel's random id of that boot
  int command_version = 0;        // version of the command with which it was started; 0: unknown
  bool operator==(const ProcessRecord&) const = default;
};

// The last persisted state of a rollout.
struct RolloutRecord {
  fleet::RolloutPlan plan;
  fleet::Rollout::State state = fleet::Rollout::State::planned;
  std::map<std::string, fleet::Rollout::Stage> stages;  // by instance
  std::string state_reason;                             // reason for the state, for operators
  std::int64_t started_unix_ms = 0;                     // by the coordinator's wall clock
};

}  // namespace pearchute::store
