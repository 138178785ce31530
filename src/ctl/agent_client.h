// Remote calls from the command line to the fleet's agents, with a deadline each.
//
// Blocks until all are answered or their time is up. The agents are called at once, so a round lasts as long
// as the time limit of one.
#pragma once

#include <grpcpp/grpcpp.h>

#include <memory>
#include <string>
#include <vector>

#include "agent.grpc.pb.h"
#include "ctl/fleet_file.h"
#include "fleet/command_outcome.h"
#include "fleet/rollout.h"

namespace pearchute::ctl {

// What became of a call that changes something.
struct CallOutcome {
  fleet::CommandOutcome outcome = fleet::CommandOutcome::unreachable;
  std::string error;  // for operators; empty where it was done
};

// An agent's own status, as it answered.
struct AgentStatus {
  std::string agent;
  fleet::CommandOutcome outcome = fleet::CommandOutcome::unreachable;
  std::string error;  // why it did not answer, or why it takes no orders; empty: neither
  agent::v1::Shown response;
  bool answered() const { return outcome == fleet::CommandOutcome::yes; }
};

// The rollouts that an agent knows of, as it answered.
struct AgentRollouts {
  const AgentAddress* agent;
  bool answered;
  agent::v1::RolloutList response;
};

// For all agents of one fleet. Thread-safe.
class AgentClient {
 public:
  // The fleet outlives it.
  explicit AgentClient(const Fleet& fleet) : fleet_(fleet) {}

  // These throw as agent::channel_to does. In the order of the fleet file.
  std::vector<AgentStatus> query_status() const;
  // One rollout, with its targets and stages; without an id, a summary of each.
  std::vector<AgentRollouts> query_rollouts(const std::string& id) const;

  CallOutcome start_rollout(const AgentAddress& agent, const fleet::RolloutPlan& plan) const;
  // `command`: pause, resume, abort or back.
  CallOutcome control_rollout(const AgentAddress& agent, const std::string& id,
                              const std::string& command) const;

 private:
  std::unique_ptr<agent::v1::Agent::Stub> stub_to(const AgentAddress& agent) const;
  AgentStatus query_status(const AgentAddress& agent) const;
  AgentRollouts query_rollouts(const AgentAddress& agent, const std::string& id) const;

  const Fleet& fleet_;
};

}  // namespace pearchute::ctl
