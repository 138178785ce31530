// Many managers as instances of the decision module over the same engines, on a simulated clock, the same by
// seed: what all of them do together, which none of them sees. Engines share their cores evenly among the
// threads that they run, and start cold where the shape says so. Never decides anything for a manager.
#pragma once

#include <cstdint>
#include <memory>

#include "core/types.h"

namespace pearchute::lab {

class ManyManagers {
 public:
  // Two types of jobs: short ones on one thread and long ones on two.
  struct Shape {
    std::uint64_t seed = 1;
    int managers = 120, zones = 3;
    int engines = 20, cold = 0, cores = 8;  // the last `cold` of them start at zero
    double jobs_per_second = 1.5;           // at a manager
    double first_zone = 1;                  // how many times others' traffic its managers get
    double short_ms = 150, long_ms = 900;   // mean work
    double long_part = 0.2;                 // of the jobs
    double long_value = 20;                 // of a short one's
    bool estimates = true;                  // jobs tell the work that they need
    Duration restart{};                     // when every second manager starts anew; 0: none
    Duration list_within{};                 // by when each manager has heard of the cold engines
    Duration lasts = std::chrono::seconds(14);
    Duration counted_from{};  // threads on engines are counted from then on
  };
  struct Seen {
    int taken[2] = {}, sent[2] = {}, done[2] = {};  // by type
    double cold_used = 0;   // of what may be sent to cold engines in all, by the stated rule
    double cold_most = 0;   // the same of any cold engine in its worst window
    double cold_bound = 0;  // that window in jobs of mean work, N stated: against N + 2 x root of N + 2
    double threads = 0;     // on an engine
    double most_engine = 0, most_zone = 0;  // threads there, against the mean of all
    double calls = 0, call_us = 0;          // into the module; on this machine
  };
  explicit ManyManagers(const Shape& shape);
  ~ManyManagers();
  ManyManagers(const ManyManagers&) = delete;
  ManyManagers& operator=(const ManyManagers&) = delete;
  Seen play();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace pearchute::lab
