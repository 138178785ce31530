#include "fleet/instance_lifecycle.h"

#include <algorithm>
#include <utility>

namespace pearchute::fleet {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// A process that exits within this time after its start counts as crashed. It would probably crash again, so
// its restart is delayed.
constexpr Duration crash_window = seconds(10);
// The delay doubles with each crash, up to the maximum.
constexpr Duration min_restart_backoff = milliseconds(500);
constexpr Duration max_restart_backoff = seconds(30);
constexpr int max_backoff_doublings = 6;
// A process that has been up for this long is stable: the crash count returns to 0.
constexpr Duration stable_after = seconds(60);
// How long a process may take to exit beyond the time for its drain: requests in flight are answered within
// 3.5 s, and the machine may be busy. SIGTERM follows after this time, and SIGKILL after as much again.
constexpr Duration shutdown_grace = seconds(10);

Duration restart_backoff(int crashes) {
  return std::min(max_restart_backoff, min_restart_backoff * (1 << std::min(crashes, max_backoff_doublings)));
}

bool is_same(const Step& one, const Step& other) {
  return one.operation == other.operation && one.fence == other.fence && one.kind == other.kind &&
         one.version == other.version;
}

}  // namespace

std::string_view name_of(InstanceState state) {
  constexpr std::string_view names[] = {"unseen",   "down",    "starting", "serving",
                                        "draining", "drained", "ending",   "foreign"};
  return names[static_cast<int>(state)];
}

void InstanceLifecycle::start(TimePoint now) {
  if (now < start_not_before_ || !host_.record_intent("start", current_step_)) return;
  started_at_ = now;
  process_was_alive_ = true;
  shutdown_requested_ = false;
  // If no process comes up at all, the next attempt waits as it does after a crash.
  start_not_before_ = now + restart_backoff(crash_count_);
  host_.start(version_);
}

// ---- Steps

bool InstanceLifecycle::step(TimePoint now, const Step& step) {
  if (current_step_) return is_same(*current_step_, step);
  if (last_step_ && is_same(last_step_->step, step)) {
    const CompletedStep completed = *last_step_;
    host_.step_ended(completed.step, completed.end, completed.detail);
    return true;
  }
  if (state_ == InstanceState::unseen || state_ == InstanceState::foreign || interrupted_step_) return false;
  if (!host_.record_intent("step", step)) return false;
  current_step_ = step;
  version_before_ = version_;
  falling_back_ = false;
  begin_step(now, step);
  return true;
}

void InstanceLifecycle::begin_step(TimePoint now, const Step& step) {
  switch (step.kind) {
    case StepKind::drain:
      begin_phase(Phase::draining, now + step.drain_within);
      host_.set_drain(true, step);
      break;
    case StepKind::resume:
      wanted_ = true;
      begin_phase(Phase::starting, now + step.up_within);
      host_.set_drain(false, step);
      break;
    case StepKind::change:
      version_ = step.version;
      begin_shutdown(now, step);
      break;
    case StepKind::restart:
      begin_shutdown(now, step);
      break;
  }
}

void InstanceLifecycle::begin_phase(Phase phase, TimePoint until) {
  phase_ = phase;
  phase_until_ = until;
}

void InstanceLifecycle::begin_shutdown(TimePoint now, const Step& step) {
  wanted_ = true;
  begin_phase(Phase::ending, now + step.drain_within + shutdown_grace);
  terminated_ = killed_ = false;
  shutdown_requested_ = true;
  crash_count_ = 0;
  start_not_before_ = now;
  host_.request_shutdown(step.drain_within);
}

void InstanceLifecycle::finish(StepEnd end, const std::string& detail) {
  const Step step = *current_step_;
  current_step_.reset();
  phase_ = Phase::none;
  last_step_ = {step, falling_back_ && end == StepEnd::done ? StepEnd::fell_back : end, detail};
  host_.step_ended(step, last_step_->end, detail);
}

// Takes a half-done step to its fallback: the instance serves again, with the old command if the new one has
// not been started yet, or the step is finished.
void InstanceLifecycle::lease_ended(TimePoint now) {
  if (!current_step_ || falling_back_) return;
  falling_back_ = true;
  const bool serves_again = current_step_->fallback == Fallback::serve_again;
  if (current_step_->kind == StepKind::drain) {
    if (!serves_again) return;
    host_.set_drain(false, *current_step_);
    begin_phase(Phase::starting, now + current_step_->up_within);
  } else if (phase_ == Phase::ending && serves_again && !terminated_) {
    host_.cancel_shutdown();
    version_ = version_before_;
    begin_phase(Phase::starting, now + current_step_->up_within);
  }
}

// Takes up a step that began before the agent's restart, and lets it fall back. The step was persisted; its
// progress is derived from the first observation.
void InstanceLifecycle::resume_interrupted_step(TimePoint now, const Observation& observation) {
  current_step_ = std::exchange(interrupted_step_, std::nullopt);
  falling_back_ = false;
  terminated_ = killed_ = false;
  version_before_ = observation.ours ? observation.version : version_;
  if (current_step_->kind == StepKind::change) version_ = current_step_->version;
  wanted_ = true;
  const TimePoint shutdown_until = now + current_step_->drain_within + shutdown_grace;
  if (current_step_->kind == StepKind::drain) begin_phase(Phase::draining, shutdown_until);
  else if (current_step_->kind == StepKind::resume || !observation.ours)
    begin_phase(Phase::starting, now + current_step_->up_within);
  else begin_phase(Phase::ending, shutdown_until);
  shutdown_requested_ = phase_ == Phase::ending;
  lease_ended(now);
}

// ---- Observations

void InstanceLifecycle::observe(TimePoint now, const Observation& observation) {
  const bool foreign = observation.answers && !observation.is_ours;
  detect_exit(now, observation, foreign);
  state_ = state_after(observation, foreign);
  if (interrupted_step_) resume_interrupted_step(now, observation);
  advance(now, observation);
}

void InstanceLifecycle::detect_exit(TimePoint now, const Observation& observation, bool foreign) {
  if (process_was_alive_ && !observation.ours && !foreign) {
    process_was_alive_ = false;
    if (!shutdown_requested_) {
      if (now - started_at_ < crash_window) ++crash_count_;
      const TimePoint next = crash_count_ == 0 ? now : now + restart_backoff(crash_count_ - 1);
      start_not_before_ = std::max(start_not_before_, next);
    }
  }
  if (observation.ours) {
    process_was_alive_ = true;
    if (now - started_at_ > stable_after) crash_count_ = 0;
  }
}

InstanceState InstanceLifecycle::state_after(const Observation& observation, bool foreign) const {
  if (foreign) return InstanceState::foreign;
  if (!observation.ours) return InstanceState::down;
  if (phase_ == Phase::ending) return InstanceState::ending;
  if (!observation.answers || !observation.serves) return InstanceState::starting;
  if (observation.drained) return InstanceState::drained;
  return observation.drains ? InstanceState::draining : InstanceState::serving;
}

void InstanceLifecycle::advance(TimePoint now, const Observation& observation) {
  if (state_ == InstanceState::foreign) {
    if (current_step_ && has_timed_out(now)) finish(StepEnd::time_up, "somebody else has its address");
    return;
  }
  switch (phase_) {
    case Phase::none:
      if (wanted_ && !observation.ours) start(now);
      return;
    case Phase::draining:
      return advance_draining(now, observation);
    case Phase::ending:
      return advance_ending(now, observation);
    case Phase::starting:
      return advance_starting(now, observation);
  }
}

void InstanceLifecycle::advance_draining(TimePoint now, const Observation& observation) {
  if (observation.ours && observation.drained) return finish(StepEnd::done, "drained");
  if (!observation.ours && wanted_) start(now);
  if (has_timed_out(now)) finish(StepEnd::time_up, "drains, but not within the time");
}

void InstanceLifecycle::advance_ending(TimePoint now, const Observation& observation) {
  if (!observation.ours) {
    begin_phase(Phase::starting, now + current_step_->up_within);
    start_not_before_ = now;
    return start(now);
  }
  if (!has_timed_out(now)) return;
  if (!terminated_) {
    if (!host_.record_intent("terminate", current_step_)) return;
    terminated_ = true;
    phase_until_ = now + shutdown_grace;
    host_.terminate();
  } else if (!killed_) {
    if (!host_.record_intent("kill", current_step_)) return;
    killed_ = true;
    phase_until_ = now + shutdown_grace;
    host_.kill();
  } else {
    finish(StepEnd::time_up, "does not end");
  }
}

void InstanceLifecycle::advance_starting(TimePoint now, const Observation& observation) {
  if (observation.ours && observation.serves && !observation.drains && !observation.drained)
    return finish(StepEnd::done, "serves");
  if (!observation.ours) start(now);
  if (!has_timed_out(now)) return;
  if (!observation.ours) return finish(StepEnd::time_up, "falls at once");
  finish(StepEnd::time_up, observation.drains ? "others' orders hold it" : "does not serve");
}

}  // namespace pearchute::fleet
