// All processes of a scale run: the command channel with the endpoint list, stand-in engines and clients,
// real managers under real agents, and racks of hollow hosts. A hollow host is a simulated one: it runs the
// real control code of an agent and a manager, but starts no process and has no clients. ScaleCluster causes
// and ends faults, compares the gossip of every agent with the expected state, and kills the processes that
// it started, by id.
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "lab/checkers/process_usage.h"
#include "lab/scale/hollow_rack.h"
#include "lab/scale/scale_plan.h"
#include "lab/stand_ins/admin_endpoints.h"
#include "lab/stand_ins/agent_cluster.h"

namespace pearchute::lab {

// The slow-start rule of the real managers for engines that are new to the endpoint list.
ColdRule scale_cold_rule();

class ScaleCluster {
 public:
  // `programs` is the folder of pearchuted, pearchute-agent and pearchute-lab. Throws UsageError if the run
  // needs too many processes, and TestClusterError if a rack doesn't start.
  ScaleCluster(const ScalePlan& plan, const std::string& programs, std::uint64_t seed);
  ~ScaleCluster();
  ScaleCluster(const ScaleCluster&) = delete;
  ScaleCluster& operator=(const ScaleCluster&) = delete;

  TestCluster& world() { return cluster_; }
  std::size_t managers() const { return static_cast<std::size_t>(plan_.managers()); }

  void kill_racks(const std::set<std::size_t>& racks);
  void start_racks(const std::set<std::size_t>& racks);  // returns once their agents run
  std::set<std::string> agents_of(const std::set<std::size_t>& racks) const;
  void restart_hosts(const std::vector<PlannedHost>& hosts);
  void restart_real_agent(std::size_t number);
  // While the regions are cut off, the agents of one region connect to a silent socket instead of the agents
  // of the other. Messages that are already on their way still arrive.
  void cut_regions(bool cut);

  // The number of managers, real and hollow, that have the version with this digest in force.
  std::size_t managers_in_force(const std::string& digest);
  // Publishes a configuration version at a real agent. Returns an empty string and sets `digest` if the
  // version is accepted, else the reason. With an empty `parent` the version starts an epoch.
  std::string publish(const std::string& content, const std::string& parent, std::string& digest);

  // Compares the gossip of all running agents, hollow and real.
  GossipComparison compare_all_gossip(const ExpectedGossip& expected);
  // Waits until every agent has fresh gossip of every other one. Returns the time since `since`, or nothing
  // if it exceeds `timeout`.
  std::optional<std::chrono::milliseconds> until_all_fresh(Time since, std::chrono::seconds timeout);

  // The bytes that each agent has sent so far, by name, as counted by the hollow agents.
  std::map<std::string, std::uint64_t> bytes_sent();
  struct Usage {
    ProcessUsage used;
    std::size_t shared_by = 1;  // number of managers, each with its agent
  };
  std::vector<Usage> hollow_usage() const;      // of each rack
  std::vector<Usage> real_agent_usage() const;  // of each real agent
  std::vector<Usage> real_manager_usage();
  std::size_t processes() const;
  double memory_share();  // share of the machine's memory, including this process

 private:
  void write_agent_configuration(std::size_t number, bool cut);
  void command_all(const nlohmann::json& command, std::vector<nlohmann::json>* answers = nullptr);
  GossipComparison compare_gossip_of_real_agents(const ExpectedGossip& expected);
  void record_incarnations(const nlohmann::json& incarnations);

  const ScalePlan plan_;
  const std::string programs_;
  TestCluster cluster_;
  std::unique_ptr<SilentPlace> silent_;
  std::vector<std::unique_ptr<Agent>> real_agents_;
  std::vector<std::unique_ptr<HollowRack>> racks_;
  std::map<std::string, std::uint64_t> incarnations_;  // of the hollow agents, by name
};

}  // namespace pearchute::lab
