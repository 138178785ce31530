// Starts programs as children of the laboratory. The laboratory has many threads, and a forked child has only
// the forking one, while locks held by the others (such as the allocator's) stay locked. All memory is
// therefore allocated before the fork, and the child makes only system calls until it executes the program.
#pragma once

#include <sys/types.h>

#include <string>
#include <utility>
#include <vector>

namespace pearchute::lab {

struct ChildProcess {
  std::string program;
  std::vector<std::string> arguments;                            // after the program's own name
  std::vector<std::pair<std::string, std::string>> environment;  // in addition to the laboratory's
  std::string log;        // file to which standard output and error are appended; empty: the laboratory's
  int input = -1;         // descriptor of its standard input; -1: the laboratory's
  int output = -1;        // descriptor of its standard output, which takes precedence over the log
  bool inherits = false;  // keep descriptors that don't have FD_CLOEXEC; otherwise all but 0 to 2 are closed
};

// Starts the program and returns its process id. The child is killed when the thread that started it ends.
// Throws SystemError if no process can be created; a program that can't be executed exits with status 127.
pid_t start_child(const ChildProcess& child);

}  // namespace pearchute::lab
