// Starts programs as children of the laboratory. The laboratory has many threads, and a child has only the
// one that forked it, while locks of the others stay taken: so all that needs memory is made before the fork,
// and the child makes nothing but system calls until it is the other program.
#pragma once

#include <sys/types.h>

#include <string>
#include <utility>
#include <vector>

namespace pearchute::lab {

struct ChildProcess {
  std::string program;
  std::vector<std::string> arguments;                            // behind the program's own name
  std::vector<std::pair<std::string, std::string>> environment;  // beside the laboratory's own
  std::string log;  // what it writes to standard output and error is appended; empty: as the laboratory's
  int input = -1;   // a descriptor for its standard input; -1: as the laboratory's
  int output = -1;  // the same for its standard output, before the log
  bool inherits = false;  // keeps descriptors that are not closed on exec
};

// Its id. It ends with the thread that has started it. Throws SystemError where there is no process for it; a
// program that can't be run ends with status 127.
pid_t start_child(const ChildProcess& child);

}  // namespace pearchute::lab
