// Stand-in engines for loads of thousands of statements per second: several threads with several engines on
// each. They speak the engines' protocol, run a statement for the time that it names (`work=` milliseconds)
// on a bounded number of cores, and report each run to the ExecutionChecker. They inject no faults;
// StandInEngine does.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lab/load/load_checker.h"
#include "net/event_loop_thread.h"

namespace pearchute::lab {

struct EnginePoolSpec {
  // exponential: random, with the statement's time as the mean.
  enum class ServiceTime { fixed, exponential };
  int engines = 2;
  int threads = 2;
  int cores = 8;            // of each engine
  double memory_mb = 8000;  // of each engine; a statement whose grant doesn't fit is rejected
  ServiceTime service_time = ServiceTime::fixed;
  std::uint64_t seed = 1;
  std::vector<std::string> once_classes;  // classes that are not idempotent
};

class StandInEnginePool {
 public:
  // `checker` must outlive the pool.
  StandInEnginePool(const EnginePoolSpec& spec, ExecutionChecker& checker);
  ~StandInEnginePool();
  StandInEnginePool(const StandInEnginePool&) = delete;
  StandInEnginePool& operator=(const StandInEnginePool&) = delete;

  // By the number of the engine; constant as long as the pool exists.
  const std::vector<std::string>& addresses() const { return addresses_; }
  std::uint64_t begun() const { return begun_; }  // attempts received
  std::uint64_t cancelled() const { return cancelled_; }
  std::uint64_t connections() const { return connections_; }  // open now

 private:
  class Engine;
  class Connection;

  const EnginePoolSpec spec_;
  ExecutionChecker& checker_;
  std::atomic<std::uint64_t> begun_ = 0, cancelled_ = 0, connections_ = 0;
  std::vector<std::string> addresses_;
  std::vector<std::unique_ptr<net::EventLoopThread>> threads_;
  std::vector<std::vector<std::unique_ptr<Engine>>> engines_;  // by thread; used on its loop only
};

}  // namespace pearchute::lab
