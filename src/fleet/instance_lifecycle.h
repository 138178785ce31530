// The lifecycle of one instance under its agent. The agent keeps the instance running, with a backoff after
// crashes, adopts it after the agent's own restart, and takes it through steps (drain, resume, restart,
// change of command) under a lease.
//
// A step that is half done when its lease ends is taken to the fallback that the step names, so no instance
// is left in a state that no operator requested. Intents are persisted before they are acted on: after a kill
// of the agent, an interrupted step falls back as well.
//
// Not thread-safe. The class reads no clock and does no I/O: times are the caller's steady clock, and actions
// go through the Host.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "fleet/time.h"

namespace pearchute::fleet {

// The state of an instance as its agent observes it. Status reports name it, and summaries count instances by
// its number.
enum class InstanceState {
  unseen,    // not observed yet since the agent's start
  down,      // this agent runs no process for it: none is wanted, or the restart waits for the backoff
  starting,  // this agent's process for it runs but does not serve yet
  serving,
  draining,
  drained,
  ending,   // its process was requested to shut down
  foreign,  // another process has its address: the agent starts nothing and leaves that process alone
};
// Returns the name that messages and operators' output use.
std::string_view name_of(InstanceState state);

// These enumerations are persisted by number: add new values at the end.
enum class StepKind { drain, resume, restart, change };
// What happens to a half-done step whose lease ends: the instance serves again, or the agent finishes the
// step without its coordinator.
enum class Fallback { serve_again, finish };
// How a step ended: in time, not in time, or by its fallback.
enum class StepEnd { done, time_up, fell_back };

// A step that a coordinator requests for one instance.
struct Step {
  std::string operation;    // the operation that holds the lease
  std::uint64_t fence = 0;  // of that lease
  StepKind kind = StepKind::restart;
  Fallback fallback = Fallback::serve_again;
  int version = 0;          // of the command, for a change
  Duration drain_within{};  // time for requests in flight to end; a shutdown then ends those that are left
  Duration up_within{};     // time from the instance's start until it serves
};

// Decides when one instance is started, drained and shut down.
class InstanceLifecycle {
 public:
  // The instance as observed at one moment.
  struct Observation {
    bool ours = false;     // the process that this agent started for the instance is alive
    bool answers = false;  // some process answers at the instance's admin address
    bool is_ours = false;  // the process that answers is the one that this agent started
    bool serves = false;   // that process reports that it serves
    bool drains = false, drained = false;
    int version = 0;  // of the command with which the process was started, as persisted
  };

  // A step with its end.
  struct CompletedStep {
    Step step;
    StepEnd end = StepEnd::done;
    std::string detail;  // for operators
  };

  // Carries out the decisions. Must outlive the InstanceLifecycle.
  class Host {
   public:
    virtual ~Host() = default;
    // Persists an action before it is taken. Returns false on failure; the action is then not taken.
    virtual bool record_intent(const std::string& action, const std::optional<Step>& step) = 0;
    virtual void start(int version) = 0;
    // Requests the process to answer its requests in flight within this time and to exit.
    virtual void request_shutdown(Duration within) = 0;
    virtual void cancel_shutdown() = 0;
    virtual void set_drain(bool drains, const Step& step) = 0;
    virtual void terminate() = 0;  // SIGTERM
    virtual void kill() = 0;       // SIGKILL
    // Called when a step has ended, and again when a request for the last step is repeated.
    virtual void step_ended(const Step& step, StepEnd end, const std::string& detail) = 0;
  };

  // `wanted`: the instance should run; otherwise it stays down until a step starts it.
  InstanceLifecycle(Host& host, bool wanted, int version) : host_(host), wanted_(wanted), version_(version) {}
  InstanceLifecycle(const InstanceLifecycle&) = delete;
  InstanceLifecycle& operator=(const InstanceLifecycle&) = delete;

  // Restores the persisted steps. Call before anything else. A step that was in progress falls back at the
  // first observation.
  void restore(const std::optional<Step>& current_step, const std::optional<CompletedStep>& last_step) {
    interrupted_step_ = current_step;
    last_step_ = last_step;
  }
  // Updates the state and takes the actions that are due. Call about ten times a second, and whenever an
  // observation may have changed.
  void observe(TimePoint now, const Observation& observation);
  // Begins a step. Returns false if the step is refused: another one is in progress, the state does not allow
  // it, or it could not be persisted. A repeat of the step in progress is accepted without effect; a repeat
  // of the last step reports its end to the Host again.
  bool step(TimePoint now, const Step& step);
  // Takes a step in progress to its fallback, because the lease under which it was requested has ended.
  void lease_ended(TimePoint now);

  InstanceState state() const { return state_; }
  bool wanted() const { return wanted_; }
  int version() const { return version_; }  // of the command with which the instance is started
  const std::optional<Step>& current_step() const { return current_step_; }
  const std::optional<CompletedStep>& last_step() const { return last_step_; }
  int crash_count() const { return crash_count_; }  // since the instance was last stable or shut down

 private:
  enum class Phase { none, draining, ending, starting };  // of the current step

  void start(TimePoint now);
  void begin_step(TimePoint now, const Step& step);
  void begin_phase(Phase phase, TimePoint until);
  void begin_shutdown(TimePoint now, const Step& step);
  void resume_interrupted_step(TimePoint now, const Observation& observation);
  void finish(StepEnd end, const std::string& detail);
  void detect_exit(TimePoint now, const Observation& observation, bool foreign);
  InstanceState state_after(const Observation& observation, bool foreign) const;
  void advance(TimePoint now, const Observation& observation);
  void advance_draining(TimePoint now, const Observation& observation);
  void advance_ending(TimePoint now, const Observation& observation);
  void advance_starting(TimePoint now, const Observation& observation);
  bool has_timed_out(TimePoint now) const { return now >= phase_until_; }

  Host& host_;
  bool wanted_;
  int version_, version_before_ = 0;  // before the current step
  InstanceState state_ = InstanceState::unseen;
  std::optional<Step> current_step_, interrupted_step_;
  std::optional<CompletedStep> last_step_;
  Phase phase_ = Phase::none;
  TimePoint phase_until_{};
  TimePoint started_at_{};
  TimePoint start_not_before_{};  // end of the backoff
  bool process_was_alive_ = false;
  bool terminated_ = false, killed_ = false;  // whether the signals were sent in this phase
  bool falling_back_ = false;
  // Whether a shutdown was requested since the process's last start. Its exit is then not a crash, even if
  // the shutdown was cancelled.
  bool shutdown_requested_ = false;
  int crash_count_ = 0;
};

}  // namespace pearchute::fleet
