#include "fleet/quiescence.h"

namespace pearchute::fleet {

void Quiescence::set_drain_ordered(TimePoint now, bool drains, bool idle) {
  if (shutdown_begun_) return;
  if (drain_ordered_ && !drains) shutdown_deadline_.reset();
  drain_ordered_ = drains;
  update(now, idle);
}

void Quiescence::request_shutdown(TimePoint now, Duration within, bool idle) {
  if (shutdown_begun_) return;
  shutdown_deadline_ = now + within;
  update(now, idle);
}

void Quiescence::cancel_shutdown(TimePoint now, bool idle) {
  shutdown_deadline_.reset();
  update(now, idle);
}

Quiescence::State Quiescence::next_state(bool idle) const {
  if (!drain_ordered_ && !shutdown_deadline_) return State::serving;
  // A drained manager stays drained until it is resumed, since it rejects new requests.
  return idle || state_ == State::drained ? State::drained : State::draining;
}

void Quiescence::enter(TimePoint now, State next) {
  const bool rejection_changed = (state_ == State::serving) != (next == State::serving);
  state_ = next;
  if (rejection_changed) {
    rejecting_since_ = now;
    host_.reject_requests(next != State::serving);
  }
  host_.state_changed(next);
}

void Quiescence::update(TimePoint now, bool idle) {
  if (shutdown_begun_) return;
  if (const State next = next_state(idle); next != state_) enter(now, next);
  if (!shutdown_deadline_) return;
  const bool drained_with_notice = state_ == State::drained && now >= rejecting_since_ + notice_period_;
  if (!drained_with_notice && now < *shutdown_deadline_) return;
  shutdown_begun_ = true;
  host_.end();
}

}  // namespace pearchute::fleet
