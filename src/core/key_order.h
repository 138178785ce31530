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

  explicit KeyOrder(Span rest = {}) : rest_(rest) {}
  void taken(JobId id, OrderKey key);
  std::optional<Break> forbids(Span now, JobId id) const;
  void attempt_left(JobId id);
  void attempt_taken_back(JobId id);  // no byte of it has left this machine after all
  // The manager has called it off; whatever its engine says from then on, its end is not sure.
  void attempt_called_off(Span now, JobId id);
  void attempt_ended(Span now, JobId id, Outcome outcome);  // of one that had left
  void over(JobId id);                                      // it has its final answer, or its client has gone
  // How long the key of that request has to rest from now on; zero where it need not.
  Span rest_left(Span now, OrderKey key) const;
  void forget_rested(Span now);
  std::size_t keys() const { return lines_.size(); }

 private:
  struct Entry {
    JobId id;
    int attempts = 0, out = 0;
    bool called_off = false, over = false;
  };
  struct Line {
    std::deque<Entry> entries;  // in the order in which they were taken
    Span rests_until{};
  };
  struct Found {
    Line* line = nullptr;
    Entry* entry = nullptr;
  };
  Found find(JobId id);
  void rest(Span now, Line& line) const;
  void drop_if_done(JobId id);

  Span rest_;
  std::map<OrderKey, Line> lines_;
  std::unordered_map<JobId, OrderKey> keys_;
};

}  // namespace pearchute
