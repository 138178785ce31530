// A manager that is drained, beside the program's phases: serving, draining (new calls are turned away, what
// is open ends by the ordinary path), drained (nothing is open). It decides when to turn calls away and when
// to end; it knows no socket and no clock, and answers no job itself.
#pragma once

#include <optional>

#include "fleet/time.h"

namespace pearchute::fleet {

class Quiescence {
 public:
  enum class State { serving, draining, drained };
  class Host {
   public:
    virtual ~Host() = default;
    virtual void reject_requests(bool rejecting) = 0;
    virtual void end() = 0;  // by the program's own way, which answers what is still open
    virtual void state_changed(State state) = 0;
  };
  // `notice` is how long those who send clients here take to see that calls are turned away: no end comes
  // sooner, lest calls that are on their way find nobody.
  Quiescence(Host& host, Duration notice_period) : host_(host), notice_period_(notice_period) {}

  // By the orders in force. To be resumed undoes an end that was asked for, too, until it has begun.
  void set_drain_ordered(TimePoint now, bool drains, bool idle);
  // To end once nothing is open, at `within` at the latest. It drains until then.
  void request_shutdown(TimePoint now, Duration within, bool idle);
  void cancel_shutdown(TimePoint now, bool idle);
  // To be called some fifty times a second, and whenever the last open job has ended.
  void update(TimePoint now, bool idle);
  State state() const { return state_; }
  bool ending() const { return shutdown_deadline_.has_value() || shutdown_begun_; }

 private:
  void advance(TimePoint now, bool idle);

  Host& host_;
  const Duration notice_period_;
  TimePoint rejecting_since_{};
  State state_ = State::serving;
  bool drain_ordered_ = false, shutdown_begun_ = false;
  std::optional<TimePoint> shutdown_deadline_;
};

}  // namespace pearchute::fleet
