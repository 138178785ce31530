// Turns what the supervisor observes of an agent's instances into status reports: adds since when the state
// has lasted, and how many requests are answered and done, averaged over some ten rounds.
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

// For all instances of one agent.
class StatusReporter {
 public:
  // One round. Instances that have not been observed yet are left out: peers keep their last report, with its
  // age.
  std::vector<fleet::StatusReport> reports(fleet::TimePoint now,
                                           const std::vector<ProcessSupervisor::InstanceStatus>& instances);

 private:
  // An instance as it was at the last round.
  struct Previous {
    fleet::InstanceState state{};
    std::uint64_t process_id = 0;  // see InstanceStatus
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
