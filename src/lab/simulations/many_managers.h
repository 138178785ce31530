// Simulates many managers over the same engines, to measure what they do together, which no single manager
// can see. Each manager is an instance of WorkloadManager, which takes all decisions; clock and engines are
// simulated, and equal seeds give equal runs. An engine shares its cores evenly among the threads that it
// runs. Some engines start cold.
#pragma once

#include <cstdint>
#include <memory>

#include "core/types.h"

namespace pearchute::lab {

class ManyManagers {
 public:
  // There are two types of requests: short ones on one thread and long ones on two.
  struct Shape {
    std::uint64_t seed = 1;
    int managers = 120, zones = 3;
    int engines = 20, cores = 8;           // cores: of each engine
    int cold = 0;                          // number of engines, the last ones, that start when the run starts
    double jobs_per_second = 1.5;          // requests at each manager
    double first_zone = 1;                 // traffic of a manager in the first zone over that of another
    double short_ms = 150, long_ms = 900;  // mean work, ms
    double long_part = 0.2;                // share of long requests
    double long_value = 20;                // priority weight of a long request; a short one has 1
    bool estimates = true;                 // requests have an estimate of their work
    Duration restart{};                    // when every second manager is restarted; 0: never
    Duration list_within{};                // time by which every manager has the cold engines in its list
    Duration lasts = std::chrono::seconds(14);  // length of the run
    Duration counted_from{};                    // threads on engines are counted from this time on
  };
  struct Seen {
    int taken[2] = {}, sent[2] = {}, done[2] = {};  // requests received, sent and succeeded, by type
    double cold_used = 0;  // work sent to cold engines over the slow-start limit of all windows of the run
    double cold_most = 0;  // the most work sent to a cold engine in a window, over the limit of a window
    // The most work sent to a cold engine in a window, as a number of requests of mean work, over
    // N + 2 sqrt(N) + 2, where N is the window's limit in such requests.
    double cold_bound = 0;
    double threads = 0;  // running on an engine, mean
    // Threads on the busiest engine and in the busiest zone, over the mean of all.
    double most_engine = 0, most_zone = 0;
    double calls = 0, call_us = 0;  // calls of WorkloadManager, and their mean wall time
  };
  explicit ManyManagers(const Shape& shape);
  ~ManyManagers();
  ManyManagers(const ManyManagers&) = delete;
  ManyManagers& operator=(const ManyManagers&) = delete;
  // Runs the whole simulation. Call once.
  Seen play();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace pearchute::lab
