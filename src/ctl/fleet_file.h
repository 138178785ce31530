// The operators' list of instances, from an INI file: [fleet] with limits, and [instance NAME] for each one.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "admin/place.h"
#include "ctl/selector.h"
#include "keys/endpoint.h"
#include "keys/tls_files.h"

namespace pearchute::ctl {

struct Instance {
  Facts facts;
  admin::Place place;
  std::string start;  // a shell command that starts it; empty: somebody else does
};

struct AgentPlace {
  std::string name;
  keys::Endpoint control;
};

struct Fleet {
  std::vector<AgentPlace> agents;
  keys::TlsFiles tls;
  std::vector<Instance> instances;  // in the file's order
  std::chrono::milliseconds answers_within{2000};
  std::size_t at_once = 128;
};

// Throws ini::Error with file, line and what is wrong.
Fleet read_fleet(const std::string& file);

}  // namespace pearchute::ctl
