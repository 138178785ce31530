// An open-loop load on one manager. Several threads each have their own event loop, schedule, checker and
// keep-alive HTTP connections. Latencies count from the intended time of sending; the generator's own delay
// is measured separately as lag.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lab/load/load_result.h"
#include "net/event_loop_thread.h"

namespace pearchute::lab {

// A class of statements, with the fields of its requests.
struct StatementClass {
  std::string name = "quick";
  std::string statement = "SELECT work=5 FROM a_1.t";
  std::chrono::milliseconds timeout{2000};
  double cost_ms = 5;    // estimate in the request
  double memory_mb = 8;  // estimate in the request
  double weight = 1;     // share of the load, relative to the other classes
};

struct LoadGeneratorSpec {
  std::string manager;  // address
  int threads = 3;
  std::uint64_t seed = 1;
  std::vector<StatementClass> classes;
  int kept_connections = 300;  // opened before the load starts, and used in turn
  int max_connections = 6000;  // a statement that finds them all in use is not sent
};

class LoadGenerator {
 public:
  // Opens the kept connections. Throws LoadError if they are not open within ten seconds.
  explicit LoadGenerator(const LoadGeneratorSpec& spec);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  // Offers the steps one after another without a pause, and returns once every statement has ended, or some
  // seconds after the last deadline. `at_boundary` is called with the index of each step at its start, and
  // with the number of steps at the end of the last one. Throws LoadError as OpenLoopSchedule does.
  LoadResult run(const std::vector<LoadStep>& steps,
                 const std::function<void(std::size_t)>& at_boundary = {});
  std::size_t open_connections();

 private:
  class Worker;

  void open_kept_connections();

  const LoadGeneratorSpec spec_;
  std::vector<std::unique_ptr<net::EventLoopThread>> threads_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::uint64_t run_ = 0;
};

}  // namespace pearchute::lab
