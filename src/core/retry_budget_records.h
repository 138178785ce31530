// The records by which the rule guard checks this manager's retry budget: in any window of the configured
// length, no more retries than a minimum plus a ratio of the requests that arrived in it. Retries are counted
// when they are sent to engines. No I/O, no clock.
#pragma once

#include <deque>
#include <optional>

#include "core/types.h"

namespace pearchute {

// The times of requests and retries within the last window.
class RetryBudgetRecords {
 public:
  RetryBudgetRecords() = default;
  explicit RetryBudgetRecords(const ServiceDefinition& service)
      : window_(service.retry_budget_window),
        minimum_(service.retry_budget_minimum),
        ratio_(service.retry_budget_ratio) {}

  void on_request(TimePoint now) { add(now, requests_); }
  void on_retry_sent(TimePoint now) { add(now, retries_); }
  // Whether one more retry now would exceed the budget.
  bool forbids_retry(TimePoint now) const {
    return window_ && count(now, retries_) + 1 > minimum_ + ratio_ * count(now, requests_);
  }

 private:
  void add(TimePoint now, std::deque<TimePoint>& times) const {
    if (!window_) return;
    times.push_back(now);
    while (times.front() < now - *window_ || times.size() > ServiceDefinition::max_counted_requests)
      times.pop_front();
  }
  double count(TimePoint now, const std::deque<TimePoint>& times) const {
    std::size_t count = 0;
    for (auto at = times.rbegin(); at != times.rend() && *at >= now - *window_; ++at) ++count;
    return static_cast<double>(count);
  }

  std::optional<Duration> window_;  // none: no budget applies
  double minimum_ = 0;              // retries that are always allowed in a window
  double ratio_ = 0;                // additional retries per request
  std::deque<TimePoint> requests_;
  std::deque<TimePoint> retries_;
};

}  // namespace pearchute
