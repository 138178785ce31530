// Bounds of the arrival times of the bytes on a client's connection, for HTTP requests that are buffered
// behind an open one: their timeout starts when they arrived, not when they are handled. Both bounds lie
// outside the true time, by 10 ms at most.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "core/types.h"

namespace pearchute::net {

class ArrivalTimes {
 public:
  // Records that all bytes of the connection before offset `up_to` had arrived by `read`, and that none of
  // the new ones arrived before `at`.
  void came(std::uint64_t up_to, TimePoint at, TimePoint read) {
    constexpr std::chrono::milliseconds resolution(10);
    if (!arrivals_.empty() && at - arrivals_.back().at < resolution)
      arrivals_.back().up_to = up_to, arrivals_.back().read = read;
    else arrivals_.push_back({up_to, at, read});
  }
  void came(std::uint64_t up_to, TimePoint at) { came(up_to, at, at); }
  // Returns the earliest time at which the last byte before `offset` may have arrived, `otherwise` where it
  // is not recorded. Forgets the bytes before it.
  TimePoint of(std::uint64_t offset, TimePoint otherwise) {
    const auto at = std::ranges::find_if(arrivals_, [&](const Arrival& one) { return one.up_to >= offset; });
    arrivals_.erase(arrivals_.begin(), at);
    return arrivals_.empty() ? otherwise : arrivals_.front().at;
  }
  // Returns the latest time at which the byte of the last call of `of` may have arrived.
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
