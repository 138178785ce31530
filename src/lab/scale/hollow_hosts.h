// The operating-system process of one rack of hollow hosts. A hollow host is simulated: it has a hollow
// agent, which runs the real control code of pearchute-agent but starts no process, and a hollow manager,
// which has the real admin channel, endpoint-list subscription and a few engine connections of pearchuted,
// but no clients.
//
// The laboratory writes each command to the standard input of the process, as a JSON object on one line. The
// process answers each command with a JSON object on one line of its standard output. It ends at the end of
// its input.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <vector>

#include "lab/scale/scale_plan.h"

namespace pearchute::lab {

// The settings of a process of hollow hosts, passed in a file.
struct HollowHostsSpec {
  std::string folder;                 // of the sockets and the agents' databases
  std::string manager_configuration;  // file of a real manager, the source of the channel and the settings
  // Accepts connections and never answers; stands for the agents of a region that is cut off.
  std::string silent_socket;
  std::uint64_t seed = 1;
  std::size_t engine_connections = 2;  // of each manager
  std::vector<PlannedHost> hosts;
  std::map<std::string, Region> regions;     // by the name of the agent, for all agents
  std::map<std::string, std::string> zones;  // likewise
};
nlohmann::json to_json(const HollowHostsSpec& spec);
HollowHostsSpec hollow_hosts_spec(const nlohmann::json& json);  // throws nlohmann::json::exception

std::string agent_socket(const std::string& folder, const std::string& agent);
std::string manager_socket(const std::string& folder, const std::string& manager);

// The enumerators have the names of the commands:
// look: compare the gossip of the agents with the expected state;
// cut, heal: disconnect the regions from each other, and connect them again;
// restart: restart some agents and their managers;
// configuration: count the managers at which a version is in force.
enum class HollowCommand { look, cut, heal, restart, configuration };
std::string_view name_of(HollowCommand command);

// The state that gossip is compared with: the agents that are down, whether the regions are cut off from each
// other, and the current incarnations of the agents, as far as they are known.
struct ExpectedGossip {
  std::set<std::string> down;
  bool regions_cut = false;
  std::map<std::string, std::uint64_t> incarnations;
  // Whether `agent` is up and `observer` can reach it.
  bool can_reach(const std::map<std::string, Region>& regions, const std::string& observer,
                 const std::string& agent) const;
};

// The differences between some observers' gossip and the expected state.
struct GossipComparison {
  std::size_t observers = 0;
  // Pairs of an observer and an agent that it can reach, without fresh gossip.
  std::size_t not_fresh = 0;
  // Pairs of an observer and an agent that it can't reach, with gossip marked fresh.
  std::size_t stale_as_fresh = 0;
  void add(const GossipComparison& other);
};

// Compares the gossip of one observer. `fresh` has the incarnation of each agent whose gossip it marks fresh.
GossipComparison compare_gossip(const std::map<std::string, Region>& regions, const std::string& observer,
                                const std::map<std::string, std::uint64_t>& fresh,
                                const ExpectedGossip& expected);

// Runs the process until the end of its input. Does not return; throws if the file can't be read or is
// invalid.
int run_hollow_hosts(const std::string& spec_file);

}  // namespace pearchute::lab
