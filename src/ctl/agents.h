// The operators' commands over agents: what they see, claims, rollouts. Remote calls with a deadline each; a
// start that is sent again is the same rollout, by its id.
#pragma once

#include <string>
#include <vector>

#include "agent.grpc.pb.h"
#include "ctl/fleet_file.h"
#include "ctl/output.h"
#include "fleet/rollout.h"

namespace pearchute::ctl {

class AgentCommands {
 public:
  AgentCommands(const Fleet& fleet, std::vector<const Instance*> chosen, Output& output);

  int agents();
  int claims();
  // Says what would be done, in order and with its limits; starts it where `start` says so.
  int rollout(fleet::RolloutPlan plan, const std::string& coordinator, bool start, bool follow);
  int rollouts(bool past);
  int status(const std::string& id, bool follow);
  int say(const std::string& id, const std::string& word);

 private:
  std::unique_ptr<agent::v1::Agent::Stub> stub_to(const AgentPlace& place) const;
  struct Seen;
  std::vector<Seen> look();
  struct Told {
    const AgentPlace* place;
    bool answered;
    agent::v1::RolloutList list;
  };
  std::vector<Told> ask_rollouts(const std::string& id);

  const Fleet& fleet_;
  const std::vector<const Instance*> chosen_;
  Output& output_;
};

}  // namespace pearchute::ctl
