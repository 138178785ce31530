// Converts the supervisor's observations of an agent's instances into status reports. Adds how long an
// instance has been in its state, and the rate of answered requests and the share of them that were done,
// both averaged over about ten rounds.
//
// Lives on the event loop.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "agent/process_supervisor.h"
#include "fleet/gossip_state.h"

namespace pearchute::agent {

// Keeps the averages of all instances of one agent.
class StatusReporter {
 public:
  // Returns the reports of one round. Omits instances that have not been observed since the agent's start;
  // for those, peers keep the last report and its age.
  std::vector<fleet::StatusReport> reports(fleet::TimePoint now,
                                           const std::vector<ProcessSupervisor::InstanceStatus>& instances);

 private:
  // An instance's values at the previous round.
  struct Previous {
    fleet::InstanceState state{};
    std::uint64_t process_id = 0;  // as in InstanceStatus
    std::uint64_t done = 0;
    std::uint64_t answered = 0;
    fleet::TimePoint state_since{};
    fleet::TimePoint observed_at{};
    double answered_per_second = 0;
    double done_share = 1;
  };
  static void update_rates(Previous& previous, const ProcessSupervisor::InstanceStatus& instance,
                           fleet::TimePoint now);

  std::map<std::string, Previous> previous_;  // by instance
};

}  // namespace pearchute::agent
