// The order in which calls of a key came, where it differs from the order in which they are read: a call is
// taken once its last byte is with this machine, and several may lie unread together. A call waits here until
// all that came before it has been read; then calls of a key go on in the order of their arrival. Where that
// can't be told they go on marked so. No I/O, no clock.
#pragma once

#include <chrono>
#include <vector>

#include "core/types.h"

namespace pearchute {

class ArrivalOrder {
 public:
  struct Call {
    RequestId id;
    OrderKey key;
    TimePoint earliest{}, latest{};  // its last byte came between these
    TimePoint read{};                // when it was read
  };
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
