// Order by key, as the decisions keep it: requests of one key execute one at a time, in order of arrival, and
// after an attempt with an uncertain outcome the key is quiet for a while before the next one begins.
// The rule guard keeps records of its own (KeyOrderRecords), by what it sees at the sockets.
#pragma once

#include <deque>
#include <map>

#include "core/types.h"

namespace pearchute {

// The open requests of each ordered key.
class KeyQueues {
 public:
  // `quiet_period`: after an attempt with an uncertain outcome.
  explicit KeyQueues(Duration quiet_period) : quiet_period_(quiet_period) {}

  void add(OrderKey key, RequestId id) { queues_[key].requests.push_back(id); }
  void remove(OrderKey key, RequestId id);
  // Whether it is the oldest open request of its key; true for a key without any.
  bool is_first(OrderKey key, RequestId id) const;
  bool is_quiet(TimePoint now, OrderKey key) const;
  // Never shortens a quiet period that lasts.
  void begin_quiet_period(TimePoint now, OrderKey key);
  void forget_idle(TimePoint now);

 private:
  // One key.
  struct Queue {
    std::deque<RequestId> requests;  // open, in order of arrival
    TimePoint quiet_until{};
  };
  Duration quiet_period_;
  std::map<OrderKey, Queue> queues_;
};

}  // namespace pearchute
