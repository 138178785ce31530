// The clock of a simulated fleet: what is to happen, by its time, and where that is the same by who came
// first. It knows nothing of what happens.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>

namespace pearchute::lab {

class Timeline {
 public:
  using Span = std::chrono::microseconds;
  Span now{};  // of the event at hand

  void at(Span when, std::function<void()> what) { events_.push({when, next_++, std::move(what)}); }
  bool over() const { return events_.empty(); }
  // The next event; its time is now, unless that has passed. `first` comes before it.
  void step(const std::function<void()>& first = {}) {
    const Event event = events_.top();
    events_.pop();
    now = std::max(now, event.when);
    ++steps_;
    if (first) first();
    event.what();
  }
  // All up to then, or until it is enough.
  void run(Span until, const std::function<bool()>& enough = {}) {
    while (!events_.empty() && events_.top().when <= until) {
      step();
      if (enough && enough()) return;
    }
    if (!enough) now = until;
  }
  std::uint64_t steps() const { return steps_; }

 private:
  struct Event {
    Span when;
    std::uint64_t order;
    std::function<void()> what;
    bool operator<(const Event& other) const {
      return when != other.when ? when > other.when : order > other.order;
    }
  };
  std::priority_queue<Event> events_;
  std::uint64_t next_ = 0, steps_ = 0;
};

}  // namespace pearchute::lab
