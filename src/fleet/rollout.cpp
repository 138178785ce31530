#include "fleet/rollout.h"

#include <algorithm>

namespace pearchute::fleet {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// How old a look at an instance may be to count: three rounds of looks, of which two may get lost.
constexpr Span look_every = milliseconds(500), looks_count_for = milliseconds(1600);
// Claims are renewed at a third of their lease, so that two renewals may get lost; and nothing is asked under
// one that has less than this left, lest it ends on the way.
constexpr Span least_left = milliseconds(500);
// How long an agent may take to answer for its claims before all are given back.
constexpr Span claims_within = seconds(5);

}  // namespace

bool is_over(Rollout::State state) {
  return state == Rollout::State::done || state == Rollout::State::aborted || state == Rollout::State::failed;
}

bool Rollout::over() const { return is_over(state_); }

std::string_view word_for(Rollout::State state) {
  constexpr std::string_view words[] = {"planned",  "claiming", "running", "gate",  "paused",
                                        "aborting", "done",     "aborted", "failed"};
  return words[static_cast<int>(state)];
}

std::string_view word_for(Rollout::Stage stage) {
  constexpr std::string_view words[] = {"waiting", "asked", "warming", "done", "failed", "unknown"};
  return words[static_cast<int>(stage)];
}

Rollout::Rollout(Host& host, RolloutPlan plan) : host_(host), plan_(std::move(plan)) {
  for (const Target& target : plan_.targets) {
    all_.emplace_back().target = target;
    agents_[target.agent].instances.push_back(target.instance);
  }
  for (auto& [name, agent] : agents_) std::ranges::sort(agent.instances);
}

std::map<std::string, Rollout::Stage> Rollout::stages() const {
  std::map<std::string, Stage> stages;
  for (const One& one : all_) stages[one.target.instance] = one.stage;
  return stages;
}

std::map<std::string, std::string> Rollout::words() const {
  std::map<std::string, std::string> words;
  for (const One& one : all_) words[one.target.instance] = one.word;
  return words;
}

Rollout::One* Rollout::find(const std::string& instance) {
  const auto at = std::ranges::find(all_, instance, [](const One& one) { return one.target.instance; });
  return at == all_.end() ? nullptr : &*at;
}

void Rollout::enter(State state, std::string word) {
  state_ = state, word_ = std::move(word);
  host_.keep(state);
  host_.told(std::string(word_for(state)) + (word_.empty() ? "" : ": " + word_));
}

void Rollout::end(State state, const std::string& word) {
  if (over()) return;
  enter(state, word);
  for (auto& [name, agent] : agents_) {
    if (agent.granted) host_.release(name);
    agent.granted = false;
  }
}

// ---- Claims: one agent after the other, in the order of their names

void Rollout::begin(Span now) {
  if (state_ != State::planned) return;
  if (all_.empty()) return end(State::done, "no instance is chosen");
  if (!host_.keep(State::claiming)) return end(State::failed, "its state can't be written");
  enter(State::claiming, "");
  claim_next(now);
}

void Rollout::claim_next(Span now) {
  const auto next = std::ranges::find_if(agents_, [](const auto& one) { return !one.second.granted; });
  if (next == agents_.end()) {
    claiming_.clear();
    return enter(State::running, "");
  }
  claiming_ = next->first;
  claim_until_ = now + claims_within;
  host_.ask_claims(claiming_, next->second.instances);
}

void Rollout::claims_answered(Span now, Span sent, const std::string& name, bool granted,
                              const std::map<std::string, std::uint64_t>& fences, const std::string& holder) {
  const auto at = agents_.find(name);
  if (at == agents_.end()) return;
  Agent& agent = at->second;
  const bool wanted = state_ == State::claiming && claiming_ == name;
  if (!wanted) {
    // Late: for a rollout that is over it is given back at once.
    if (granted && over()) host_.release(name);
    return;
  }
  if (!granted) return end(State::failed, "no claim from " + name + ": " + holder);
  agent.granted = true, agent.lost = false;
  agent.lease_until = sent + plan_.lease, agent.renew_at = now + plan_.lease / 3;
  for (const auto& [instance, fence] : fences) {
    if (One* one = find(instance)) one->fence = fence;
  }
  claim_next(now);
}

void Rollout::renewed(Span, Span sent, const std::string& name, bool live) {
  const auto at = agents_.find(name);
  if (at == agents_.end() || !at->second.granted) return;
  Agent& agent = at->second;
  if (live) {
    agent.lease_until = std::max(agent.lease_until, sent + plan_.lease);
    return;
  }
  // Taken over, or given up by its owner: what is under way there ends by the owner's word.
  agent.granted = false, agent.lost = true;
  if (!over()) end(State::failed, "the claims at " + name + " are lost to another operation");
}

// ---- Steps

int Rollout::under_way() const {
  return static_cast<int>(std::ranges::count_if(
      all_, [](const One& one) { return one.stage == Stage::asked || one.stage == Stage::warming; }));
}

// Those that are known to serve and are warm; what was asked to stop does not count, whatever the last look
// said.
int Rollout::serving_in(Span now, const std::string& zone) const {
  int count = 0;
  for (const auto& [instance, seen] : seen_) {
    if (seen.zone != zone || !seen.serving || now - seen.at > looks_count_for) continue;
    if (now - seen.serving_since < plan_.warm) continue;
    const auto one = std::ranges::find(all_, instance, [](const One& each) { return each.target.instance; });
    if (one != all_.end() && (one->stage == Stage::asked || one->stage == Stage::warming)) continue;
    count += 1;
  }
  return count;
}

bool Rollout::may_step(Span now, const One& one) const {
  if (under_way() >= plan_.at_once) return false;
  const Agent& agent = agents_.at(one.target.agent);
  if (!agent.granted || now + least_left >= agent.lease_until) return false;
  const auto seen = seen_.find(one.target.instance);
  if (seen == seen_.end() || now - seen->second.at > looks_count_for) return false;
  if (plan_.kind == StepKind::resume) return true;
  const auto least = plan_.least_serving.find(one.target.zone);
  if (least == plan_.least_serving.end() || !seen->second.serving) return true;
  // It counts among those that serve only once it is warm; it stops serving either way.
  const bool counts = now - seen->second.serving_since >= plan_.warm;
  return serving_in(now, one.target.zone) - counts >= least->second;
}

void Rollout::go_on(Span now) {
  if (state_ != State::running) return;
  if (plan_.batch > 0 && since_gate_ >= plan_.batch) {
    if (under_way() > 0) return;
    const bool left = std::ranges::any_of(all_, [](const One& one) { return one.stage == Stage::waiting; });
    if (left) {
      since_gate_ = 0;
      gate_until_ = now + plan_.gate;
      share_now_.reset();
      return enter(State::gate, "");
    }
  }
  for (One& one : all_) {
    if (one.stage != Stage::waiting) continue;
    if (plan_.batch > 0 && since_gate_ >= plan_.batch) break;
    if (!may_step(now, one)) continue;
    Step step;
    step.operation = plan_.id, step.fence = one.fence;
    step.kind = plan_.kind, step.fallback = plan_.fallback;
    step.version = going_back_ ? plan_.version_before : plan_.version;
    step.drain_within = plan_.drain_within, step.up_within = plan_.up_within;
    one.stage = Stage::asked, one.asked = now, one.word = "asked", one.version = step.version;
    since_gate_ += 1;
    if (!host_.keep(state_)) {
      one.stage = Stage::waiting;
      return end(State::failed, "its state can't be written");
    }
    host_.step(one.target.agent, one.target.instance, step);
  }
}

void Rollout::step_answered(Span now, const std::string& instance, bool accepted, const std::string& fault) {
  One* one = find(instance);
  if (!one || one->stage != Stage::asked || accepted) return;
  one->stage = Stage::failed, one->word = fault;
  failed_ += 1;
  settle(now);
}

void Rollout::step_ended(Span now, const std::string& instance, const Step& step, StepEnd how,
                         const std::string& word) {
  One* one = find(instance);
  if (!one || one->fence != step.fence || one->version != step.version ||
      (one->stage != Stage::asked && one->stage != Stage::unknown))
    return;
  one->word = word;
  if (going_back_ && one->version != plan_.version_before) {
    // It was under way when the way back was asked for: now it goes back, too.
    one->stage = Stage::waiting;
  } else if (how == StepEnd::done) {
    const bool serves = plan_.kind != StepKind::drain;
    one->stage = serves && plan_.warm > Span(0) ? Stage::warming : Stage::done;
    one->warm_at = now + plan_.warm;
  } else {
    one->stage = Stage::failed;
    failed_ += 1;
  }
  settle(now);
}

void Rollout::seen(Span now, const std::string& instance, const std::string& zone, Condition condition) {
  Seen& seen = seen_[instance];
  const bool serving = condition == Condition::serving;
  if (serving && !seen.serving && seen.condition != Condition::unseen) seen.serving_since = now;
  // One that served when it was first seen has done so for as long as anybody here knows.
  if (serving && seen.condition == Condition::unseen) seen.serving_since = now - plan_.warm;
  seen.zone = zone, seen.condition = condition, seen.at = now, seen.serving = serving;
}

void Rollout::service(Span, double share_done) {
  if (!share_before_ && state_ == State::running) share_before_ = share_done;
  share_now_ = share_done;
}

// ---- What operators say

void Rollout::pause(Span) {
  if (state_ != State::running && state_ != State::gate) return;
  resumed_to_ = state_;
  enter(State::paused, "by an operator");
}

void Rollout::resume(Span now) {
  if (state_ != State::paused) return;
  // Claims that ran out meanwhile are taken anew, and what was left unknown is tried again.
  for (One& one : all_) {
    if (one.stage == Stage::unknown) one.stage = Stage::waiting;
  }
  run_or_claim(now, resumed_to_, "resumed");
}

void Rollout::abort(Span now) {
  if (over()) return;
  enter(State::aborting, "by an operator");
  settle(now);
}

void Rollout::roll_back(Span now) {
  const bool begun = state_ != State::planned && state_ != State::claiming;
  if (plan_.kind != StepKind::change || going_back_ || over() || !begun) return;
  going_back_ = true;
  failed_ = 0, since_gate_ = 0;
  // What is under way is waited for; what is through, failed on its way or is not known goes back; what waits
  // has not changed.
  for (One& one : all_) {
    if (one.stage == Stage::waiting) one.stage = Stage::done, one.word = "not changed";
    else if (one.stage != Stage::asked) one.stage = Stage::waiting, one.word = "goes back";
  }
  run_or_claim(now, State::running, "rolls back");
}

// On with it, under the claims that are there; where some are not, all are taken anew.
void Rollout::run_or_claim(Span now, State state, const std::string& word) {
  const bool all = std::ranges::all_of(agents_, [&](const auto& one) {
    return one.second.granted && now + least_left < one.second.lease_until;
  });
  if (all) return enter(state, word);
  for (auto& [name, agent] : agents_) agent.granted = false;
  enter(State::claiming, word);
  claim_next(now);
}

void Rollout::remembered(Span, const std::map<std::string, Stage>& stages) {
  for (One& one : all_) {
    const auto at = stages.find(one.target.instance);
    if (at == stages.end()) continue;
    one.stage = at->second;
    if (one.stage == Stage::asked)
      one.stage = Stage::unknown, one.word = "asked before its coordinator ended";
    if (one.stage == Stage::warming) one.stage = Stage::done;
  }
  resumed_to_ = State::running;
  enter(State::paused, "its coordinator ended; resume or abort it");
}

// ---- Time

void Rollout::settle(Span now) {
  if (over()) return;
  const bool too_many = failed_ > plan_.failures && state_ != State::aborting && state_ != State::paused;
  if (too_many && plan_.reverts && plan_.kind == StepKind::change && !going_back_) return roll_back(now);
  if (too_many) enter(State::aborting, std::to_string(failed_) + " instances failed");
  const bool open = under_way() > 0;
  if (state_ == State::aborting && !open)
    return end(failed_ > plan_.failures ? State::failed : State::aborted, word_);
  const bool left = std::ranges::any_of(all_, [](const One& one) { return one.stage == Stage::waiting; });
  const bool unknown = std::ranges::any_of(all_, [](const One& one) { return one.stage == Stage::unknown; });
  if (state_ == State::running && !open && !left) {
    if (unknown) end(State::failed, "what became of some is not known");
    else end(State::done, going_back_ ? "rolled back" : "");
  }
}

void Rollout::woken(Span now) {
  if (over() || state_ == State::planned) return;
  if (now - asked_fleet_at_ >= look_every) {
    asked_fleet_at_ = now;
    host_.ask_fleet();
  }
  for (One& one : all_) {
    if (one.stage == Stage::warming && now >= one.warm_at) one.stage = Stage::done;
    // An agent that does not say how a step ended in all the time that it may take: its own lease has ended
    // by then, too, and the fallback with it.
    const Span most = plan_.drain_within + plan_.up_within + plan_.lease + seconds(40);
    if (one.stage == Stage::asked && now - one.asked > most) {
      one.stage = Stage::unknown, one.word = "its agent did not say how it ended";
      failed_ += 1;
    }
  }
  if (state_ == State::claiming && now >= claim_until_)
    return end(State::failed, claiming_ + " did not answer for its claims");
  for (auto& [name, agent] : agents_) {
    if (!agent.granted) continue;
    if (now >= agent.lease_until) {
      // Its owner gives it up no sooner than this; nothing is asked there any more.
      agent.granted = false, agent.lost = true;
      for (One& one : all_) {
        if (one.target.agent != name || one.stage != Stage::asked) continue;
        one.stage = Stage::unknown, one.word = "contact with its agent is lost";
      }
      if (state_ == State::running || state_ == State::gate)
        enter(State::paused, "contact with " + name + " is lost; its instances fall back");
    } else if (now >= agent.renew_at && (state_ != State::paused || under_way() > 0)) {
      // Paused, with nothing under way, it holds nobody up: its claims run out, and are taken anew when it is
      // resumed.
      agent.renew_at = now + plan_.lease / 3;
      host_.renew(name, agent.instances);
    }
  }
  if (state_ == State::gate && now >= gate_until_) {
    if (share_before_ && (!share_now_ || *share_now_ < *share_before_ - plan_.margin)) {
      enter(State::paused, share_now_ ? "service fell at the gate" : "service is not known at the gate");
      resumed_to_ = State::running;
    } else {
      enter(State::running, "through the gate");
    }
  }
  settle(now);
  go_on(now);
}

}  // namespace pearchute::fleet
