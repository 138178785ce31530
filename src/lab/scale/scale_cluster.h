// All processes of a scale run: a channel of the engine list, stand-in engines and clients, real managers
// under real agents, and racks of hollow hosts beside them. It strikes and mends, looks at what every agent
// knows, and ends what it has started, by id.
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

// The rule that real managers are given for engines that are new to the list.
ColdRule scale_cold_rule();

class ScaleCluster {
 public:
  // `programs` is the folder of pearchuted, pearchute-agent and pearchute-lab.
  ScaleCluster(const ScalePlan& plan, const std::string& programs, std::uint64_t seed);
  ~ScaleCluster();
  ScaleCluster(const ScaleCluster&) = delete;
  ScaleCluster& operator=(const ScaleCluster&) = delete;

  TestCluster& world() { return world_; }
  std::size_t managers() const { return static_cast<std::size_t>(plan_.managers()); }

  void kill_racks(const std::set<std::size_t>& racks);
  void start_racks(const std::set<std::size_t>& racks);  // returns once they answer
  std::set<std::string> agents_of(const std::set<std::size_t>& racks) const;
  void restart_hosts(const std::vector<PlannedHost>& hosts);
  void restart_real_agent(std::size_t number);
  // Agents of one region reach a silent socket in place of each agent of the other. What is already on its
  // way still arrives.
  void cut_regions(bool cut);

  // How many managers, real and hollow, have a version of the configuration in force.
  std::size_t managers_in_force(const std::string& digest);
  // At a real agent. Empty where it is taken, else why not; `digest` is that of the version.
  std::string publish(const std::string& content, const std::string& parent, std::string& digest);

  Knowledge look(const Expected& expected);
  // Until every agent knows every other one as fresh; none where that takes longer than `within`.
  // Counted from `since`, on the machine's steady clock.
  std::optional<std::chrono::milliseconds> until_all_fresh(Time since, std::chrono::seconds within);

  // Bytes that each agent has sent so far, as counted at the hollow ones.
  std::map<std::string, std::uint64_t> bytes_sent();
  struct Usage {
    ProcessUsage used;
    std::size_t shared_by = 1;  // managers with their agents
  };
  std::vector<Usage> hollow_usage() const;      // of each rack
  std::vector<Usage> real_agent_usage() const;  // of each real agent
  std::vector<Usage> real_manager_usage();
  std::size_t processes() const;
  double memory_share();  // of the machine, the laboratory's own process included

 private:
  void write_charter(std::size_t number, bool cut);
  void ask_all(const nlohmann::json& command, std::vector<nlohmann::json>* answers = nullptr);
  Knowledge look_at_real(const Expected& expected);
  void learn_incarnations(const nlohmann::json& told);

  const ScalePlan plan_;
  const std::string programs_;
  TestCluster world_;
  std::unique_ptr<SilentPlace> silent_;
  std::vector<std::unique_ptr<Agent>> real_agents_;
  std::vector<std::unique_ptr<HollowRack>> racks_;
  std::map<std::string, std::uint64_t> incarnations_;  // of the hollow agents, by name
};

}  // namespace pearchute::lab
