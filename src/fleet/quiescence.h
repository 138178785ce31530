// A manager that is drained, beside the program's phases: serving, draining (new calls are turned away, what
// is open ends by the ordinary path), drained (nothing is open). It decides when to turn calls away and when
// to end; it knows no socket and no clock, and answers no job itself.
#pragma once

#include <chrono>
#include <optional>

namespace pearchute::fleet {

class Rest {
 public:
  using Span = std::chrono::microseconds;
  enum class State { serving, draining, drained };
  class Host {
   public:
    virtual ~Host() = default;
    virtual void turn_away(bool away) = 0;
    virtual void end() = 0;  // by the program's own way, which answers what is still open
    virtual void rests(State state) = 0;
  };
  // `notice` is how long those who send clients here take to see that calls are turned away: no end comes
  // sooner, lest calls that are on their way find nobody.
  Rest(Host& host, Span notice) : host_(host), notice_(notice) {}

  // By the orders in force. To be resumed undoes an end that was asked for, too, until it has begun.
  void drain_ordered(Span now, bool drains, bool idle);
  // To end once nothing is open, at `within` at the latest. It drains until then.
  void end_asked(Span now, Span within, bool idle);
  void end_called_off(Span now, bool idle);
  // To be called some fifty times a second, and whenever the last open job has ended.
  void looked(Span now, bool idle);
  State state() const { return state_; }
  bool ending() const { return end_by_.has_value() || ended_; }

 private:
  void settle(Span now, bool idle);

  Host& host_;
  const Span notice_;
  Span away_since_{};
  State state_ = State::serving;
  bool ordered_ = false, ended_ = false;
  std::optional<Span> end_by_;
};

}  // namespace pearchute::fleet
