#include "fleet/quiescence.h"

namespace pearchute::fleet {

void Quiescence::set_drain_ordered(TimePoint now, bool drains, bool idle) {
  if (shutdown_begun_) return;
  if (drain_ordered_ && !drains) shutdown_deadline_.reset();
  drain_ordered_ = drains;
  advance(now, idle);
}

void Quiescence::request_shutdown(TimePoint now, Duration within, bool idle) {
  if (shutdown_begun_) return;
  shutdown_deadline_ = now + within;
  advance(now, idle);
}

void Quiescence::cancel_shutdown(TimePoint now, bool idle) {
  shutdown_deadline_.reset();
  advance(now, idle);
}

void Quiescence::update(TimePoint now, bool idle) { advance(now, idle); }

void Quiescence::advance(TimePoint now, bool idle) {
  if (shutdown_begun_) return;
  const bool rejecting = drain_ordered_ || shutdown_deadline_;
  // Once drained, it stays so until resumed: no call is taken that could open anything again.
  const State next = !rejecting                         ? State::serving
                     : idle || state_ == State::drained ? State::drained
                                                        : State::draining;
  if (next != state_) {
    const bool rejection_changed = (state_ == State::serving) != (next == State::serving);
    state_ = next;
    if (rejection_changed) {
      rejecting_since_ = now;
      host_.reject_requests(next != State::serving);
    }
    host_.state_changed(next);
  }
  if (shutdown_deadline_ && ((state_ == State::drained && now >= rejecting_since_ + notice_period_) ||
                             now >= *shutdown_deadline_)) {
    shutdown_begun_ = true;
    host_.end();
  }
}

}  // namespace pearchute::fleet
