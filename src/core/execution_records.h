// The records by which the rule guard keeps a request that comes again under its id from executing twice: the
// requests that must not simply be repeated and of which an attempt has left for an engine, remembered beyond
// their end. No I/O, no clock.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

#include "core/types.h"

namespace pearchute {

// The latest requests that may have executed.
class ExecutionRecords {
 public:
  // The number of attempts after which a request is forgotten. At a hundred such requests a second, it is
  // remembered for over two minutes.
  static constexpr std::size_t max_records = 16384;

  void on_attempt_left(TimePoint now, RequestId id);
  // All attempts of the request so far are proved not to have executed.
  void on_not_executed(RequestId id);
  // When the first attempt left that may have executed; none where there is no such attempt.
  std::optional<TimePoint> first_sent_at(RequestId id) const;
  std::size_t size() const { return first_sent_at_.size(); }

 private:
  std::unordered_map<RequestId, TimePoint> first_sent_at_;
  std::deque<std::pair<RequestId, TimePoint>> in_order_;  // oldest first, with requests that are forgotten
};

}  // namespace pearchute
