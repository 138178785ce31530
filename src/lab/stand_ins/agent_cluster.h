// Agents as processes over a small site: each with its charter, its certificate and its own instances, relays
// between them where that is asked for, and ways to ask them. It ends what it has started, by id.
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

template <class Condition>
bool wait_for(Condition condition, std::chrono::seconds at_most = std::chrono::seconds(40)) {
  const Time end = steady_now() + at_most;
  while (!condition()) {
    if (steady_now() > end) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

struct Agent {
  std::string name, program, charter, control, listen;
  pid_t process = -1;
  std::vector<std::pair<std::string, std::string>> environment;  // beside the laboratory's own
  std::unique_ptr<agent::v1::Agent::Stub> stub;
  ~Agent();
  Agent() = default;
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;
  void start();
  void end(int signal);
  std::optional<agent::v1::Shown> show();
  // What it knows of another; none where it does not say.
  std::optional<agent::v1::Heard> heard(const std::string& other);
  agent::v1::ClaimAnswer claim(const std::string& operation, std::vector<std::string> instances,
                               bool take_over);
  agent::v1::StepAnswer step(const std::string& instance, const std::string& operation, std::uint64_t fence);
  grpc::Status start_rollout(const agent::v1::Plan& plan, std::string* fault);
  std::string say(const std::string& id, const std::string& word);
  agent::v1::Rollout rollout(const std::string& id);
};

// The managers of a site under some agents, evenly: five under three are n1 and n2 under a1, n3 and n4 under
// a2, n5 under a3.
class AgentCluster {
 public:
  // With relays the agents exchange word, each by a relay of its own to each other one.
  // Where they are configured they spread versions of the configuration, over a base beside each manager's.
  explicit AgentCluster(const ClusterSpec& site, std::size_t number = 3, bool relayed = false,
                        bool configured = false);
  ~AgentCluster();
  // `more` are further lines of its instances' sections.
  void write_charter(const Agent& one, const std::map<std::string, std::string>& more = {});
  std::string command_of(std::size_t manager);
  std::size_t owner_of(std::size_t manager) const { return manager / managers_each_; }
  std::map<std::string, agent::v1::Instance> conditions();
  // On a full machine an agent may miss a deadline. Throws TestClusterError where nobody tells of it.
  agent::v1::Instance seen(const std::string& name);
  agent::v1::Heard heard(std::size_t who, std::size_t whom);
  bool all_serve();
  // Whether one knows another's instances as that one tells of them, and fresh; whether all do.
  bool knows_well(std::size_t who, std::size_t whom);
  bool all_know();
  void describe(std::ostream& to);  // what each agent shows, and the end of its log
  agent::v1::Plan plan(const std::string& id, const std::string& kind);

  TestCluster world;
  keys::Authority authority;
  std::vector<Agent> agents;
  std::unique_ptr<Relays> relays;
  std::set<std::pair<std::string, std::string>>
      no_peers;  // agents that the first one's charter does not name
  std::set<std::string> no_instances;

 private:
  const ClusterSpec site_;
  const std::size_t managers_each_;
  const bool configured_;
};

}  // namespace pearchute::lab
