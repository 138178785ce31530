// The rule on order by key, as it is kept apart from the module that decides: which requests of a key were
// taken, in which order, which have an attempt out, and until when a key rests after an attempt whose end is
// not sure. It is told what happened at the sockets, and answers whether an attempt may leave. No I/O, no
// clock.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

#include "core/types.h"

namespace pearchute {

class KeyOrder {
 public:
  enum class Break {
    out_of_turn,  // an earlier request of the key is not over
    no_rest,      // the key has to rest
  };

  explicit KeyOrder(Duration rest = {}) : rest_(rest) {}
  void taken(RequestId id, OrderKey key);
  std::optional<Break> forbids(TimePoint now, RequestId id) const;
  void attempt_left(RequestId id);
  void attempt_taken_back(RequestId id);  // no byte of it has left this machine after all
  // The manager has called it off; whatever its engine says from then on, its end is not sure.
  void attempt_called_off(TimePoint now, RequestId id);
  void attempt_ended(TimePoint now, RequestId id, Outcome outcome);  // of one that had left
  void over(RequestId id);  // it has its final answer, or its client has gone
  // How long the key of that request has to rest from now on; zero where it need not.
  Duration rest_left(TimePoint now, OrderKey key) const;
  void forget_rested(TimePoint now);
  std::size_t keys() const { return lines_.size(); }

 private:
  struct Entry {
    RequestId id;
    int attempts = 0, out = 0;
    bool called_off = false, over = false;
  };
  struct Line {
    std::deque<Entry> entries;  // in the order in which they were taken
    TimePoint rests_until{};
  };
  struct Found {
    Line* line = nullptr;
    Entry* entry = nullptr;
  };
  Found find(RequestId id);
  void rest(TimePoint now, Line& line) const;
  void drop_if_done(RequestId id);

  Duration rest_;
  std::map<OrderKey, Line> lines_;
  std::unordered_map<RequestId, OrderKey> keys_;
};

}  // namespace pearchute
