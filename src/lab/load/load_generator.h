// An open-loop load on one manager: several threads, each with an event loop, a schedule, a checker and kept
// HTTP connections of its own. Latency counts from the intended time of sending; the generator's own lag is
// measured beside it.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lab/load/load_result.h"
#include "net/event_loop_thread.h"

namespace pearchute::lab {

// A class of statements, and how each of them is asked for.
struct StatementClass {
  std::string name = "quick";
  std::string statement = "SELECT work=5 FROM a_1.t";
  std::chrono::milliseconds timeout{2000};
  double cost_ms = 5;
  double memory_mb = 8;
  double weight = 1;  // its share of the load
};

struct LoadGeneratorSpec {
  std::string manager;  // its address
  int threads = 3;
  std::uint64_t seed = 1;
  std::vector<StatementClass> classes;
  int kept_connections = 300;  // opened before the load begins, and used in turn
  int most_connections = 6000;
};

class LoadGenerator {
 public:
  explicit LoadGenerator(const LoadGeneratorSpec& spec);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  // Offers these steps one after the other, without a break, and returns once every statement has ended; its
  // own time and that of the longest deadline bound it. `at_boundary` is called at each step's start with its
  // index, and at the last one's end with the number of steps.
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
