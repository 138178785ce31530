// The leases under which a rollout steps its targets. They are acquired one agent after the other, and
// renewed while steps may be started or are in progress.
#include <algorithm>

#include "fleet/rollout.h"

namespace pearchute::fleet {

namespace {

// Renewals during one lease duration: a lease survives two lost renewals.
constexpr int renewals_per_lease = 3;
// A lease with less time left is no longer used, since it might end while a request is on its way.
constexpr Duration min_lease_remaining = std::chrono::milliseconds(500);
// How long an agent may take to answer a lease request.
constexpr Duration lease_response_timeout = std::chrono::seconds(5);

}  // namespace

std::optional<TimePoint> Rollout::lease_until(const std::string& agent) const {
  const auto found = agents_.find(agent);
  if (found == agents_.end() || !found->second.granted) return std::nullopt;
  return found->second.until;
}

bool Rollout::has_usable_leases(TimePoint now, const AgentLeases& agent) {
  return agent.granted && now + min_lease_remaining < agent.until;
}

void Rollout::request_next_lease(TimePoint now) {
  const auto next = std::ranges::find_if(agents_, [](const auto& agent) { return !agent.second.granted; });
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
  const auto found = agents_.find(name);
  if (found == agents_.end()) return;
  if (state_ != State::acquiring_leases || pending_agent_ != name) {
    // This response is late: leases granted for a rollout that is over are released at once.
    if (granted && over()) host_.release(name);
    return;
  }
  if (!granted) return end(State::failed, "no claim from " + name + ": " + holder);
  AgentLeases& agent = found->second;
  agent.granted = true;
  agent.until = sent + plan_.lease_duration;
  agent.renew_at = now + plan_.lease_duration / renewals_per_lease;
  for (const auto& [instance, fence] : fences) {
    if (TargetState* target = find(instance)) target->fence = fence;
  }
  request_next_lease(now);
}

void Rollout::on_renewal_response(TimePoint, TimePoint sent, const std::string& name, bool live) {
  const auto found = agents_.find(name);
  if (found == agents_.end() || !found->second.granted) return;
  AgentLeases& agent = found->second;
  if (live) {
    agent.until = std::max(agent.until, sent + plan_.lease_duration);
    return;
  }
  // Another operation has taken the leases over, or they have expired at the owner, which also lets the steps
  // in progress there fall back.
  agent.granted = false;
  if (!over()) end(State::failed, "the claims at " + name + " are lost to another operation");
}

// Enters `state` if all leases are usable. Otherwise acquires all leases again first.
void Rollout::continue_under_leases(TimePoint now, State state, const std::string& detail) {
  const bool all_usable =
      std::ranges::all_of(agents_, [&](const auto& agent) { return has_usable_leases(now, agent.second); });
  if (all_usable) return enter(state, detail);
  for (auto& [name, agent] : agents_) agent.granted = false;
  enter(State::acquiring_leases, detail);
  request_next_lease(now);
}

void Rollout::renew_or_expire_leases(TimePoint now) {
  for (auto& [name, agent] : agents_) {
    if (!agent.granted) continue;
    // A paused rollout without steps in progress lets its leases expire, so that it does not block other
    // operations. Resuming it acquires them again.
    const bool needed = state_ != State::paused || steps_in_progress() > 0;
    if (now >= agent.until) {
      on_lease_expired(name, agent);
    } else if (now >= agent.renew_at && needed) {
      agent.renew_at = now + plan_.lease_duration / renewals_per_lease;
      host_.renew(name, agent.instances);
    }
  }
}

// Handles the end of an agent's leases by the coordinator's count. The owner's count ends no sooner. No step
// is requested from the agent until its leases are acquired again.
void Rollout::on_lease_expired(const std::string& name, AgentLeases& agent) {
  agent.granted = false;
  for (TargetState& target : targets_) {
    if (target.agent == name && target.stage == Stage::requested)
      target.set(Stage::unknown, "contact with its agent is lost");
  }
  if (state_ == State::running || state_ == State::gate)
    enter(State::paused, "contact with " + name + " is lost; its instances fall back");
}

}  // namespace pearchute::fleet
