// The order in which requests of a key arrived, where it differs from the order in which they are read: a
// request has arrived once its last byte is in the socket's receive buffer, and several connections may hold
// unread ones. A request waits here until all that arrived before it has been read; then the requests of a
// key go on in the order of their arrival. Where that order can't be determined they go on marked so. No I/O,
// no clock.
#pragma once

#include <chrono>
#include <vector>

#include "core/types.h"

namespace pearchute {

// Holds requests of ordered keys back until their order of arrival is settled.
class ArrivalOrder {
 public:
  // A request that has been read, and the bounds of when it arrived.
  struct Call {
    RequestId id;
    OrderKey key;
    TimePoint earliest{}, latest{};  // its last byte came between these
    TimePoint read{};                // when it was read
  };
  // A request that goes on, and whether it is certain that no other of its key came before it.
  struct Settled {
    RequestId id;
    bool arrival_order_known = true;
  };
  // How long a call waits for others to be read: what can't be accepted for so long is not waited for.
  static constexpr std::chrono::milliseconds waits_at_most{300};

  void came(const Call& call) { waiting_.push_back(call); }
  void withdrawn(RequestId id);
  // Those that go on now, in order. All that came before `read_up_to` has been read.
  std::vector<Settled> settle(TimePoint now, TimePoint read_up_to);
  bool empty() const { return waiting_.empty(); }
  // The moment up to which all has to be read for the first of them to go on.
  TimePoint needs_read_up_to() const;

 private:
  std::vector<Call> waiting_;
};

}  // namespace pearchute
