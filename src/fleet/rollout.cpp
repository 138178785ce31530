#include "fleet/rollout.h"

#include <algorithm>

namespace pearchute::fleet {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// How old a look at an instance may be to count: three rounds of looks, of which two may get lost.
constexpr Duration status_interval = milliseconds(500), status_valid_for = milliseconds(1600);
// LeaseTable are renewed at a third of their lease_duration, so that two renewals may get lost; and nothing
// is asked under one that has less than this left, lest it ends on the way.
constexpr Duration min_lease_remaining = milliseconds(500);
// How long an agent may take to answer for its claims before all are given back.
constexpr Duration lease_response_timeout = seconds(5);

}  // namespace

bool is_over(Rollout::State state) {
  return state == Rollout::State::done || state == Rollout::State::aborted || state == Rollout::State::failed;
}

bool Rollout::over() const { return is_over(state_); }

std::string_view name_of(Rollout::State state) {
  constexpr std::string_view details[] = {"planned",  "claiming", "running", "gate",  "paused",
                                          "aborting", "done",     "aborted", "failed"};
  return details[static_cast<int>(state)];
}

std::string_view name_of(Rollout::Stage stage) {
  constexpr std::string_view details[] = {"waiting", "asked", "warming", "done", "failed", "unknown"};
  return details[static_cast<int>(stage)];
}

Rollout::Rollout(Host& host, RolloutPlan plan) : host_(host), plan_(std::move(plan)) {
  for (const Target& target : plan_.targets) {
    targets_.emplace_back().target = target;
    agents_[target.agent].instances.push_back(target.instance);
  }
  for (auto& [name, agent] : agents_) std::ranges::sort(agent.instances);
}

std::map<std::string, Rollout::Stage> Rollout::stages() const {
  std::map<std::string, Stage> stages;
  for (const TargetState& one : targets_) stages[one.target.instance] = one.stage;
  return stages;
}

std::map<std::string, std::string> Rollout::details() const {
  std::map<std::string, std::string> details;
  for (const TargetState& one : targets_) details[one.target.instance] = one.detail;
  return details;
}

Rollout::TargetState* Rollout::find(const std::string& instance) {
  const auto at =
      std::ranges::find(targets_, instance, [](const TargetState& one) { return one.target.instance; });
  return at == targets_.end() ? nullptr : &*at;
}

void Rollout::enter(State state, std::string detail) {
  state_ = state, detail_ = std::move(detail);
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

// ---- LeaseTable: one agent after the other, in the order of their names

void Rollout::begin(TimePoint now) {
  if (state_ != State::planned) return;
  if (targets_.empty()) return end(State::done, "no instance is chosen");
  if (!host_.persist(State::acquiring_leases)) return end(State::failed, "its state can't be written");
  enter(State::acquiring_leases, "");
  request_next_lease(now);
}

void Rollout::request_next_lease(TimePoint now) {
  const auto next = std::ranges::find_if(agents_, [](const auto& one) { return !one.second.granted; });
  if (next == agents_.end()) {
    pending_agent_.clear();
    return enter(State::running, "");
  }
  pending_agent_ = next->first;
  lease_response_deadline_ = now + lease_response_timeout;
  host_.request_leases(pending_agent_, next->second.instances);
}

void Rollout::on_lease_response(TimePoint now, TimePoint sent, const std::string& name, bool granted,
                                const std::map<std::string, std::uint64_t>& fences,
                                const std::string& holder) {
  const auto at = agents_.find(name);
  if (at == agents_.end()) return;
  Agent& agent = at->second;
  const bool wanted = state_ == State::acquiring_leases && pending_agent_ == name;
  if (!wanted) {
    // Late: for a rollout that is over it is given back at once.
    if (granted && over()) host_.release(name);
    return;
  }
  if (!granted) return end(State::failed, "no claim from " + name + ": " + holder);
  agent.granted = true, agent.lost = false;
  agent.lease_until = sent + plan_.lease_duration, agent.renew_at = now + plan_.lease_duration / 3;
  for (const auto& [instance, fence] : fences) {
    if (TargetState* one = find(instance)) one->fence = fence;
  }
  request_next_lease(now);
}

void Rollout::renewed(TimePoint, TimePoint sent, const std::string& name, bool live) {
  const auto at = agents_.find(name);
  if (at == agents_.end() || !at->second.granted) return;
  Agent& agent = at->second;
  if (live) {
    agent.lease_until = std::max(agent.lease_until, sent + plan_.lease_duration);
    return;
  }
  // Taken over, or given up by its owner: what is under way there ends by the owner's word.
  agent.granted = false, agent.lost = true;
  if (!over()) end(State::failed, "the claims at " + name + " are lost to another operation");
}

// ---- Steps

int Rollout::steps_in_progress() const {
  return static_cast<int>(std::ranges::count_if(targets_, [](const TargetState& one) {
    return one.stage == Stage::requested || one.stage == Stage::warming;
  }));
}

// Those that are known to serve and are warm; what was asked to stop does not count, whatever the last look
// said.
int Rollout::serving_in(TimePoint now, const std::string& zone) const {
  int count = 0;
  for (const auto& [instance, seen] : statuses_) {
    if (seen.zone != zone || !seen.serving || now - seen.at > status_valid_for) continue;
    if (now - seen.serving_since < plan_.warm) continue;
    const auto one =
        std::ranges::find(targets_, instance, [](const TargetState& each) { return each.target.instance; });
    if (one != targets_.end() && (one->stage == Stage::requested || one->stage == Stage::warming)) continue;
    count += 1;
  }
  return count;
}

bool Rollout::may_step(TimePoint now, const TargetState& one) const {
  if (steps_in_progress() >= plan_.max_concurrent) return false;
  const Agent& agent = agents_.at(one.target.agent);
  if (!agent.granted || now + min_lease_remaining >= agent.lease_until) return false;
  const auto seen = statuses_.find(one.target.instance);
  if (seen == statuses_.end() || now - seen->second.at > status_valid_for) return false;
  if (plan_.kind == StepKind::resume) return true;
  const auto least = plan_.min_serving.find(one.target.zone);
  if (least == plan_.min_serving.end() || !seen->second.serving) return true;
  // It counts among those that serve only once it is warm; it stops serving either way.
  const bool counts = now - seen->second.serving_since >= plan_.warm;
  return serving_in(now, one.target.zone) - counts >= least->second;
}

void Rollout::step_next(TimePoint now) {
  if (state_ != State::running) return;
  if (plan_.batch > 0 && started_since_gate_ >= plan_.batch) {
    if (steps_in_progress() > 0) return;
    const bool left =
        std::ranges::any_of(targets_, [](const TargetState& one) { return one.stage == Stage::waiting; });
    if (left) {
      started_since_gate_ = 0;
      gate_until_ = now + plan_.gate;
      success_share_.reset();
      return enter(State::gate, "");
    }
  }
  for (TargetState& one : targets_) {
    if (one.stage != Stage::waiting) continue;
    if (plan_.batch > 0 && started_since_gate_ >= plan_.batch) break;
    if (!may_step(now, one)) continue;
    Step step;
    step.operation = plan_.id, step.fence = one.fence;
    step.kind = plan_.kind, step.fallback = plan_.fallback;
    step.version = rolling_back_ ? plan_.version_before : plan_.version;
    step.drain_within = plan_.drain_within, step.up_within = plan_.up_within;
    one.stage = Stage::requested, one.requested = now, one.detail = "asked", one.version = step.version;
    started_since_gate_ += 1;
    if (!host_.persist(state_)) {
      one.stage = Stage::waiting;
      return end(State::failed, "its state can't be written");
    }
    host_.step(one.target.agent, one.target.instance, step);
  }
}

void Rollout::on_step_response(TimePoint now, const std::string& instance, bool accepted,
                               const std::string& fault) {
  TargetState* one = find(instance);
  if (!one || one->stage != Stage::requested || accepted) return;
  one->stage = Stage::failed, one->detail = fault;
  failed_steps_ += 1;
  evaluate(now);
}

void Rollout::step_ended(TimePoint now, const std::string& instance, const Step& step, StepEnd how,
                         const std::string& detail) {
  TargetState* one = find(instance);
  if (!one || one->fence != step.fence || one->version != step.version ||
      (one->stage != Stage::requested && one->stage != Stage::unknown))
    return;
  one->detail = detail;
  if (rolling_back_ && one->version != plan_.version_before) {
    // It was under way when the way back was asked for: now it goes back, too.
    one->stage = Stage::waiting;
  } else if (how == StepEnd::done) {
    const bool serves = plan_.kind != StepKind::drain;
    one->stage = serves && plan_.warm > Duration(0) ? Stage::warming : Stage::done;
    one->warm_at = now + plan_.warm;
  } else {
    one->stage = Stage::failed;
    failed_steps_ += 1;
  }
  evaluate(now);
}

void Rollout::on_instance_state(TimePoint now, const std::string& instance, const std::string& zone,
                                InstanceState condition) {
  InstanceStatus& seen = statuses_[instance];
  const bool serving = condition == InstanceState::serving;
  if (serving && !seen.serving && seen.condition != InstanceState::unseen) seen.serving_since = now;
  // One that served when it was first seen has done so for as long as anybody here knows.
  if (serving && seen.condition == InstanceState::unseen) seen.serving_since = now - plan_.warm;
  seen.zone = zone, seen.condition = condition, seen.at = now, seen.serving = serving;
}

void Rollout::on_service_level(TimePoint, double share_done) {
  if (!baseline_success_share_ && state_ == State::running) baseline_success_share_ = share_done;
  success_share_ = share_done;
}

// ---- What operators say

void Rollout::pause(TimePoint) {
  if (state_ != State::running && state_ != State::gate) return;
  resumed_to_ = state_;
  enter(State::paused, "by an operator");
}

void Rollout::resume(TimePoint now) {
  if (state_ != State::paused) return;
  // LeaseTable that ran out meanwhile are taken anew, and what was left unknown is tried again.
  for (TargetState& one : targets_) {
    if (one.stage == Stage::unknown) one.stage = Stage::waiting;
  }
  continue_under_leases(now, resumed_to_, "resumed");
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
  failed_steps_ = 0, started_since_gate_ = 0;
  // What is under way is waited for; what is through, failed on its way or is not known goes back; what waits
  // has not changed.
  for (TargetState& one : targets_) {
    if (one.stage == Stage::waiting) one.stage = Stage::done, one.detail = "not changed";
    else if (one.stage != Stage::requested) one.stage = Stage::waiting, one.detail = "goes back";
  }
  continue_under_leases(now, State::running, "rolls back");
}

// On with it, under the claims that are there; where some are not, all are taken anew.
void Rollout::continue_under_leases(TimePoint now, State state, const std::string& detail) {
  const bool all = std::ranges::all_of(agents_, [&](const auto& one) {
    return one.second.granted && now + min_lease_remaining < one.second.lease_until;
  });
  if (all) return enter(state, detail);
  for (auto& [name, agent] : agents_) agent.granted = false;
  enter(State::acquiring_leases, detail);
  request_next_lease(now);
}

void Rollout::restore(TimePoint, const std::map<std::string, Stage>& stages) {
  for (TargetState& one : targets_) {
    const auto at = stages.find(one.target.instance);
    if (at == stages.end()) continue;
    one.stage = at->second;
    if (one.stage == Stage::requested)
      one.stage = Stage::unknown, one.detail = "asked before its coordinator ended";
    if (one.stage == Stage::warming) one.stage = Stage::done;
  }
  resumed_to_ = State::running;
  enter(State::paused, "its coordinator ended; resume or abort it");
}

// ---- Time

void Rollout::evaluate(TimePoint now) {
  if (over()) return;
  const bool too_many =
      failed_steps_ > plan_.failures && state_ != State::aborting && state_ != State::paused;
  if (too_many && plan_.reverts && plan_.kind == StepKind::change && !rolling_back_) return roll_back(now);
  if (too_many) enter(State::aborting, std::to_string(failed_steps_) + " instances failed");
  const bool open = steps_in_progress() > 0;
  if (state_ == State::aborting && !open)
    return end(failed_steps_ > plan_.failures ? State::failed : State::aborted, detail_);
  const bool left =
      std::ranges::any_of(targets_, [](const TargetState& one) { return one.stage == Stage::waiting; });
  const bool unknown =
      std::ranges::any_of(targets_, [](const TargetState& one) { return one.stage == Stage::unknown; });
  if (state_ == State::running && !open && !left) {
    if (unknown) end(State::failed, "what became of some is not known");
    else end(State::done, rolling_back_ ? "rolled back" : "");
  }
}

void Rollout::on_timer(TimePoint now) {
  if (over() || state_ == State::planned) return;
  if (now - fleet_status_requested_at_ >= status_interval) {
    fleet_status_requested_at_ = now;
    host_.request_fleet_status();
  }
  for (TargetState& one : targets_) {
    if (one.stage == Stage::warming && now >= one.warm_at) one.stage = Stage::done;
    // An agent that does not say how a step ended in all the time that it may take: its own lease_duration
    // has ended by then, too, and the fallback with it.
    const Duration most = plan_.drain_within + plan_.up_within + plan_.lease_duration + seconds(40);
    if (one.stage == Stage::requested && now - one.requested > most) {
      one.stage = Stage::unknown, one.detail = "its agent did not say how it ended";
      failed_steps_ += 1;
    }
  }
  if (state_ == State::acquiring_leases && now >= lease_response_deadline_)
    return end(State::failed, pending_agent_ + " did not answer for its claims");
  for (auto& [name, agent] : agents_) {
    if (!agent.granted) continue;
    if (now >= agent.lease_until) {
      // Its owner gives it up no sooner than this; nothing is asked there any more.
      agent.granted = false, agent.lost = true;
      for (TargetState& one : targets_) {
        if (one.target.agent != name || one.stage != Stage::requested) continue;
        one.stage = Stage::unknown, one.detail = "contact with its agent is lost";
      }
      if (state_ == State::running || state_ == State::gate)
        enter(State::paused, "contact with " + name + " is lost; its instances fall back");
    } else if (now >= agent.renew_at && (state_ != State::paused || steps_in_progress() > 0)) {
      // Paused, with nothing under way, it holds nobody up: its claims run out, and are taken anew when it is
      // resumed.
      agent.renew_at = now + plan_.lease_duration / 3;
      host_.renew(name, agent.instances);
    }
  }
  if (state_ == State::gate && now >= gate_until_) {
    if (baseline_success_share_ &&
        (!success_share_ || *success_share_ < *baseline_success_share_ - plan_.margin)) {
      enter(State::paused, success_share_ ? "service fell at the gate" : "service is not known at the gate");
      resumed_to_ = State::running;
    } else {
      enter(State::running, "through the gate");
    }
  }
  evaluate(now);
  step_next(now);
}

}  // namespace pearchute::fleet
