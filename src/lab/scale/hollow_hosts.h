// The operating-system process of one rack of hollow hosts, and what the laboratory says to it: one JSON
// object a line on its standard input, answered by one on its standard output. It ends when its input does.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <vector>

#include "lab/scale/scale_plan.h"

namespace pearchute::lab {

// What a process of hollow hosts is given at its start.
struct HollowHostsSpec {
  std::string folder;                 // of the sockets and of the agents' state
  std::string manager_configuration;  // of a real manager: channel and settings are taken from it
  std::string silent_socket;          // takes connections and answers none: whatever lies beyond a cut
  std::uint64_t seed = 1;
  std::size_t engine_connections = 2;  // of each manager
  std::vector<PlannedHost> hosts;
  std::map<std::string, Region> regions;     // of all agents, by name
  std::map<std::string, std::string> zones;  // the same
};
nlohmann::json to_json(const HollowHostsSpec& spec);
HollowHostsSpec hollow_hosts_spec(const nlohmann::json& json);  // throws nlohmann::json::exception

std::string agent_socket(const std::string& folder, const std::string& agent);
std::string manager_socket(const std::string& folder, const std::string& manager);

enum class HollowCommand { look, cut, heal, restart, configuration };
std::string_view name_of(HollowCommand command);

// What is looked for: agents that are down for now, whether the regions are cut off from each other, and
// under which incarnation an agent speaks, as far as that is known.
struct Expected {
  std::set<std::string> down;
  bool regions_cut = false;
  std::map<std::string, std::uint64_t> incarnations;
  // Whether `observer` has a way to `agent`.
  bool reaches(const std::map<std::string, Region>& regions, const std::string& observer,
               const std::string& agent) const;
};

// What some observers know of all agents, against what is expected.
struct Knowledge {
  std::size_t observers = 0;
  std::size_t not_fresh = 0;       // pairs: one that is reached is not known as fresh
  std::size_t stale_as_fresh = 0;  // pairs: one that can't have been heard is called fresh
  void add(const Knowledge& other);
};

// What one observer knows: of each agent that it calls fresh, the incarnation.
Knowledge compare(const std::map<std::string, Region>& regions, const std::string& observer,
                  const std::map<std::string, std::uint64_t>& fresh, const Expected& expected);

// The process itself; returns its exit status.
int run_hollow_hosts(const std::string& spec_file);

}  // namespace pearchute::lab
