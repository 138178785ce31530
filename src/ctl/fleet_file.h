// The operators' list of instances and agents, from an INI file: [fleet] with limits, [tls], [agent NAME] and
// [instance NAME].
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "admin/endpoint.h"
#include "ctl/selector.h"
#include "keys/endpoint.h"
#include "keys/tls_files.h"

namespace pearchute::ctl {

// A manager, and what a selector knows of it.
struct Instance {
  Facts facts;
  admin::Endpoint place;      // its admin channel
  std::string start_command;  // a shell command; empty: somebody else starts it
};

// Where an agent takes remote calls.
struct AgentAddress {
  std::string name;
  keys::Endpoint control;
};

// The whole file, validated.
struct Fleet {
  std::vector<AgentAddress> agents;
  keys::TlsFiles tls;
  std::vector<Instance> instances;                 // in the file's order
  std::chrono::milliseconds answers_within{2000};  // of one call
  std::size_t at_once = 128;                       // instances called at a time
};

// Throws ini::Error with file, line and what is wrong, ResourceShortage where the file can't be read now.
Fleet read_fleet(const std::string& file);

}  // namespace pearchute::ctl
