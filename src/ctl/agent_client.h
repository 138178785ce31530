// Remote calls from the command line to the fleet's agents, each with a deadline.
//
// Functions block until every call has its response or has timed out. Queries call all agents in parallel, so
// they take at most the timeout of one call.
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

// The result of a call that changes something.
struct CallOutcome {
  fleet::CommandOutcome outcome = fleet::CommandOutcome::unreachable;
  std::string error;  // for operators; empty on success
};

// One agent's response to a status query.
struct AgentStatus {
  std::string agent;
  fleet::CommandOutcome outcome = fleet::CommandOutcome::unreachable;
  std::string error;  // why the query failed, or the trouble that the agent reports; empty: neither
  agent::v1::Shown response;
  bool answered() const { return outcome == fleet::CommandOutcome::yes; }
};

// One agent's response to a query for rollouts.
struct AgentRollouts {
  const AgentAddress* agent;
  bool answered;
  agent::v1::RolloutList response;
};

// Calls the agents of one fleet. Thread-safe.
class AgentClient {
 public:
  // The fleet outlives the client.
  explicit AgentClient(const Fleet& fleet) : fleet_(fleet) {}

  // All functions throw as agent::channel_to does. Queries return one result per agent, in the order of the
  // fleet file.
  std::vector<AgentStatus> query_status() const;
  // Queries one rollout with its targets and stages; without an id, a summary of each rollout.
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
