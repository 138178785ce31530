// The event queue and clock of a simulation. Events run in order of their time; events of the same time run
// in the order in which they were scheduled.
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
  Span now{};  // simulated time: that of the event that runs, or until which run() has run

  // Schedules an action. One whose time has already passed runs without setting the clock back.
  void schedule(Span when, std::function<void()> action) {
    events_.push({when, next_sequence_++, std::move(action)});
  }
  bool is_empty() const { return events_.empty(); }
  // Runs the next event, after advancing the clock to its time and calling `before`. The queue must not be
  // empty.
  void run_next(const std::function<void()>& before = {}) {
    const Event event = events_.top();
    events_.pop();
    now = std::max(now, event.when);
    ++event_count_;
    if (before) before();
    event.action();
  }
  // Runs all events up to `until` and sets the clock to `until`. With `is_done`, stops after the event that
  // makes it true, and leaves the clock at the last event in any case.
  void run(Span until, const std::function<bool()>& is_done = {}) {
    while (!events_.empty() && events_.top().when <= until) {
      run_next();
      if (is_done && is_done()) return;
    }
    if (!is_done) now = until;
  }
  std::uint64_t event_count() const { return event_count_; }

 private:
  struct Event {
    Span when;
    std::uint64_t sequence;
    std::function<void()> action;
    // std::priority_queue returns its greatest element first: the earliest event is the greatest.
    bool operator<(const Event& other) const {
      return when != other.when ? when > other.when : sequence > other.sequence;
    }
  };
  std::priority_queue<Event> events_;
  std::uint64_t next_sequence_ = 0, event_count_ = 0;
};

}  // namespace pearchute::lab
