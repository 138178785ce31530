// Order by key, as the decisions maintain it: requests of one key execute one at a time in order of arrival,
// and after an attempt with an uncertain outcome the next request starts only after the key's quiet period.
// The rule guard has independent records (KeyOrderRecords), which follow the events at the sockets.
#pragma once

#include <map>
#include <vector>

#include "core/types.h"

namespace pearchute {

// The open requests of each ordered key.
class KeyQueues {
 public:
  // `quiet_period`: the pause of a key after an attempt with an uncertain outcome.
  explicit KeyQueues(Duration quiet_period) : quiet_period_(quiet_period) {}

  void add(OrderKey key, RequestId id) { queues_[key].requests.push_back(id); }
  void remove(OrderKey key, RequestId id);
  // Whether the request is the oldest open request of its key; true if the key has no open request.
  bool is_first(OrderKey key, RequestId id) const;
  bool is_quiet(TimePoint now, OrderKey key) const;
  // Starts the quiet period, or extends a running one; never shortens it.
  void begin_quiet_period(TimePoint now, OrderKey key);
  // Drops keys without open requests whose quiet period has ended.
  void forget_idle(TimePoint now);

 private:
  // The open requests and the quiet period of one key.
  struct Queue {
    std::vector<RequestId> requests;  // open, in order of arrival
    TimePoint quiet_until{};
  };
  Duration quiet_period_;
  std::map<OrderKey, Queue> queues_;
};

}  // namespace pearchute
