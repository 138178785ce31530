// An agent's charter, from an INI file: who it is, where its state is, and the instances that it owns.
#pragma once

#include <map>
#include <string>

#include "admin/place.h"

namespace pearchute::agent {

struct Owned {
  std::map<int, std::string> commands;  // by version; a shell command that stays in the foreground
  admin::Place admin;
  std::string zone, log;
  bool wanted = true;  // to run, until a step says otherwise
  int version = 1;     // of the command at first
};

struct Charter {
  std::string name, state;
  admin::Place control;  // where its own operators reach it
  std::map<std::string, Owned> instances;
  std::map<std::string, std::string> peers;  // other agents' control places, by name
};

// Throws ini::Fault with file, line and what is wrong.
Charter read_charter(const std::string& file);

}  // namespace pearchute::agent
