// The rule on retries, as the rule guard checks it for this manager: in any window of the stated length no
// more than a minimum and a share of the requests that arrived in it. Counted by what has left for engines.
// No I/O, no clock.
#pragma once

#include <deque>
#include <optional>

#include "core/types.h"

namespace pearchute {

// Requests and retries of the last window.
class RetryBudgetRecords {
 public:
  RetryBudgetRecords() = default;
  explicit RetryBudgetRecords(const ServiceDefinition& service)
      : window_(service.retry_budget_window),
        minimum_(service.retry_budget_minimum),
        ratio_(service.retry_budget_ratio) {}

  void on_request(TimePoint now) { add(now, requests_); }
  void on_retry_left(TimePoint now) { add(now, retries_); }
  // Whether one more retry would exceed the budget.
  bool forbids_retry(TimePoint now) const {
    return window_ && count(now, retries_) + 1 > minimum_ + ratio_ * count(now, requests_);
  }

 private:
  void add(TimePoint now, std::deque<TimePoint>& times) const {
    if (!window_) return;
    times.push_back(now);
    while (times.front() < now - *window_) times.pop_front();
  }
  double count(TimePoint now, const std::deque<TimePoint>& times) const {
    std::size_t count = 0;
    for (auto at = times.rbegin(); at != times.rend() && *at >= now - *window_; ++at) ++count;
    return static_cast<double>(count);
  }

  std::optional<Duration> window_;  // none: retries are not limited
  double minimum_ = 0;              // retries in a window
  double ratio_ = 0;                // further retries for each request
  std::deque<TimePoint> requests_;
  std::deque<TimePoint> retries_;
};

}  // namespace pearchute
