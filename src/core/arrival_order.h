// Restores the order in which requests of a key arrived, which may differ from the order in which they are
// read.
//
// A request has arrived once its last byte is in the socket's receive buffer, and several connections may
// hold unread requests. A request waits here until everything that arrived before it has been read; then the
// requests of a key are released in the order of their arrival. If that order cannot be determined, they are
// released with arrival_order_known = false. No I/O, no clock.
#pragma once

#include <chrono>
#include <vector>

#include "core/types.h"

namespace pearchute {

// Holds requests of ordered keys back until their order of arrival is settled.
class ArrivalOrder {
 public:
  // A request that has been read, with the bounds of its arrival time.
  struct Call {
    RequestId id;
    OrderKey key;
    TimePoint earliest{}, latest{};  // its last byte arrived between these
    TimePoint read{};                // when it was read
  };
  // A request that is released. `arrival_order_known`: its place among the requests of its key is certain.
  struct Settled {
    RequestId id;
    bool arrival_order_known = true;
  };
  // A request waits at most this long for others to be read; connections that cannot be accepted within this
  // time are not waited for.
  static constexpr std::chrono::milliseconds max_wait{300};

  void came(const Call& call) { waiting_.push_back(call); }
  // Drops a waiting request, such as one whose client has disconnected.
  void withdrawn(RequestId id);
  // Removes and returns the requests that are released now, in order of arrival. `read_up_to`: everything
  // that arrived before this time has been read.
  std::vector<Settled> settle(TimePoint now, TimePoint read_up_to);
  bool empty() const { return waiting_.empty(); }
  // The time up to which everything has to be read for the first waiting request to be released; max() if no
  // request waits.
  TimePoint needs_read_up_to() const;

 private:
  std::vector<Call> waiting_;
};

}  // namespace pearchute
