// The restart of one manager, step by step: the shutdown is requested, the process ends, a new one starts and
// serves, and the directives that were in force before are in force again.
//
// Whenever the restart ends, its outcome and detail() describe the last known state of the manager.
//
// Not thread-safe. The class reads no clock and does no I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "fleet/command_outcome.h"
#include "fleet/time.h"

namespace pearchute::fleet {

// One manager's restart, as the command line sees it.
class Restart {
 public:
  // The state names the event that is awaited: the answer to the shutdown request, the end of the old
  // process, the new process serving, the list of its directives; or none (over).
  enum class State { shutdown_requested, ending, starting, checking, over };
  // The result of a call to the manager.
  enum class ProbeResult {
    answered,
    gone,    // nothing listens at its address
    silent,  // no answer in time
  };

  // The process that answers, and its state.
  struct Identity {
    std::uint64_t started = 0, process = 0;  // together they identify the process
    bool serves = false;        // it has started; directives on the manager may still make it reject requests
    std::string build, digest;  // of its program and of its configuration
  };

  // Time limits, and who starts the new process.
  struct Limits {
    Duration drain_within{};      // time for requests in flight to end; the manager then ends those left
    Duration up_within{};         // time from the end of the old process until the new one serves
    bool starts_program = false;  // the Host starts the new process; false: a service manager does
  };

  // Carries out the decisions. Must outlive the Restart.
  class Host {
   public:
    virtual ~Host() = default;
    virtual void request_shutdown(Duration within) = 0;  // answered by on_shutdown_response()
    virtual void start_program() = 0;                    // not answered: on_probe() shows the new process
    virtual void request_directives() = 0;               // answered by on_directives()
    // Sends the directives with these ids to the new process.
    virtual void reissue_directives(const std::set<std::string>& ids) = 0;
  };

  Restart(Host& host, const Limits& limits) : host_(host), limits_(limits) {}

  // `directives` are the ids of those in force now, which should be in force after the restart.
  void begin(TimePoint now, const Identity& before, const std::set<std::string>& directives);
  void on_shutdown_response(TimePoint now, ProbeResult result, bool accepted);
  // Handles the result of a probe; `identity` is set if the manager answered.
  void on_probe(TimePoint now, ProbeResult result, const std::optional<Identity>& identity);
  // Handles the ids of the directives in force; none: the request failed.
  void on_directives(TimePoint now, const std::optional<std::set<std::string>>& directives);
  void on_timer(TimePoint now);

  State state() const { return state_; }
  bool over() const { return state_ == State::over; }
  CommandOutcome outcome() const { return outcome_; }
  const std::string& detail() const { return detail_; }  // last known state of the manager, for operators
  int reissued_count() const { return reissued_count_; }

 private:
  void finish(CommandOutcome outcome, std::string detail);
  void finish_serving();

  Host& host_;
  const Limits limits_;
  State state_ = State::shutdown_requested;
  Identity before_, after_;
  std::set<std::string> directives_;  // by id
  TimePoint deadline_{};              // of the present state
  CommandOutcome outcome_ = CommandOutcome::not_begun;
  std::string detail_;
  int reissued_count_ = 0;
  bool directives_reissued_ = false;
};

// Returns the name that operators' output uses.
std::string_view name_of(Restart::State state);

}  // namespace pearchute::fleet
