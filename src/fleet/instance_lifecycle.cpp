#include "fleet/instance_lifecycle.h"

#include <algorithm>
#include <utility>

namespace pearchute::fleet {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// One that falls within ten seconds of its start would fall again: half a second, doubled to thirty. What has
// stayed up for a minute is sound.
constexpr Span falls_at_once = seconds(10), sound_after = seconds(60);
constexpr Span first_pause = milliseconds(500), longest_pause = seconds(30);
// From its wish to end until it has: what is open gets its answer within 3.5 s, and a machine may be busy.
// Then SIGTERM, and once more that long until SIGKILL.
constexpr Span ends_within = seconds(10);

}  // namespace

std::string_view word_for(Condition condition) {
  constexpr std::string_view words[] = {"unseen",   "down",    "starting", "serving",
                                        "draining", "drained", "ending",   "foreign"};
  return words[static_cast<int>(condition)];
}

void Life::start(Span now) {
  if (now < start_at_ || !host_.intend("start", step_)) return;
  started_at_ = now;
  had_process_ = true, asked_ = false;
  // Should it not even come up, the next try waits as if it had fallen.
  start_at_ = now + std::min(longest_pause, first_pause * (1 << std::min(falls_, 6)));
  host_.start(version_);
}

namespace {
bool same(const Step& one, const Step& other) {
  return one.operation == other.operation && one.fence == other.fence && one.kind == other.kind &&
         one.version == other.version;
}
}  // namespace

bool Life::step(Span now, const Step& step) {
  if (step_) return same(*step_, step);
  if (last_ && same(last_->step, step)) {
    const Past past = *last_;
    host_.step_ended(past.step, past.end, past.word);
    return true;
  }
  if (condition_ == Condition::unseen || condition_ == Condition::foreign || interrupted_) return false;
  if (!host_.intend("step", step)) return false;
  step_ = step;
  version_before_ = version_;
  falling_back_ = false;
  switch (step.kind) {
    case StepKind::drain:
      phase_ = Phase::draining, phase_until_ = now + step.drain_within;
      host_.order_drain(true, step);
      break;
    case StepKind::resume:
      wanted_ = true;
      phase_ = Phase::starting, phase_until_ = now + step.up_within;
      host_.order_drain(false, step);
      break;
    case StepKind::change:
      version_ = step.version;
      [[fallthrough]];
    case StepKind::restart:
      wanted_ = true;
      phase_ = Phase::ending, phase_until_ = now + step.drain_within + ends_within;
      terminated_ = killed_ = false, asked_ = true;
      falls_ = 0, start_at_ = now;
      host_.ask_to_end(step.drain_within);
      break;
  }
  return true;
}

void Life::finish(StepEnd end, const std::string& word) {
  const Step step = *step_;
  step_.reset();
  phase_ = Phase::none;
  last_ = {step, falling_back_ && end == StepEnd::done ? StepEnd::fell_back : end, word};
  host_.step_ended(step, last_->end, word);
}

// Whatever was half done ends in a state that was stated before it began: it serves, by the old command where
// the new one has not been started, or the restart is seen to its end.
void Life::claim_ended(Span now) {
  if (!step_ || falling_back_) return;
  falling_back_ = true;
  const bool back = step_->fallback == Fallback::serve_again;
  if (step_->kind == StepKind::drain) {
    if (!back) return;
    host_.order_drain(false, *step_);
    phase_ = Phase::starting, phase_until_ = now + step_->up_within;
  } else if (phase_ == Phase::ending && back && !terminated_) {
    host_.call_off_end();
    version_ = version_before_;
    phase_ = Phase::starting, phase_until_ = now + step_->up_within;
  }
}

void Life::looked(Span now, const Look& look) {
  const bool foreign = look.answers && !look.is_ours;
  if (had_process_ && !look.ours && !foreign) {
    // It has ended. One that was not asked to, soon after its start, falls.
    had_process_ = false;
    if (!asked_ && now - started_at_ < falls_at_once) falls_ += 1;
    if (!asked_)
      start_at_ = std::max(
          start_at_,
          falls_ == 0 ? now : now + std::min(longest_pause, first_pause * (1 << std::min(falls_ - 1, 6))));
  }
  if (look.ours) {
    had_process_ = true;
    if (now - started_at_ > sound_after) falls_ = 0;
  }
  if (foreign) condition_ = Condition::foreign;
  else if (!look.ours) condition_ = Condition::down;
  else if (phase_ == Phase::ending) condition_ = Condition::ending;
  else if (!look.answers || !look.serves) condition_ = Condition::starting;
  else
    condition_ = look.drained ? Condition::drained : look.drains ? Condition::draining : Condition::serving;
  if (interrupted_) {
    // Begun before the agent's own end: what it was is known from the disk, what it became by the look.
    step_ = std::exchange(interrupted_, std::nullopt);
    falling_back_ = false;
    terminated_ = killed_ = false;
    version_before_ = look.ours ? look.version : version_;
    if (step_->kind == StepKind::change) version_ = step_->version;
    wanted_ = true;
    phase_ = step_->kind == StepKind::drain                  ? Phase::draining
             : step_->kind == StepKind::resume || !look.ours ? Phase::starting
                                                             : Phase::ending;
    asked_ = phase_ == Phase::ending;
    phase_until_ = now + step_->drain_within + ends_within;
    if (phase_ == Phase::starting) phase_until_ = now + step_->up_within;
    claim_ended(now);
  }
  go_on(now, look);
}

void Life::go_on(Span now, const Look& look) {
  if (condition_ == Condition::foreign) {
    if (step_ && now >= phase_until_) finish(StepEnd::time_up, "somebody else has its address");
    return;
  }
  switch (phase_) {
    case Phase::none:
      if (wanted_ && !look.ours) start(now);
      return;
    case Phase::draining:
      if (look.ours && look.drained) return finish(StepEnd::done, "drained");
      if (!look.ours && wanted_) start(now);
      if (now >= phase_until_) finish(StepEnd::time_up, "drains, but not within the time");
      return;
    case Phase::ending:
      if (!look.ours) {
        phase_ = Phase::starting, phase_until_ = now + step_->up_within, start_at_ = now;
        return start(now);
      }
      // Stated times: its own way first, then the system's.
      if (now >= phase_until_ && !terminated_) {
        if (!host_.intend("terminate", step_)) return;
        terminated_ = true, phase_until_ = now + ends_within;
        host_.terminate();
      } else if (now >= phase_until_ && !killed_) {
        if (!host_.intend("kill", step_)) return;
        killed_ = true, phase_until_ = now + ends_within;
        host_.kill();
      } else if (now >= phase_until_) {
        finish(StepEnd::time_up, "does not end");
      }
      return;
    case Phase::starting:
      if (look.ours && look.serves && !look.drains && !look.drained) return finish(StepEnd::done, "serves");
      if (!look.ours) start(now);
      if (now >= phase_until_)
        finish(StepEnd::time_up,
               look.ours ? look.drains ? "others' orders hold it" : "does not serve" : "falls at once");
      return;
  }
}

}  // namespace pearchute::fleet
