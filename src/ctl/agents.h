// The operators' commands over agents: their instances, leases and rollouts. A rollout that is started again
// under the same id is the same rollout.
//
// Each returns the exit status, and throws as agent::channel_to does.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "ctl/agent_client.h"
#include "ctl/fleet_file.h"
#include "ctl/output.h"
#include "fleet/rollout.h"

namespace pearchute::ctl {

// For one command over the chosen instances.
class AgentCommands {
 public:
  // The references outlive it.
  AgentCommands(const Fleet& fleet, std::vector<const Instance*> chosen, Output& output);

  int agents();
  int leases();
  // Prints what would be done to the chosen instances; starts it where `start` says so, at the agent
  // `coordinator` (empty: the first). `follow`: as status().
  int rollout(fleet::RolloutPlan plan, const std::string& coordinator, bool start, bool follow);
  int rollouts(bool with_finished);
  // `follow`: waits until the rollout is over or paused.
  int status(const std::string& id, bool follow);
  // `command`: pause, resume, abort or back.
  int control(const std::string& id, const std::string& command);

 private:
  // An instance and the agent that owns it.
  struct OwnedInstance {
    std::string agent;
    agent::v1::Instance instance;
  };
  std::map<std::string, OwnedInstance> query_owned_instances();
  Rows add_targets(const std::map<std::string, OwnedInstance>& owned, bool start, fleet::RolloutPlan& plan);
  void warn_of_zone_limits(const std::map<std::string, OwnedInstance>& owned, const fleet::RolloutPlan& plan);
  int start(const fleet::RolloutPlan& plan, const std::string& coordinator, bool follow);
  int print_rollout(const std::string& id, const agent::v1::Rollout& rollout);

  const Fleet& fleet_;
  const std::vector<const Instance*> chosen_;
  Output& output_;
  const AgentClient client_;
};

}  // namespace pearchute::ctl
