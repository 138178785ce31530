// When each statement of an open-loop load is meant to be sent. Arrivals are a Poisson process whose rate
// goes in steps; the times don't depend on answers, so that latency can be counted from them without
// coordinated omission. Pure: no clock; the same seed gives the same schedule.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "errors/error.h"

namespace pearchute::lab {

// A load that can't be offered: a rate, a time or a weight that is negative or no number.
using LoadError = ErrorOf<ErrorKind::usage>;

struct LoadStep {
  double per_second = 0;  // 0: a pause
  std::chrono::milliseconds lasts{};
};

struct ScheduledStatement {
  std::chrono::microseconds at{};  // from the start of the first step
  std::size_t step = 0;
  std::size_t class_index = 0;
};

class OpenLoopSchedule {
 public:
  // Each statement is of a class drawn by weight. Throws LoadError.
  OpenLoopSchedule(std::vector<LoadStep> steps, const std::vector<double>& class_weights, std::uint64_t seed);
  // The next in order of time; nothing once the last step is over.
  std::optional<ScheduledStatement> next();

 private:
  double step_end() const;  // in seconds

  std::vector<LoadStep> steps_;
  std::knuth_b random_;
  std::discrete_distribution<std::size_t> class_of_;
  std::size_t step_ = 0;
  double step_start_ = 0;  // in seconds
  double at_ = 0;
};

std::chrono::milliseconds total_time(const std::vector<LoadStep>& steps);

}  // namespace pearchute::lab
