// When the bytes of a client's connection came, for calls that wait behind an open one: their time runs from
// when they came, not from when their turn is. Both bounds err to the outside, by ten milliseconds at most.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "core/types.h"

namespace pearchute::net {

class ArrivalTimes {
 public:
  // All bytes up to the `up_to`-th of the connection had come by `read`, and none of the new ones before
  // `at`.
  void came(std::uint64_t up_to, TimePoint at, TimePoint read) {
    constexpr std::chrono::milliseconds together(10);
    if (!arrivals_.empty() && at - arrivals_.back().at < together)
      arrivals_.back().up_to = up_to, arrivals_.back().read = read;
    else arrivals_.push_back({up_to, at, read});
  }
  void came(std::uint64_t up_to, TimePoint at) { came(up_to, at, at); }
  // When the byte before that one came; what came earlier is forgotten.
  TimePoint of(std::uint64_t offset, TimePoint otherwise) {
    const auto at = std::ranges::find_if(arrivals_, [&](const Arrival& one) { return one.up_to >= offset; });
    arrivals_.erase(arrivals_.begin(), at);
    return arrivals_.empty() ? otherwise : arrivals_.front().at;
  }
  // By when the byte had come of which `of` was asked last.
  TimePoint latest(TimePoint otherwise) const {
    return arrivals_.empty() ? otherwise : arrivals_.front().read;
  }

 private:
  struct Arrival {
    std::uint64_t up_to = 0;
    TimePoint at{}, read{};
  };
  std::vector<Arrival> arrivals_;
};

}  // namespace pearchute::net
