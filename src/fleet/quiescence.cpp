#include "fleet/quiescence.h"

namespace pearchute::fleet {

void Rest::drain_ordered(Span now, bool drains, bool idle) {
  if (ended_) return;
  if (ordered_ && !drains) end_by_.reset();
  ordered_ = drains;
  settle(now, idle);
}

void Rest::end_asked(Span now, Span within, bool idle) {
  if (ended_) return;
  end_by_ = now + within;
  settle(now, idle);
}

void Rest::end_called_off(Span now, bool idle) {
  end_by_.reset();
  settle(now, idle);
}

void Rest::looked(Span now, bool idle) { settle(now, idle); }

void Rest::settle(Span now, bool idle) {
  if (ended_) return;
  const bool away = ordered_ || end_by_;
  // Once drained, it stays so until resumed: no call is taken that could open anything again.
  const State next = !away                              ? State::serving
                     : idle || state_ == State::drained ? State::drained
                                                        : State::draining;
  if (next != state_) {
    const bool turned = (state_ == State::serving) != (next == State::serving);
    state_ = next;
    if (turned) {
      away_since_ = now;
      host_.turn_away(next != State::serving);
    }
    host_.rests(next);
  }
  if (end_by_ && ((state_ == State::drained && now >= away_since_ + notice_) || now >= *end_by_)) {
    ended_ = true;
    host_.end();
  }
}

}  // namespace pearchute::fleet
