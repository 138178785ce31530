// The target of a load generator, on loopback: one manager as a real process, a pool of stand-in engines and
// the command channel with the endpoint list. It ends the processes that it started, by id.
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

// The manager's classes of statements. If not all can be served, those of a higher value are preferred.
inline constexpr const char* class_of_low_value = "quick";    // value 1, idempotent
inline constexpr const char* class_of_high_value = "report";  // value 10, idempotent
inline constexpr const char* class_run_once = "once";         // value 2, not idempotent

struct LoadClusterSpec {
  std::string pearchuted;  // path of the program
  EnginePoolSpec engines;
  int sockets =
      12'288;  // the manager's limit of descriptors; clients may use half of them, open statements a third
  int memory_mb = 256;
  std::chrono::milliseconds longest_timeout{4000};
  std::chrono::milliseconds sla_time{600};  // a statement that can't be finished in it is rejected at once
  std::uint64_t seed = 1;
};

class LoadCluster {
 public:
  // Returns once the manager serves. Throws TestClusterError if it doesn't within 20 seconds.
  explicit LoadCluster(const LoadClusterSpec& spec);
  ~LoadCluster();
  LoadCluster(const LoadCluster&) = delete;
  LoadCluster& operator=(const LoadCluster&) = delete;

  const std::string& manager_address() const { return manager_address_; }
  pid_t manager_process() const { return process_; }
  bool manager_runs();
  // From the start of the process to the first successful check.
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
