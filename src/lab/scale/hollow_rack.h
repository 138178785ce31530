// The laboratory's side of one process of hollow hosts: starts it, asks it, and ends it by its id.
#pragma once

#include <sys/types.h>

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "lab/scale/hollow_hosts.h"

namespace pearchute::lab {

class HollowRack {
 public:
  // `program` is pearchute-lab; the spec's file and the log are written in its folder.
  HollowRack(std::string program, HollowHostsSpec spec, std::size_t number);
  ~HollowRack();
  HollowRack(const HollowRack&) = delete;
  HollowRack& operator=(const HollowRack&) = delete;

  // Returns at once. The first answer, unasked, is the incarnations of its agents.
  void start();
  void kill();  // at once, without a goodbye
  bool runs() const { return process_ > 0; }
  pid_t process() const { return process_; }
  const HollowHostsSpec& spec() const { return spec_; }

  // A command is sent first and its answer read later, so that all racks work on it at the same time.
  void send(const nlohmann::json& command);
  nlohmann::json receive();  // throws TestClusterError where none comes in time

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
