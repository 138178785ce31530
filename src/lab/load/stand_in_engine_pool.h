// Stand-in engines for loads of thousands of statements a second: several threads with several engines on
// each. They speak the engines' protocol, run a statement for the time that it says (`work=` milliseconds) on
// a bounded number of cores, and tell the ExecutionChecker of each run. They don't fail; StandInEngine does.
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
  enum class ServiceTime { fixed, exponential };  // exponential: drawn, with the statement's time as its mean
  int engines = 2;
  int threads = 2;
  int cores = 8;            // of each engine
  double memory_mb = 8000;  // of each engine; what doesn't fit is turned away
  ServiceTime service_time = ServiceTime::fixed;
  std::uint64_t seed = 1;
  std::vector<std::string> once_classes;  // statements of these must not run twice
};

class StandInEnginePool {
 public:
  StandInEnginePool(const EnginePoolSpec& spec, ExecutionChecker& checker);
  ~StandInEnginePool();
  StandInEnginePool(const StandInEnginePool&) = delete;
  StandInEnginePool& operator=(const StandInEnginePool&) = delete;

  // Of each engine, in order; they hold as long as the pool.
  const std::vector<std::string>& addresses() const { return addresses_; }
  std::uint64_t begun() const { return begun_; }
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
  std::vector<std::vector<std::unique_ptr<Engine>>> engines_;  // by thread; reached on its loop only
};

}  // namespace pearchute::lab
