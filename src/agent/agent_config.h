// An agent's charter, from an INI file: who it is, where its state is, and the instances that it owns.
#pragma once

#include <map>
#include <string>

#include "admin/place.h"
#include "keys/reach.h"

namespace pearchute::agent {

struct Owned {
  std::map<int, std::string> commands;  // by version; a shell command that stays in the foreground
  admin::Place admin;
  std::string zone, log;
  bool wanted = true;  // to run, until a step says otherwise
  int version = 1;     // of the command at first
  // The manager's configuration file, which versions of the fleet's configuration are written to, and what
  // they are merged into; both empty: this instance takes none.
  std::string configuration, configuration_base;
};

struct AgentConfig {
  std::string name, state;
  bool exchanges = false;   // word of the instances with its peers
  bool configures = false;  // takes part in spreading versions of the configuration
  std::string zone;         // its own, unique over all regions
  keys::Reach control;      // a Unix socket: whoever may open it may do all
  keys::Reach listen;       // besides, for others, by their certificates; empty: nobody else
  keys::Files tls;
  std::map<std::string, Owned> instances;
  std::map<std::string, keys::Reach> peers;  // other agents, by name
  std::map<std::string, std::string> peer_zones;
};

// Throws ini::Error with file, line and what is wrong.
AgentConfig read_agent_config(const std::string& file);

}  // namespace pearchute::agent
