// An agent's configuration, read from the INI file that the option --charter names: the agent's name, state
// file and addresses, its peers, and the instances that it owns.
#pragma once

#include <map>
#include <string>

#include "admin/endpoint.h"
#include "keys/endpoint.h"
#include "keys/tls_files.h"

namespace pearchute::agent {

// An instance that the agent owns, and how the instance's manager is started.
struct OwnedInstance {
  // By version; each is a shell command that runs in the foreground.
  std::map<int, std::string> commands;
  int initial_version = 1;  // of the command that runs until a step changes it
  bool starts = true;       // whether the instance is to run, until a step changes that
  admin::Endpoint admin;    // of the manager's admin channel
  std::string zone;
  std::string log;  // file to which the manager's output is appended; empty: the output is discarded
  // The manager's configuration file, beside which candidates of the fleet's configuration versions are
  // written, and the base file into which each version is merged. Both are empty if the instance takes no
  // versions.
  std::string config_file;
  std::string config_base_file;
};

// The validated contents of the file.
struct AgentConfig {
  std::string name;
  std::string state_file;       // absolute path of the store
  std::string zone;             // of this agent; zone names are unique over all regions
  bool gossips = false;         // whether the agent exchanges status reports with its peers
  bool spreads_config = false;  // whether it exchanges versions of the fleet's configuration with its peers
  keys::Endpoint control;       // a Unix socket; a caller that may open it is authorized for everything
  keys::Endpoint listen;        // a TLS address, which authorizes callers by certificate; empty: none
  keys::TlsFiles tls;
  std::map<std::string, OwnedInstance> instances;  // by name
  std::map<std::string, keys::Endpoint> peers;     // other agents, by name
  std::map<std::string, std::string> peer_zones;   // by agent; only for peers whose zone is configured
};

// Throws ini::Error, which names the file, the line and the fault, and ResourceShortage if the file can't be
// read because memory, descriptors or the like have temporarily run out.
AgentConfig read_agent_config(const std::string& file);

}  // namespace pearchute::agent
