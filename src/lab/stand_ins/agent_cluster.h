// Agents as processes that run the managers of a small site. Each agent has a configuration file (charter), a
// certificate and its own instances; relays between the agents are optional. The destructors end the
// processes.
#pragma once

#include <sys/types.h>

#include <iosfwd>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "agent.grpc.pb.h"
#include "keys/authority.h"
#include "lab/stand_ins/relay.h"
#include "lab/stand_ins/test_cluster.h"

namespace pearchute::lab {

// Evaluates the condition every 20 ms until it is true. Returns false after `timeout`.
template <class Condition>
bool wait_for(Condition condition, std::chrono::seconds timeout = std::chrono::seconds(40)) {
  const Time end = steady_now() + timeout;
  while (!condition()) {
    if (steady_now() > end) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

// One agent process, and calls to its control socket.
struct Agent {
  std::string name, program, charter, control, listen;
  pid_t process = -1;
  std::vector<std::pair<std::string, std::string>> environment;  // in addition to the laboratory's
  std::unique_ptr<agent::v1::Agent::Stub> stub;
  ~Agent();
  Agent() = default;
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;
  void start();
  void end(int signal);                    // sends the signal and waits for the exit
  std::optional<agent::v1::Shown> show();  // no value if the agent doesn't answer within 1 s
  // What the agent knows about another one; no value if it doesn't answer or doesn't know that one.
  std::optional<agent::v1::Heard> heard(const std::string& other);
  agent::v1::ClaimAnswer claim(const std::string& operation, std::vector<std::string> instances,
                               bool take_over);
  agent::v1::StepAnswer step(const std::string& instance, const std::string& operation, std::uint64_t fence);
  // Sets *fault to the reason if the agent refuses the plan.
  grpc::Status start_rollout(const agent::v1::Plan& plan, std::string* fault);
  // Sends a command word about the rollout; returns the error text, or an empty string.
  std::string say(const std::string& id, const std::string& word);
  // An empty message if the agent doesn't know the rollout.
  agent::v1::Rollout rollout(const std::string& id);
};

// The managers of a site, distributed evenly among agents: with five managers and three agents, a1 has n1 and
// n2, a2 has n3 and n4, and a3 has n5.
class AgentCluster {
 public:
  // With `relayed`, the agents exchange gossip, and each reaches each other one through a relay of its own.
  // With `configured`, they distribute configuration versions, on top of a base file beside each manager's
  // configuration.
  explicit AgentCluster(const ClusterSpec& spec, std::size_t number = 3, bool relayed = false,
                        bool configured = false);
  ~AgentCluster();
  // Writes the agent's configuration file. `more` holds extra lines for the sections of its instances, by
  // name.
  void write_charter(const Agent& one, const std::map<std::string, std::string>& more = {});
  std::string command_of(std::size_t manager);  // the command line that starts the manager
  std::size_t owner_of(std::size_t manager) const { return manager / managers_each_; }
  // The instances that the agents report, by name.
  std::map<std::string, agent::v1::Instance> conditions();
  // These two ask repeatedly, since an agent may miss a deadline on a busy machine. They throw
  // TestClusterError if no agent reports the instance, or if `who` doesn't report `whom`, within 40 s.
  agent::v1::Instance seen(const std::string& name);
  agent::v1::Heard heard(std::size_t who, std::size_t whom);
  bool all_serve();  // whether all instances serve and no step is under way
  // Whether agent `who` has fresh gossip about all instances of agent `whom`, equal to what that one reports;
  // all_know() checks all pairs.
  bool has_current_gossip(std::size_t who, std::size_t whom);
  bool all_know();
  void describe(std::ostream& to);  // writes each agent's state and the end of its log
  // A rollout plan over all managers of the site.
  agent::v1::Plan plan(const std::string& id, const std::string& kind);

  TestCluster world;
  keys::Authority authority;
  std::vector<Agent> agents;
  std::unique_ptr<Relays> relays;
  // Pairs of agents: the charter of the first doesn't name the second.
  std::set<std::pair<std::string, std::string>> no_peers;
  std::set<std::string> no_instances;  // instances that no charter names

 private:
  const ClusterSpec spec_;
  const std::size_t managers_each_;
  const bool configured_;
};

}  // namespace pearchute::lab
