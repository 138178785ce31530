// The intended time of sending of each statement of an open-loop load. Arrivals are a Poisson process whose
// rate changes in steps. The times don't depend on answers, so latencies that count from them have no
// coordinated omission. Pure: no clock; the same seed gives the same schedule.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "errors/error.h"

namespace pearchute::lab {

// A load that can't be offered, such as one with a negative rate.
using LoadError = ErrorOf<ErrorKind::usage>;

struct LoadStep {
  double per_second = 0;  // statements; 0 is a pause
  std::chrono::milliseconds duration{};
};

struct ScheduledStatement {
  std::chrono::microseconds at{};  // from the start of the first step
  std::size_t step = 0;
  std::size_t class_index = 0;
};

class OpenLoopSchedule {
 public:
  // The class of each statement is drawn by weight. Throws LoadError if a rate, a duration or a weight is
  // negative or not finite, or if no weight is above 0.
  OpenLoopSchedule(std::vector<LoadStep> steps, const std::vector<double>& class_weights, std::uint64_t seed);
  // Returns the next statement in order of time; nothing after the last step.
  std::optional<ScheduledStatement> next();

 private:
  double step_end() const;  // in seconds

  std::vector<LoadStep> steps_;
  std::knuth_b random_;
  std::discrete_distribution<std::size_t> class_of_;
  std::size_t step_ = 0;
  double step_start_ = 0;  // in seconds
  double at_ = 0;          // of the latest arrival, in seconds
};

std::chrono::milliseconds total_time(const std::vector<LoadStep>& steps);

}  // namespace pearchute::lab
