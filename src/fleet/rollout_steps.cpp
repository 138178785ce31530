// The steps of a rollout: decides which target may be stepped now within the plan's limits, and handles the
// ends of steps.
#include <algorithm>

#include "fleet/rollout.h"

namespace pearchute::fleet {

namespace {

// Maximum age of a report on an instance: three rounds of status requests, of which two may be lost.
constexpr Duration status_valid_for = std::chrono::milliseconds(1600);
// How long an agent may take to report the end of a step beyond the times that the plan allows: by then the
// agent's own lease has ended, and the fallback, too.
constexpr Duration step_report_allowance = std::chrono::seconds(40);

}  // namespace

int Rollout::steps_in_progress() const {
  return static_cast<int>(
      std::ranges::count_if(targets_, [](const TargetState& target) { return target.in_progress(); }));
}

// ---- Limits

void Rollout::on_instance_state(TimePoint now, const std::string& instance, const std::string& zone,
                                InstanceState state) {
  InstanceStatus& status = statuses_[instance];
  const bool was_unseen = status.state == InstanceState::unseen;
  if (state == InstanceState::serving) {
    // An instance that serves in its first report counts as warm, since the coordinator can't know how long
    // it has served.
    if (was_unseen) status.serving_since = now - plan_.warm;
    else if (!status.serving()) status.serving_since = now;
  }
  status.zone = zone;
  status.state = state;
  status.reported_at = now;
}

// Returns the number of instances of a zone that are known to serve and are warm. A target with a step in
// progress does not count, whatever its last report was.
int Rollout::serving_in(TimePoint now, const std::string& zone) const {
  int count = 0;
  for (const auto& [instance, status] : statuses_) {
    if (status.zone != zone || !status.serving() || now - status.reported_at > status_valid_for) continue;
    if (now - status.serving_since < plan_.warm) continue;
    const auto target = std::ranges::find(targets_, instance, &TargetState::instance);
    if (target != targets_.end() && target->in_progress()) continue;
    ++count;
  }
  return count;
}

bool Rollout::may_start(TimePoint now, const TargetState& target) const {
  if (steps_in_progress() >= plan_.max_concurrent) return false;
  if (!has_usable_leases(now, agents_.at(target.agent))) return false;
  const auto found = statuses_.find(target.instance);
  if (found == statuses_.end() || now - found->second.reported_at > status_valid_for) return false;
  if (plan_.kind == StepKind::resume) return true;
  const InstanceStatus& status = found->second;
  const auto minimum = plan_.min_serving.find(target.zone);
  if (minimum == plan_.min_serving.end() || !status.serving()) return true;
  // The step stops the target from serving. The count includes the target only if it is warm.
  const bool is_counted = now - status.serving_since >= plan_.warm;
  return serving_in(now, target.zone) - is_counted >= minimum->second;
}

// ---- Starting

void Rollout::start_due_steps(TimePoint now) {
  if (state_ != State::running) return;
  const auto batch_is_full = [&] { return plan_.batch > 0 && started_since_gate_ >= plan_.batch; };
  if (batch_is_full()) {
    if (steps_in_progress() > 0 || enter_gate_if_due(now)) return;
  }
  for (TargetState& target : targets_) {
    if (target.stage != Stage::waiting) continue;
    if (batch_is_full()) break;
    if (may_start(now, target) && !start_step(now, target)) return;
  }
}

// Returns false if the rollout ended because its state could not be persisted.
bool Rollout::start_step(TimePoint now, TargetState& target) {
  Step step;
  step.operation = plan_.id;
  step.fence = target.fence;
  step.kind = plan_.kind;
  step.fallback = plan_.fallback;
  step.version = rolling_back_ ? plan_.version_before : plan_.version;
  step.drain_within = plan_.drain_within;
  step.up_within = plan_.up_within;
  target.set(Stage::requested, "asked");
  target.requested_at = now;
  target.version = step.version;
  ++started_since_gate_;
  if (!host_.persist(state_)) {
    target.stage = Stage::waiting;
    end(State::failed, "its state can't be written");
    return false;
  }
  host_.step(target.agent, target.instance, step);
  return true;
}

// ---- Ending

void Rollout::on_step_response(TimePoint now, const std::string& instance, bool accepted,
                               const std::string& fault) {
  TargetState* target = find(instance);
  if (!target || target->stage != Stage::requested || accepted) return;
  target->set(Stage::failed, fault);
  ++failed_steps_;
  evaluate(now);
}

void Rollout::on_step_ended(TimePoint now, const std::string& instance, const Step& step, StepEnd end,
                            const std::string& detail) {
  TargetState* target = find(instance);
  if (!target || target->fence != step.fence || target->version != step.version) return;
  if (target->stage != Stage::requested && target->stage != Stage::unknown) return;
  target->detail = detail;
  if (rolling_back_ && target->version != plan_.version_before) {
    // The step was in progress when the rollback was requested: the target now has to be stepped back, too.
    target->stage = Stage::waiting;
  } else if (end == StepEnd::done) {
    const bool serves = plan_.kind != StepKind::drain;
    target->stage = serves && plan_.warm > Duration(0) ? Stage::warming : Stage::done;
    target->warm_at = now + plan_.warm;
  } else {
    target->stage = Stage::failed;
    ++failed_steps_;
  }
  evaluate(now);
}

void Rollout::update_steps_in_progress(TimePoint now) {
  const Duration step_timeout =
      plan_.drain_within + plan_.up_within + plan_.lease_duration + step_report_allowance;
  for (TargetState& target : targets_) {
    if (target.stage == Stage::warming && now >= target.warm_at) target.stage = Stage::done;
    if (target.stage != Stage::requested || now - target.requested_at <= step_timeout) continue;
    target.set(Stage::unknown, "its agent did not say how it ended");
    ++failed_steps_;
  }
}

}  // namespace pearchute::fleet
