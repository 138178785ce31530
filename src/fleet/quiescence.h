// How a manager is drained and shut down: serving, draining (new requests are rejected, those in flight end
// the ordinary way), drained (nothing is in flight).
//
// Not thread-safe. It reads no clock and does no I/O, and answers no request itself.
#pragma once

#include <optional>

#include "fleet/time.h"

namespace pearchute::fleet {

// The drain state of one manager.
class Quiescence {
 public:
  // Reported by name, to operators and agents.
  enum class State { serving, draining, drained };

  // Must outlive the Quiescence.
  class Host {
   public:
    virtual ~Host() = default;
    virtual void reject_requests(bool rejecting) = 0;
    // Ends the program in its own way, which answers what is still in flight. Called once.
    virtual void end() = 0;
    virtual void state_changed(State state) = 0;
  };

  // `notice_period` is how long whoever sends clients here takes to see that requests are rejected. The end
  // comes no sooner, so that requests on their way are still answered.
  Quiescence(Host& host, Duration notice_period) : host_(host), notice_period_(notice_period) {}

  // `idle`, in each of these: nothing is in flight now.
  // Sets whether directives in force drain the manager. The end of a drain also cancels a shutdown that has
  // not begun.
  void set_drain_ordered(TimePoint now, bool drains, bool idle);
  // Drains, and ends once nothing is in flight, but after `within` at the latest.
  void request_shutdown(TimePoint now, Duration within, bool idle);
  void cancel_shutdown(TimePoint now, bool idle);
  // Call about fifty times a second, and whenever the last request in flight has ended.
  void update(TimePoint now, bool idle);

  State state() const { return state_; }
  // Whether a shutdown is requested or has begun.
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
