#include "fleet/claims.h"

#include <algorithm>

namespace pearchute::fleet {

void Claims::owns(Span now, const std::string& instance, std::uint64_t last_fence,
                  const std::optional<Claim>& open, Span lease) {
  Owned& owned = owned_[instance];
  owned.last_fence = std::max(owned.last_fence, last_fence);
  if (open) {
    owned.claim = open;
    owned.claim->since = now, owned.claim->until = now + std::clamp(lease, shortest_lease, longest_lease);
    owned.last_fence = std::max(owned.last_fence, open->fence);
  }
  set_wake();
}

bool Claims::disown(Span now, const std::string& instance) {
  woken(now);
  const auto at = owned_.find(instance);
  if (at == owned_.end()) return true;
  if (at->second.claim) return false;
  owned_.erase(at);
  return true;
}

Claims::Answer Claims::ask(Span now, const ClaimAsk& ask) {
  Answer answer;
  woken(now);
  if (ask.operation.empty() || ask.who.empty() || ask.instances.empty())
    answer.fault = "an ask without a name";
  if (ask.lease < shortest_lease || ask.lease > longest_lease) answer.fault = "a lease out of bounds";
  for (const std::string& instance : ask.instances) {
    const auto at = owned_.find(instance);
    if (at == owned_.end()) {
      answer.fault = instance + " is not this agent's";
    } else if (at->second.claim && at->second.claim->operation != ask.operation && !ask.take_over) {
      answer.held.push_back({instance, *at->second.claim});
    }
  }
  if (!answer.fault.empty() || !answer.held.empty()) return answer;
  std::map<std::string, Claim> granted;
  for (const std::string& instance : ask.instances) {
    const Owned& owned = owned_.at(instance);
    // The same ask again keeps its fence: its answer may have been lost.
    const bool again = owned.claim && owned.claim->operation == ask.operation;
    granted[instance] = {ask.operation, ask.who, again ? owned.claim->fence : owned.last_fence + 1,
                         again ? owned.claim->since : now, now + ask.lease};
  }
  if (!host_.keep(granted)) {
    answer.fault = "the agent can't write its state";
    return answer;
  }
  answer.granted = true;
  for (const auto& [instance, claim] : granted) {
    Owned& owned = owned_.at(instance);
    if (owned.claim && owned.claim->operation != ask.operation) end(instance, owned, Ended::taken_over);
    owned.claim = claim;
    owned.last_fence = claim.fence;
    answer.fences[instance] = claim.fence;
  }
  set_wake();
  return answer;
}

bool Claims::renew(Span now, const std::string& operation, const std::vector<std::string>& instances,
                   Span lease) {
  woken(now);
  bool all = true;
  for (const std::string& instance : instances) {
    const auto at = owned_.find(instance);
    const bool live = at != owned_.end() && at->second.claim && at->second.claim->operation == operation;
    all = all && live;
    if (!live) continue;
    Span& until = at->second.claim->until;
    until = std::max(until, now + std::clamp(lease, shortest_lease, longest_lease));
  }
  set_wake();
  return all;
}

void Claims::release(Span now, const std::string& operation) {
  woken(now);
  for (auto& [instance, owned] : owned_) {
    if (owned.claim && owned.claim->operation == operation) end(instance, owned, Ended::released);
  }
}

void Claims::woken(Span now) {
  for (auto& [instance, owned] : owned_) {
    if (owned.claim && now >= owned.claim->until) end(instance, owned, Ended::run_out);
  }
  set_wake();
}

void Claims::end(const std::string& instance, Owned& owned, Ended why) {
  const Claim claim = *owned.claim;
  owned.claim.reset();
  host_.claim_ended(instance, claim, why);
}

void Claims::set_wake() {
  std::optional<Span> next;
  for (const auto& [instance, owned] : owned_) {
    if (owned.claim) next = std::min(next.value_or(owned.claim->until), owned.claim->until);
  }
  if (next) host_.wake_at(*next);
}

// By the clock alone, whether or not somebody has been woken for the lease's end.
bool Claims::live(Span now, const std::string& instance, std::uint64_t fence) const {
  const auto at = owned_.find(instance);
  return at != owned_.end() && at->second.claim && at->second.claim->fence == fence &&
         now < at->second.claim->until;
}

std::optional<Claim> Claims::claim_on(Span now, const std::string& instance) const {
  const auto at = owned_.find(instance);
  if (at == owned_.end() || !at->second.claim || now >= at->second.claim->until) return std::nullopt;
  return at->second.claim;
}

std::uint64_t Claims::last_fence(const std::string& instance) const {
  const auto at = owned_.find(instance);
  return at == owned_.end() ? 0 : at->second.last_fence;
}

}  // namespace pearchute::fleet
