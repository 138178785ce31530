// The laboratory's side of one process of hollow hosts: starts it, sends it commands, and kills it by its id.
// A hollow host is a simulated one: it runs the real control code of an agent and a manager, but starts no
// process and has no clients.
#pragma once

#include <sys/types.h>

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "lab/scale/hollow_hosts.h"

namespace pearchute::lab {

class HollowRack {
 public:
  // `program` is the path of pearchute-lab. The file of the spec and the log are written to `spec.folder`.
  HollowRack(std::string program, HollowHostsSpec spec, std::size_t number);
  ~HollowRack();
  HollowRack(const HollowRack&) = delete;
  HollowRack& operator=(const HollowRack&) = delete;

  // Returns at once. The first answer, which needs no command, has the incarnations of the agents. Throws
  // SystemError.
  void start();
  void kill();  // with SIGKILL; does nothing if it does not run
  bool is_running() const { return process_ > 0; }
  pid_t process() const { return process_; }
  const HollowHostsSpec& spec() const { return spec_; }

  // The answer is read separately, so that all racks can work on a command at the same time. Throws
  // TestClusterError if the process does not read.
  void send(const nlohmann::json& command);
  nlohmann::json receive();  // throws TestClusterError after 60 s

 private:
  void close_pipes();

  const std::string program_, file_, log_;
  HollowHostsSpec spec_;
  std::uint64_t starts_ = 0;
  pid_t process_ = -1;
  int input_ = -1, output_ = -1;
  std::string read_ahead_;
};

}  // namespace pearchute::lab
