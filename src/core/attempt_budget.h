// The rule on further attempts, as it binds one manager: in any window of the stated length no more than a
// stated few and a stated share of the requests that it took in it. No I/O, no clock.
#pragma once

#include <deque>
#include <optional>

#include "core/types.h"

namespace pearchute {

class AttemptBudget {
 public:
  AttemptBudget() = default;
  explicit AttemptBudget(const ServiceDefinition& service)
      : window_(service.retry_budget_window),
        few_(service.retry_budget_minimum),
        share_(service.retry_budget_ratio) {}
  void request_taken(TimePoint now) {
    if (window_) taken_.push_back(now), forget(now, taken_);
  }
  bool forbids_further(TimePoint now) const {
    if (!window_) return false;
    const auto within = [&](const std::deque<TimePoint>& times) {
      std::size_t count = 0;
      for (auto at = times.rbegin(); at != times.rend() && *at >= now - *window_; ++at) ++count;
      return static_cast<double>(count);
    };
    return within(further_) + 1 > few_ + share_ * within(taken_);
  }
  void further_left(TimePoint now) {
    if (window_) further_.push_back(now), forget(now, further_);
  }

 private:
  void forget(TimePoint now, std::deque<TimePoint>& times) const {
    while (!times.empty() && times.front() < now - *window_) times.pop_front();
  }

  std::optional<Duration> window_;
  double few_ = 0, share_ = 0;
  std::deque<TimePoint> taken_, further_;
};

}  // namespace pearchute
