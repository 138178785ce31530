// The fleet file of pearchutectl: an INI file that lists the instances and agents, with the sections [fleet]
// for limits, [tls], [agent NAME] and [instance NAME].
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "admin/endpoint.h"
#include "ctl/selector.h"
#include "keys/endpoint.h"
#include "keys/tls_files.h"

namespace pearchute::ctl {

// A manager, with the facts that a selector can test.
struct Instance {
  Facts facts;
  admin::Endpoint admin_endpoint;
  std::string start_command;  // a shell command; empty: something else starts the manager
};

// The address at which an agent accepts remote calls.
struct AgentAddress {
  std::string name;
  keys::Endpoint control;
};

// The validated content of a fleet file.
struct Fleet {
  std::vector<AgentAddress> agents;
  keys::TlsFiles tls;
  std::vector<Instance> instances;  // in the order of the file
  std::chrono::milliseconds call_timeout{2000};
  std::size_t max_parallel_calls = 128;  // calls in flight at a time
};

// Throws ini::Error with the file, the line and the fault; ResourceShortage where the file cannot be read for
// the moment.
Fleet read_fleet(const std::string& file);

}  // namespace pearchute::ctl
