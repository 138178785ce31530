// The drain and shutdown of a manager. Its states are serving, draining (new requests are rejected, those in
// flight end as usual) and drained (no request is in flight).
//
// Not thread-safe. The class reads no clock, does no I/O and answers no request itself.
#pragma once

#include <optional>

#include "fleet/time.h"

namespace pearchute::fleet {

// The drain state of one manager.
class Quiescence {
 public:
  // The state that operators and agents see, by name.
  enum class State { serving, draining, drained };

  // Carries out the decisions. Must outlive the Quiescence.
  class Host {
   public:
    virtual ~Host() = default;
    virtual void reject_requests(bool rejecting) = 0;
    // Ends the program by its ordinary shutdown, which answers the requests still in flight. Called once.
    virtual void end() = 0;
    virtual void state_changed(State state) = 0;
  };

  // `notice_period` is how long the load balancers or other senders of clients take to notice that the
  // manager rejects requests. A drained manager ends no sooner, so that requests on their way are still
  // answered.
  Quiescence(Host& host, Duration notice_period) : host_(host), notice_period_(notice_period) {}

  // In each of these functions, `idle` is whether no request is in flight now.

  // Sets whether directives in force drain the manager. The end of a drain also cancels a shutdown that has
  // not begun.
  void set_drain_ordered(TimePoint now, bool drains, bool idle);
  // Drains the manager, and ends it once no request is in flight, but after `within` at the latest.
  void request_shutdown(TimePoint now, Duration within, bool idle);
  void cancel_shutdown(TimePoint now, bool idle);
  // Moves on to the next state. Call about fifty times a second, and whenever the last request in flight has
  // ended.
  void update(TimePoint now, bool idle);

  State state() const { return state_; }
  // Returns whether a shutdown is requested or has begun.
  bool ending() const { return shutdown_deadline_.has_value() || shutdown_begun_; }

 private:
  State next_state(bool idle) const;
  void enter(TimePoint now, State next);

  Host& host_;
  const Duration notice_period_;
  TimePoint rejecting_since_{};
  State state_ = State::serving;
  bool drain_ordered_ = false, shutdown_begun_ = false;
  std::optional<TimePoint> shutdown_deadline_;
};

}  // namespace pearchute::fleet
