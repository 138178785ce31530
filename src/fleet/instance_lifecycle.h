// One instance under its agent: kept running with back-off, adopted after the agent's own restart, and taken
// through a step (drain, resume, restart, change of command) under a lease.
//
// A step that is half done when its lease ends is taken to the fallback that it states, so an instance is
// never left in a state that nobody asked for. Intents are persisted before they are acted on: after a kill
// of the agent, an interrupted step falls back as well.
//
// Not thread-safe. It reads no clock and does no I/O: times are the caller's steady clock, acts go through
// the Host.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "fleet/time.h"

namespace pearchute::fleet {

// The state of an instance as its agent knows it. Reported by name; summed by number.
enum class InstanceState {
  unseen,    // not observed yet since the agent's start
  down,      // no process of this agent's; none is wanted, or its restart waits for the back-off
  starting,  // a process of this agent's that does not serve yet
  serving,
  draining,
  drained,
  ending,   // asked to shut down
  foreign,  // another process has its address: nothing is started, and that process is left alone
};
// Name for operators and messages.
std::string_view name_of(InstanceState state);

// Persisted by number: new values go to the end of each.
enum class StepKind { drain, resume, restart, change };
// What becomes of a half-done step: the instance serves again, or the step is finished without its
// coordinator.
enum class Fallback { serve_again, finish };
// How a step ended: in time, not in time, or by its fallback.
enum class StepEnd { done, time_up, fell_back };

// What a coordinator asks of one instance.
struct Step {
  std::string operation;    // under which the lease is held
  std::uint64_t fence = 0;  // of that lease
  StepKind kind = StepKind::restart;
  Fallback fallback = Fallback::serve_again;
  int version = 0;          // of the command, for a change
  Duration drain_within{};  // until what is in flight has ended; it is ended then all the same
  Duration up_within{};     // until the instance serves after its start
};

// Decides when one instance is started, drained and ended.
class InstanceLifecycle {
 public:
  // What is seen of the instance at one moment.
  struct Observation {
    bool ours = false;     // the process that was started for it is alive
    bool answers = false;  // some process answers at its admin address
    bool is_ours = false;  // and it is that process
    bool serves = false;   // its phase
    bool drains = false, drained = false;
    int version = 0;  // of the command by which it was started, as persisted
  };

  // How a step ended.
  struct CompletedStep {
    Step step;
    StepEnd end = StepEnd::done;
    std::string detail;  // for operators
  };

  // Carries out what is decided. Must outlive the InstanceLifecycle.
  class Host {
   public:
    virtual ~Host() = default;
    // Persists what is about to be done. Returns false where that fails; then it is not done.
    virtual bool record_intent(const std::string& what, const std::optional<Step>& step) = 0;
    virtual void start(int version) = 0;
    virtual void request_shutdown(Duration within) = 0;
    virtual void cancel_shutdown() = 0;
    virtual void set_drain(bool drains, const Step& step) = 0;
    virtual void terminate() = 0;  // SIGTERM
    virtual void kill() = 0;       // SIGKILL
    virtual void step_ended(const Step& step, StepEnd end, const std::string& detail) = 0;
  };

  // `wanted`: it is to run; else it stays down until a step starts it.
  InstanceLifecycle(Host& host, bool wanted, int version) : host_(host), wanted_(wanted), version_(version) {}
  InstanceLifecycle(const InstanceLifecycle&) = delete;
  InstanceLifecycle& operator=(const InstanceLifecycle&) = delete;

  // Call first, with what was persisted. A step that was in progress falls back at the first observation.
  void restore(const std::optional<Step>& current_step, const std::optional<CompletedStep>& last_step) {
    interrupted_step_ = current_step;
    last_step_ = last_step;
  }
  // Call about ten times a second, and whenever something is known to have changed.
  void observe(TimePoint now, const Observation& observation);
  // Begins a step. Returns false where it is refused: another one is in progress, or the state does not allow
  // it. A repeat of the step in progress is accepted without effect; for a repeat of the last one, its end is
  // reported again.
  bool step(TimePoint now, const Step& step);
  // The lease under which the step was requested has ended, for whatever reason.
  void lease_ended(TimePoint now);

  InstanceState state() const { return state_; }
  bool wanted() const { return wanted_; }
  int version() const { return version_; }  // of the command by which it is started
  const std::optional<Step>& current_step() const { return current_step_; }
  const std::optional<CompletedStep>& last_step() const { return last_step_; }
  int crash_count() const { return crash_count_; }  // since it was last stable

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
  TimePoint start_not_before_{};  // end of the back-off
  bool process_was_alive_ = false;
  bool terminated_ = false, killed_ = false;  // in this phase
  bool falling_back_ = false;
  // Since its last start. Its exit is then no crash, even where the shutdown was cancelled.
  bool shutdown_requested_ = false;
  int crash_count_ = 0;
};

}  // namespace pearchute::fleet
