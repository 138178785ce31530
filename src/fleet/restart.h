// The restart of one manager, step by step: a shutdown is requested, its process ends, another one starts and
// serves, and the directives of before are in force again.
//
// Its outcome says what was last known of the manager, so that none is left in an unknown state.
//
// Not thread-safe. It reads no clock and does no I/O.
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
  // What is awaited: the answer to the shutdown request, the end of the old process, the new process serving,
  // the list of its directives; or nothing more.
  enum class State { shutdown_requested, ending, starting, checking, over };
  // What a call to the manager showed.
  enum class ProbeResult {
    answered,
    gone,    // nothing listens at its address
    silent,  // no answer in time
  };

  // Which process answers, and how it runs.
  struct Identity {
    std::uint64_t started = 0, process = 0;
    bool serves = false;        // its phase; by directives on the manager itself it may still reject requests
    std::string build, digest;  // of its program and its configuration
  };

  // How long each part may take.
  struct Limits {
    Duration drain_within{};      // until what is in flight has ended; it is ended then all the same
    Duration up_within{};         // from the end of the old process until the new one serves
    bool starts_program = false;  // else something else starts the new process
  };

  // Carries out what is decided. Must outlive the Restart.
  class Host {
   public:
    virtual ~Host() = default;
    virtual void request_shutdown(Duration within) = 0;  // answered by on_shutdown_response()
    virtual void start_program() = 0;                    // seen by on_probe() only
    virtual void request_directives() = 0;               // answered by on_directives()
    // Gives these directives to the new process.
    virtual void reissue_directives(const std::set<std::string>& ids) = 0;
  };

  Restart(Host& host, const Limits& limits) : host_(host), limits_(limits) {}

  // `directives`: the ids of those in force, which are to be in force afterwards.
  void begin(TimePoint now, const Identity& before, const std::set<std::string>& directives);
  void on_shutdown_response(TimePoint now, ProbeResult result, bool accepted);
  // What a probe of the manager showed; `identity` where it answered.
  void on_probe(TimePoint now, ProbeResult result, const std::optional<Identity>& identity);
  // None: the request failed.
  void on_directives(TimePoint now, const std::optional<std::set<std::string>>& directives);
  void on_timer(TimePoint now);

  State state() const { return state_; }
  bool over() const { return state_ == State::over; }
  CommandOutcome outcome() const { return outcome_; }
  const std::string& detail() const { return detail_; }  // what is known of the manager, for operators
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

// Name for operators.
std::string_view name_of(Restart::State state);

}  // namespace pearchute::fleet
