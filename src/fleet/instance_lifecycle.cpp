#include "fleet/instance_lifecycle.h"

#include <algorithm>
#include <utility>

namespace pearchute::fleet {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// One that falls within ten seconds of its start would fall again: half a second, doubled to thirty. What has
// stayed up for a minute is sound.
constexpr Duration crash_window = seconds(10), stable_after = seconds(60);
constexpr Duration min_restart_backoff = milliseconds(500), max_restart_backoff = seconds(30);
// From its wish to end until it has: what is open gets its answer within 3.5 s, and a machine may be busy.
// Then SIGTERM, and once more that long until SIGKILL.
constexpr Duration shutdown_grace = seconds(10);

}  // namespace

std::string_view name_of(InstanceState condition) {
  constexpr std::string_view words[] = {"unseen",   "down",    "starting", "serving",
                                        "draining", "drained", "ending",   "foreign"};
  return words[static_cast<int>(condition)];
}

void InstanceLifecycle::start(TimePoint now) {
  if (now < start_at_ || !host_.record_intent("start", current_step_)) return;
  started_at_ = now;
  process_was_alive_ = true, shutdown_requested_ = false;
  // Should it not even come up, the next try waits as if it had fallen.
  start_at_ = now + std::min(max_restart_backoff, min_restart_backoff * (1 << std::min(crash_count_, 6)));
  host_.start(version_);
}

namespace {
bool same(const Step& one, const Step& other) {
  return one.operation == other.operation && one.fence == other.fence && one.kind == other.kind &&
         one.version == other.version;
}
}  // namespace

bool InstanceLifecycle::step(TimePoint now, const Step& step) {
  if (current_step_) return same(*current_step_, step);
  if (last_step_ && same(last_step_->step, step)) {
    const CompletedStep completed = *last_step_;
    host_.step_ended(completed.step, completed.end, completed.detail);
    return true;
  }
  if (condition_ == InstanceState::unseen || condition_ == InstanceState::foreign || interrupted_step_)
    return false;
  if (!host_.record_intent("step", step)) return false;
  current_step_ = step;
  version_before_ = version_;
  falling_back_ = false;
  switch (step.kind) {
    case StepKind::drain:
      phase_ = Phase::draining, phase_until_ = now + step.drain_within;
      host_.set_drain(true, step);
      break;
    case StepKind::resume:
      wanted_ = true;
      phase_ = Phase::starting, phase_until_ = now + step.up_within;
      host_.set_drain(false, step);
      break;
    case StepKind::change:
      version_ = step.version;
      [[fallthrough]];
    case StepKind::restart:
      wanted_ = true;
      phase_ = Phase::ending, phase_until_ = now + step.drain_within + shutdown_grace;
      terminated_ = killed_ = false, shutdown_requested_ = true;
      crash_count_ = 0, start_at_ = now;
      host_.request_shutdown(step.drain_within);
      break;
  }
  return true;
}

void InstanceLifecycle::finish(StepEnd end, const std::string& detail) {
  const Step step = *current_step_;
  current_step_.reset();
  phase_ = Phase::none;
  last_step_ = {step, falling_back_ && end == StepEnd::done ? StepEnd::fell_back : end, detail};
  host_.step_ended(step, last_step_->end, detail);
}

// Whatever was half done ends in a state that was stated before it began: it serves, by the old command where
// the new one has not been started, or the restart is seen to its end.
void InstanceLifecycle::lease_ended(TimePoint now) {
  if (!current_step_ || falling_back_) return;
  falling_back_ = true;
  const bool back = current_step_->fallback == Fallback::serve_again;
  if (current_step_->kind == StepKind::drain) {
    if (!back) return;
    host_.set_drain(false, *current_step_);
    phase_ = Phase::starting, phase_until_ = now + current_step_->up_within;
  } else if (phase_ == Phase::ending && back && !terminated_) {
    host_.cancel_shutdown();
    version_ = version_before_;
    phase_ = Phase::starting, phase_until_ = now + current_step_->up_within;
  }
}

void InstanceLifecycle::observe(TimePoint now, const Observation& observation) {
  const bool foreign = observation.answers && !observation.is_ours;
  if (process_was_alive_ && !observation.ours && !foreign) {
    // It has ended. One that was not asked to, soon after its start, falls.
    process_was_alive_ = false;
    if (!shutdown_requested_ && now - started_at_ < crash_window) crash_count_ += 1;
    if (!shutdown_requested_)
      start_at_ = std::max(start_at_,
                           crash_count_ == 0
                               ? now
                               : now + std::min(max_restart_backoff,
                                                min_restart_backoff * (1 << std::min(crash_count_ - 1, 6))));
  }
  if (observation.ours) {
    process_was_alive_ = true;
    if (now - started_at_ > stable_after) crash_count_ = 0;
  }
  if (foreign) condition_ = InstanceState::foreign;
  else if (!observation.ours) condition_ = InstanceState::down;
  else if (phase_ == Phase::ending) condition_ = InstanceState::ending;
  else if (!observation.answers || !observation.serves) condition_ = InstanceState::starting;
  else
    condition_ = observation.drained  ? InstanceState::drained
                 : observation.drains ? InstanceState::draining
                                      : InstanceState::serving;
  if (interrupted_step_) {
    // Begun before the agent's own end: what it was is known from the disk, what it became by the look.
    current_step_ = std::exchange(interrupted_step_, std::nullopt);
    falling_back_ = false;
    terminated_ = killed_ = false;
    version_before_ = observation.ours ? observation.version : version_;
    if (current_step_->kind == StepKind::change) version_ = current_step_->version;
    wanted_ = true;
    phase_ = current_step_->kind == StepKind::drain                         ? Phase::draining
             : current_step_->kind == StepKind::resume || !observation.ours ? Phase::starting
                                                                            : Phase::ending;
    shutdown_requested_ = phase_ == Phase::ending;
    phase_until_ = now + current_step_->drain_within + shutdown_grace;
    if (phase_ == Phase::starting) phase_until_ = now + current_step_->up_within;
    lease_ended(now);
  }
  advance(now, observation);
}

void InstanceLifecycle::advance(TimePoint now, const Observation& observation) {
  if (condition_ == InstanceState::foreign) {
    if (current_step_ && now >= phase_until_) finish(StepEnd::time_up, "somebody else has its address");
    return;
  }
  switch (phase_) {
    case Phase::none:
      if (wanted_ && !observation.ours) start(now);
      return;
    case Phase::draining:
      if (observation.ours && observation.drained) return finish(StepEnd::done, "drained");
      if (!observation.ours && wanted_) start(now);
      if (now >= phase_until_) finish(StepEnd::time_up, "drains, but not within the time");
      return;
    case Phase::ending:
      if (!observation.ours) {
        phase_ = Phase::starting, phase_until_ = now + current_step_->up_within, start_at_ = now;
        return start(now);
      }
      // Stated times: its own way first, then the system's.
      if (now >= phase_until_ && !terminated_) {
        if (!host_.record_intent("terminate", current_step_)) return;
        terminated_ = true, phase_until_ = now + shutdown_grace;
        host_.terminate();
      } else if (now >= phase_until_ && !killed_) {
        if (!host_.record_intent("kill", current_step_)) return;
        killed_ = true, phase_until_ = now + shutdown_grace;
        host_.kill();
      } else if (now >= phase_until_) {
        finish(StepEnd::time_up, "does not end");
      }
      return;
    case Phase::starting:
      if (observation.ours && observation.serves && !observation.drains && !observation.drained)
        return finish(StepEnd::done, "serves");
      if (!observation.ours) start(now);
      if (now >= phase_until_)
        finish(StepEnd::time_up, observation.ours
                                     ? observation.drains ? "others' orders hold it" : "does not serve"
                                     : "falls at once");
      return;
  }
}

}  // namespace pearchute::fleet
