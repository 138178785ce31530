#include "fleet/rollout.h"

#include <algorithm>

namespace pearchute::fleet {

namespace {

// Time between two requests for the state of the fleet.
constexpr Duration fleet_status_interval = std::chrono::milliseconds(500);

}  // namespace

bool is_over(Rollout::State state) {
  return state == Rollout::State::done || state == Rollout::State::aborted || state == Rollout::State::failed;
}

std::string_view name_of(Rollout::State state) {
  constexpr std::string_view names[] = {"planned",  "claiming", "running", "gate",  "paused",
                                        "aborting", "done",     "aborted", "failed"};
  return names[static_cast<int>(state)];
}

std::string_view name_of(Rollout::Stage stage) {
  constexpr std::string_view names[] = {"waiting", "asked", "warming", "done", "failed", "unknown"};
  return names[static_cast<int>(stage)];
}

Rollout::Rollout(Host& host, RolloutPlan plan) : host_(host), plan_(std::move(plan)) {
  for (const Target& target : plan_.targets) {
    static_cast<Target&>(targets_.emplace_back()) = target;
    agents_[target.agent].instances.push_back(target.instance);
  }
  for (auto& [name, agent] : agents_) std::ranges::sort(agent.instances);
}

void Rollout::TargetState::set(Stage next, std::string reason) {
  stage = next;
  detail = std::move(reason);
}

std::map<std::string, Rollout::Stage> Rollout::stages() const {
  std::map<std::string, Stage> stages;
  for (const TargetState& target : targets_) stages[target.instance] = target.stage;
  return stages;
}

std::map<std::string, std::string> Rollout::details() const {
  std::map<std::string, std::string> details;
  for (const TargetState& target : targets_) details[target.instance] = target.detail;
  return details;
}

bool Rollout::over() const { return is_over(state_); }

Rollout::TargetState* Rollout::find(const std::string& instance) {
  const auto found = std::ranges::find(targets_, instance, &TargetState::instance);
  return found == targets_.end() ? nullptr : &*found;
}

bool Rollout::any_in(Stage stage) const {
  return std::ranges::find(targets_, stage, &TargetState::stage) != targets_.end();
}

// ---- States

void Rollout::enter(State state, std::string detail) {
  state_ = state;
  detail_ = std::move(detail);
  host_.persist(state);
  host_.on_event(std::string(name_of(state)) + (detail_.empty() ? "" : ": " + detail_));
}

void Rollout::end(State state, const std::string& detail) {
  if (over()) return;
  enter(state, detail);
  for (auto& [name, agent] : agents_) {
    if (agent.granted) host_.release(name);
    agent.granted = false;
  }
}

void Rollout::begin(TimePoint now) {
  if (state_ != State::planned) return;
  if (targets_.empty()) return end(State::done, "no instance is chosen");
  if (!host_.persist(State::acquiring_leases)) return end(State::failed, "its state can't be written");
  enter(State::acquiring_leases, "");
  request_next_lease(now);
}

void Rollout::restore(TimePoint, const std::map<std::string, Stage>& stages) {
  for (TargetState& target : targets_) {
    const auto found = stages.find(target.instance);
    if (found == stages.end()) continue;
    target.stage = found->second;
    if (target.stage == Stage::requested) target.set(Stage::unknown, "asked before its coordinator ended");
    if (target.stage == Stage::warming) target.stage = Stage::done;
  }
  state_before_pause_ = State::running;
  enter(State::paused, "its coordinator ended; resume or abort it");
}

// Ends the rollout if nothing is left to do. If too many steps have failed, rolls it back or aborts it.
void Rollout::evaluate(TimePoint now) {
  if (over()) return;
  const bool too_many_failed =
      failed_steps_ > plan_.failures && state_ != State::aborting && state_ != State::paused;
  if (too_many_failed && plan_.reverts && plan_.kind == StepKind::change && !rolling_back_)
    return roll_back(now);
  if (too_many_failed) enter(State::aborting, std::to_string(failed_steps_) + " instances failed");
  if (steps_in_progress() > 0) return;
  if (state_ == State::aborting)
    return end(failed_steps_ > plan_.failures ? State::failed : State::aborted, detail_);
  if (state_ != State::running || any_in(Stage::waiting)) return;
  if (any_in(Stage::unknown)) return end(State::failed, "what became of some is not known");
  end(State::done, rolling_back_ ? "rolled back" : "");
}

// ---- The gate between two batches

bool Rollout::enter_gate_if_due(TimePoint now) {
  if (!any_in(Stage::waiting)) return false;
  started_since_gate_ = 0;
  gate_until_ = now + plan_.gate;
  success_share_.reset();
  enter(State::gate, "");
  return true;
}

void Rollout::on_service_level(TimePoint, double success_share) {
  if (!baseline_success_share_ && state_ == State::running) baseline_success_share_ = success_share;
  success_share_ = success_share;
}

void Rollout::evaluate_gate(TimePoint now) {
  if (state_ != State::gate || now < gate_until_) return;
  const bool has_fallen = baseline_success_share_ &&
                          (!success_share_ || *success_share_ < *baseline_success_share_ - plan_.margin);
  if (!has_fallen) return enter(State::running, "through the gate");
  enter(State::paused, success_share_ ? "service fell at the gate" : "service is not known at the gate");
  state_before_pause_ = State::running;
}

// ---- Operators' commands

void Rollout::pause(TimePoint) {
  if (state_ != State::running && state_ != State::gate) return;
  state_before_pause_ = state_;
  enter(State::paused, "by an operator");
}

void Rollout::resume(TimePoint now) {
  if (state_ != State::paused) return;
  // A step whose end is unknown is tried again.
  for (TargetState& target : targets_) {
    if (target.stage == Stage::unknown) target.stage = Stage::waiting;
  }
  continue_under_leases(now, state_before_pause_, "resumed");
}

void Rollout::abort(TimePoint now) {
  if (over()) return;
  enter(State::aborting, "by an operator");
  evaluate(now);
}

void Rollout::roll_back(TimePoint now) {
  const bool begun = state_ != State::planned && state_ != State::acquiring_leases;
  if (plan_.kind != StepKind::change || rolling_back_ || over() || !begun) return;
  rolling_back_ = true;
  failed_steps_ = 0;
  started_since_gate_ = 0;
  // A waiting target has not been changed. A step in progress is awaited. All other targets have been
  // changed, or may have been, and are stepped back.
  for (TargetState& target : targets_) {
    if (target.stage == Stage::waiting) target.set(Stage::done, "not changed");
    else if (target.stage != Stage::requested) target.set(Stage::waiting, "goes back");
  }
  continue_under_leases(now, State::running, "rolls back");
}

// ---- Time

void Rollout::on_timer(TimePoint now) {
  if (over() || state_ == State::planned) return;
  if (!fleet_status_requested_at_ || now - *fleet_status_requested_at_ >= fleet_status_interval) {
    fleet_status_requested_at_ = now;
    host_.request_fleet_status();
  }
  update_steps_in_progress(now);
  if (state_ == State::acquiring_leases && now >= lease_response_deadline_)
    return end(State::failed, pending_agent_ + " did not answer for its claims");
  renew_or_expire_leases(now);
  evaluate_gate(now);
  evaluate(now);
  start_due_steps(now);
}

}  // namespace pearchute::fleet
