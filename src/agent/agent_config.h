// An agent's configuration (its charter), from an INI file: who it is, where its state is kept, its peers,
// and the instances that it owns.
#pragma once

#include <map>
#include <string>

#include "admin/place.h"
#include "keys/endpoint.h"
#include "keys/tls_files.h"

namespace pearchute::agent {

// An instance of this host, and how its manager is started.
struct OwnedInstance {
  // By version; each a shell command that stays in the foreground.
  std::map<int, std::string> commands;
  int initial_version = 1;  // of the command that is started at first
  bool starts = true;       // it is to run, until a step says otherwise
  admin::Place admin;       // its manager's admin channel
  std::string zone;
  std::string log;  // the file to which its output is appended; empty: none
  // The manager's configuration file, to which versions of the fleet's configuration are written, and the
  // file into which they are merged. Both empty: this instance takes no versions.
  std::string config_file;
  std::string config_base_file;
};

// Validated: what its fields state holds.
struct AgentConfig {
  std::string name;
  std::string state_file;       // an absolute path; the store's
  std::string zone;             // its own, unique over all regions
  bool gossips = false;         // exchanges status reports with its peers
  bool spreads_config = false;  // takes part in spreading versions of the fleet's configuration
  keys::Endpoint control;       // a Unix socket: whoever may open it may do everything
  keys::Endpoint listen;        // for everybody else, by their certificates; empty: nobody else
  keys::TlsFiles tls;
  std::map<std::string, OwnedInstance> instances;  // by name
  std::map<std::string, keys::Endpoint> peers;     // other agents, by name
  std::map<std::string, std::string> peer_zones;   // by name, of those whose zone is stated
};

// Throws ini::Error with file, line and what is wrong, ResourceShortage where the file can't be read now.
AgentConfig read_agent_config(const std::string& file);

}  // namespace pearchute::agent
