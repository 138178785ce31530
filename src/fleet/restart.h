// The restart of one manager, step by step: asked to end once nothing is open, gone, started, serving, and
// the open orders back in force. It decides what comes next and when to give up; it knows no socket, process
// or clock. What it was told last is what its outcome says, so that no instance is left in a state unknown.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "fleet/caution.h"

namespace pearchute::fleet {

class Restart {
 public:
  using Span = std::chrono::microseconds;
  enum class State { asked, ending, starting, checking, over };
  enum class Seen { answered, gone, silent };  // gone: nobody listens there; silent: no answer in time
  struct Identity {
    std::uint64_t started = 0, process = 0;
    bool serves = false;  // its phase; with orders on the manager itself it may still turn calls away
    std::string build, digest;
  };
  struct Limits {
    Span drain_within{};     // until what is open has ended; it ends then all the same
    Span up_within{};        // from its end until it serves
    bool starts_it = false;  // else somebody else does
  };
  class Host {
   public:
    virtual ~Host() = default;
    virtual void ask_to_end(Span within) = 0;                        // answered by end_answered
    virtual void start_program() = 0;                                // answered by nothing but its coming up
    virtual void ask_orders() = 0;                                   // answered by orders_told
    virtual void give_orders(const std::set<std::string>& ids) = 0;  // and then ask_orders once more
  };

  Restart(Host& host, const Limits& limits) : host_(host), limits_(limits) {}
  void begin(Span now, const Identity& before, const std::set<std::string>& orders);
  void end_answered(Span now, Seen seen, bool accepted);
  void seen(Span now, Seen seen, const std::optional<Identity>& identity);
  void orders_told(Span now, const std::optional<std::set<std::string>>& orders);
  void woken(Span now);

  State state() const { return state_; }
  bool over() const { return state_ == State::over; }
  Done outcome() const { return outcome_; }
  const std::string& word() const { return word_; }  // what is known of it, in plain words
  int handed_over() const { return handed_over_; }

 private:
  void finish(Done outcome, std::string word);
  void up(Span now, const Identity& identity);

  Host& host_;
  const Limits limits_;
  State state_ = State::asked;
  Identity before_, after_;
  std::set<std::string> orders_;
  Span until_{};
  Done outcome_ = Done::not_begun;
  std::string word_;
  int handed_over_ = 0;
  bool given_ = false;
};

std::string_view word_for(Restart::State state);

}  // namespace pearchute::fleet
