// One manager as a real process, a pool of stand-in engines and the channel of the engine list, on loopback:
// what a load generator is pointed at. It ends what it has started, by id.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "lab/load/load_checker.h"
#include "lab/load/stand_in_engine_pool.h"
#include "lab/stand_ins/engine_list_channel.h"
#include "net/event_loop_thread.h"

namespace pearchute::lab {

// The manager's classes, with their value.
inline constexpr const char* class_of_low_value = "quick";    // worth 1, restartable
inline constexpr const char* class_of_high_value = "report";  // worth 10, restartable
inline constexpr const char* class_run_once = "once";         // worth 2, must not run twice

struct LoadClusterSpec {
  std::string pearchuted;  // the program
  EnginePoolSpec engines;
  int sockets = 12'288;  // the manager's descriptors; clients hold half of them, open statements a third
  int memory_mb = 256;
  std::chrono::milliseconds longest_timeout{4000};
  std::chrono::milliseconds sla_time{600};  // a statement that can't be done in it is turned away at once
  std::uint64_t seed = 1;
};

class LoadCluster {
 public:
  explicit LoadCluster(
      const LoadClusterSpec& spec);  // throws TestClusterError where the manager doesn't serve
  ~LoadCluster();
  LoadCluster(const LoadCluster&) = delete;
  LoadCluster& operator=(const LoadCluster&) = delete;

  const std::string& manager_address() const { return manager_address_; }
  pid_t manager_process() const { return process_; }
  bool manager_runs();
  // From the start of the process to the first check that says that it is ready.
  std::chrono::milliseconds time_to_ready() const { return time_to_ready_; }
  StandInEnginePool& engines() { return *engines_; }
  ExecutionChecker& executions() { return executions_; }

 private:
  std::vector<StandInChannel::Member> members() const;
  void write_configuration() const;
  void start();
  void stop();
  void wait_until_ready();

  const LoadClusterSpec spec_;
  std::string folder_, configuration_, log_, manager_address_;
  ExecutionChecker executions_;
  std::unique_ptr<StandInEnginePool> engines_;
  net::EventLoopThread channel_thread_;
  std::unique_ptr<StandInChannel> channel_;
  pid_t process_ = -1;
  std::chrono::milliseconds time_to_ready_{};
};

}  // namespace pearchute::lab
