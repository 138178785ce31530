// The commands that query agents, and that start and control rollouts. Starting a rollout is idempotent by
// its id.
//
// Each command returns the exit status, and throws as agent::channel_to does.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "ctl/agent_client.h"
#include "ctl/fleet_file.h"
#include "ctl/output.h"
#include "fleet/rollout.h"

namespace pearchute::ctl {

// Runs one command for the chosen instances.
class AgentCommands {
 public:
  // The references and the chosen instances outlive the object.
  AgentCommands(const Fleet& fleet, std::vector<const Instance*> chosen, Output& output);

  int agents();
  int leases();
  // Prints the plan for the chosen instances. With `start`, also starts it at the agent `coordinator` (empty:
  // the first of the fleet file). `follow`: as in status().
  int rollout(fleet::RolloutPlan plan, const std::string& coordinator, bool start, bool follow);
  // Prints the rollouts under way; `with_finished`: also those that are over.
  int rollouts(bool with_finished);
  // Prints the stage of each target. `follow`: waits until the rollout is over or paused.
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
