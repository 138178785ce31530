// The rule on order by key, as the rule guard checks it: which requests of a key are open, in which order
// they came, which have an attempt outstanding, and until when a key is quiet after an attempt with an
// uncertain outcome. Recorded by what happens at the sockets, apart from the decisions' own queues
// (KeyQueues). No I/O, no clock.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

#include "core/types.h"

namespace pearchute {

// Open requests by key, as seen at the sockets.
class KeyOrderRecords {
 public:
  // Why an attempt may not leave.
  enum class Violation {
    out_of_order,  // an earlier request of the key is open
    quiet_period,  // the key is quiet
  };

  explicit KeyOrderRecords(Duration quiet_period = {}) : quiet_period_(quiet_period) {}
  void on_request(RequestId id, OrderKey key);
  // What forbids that an attempt of the request leaves now, if anything does.
  std::optional<Violation> forbids(TimePoint now, RequestId id) const;
  void on_attempt_left(RequestId id);
  // No byte of it has left this machine after all.
  void on_attempt_retracted(RequestId id);
  // Whatever its engine says from then on, its end is uncertain.
  void on_attempt_cancelled(TimePoint now, RequestId id);
  // REQUIRES: the attempt had left.
  void on_attempt_ended(TimePoint now, RequestId id, Outcome outcome);
  // It has its final answer, or its client has gone.
  void on_finished(RequestId id);
  // How long the key stays quiet; zero where it is not.
  Duration quiet_left(TimePoint now, OrderKey key) const;
  void forget_idle(TimePoint now);
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
    std::deque<Entry> entries;  // in order of arrival
    TimePoint quiet_until{};
  };
  // Where a request is recorded.
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
