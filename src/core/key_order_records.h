// The records by which the rule guard checks the order by key: the open requests of each key in order of
// arrival, their outstanding attempts, and the end of the key's quiet period after an attempt with an
// uncertain outcome. They follow the events at the sockets, independently of the queues of the decisions
// (KeyQueues). No I/O, no clock.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/types.h"

namespace pearchute {

// The open requests of each ordered key, as observed at the sockets.
class KeyOrderRecords {
 public:
  // Why an attempt must not be sent.
  enum class Violation {
    out_of_order,  // an earlier request of the key is open
    quiet_period,  // the quiet period of the key has not ended
  };

  explicit KeyOrderRecords(Duration quiet_period = {}) : quiet_period_(quiet_period) {}
  void on_request(RequestId id, OrderKey key);
  // The rule that sending an attempt of the request would violate now; none if it may be sent.
  std::optional<Violation> forbids(TimePoint now, RequestId id) const;
  void on_attempt_left(RequestId id);
  // The attempt was counted as sent, but no byte of it has left this machine.
  void on_attempt_retracted(RequestId id);
  // From now on the attempt's end is uncertain, whatever outcome its engine reports.
  void on_attempt_cancelled(TimePoint now, RequestId id);
  // REQUIRES: the attempt had left.
  void on_attempt_ended(TimePoint now, RequestId id, Outcome outcome);
  // The request has its final answer, or its client has disconnected.
  void on_finished(RequestId id);
  // The remaining quiet period of the key; zero if none is running.
  Duration quiet_left(TimePoint now, OrderKey key) const;
  // Drops keys without open requests whose quiet period has ended.
  void forget_idle(TimePoint now);
  // The number of recorded keys.
  std::size_t keys() const { return queues_.size(); }

 private:
  // An open request.
  struct Entry {
    RequestId id;
    int attempts = 0;
    int outstanding = 0;
    bool is_cancelled = false;
    bool is_finished = false;
  };
  // The open requests of one key.
  struct Queue {
    std::vector<Entry> entries;  // in order of arrival
    TimePoint quiet_until{};
  };
  // The record of a request and the queue that contains it.
  struct Found {
    Queue* queue = nullptr;
    Entry* entry = nullptr;  // null where the request is not recorded
  };
  Found find(RequestId id);
  void begin_quiet_period(TimePoint now, Queue& queue) const;
  void erase_if_done(RequestId id);

  Duration quiet_period_;
  std::map<OrderKey, Queue> queues_;
  std::unordered_map<RequestId, OrderKey> keys_;
};

}  // namespace pearchute
