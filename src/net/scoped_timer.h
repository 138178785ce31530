// A timer of the event loop that is owned by what it is for: destroying it cancels it.
#pragma once

#include <functional>
#include <optional>
#include <utility>

#include "net/event_loop.h"

namespace pearchute::net {

// The loop must outlive it. A callback may destroy its own timer.
class ScopedTimer {
 public:
  ScopedTimer() = default;
  ScopedTimer(Loop& loop, TimePoint when, std::function<void()> callback)
      : loop_(&loop), id_(loop.at(when, std::move(callback))) {}
  ScopedTimer(ScopedTimer&& other) noexcept
      : loop_(std::exchange(other.loop_, nullptr)), id_(std::exchange(other.id_, std::nullopt)) {}
  ScopedTimer& operator=(ScopedTimer&& other) noexcept {
    if (this == &other) return *this;
    cancel();
    loop_ = std::exchange(other.loop_, nullptr);
    id_ = std::exchange(other.id_, std::nullopt);
    return *this;
  }
  ScopedTimer(const ScopedTimer&) = delete;
  ScopedTimer& operator=(const ScopedTimer&) = delete;
  ~ScopedTimer() { cancel(); }

  // Does nothing where the timer has run or is running.
  void cancel() {
    if (id_) loop_->cancel(*id_);
    id_.reset();
  }
  // When it was set to run; none where it was not set, or cancelled.
  std::optional<TimePoint> when() const { return id_ ? std::optional(id_->when) : std::nullopt; }

 private:
  Loop* loop_ = nullptr;
  std::optional<TimerId> id_;
};

}  // namespace pearchute::net
