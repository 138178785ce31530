// The restart of one manager, step by step: asked to end once nothing is open, gone, started, serving, and
// the open orders back in force. It decides what comes next and when to give up; it knows no socket, process
// or clock. What it was told last is what its outcome says, so that no instance is left in a state unknown.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "fleet/command_outcome.h"
#include "fleet/time.h"

namespace pearchute::fleet {

class Restart {
 public:
  enum class State { shutdown_requested, ending, starting, checking, over };
  enum class ProbeResult { answered, gone, silent };  // gone: nobody listens there; silent: no answer in time
  struct Identity {
    std::uint64_t started = 0, process = 0;
    bool serves = false;  // its phase; with orders on the manager itself it may still turn calls away
    std::string build, digest;
  };
  struct Limits {
    Duration drain_within{};      // until what is open has ended; it ends then all the same
    Duration up_within{};         // from its end until it serves
    bool starts_program = false;  // else somebody else does
  };
  class Host {
   public:
    virtual ~Host() = default;
    virtual void request_shutdown(Duration within) = 0;  // answered by on_shutdown_response
    virtual void start_program() = 0;                    // answered by nothing but its coming up
    virtual void request_directives() = 0;               // answered by on_directives
    virtual void reissue_directives(
        const std::set<std::string>& ids) = 0;  // and then request_directives once more
  };

  Restart(Host& host, const Limits& limits) : host_(host), limits_(limits) {}
  void begin(TimePoint now, const Identity& before, const std::set<std::string>& orders);
  void on_shutdown_response(TimePoint now, ProbeResult result, bool accepted);
  void on_probe(TimePoint now, ProbeResult result, const std::optional<Identity>& identity);
  void on_directives(TimePoint now, const std::optional<std::set<std::string>>& orders);
  void on_timer(TimePoint now);

  State state() const { return state_; }
  bool over() const { return state_ == State::over; }
  CommandOutcome outcome() const { return outcome_; }
  const std::string& detail() const { return detail_; }  // what is known of it, in plain words
  int reissued_count() const { return reissued_count_; }

 private:
  void finish(CommandOutcome outcome, std::string detail);
  void on_serving(TimePoint now, const Identity& identity);

  Host& host_;
  const Limits limits_;
  State state_ = State::shutdown_requested;
  Identity before_, after_;
  std::set<std::string> orders_;
  TimePoint deadline_{};
  CommandOutcome outcome_ = CommandOutcome::not_begun;
  std::string detail_;
  int reissued_count_ = 0;
  bool directives_reissued_ = false;
};

std::string_view name_of(Restart::State state);

}  // namespace pearchute::fleet
