// One instance under its agent: kept running with back-off, adopted after the agent's own restart, and taken
// through a step (drain, resume, restart, another command) under a claim. What a half-done step becomes when
// its claim ends is stated with the step. It knows no process, socket, file or clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "fleet/time.h"

namespace pearchute::fleet {

// As it is known; every one has a word for operators.
enum class InstanceState {
  unseen,    // the agent has just started and has not looked yet
  down,      // no process of ours, and none is wanted or it waits for its back-off
  starting,  // a process of ours that does not serve yet
  serving,
  draining,
  drained,
  ending,   // asked to end
  foreign,  // somebody else has its address: nothing is started, nothing of that one's is ended
};
std::string_view name_of(InstanceState condition);

enum class StepKind { drain, resume, restart, change };
enum class Fallback { serve_again, finish };
enum class StepEnd { done, time_up, fell_back };

struct Step {
  std::string operation;
  std::uint64_t fence = 0;
  StepKind kind = StepKind::restart;
  Fallback fallback = Fallback::serve_again;
  int version = 0;          // of the command, for a change
  Duration drain_within{};  // until what is open has ended; it ends then all the same
  Duration up_within{};     // from its end until it serves
};

class InstanceLifecycle {
 public:
  // What a look at the instance shows.
  struct Observation {
    bool ours = false;     // the process that was started for it is alive
    bool answers = false;  // somebody answers at its admin address
    bool is_ours = false;  // and it is that process
    bool serves = false;   // its phase
    bool drains = false, drained = false;
    int version = 0;  // of the command by which it was started, as kept
  };
  class Host {
   public:
    virtual ~Host() = default;
    // Before an act: what is to be known of it after a kill. False where that can't be written, and the act
    // does not happen.
    virtual bool record_intent(const std::string& what, const std::optional<Step>& step) = 0;
    virtual void start(int version) = 0;
    virtual void request_shutdown(Duration within) = 0;
    virtual void cancel_shutdown() = 0;
    virtual void set_drain(bool drains, const Step& step) = 0;
    virtual void terminate() = 0;  // SIGTERM
    virtual void kill() = 0;       // SIGKILL
    virtual void step_ended(const Step& step, StepEnd end, const std::string& detail) = 0;
  };
  // `wanted`: it is to run; else it stays down until a step says so.
  InstanceLifecycle(Host& host, bool wanted, int version) : host_(host), wanted_(wanted), version_(version) {}
  InstanceLifecycle(const InstanceLifecycle&) = delete;
  InstanceLifecycle& operator=(const InstanceLifecycle&) = delete;

  // Some ten times a second, and whenever something is known to have changed.
  void observe(TimePoint now, const Observation& observation);
  // Refused while another step is under way. A repeat of the step under way is taken for it, and one of the
  // last that ended is told its end again: nothing is done twice for a message that comes twice.
  bool step(TimePoint now, const Step& step);
  // The claim on it has ended, however: a half-done step becomes its fallback.
  void lease_ended(TimePoint now);
  // How the last step ended.
  struct CompletedStep {
    Step step;
    StepEnd end = StepEnd::done;
    std::string detail;
  };
  // As kept, after the agent's own end: a step that was under way falls back.
  void restore(const std::optional<Step>& current_step, const std::optional<CompletedStep>& last_step) {
    interrupted_step_ = current_step, last_step_ = last_step;
  }
  const std::optional<CompletedStep>& last_step() const { return last_step_; }

  InstanceState condition() const { return condition_; }
  bool wanted() const { return wanted_; }
  int version() const { return version_; }
  const std::optional<Step>& current_step() const { return current_step_; }
  int crash_count() const { return crash_count_; }
  TimePoint back_off_until() const { return start_at_; }

 private:
  enum class Phase { none, draining, ending, starting };
  void start(TimePoint now);
  void finish(StepEnd end, const std::string& detail);
  void advance(TimePoint now, const Observation& observation);

  Host& host_;
  bool wanted_;
  int version_, version_before_ = 0;  // before the step under way
  InstanceState condition_ = InstanceState::unseen;
  std::optional<Step> current_step_, interrupted_step_;
  std::optional<CompletedStep> last_step_;
  Phase phase_ = Phase::none;
  TimePoint phase_until_{}, started_at_{}, start_at_{};
  bool process_was_alive_ = false, terminated_ = false, killed_ = false, falling_back_ = false;
  bool shutdown_requested_ =
      false;  // to end, since its last start: that it goes is no fall, even where that was called off
  int crash_count_ = 0;
};

}  // namespace pearchute::fleet
