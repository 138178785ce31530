#include "lab/load/open_loop_schedule.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pearchute::lab {

namespace {

void check(const std::vector<LoadStep>& steps, const std::vector<double>& class_weights) {
  for (const LoadStep& step : steps) {
    if (!std::isfinite(step.per_second) || step.per_second < 0)
      throw LoadError("expected a rate of 0 or more, got " + std::to_string(step.per_second), "load step",
                      "give statements per second");
    if (step.duration.count() < 0)
      throw LoadError("expected a duration of 0 ms or more, got " + std::to_string(step.duration.count()),
                      "load step", "give milliseconds");
  }
  double total = 0;
  for (const double weight : class_weights) {
    if (!std::isfinite(weight) || weight < 0)
      throw LoadError("expected a weight of 0 or more, got " + std::to_string(weight), "statement class",
                      "give a finite weight");
    total += weight;
  }
  if (total <= 0)
    throw LoadError("no class has a weight above 0", "statement class",
                    "give at least one class a weight above 0");
}

}  // namespace

OpenLoopSchedule::OpenLoopSchedule(std::vector<LoadStep> steps, const std::vector<double>& class_weights,
                                   std::uint64_t seed)
    : steps_(std::move(steps)), random_(static_cast<std::knuth_b::result_type>(seed)) {
  check(steps_, class_weights);
  class_of_ = std::discrete_distribution<std::size_t>(class_weights.begin(), class_weights.end());
}

double OpenLoopSchedule::step_end() const {
  return step_start_ + std::chrono::duration<double>(steps_[step_].duration).count();
}

// An exponential gap that reaches beyond the end of a step is drawn again from the start of the next one. A
// Poisson process has no memory, so the arrivals of each step have its own rate.
std::optional<ScheduledStatement> OpenLoopSchedule::next() {
  while (step_ < steps_.size()) {
    const double rate = steps_[step_].per_second;
    if (rate > 0) {
      const double drawn = std::max(std::generate_canonical<double, 53>(random_), 1e-12);
      at_ += -std::log(drawn) / rate;
    }
    if (rate > 0 && at_ < step_end()) {
      const auto at = std::chrono::microseconds(std::llround(at_ * 1e6));
      return ScheduledStatement{at, step_, class_of_(random_)};
    }
    step_start_ = step_end();
    at_ = step_start_;
    ++step_;
  }
  return std::nullopt;
}

std::chrono::milliseconds total_time(const std::vector<LoadStep>& steps) {
  std::chrono::milliseconds total{};
  for (const LoadStep& step : steps) total += step.duration;
  return total;
}

}  // namespace pearchute::lab
