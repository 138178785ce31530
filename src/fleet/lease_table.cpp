#include "fleet/lease_table.h"

#include <algorithm>

namespace pearchute::fleet {

void LeaseTable::add_instance(TimePoint now, const std::string& instance, std::uint64_t last_fence,
                              const std::optional<Lease>& open, Duration lease_duration) {
  Owned& owned = owned_[instance];
  owned.last_fence = std::max(owned.last_fence, last_fence);
  if (open) {
    owned.lease = open;
    owned.lease->since = now, owned.lease->until = now + std::clamp(lease_duration, min_lease, max_lease);
    owned.last_fence = std::max(owned.last_fence, open->fence);
  }
  set_wake();
}

bool LeaseTable::remove_instance(TimePoint now, const std::string& instance) {
  on_timer(now);
  const auto at = owned_.find(instance);
  if (at == owned_.end()) return true;
  if (at->second.lease) return false;
  owned_.erase(at);
  return true;
}

LeaseTable::Answer LeaseTable::acquire(TimePoint now, const LeaseRequest& request) {
  Answer answer;
  on_timer(now);
  if (request.operation.empty() || request.who.empty() || request.instances.empty())
    answer.fault = "an ask without a name";
  if (request.lease_duration < min_lease || request.lease_duration > max_lease)
    answer.fault = "a lease out of bounds";
  for (const std::string& instance : request.instances) {
    const auto at = owned_.find(instance);
    if (at == owned_.end()) {
      answer.fault = instance + " is not this agent's";
    } else if (at->second.lease && at->second.lease->operation != request.operation && !request.take_over) {
      answer.conflicts.push_back({instance, *at->second.lease});
    }
  }
  if (!answer.fault.empty() || !answer.conflicts.empty()) return answer;
  std::map<std::string, Lease> granted;
  for (const std::string& instance : request.instances) {
    const Owned& owned = owned_.at(instance);
    // The same ask again keeps its fence: its answer may have been lost.
    const bool again = owned.lease && owned.lease->operation == request.operation;
    granted[instance] = {request.operation, request.who, again ? owned.lease->fence : owned.last_fence + 1,
                         again ? owned.lease->since : now, now + request.lease_duration};
  }
  if (!host_.persist(granted)) {
    answer.fault = "the agent can't write its state";
    return answer;
  }
  answer.granted = true;
  for (const auto& [instance, lease] : granted) {
    Owned& owned = owned_.at(instance);
    if (owned.lease && owned.lease->operation != request.operation)
      end(instance, owned, EndReason::taken_over);
    owned.lease = lease;
    owned.last_fence = lease.fence;
    answer.fences[instance] = lease.fence;
  }
  set_wake();
  return answer;
}

bool LeaseTable::renew(TimePoint now, const std::string& operation, const std::vector<std::string>& instances,
                       Duration lease_duration) {
  on_timer(now);
  bool all = true;
  for (const std::string& instance : instances) {
    const auto at = owned_.find(instance);
    const bool live = at != owned_.end() && at->second.lease && at->second.lease->operation == operation;
    all = all && live;
    if (!live) continue;
    TimePoint& until = at->second.lease->until;
    until = std::max(until, now + std::clamp(lease_duration, min_lease, max_lease));
  }
  set_wake();
  return all;
}

void LeaseTable::release(TimePoint now, const std::string& operation) {
  on_timer(now);
  for (auto& [instance, owned] : owned_) {
    if (owned.lease && owned.lease->operation == operation) end(instance, owned, EndReason::released);
  }
}

void LeaseTable::on_timer(TimePoint now) {
  for (auto& [instance, owned] : owned_) {
    if (owned.lease && now >= owned.lease->until) end(instance, owned, EndReason::run_out);
  }
  set_wake();
}

void LeaseTable::end(const std::string& instance, Owned& owned, EndReason why) {
  const Lease lease = *owned.lease;
  owned.lease.reset();
  host_.lease_ended(instance, lease, why);
}

void LeaseTable::set_wake() {
  std::optional<TimePoint> next;
  for (const auto& [instance, owned] : owned_) {
    if (owned.lease) next = std::min(next.value_or(owned.lease->until), owned.lease->until);
  }
  if (next) host_.wake_at(*next);
}

// By the clock alone, whether or not somebody has been woken for the lease_duration's end.
bool LeaseTable::live(TimePoint now, const std::string& instance, std::uint64_t fence) const {
  const auto at = owned_.find(instance);
  return at != owned_.end() && at->second.lease && at->second.lease->fence == fence &&
         now < at->second.lease->until;
}

std::optional<Lease> LeaseTable::lease_on(TimePoint now, const std::string& instance) const {
  const auto at = owned_.find(instance);
  if (at == owned_.end() || !at->second.lease || now >= at->second.lease->until) return std::nullopt;
  return at->second.lease;
}

std::uint64_t LeaseTable::last_fence(const std::string& instance) const {
  const auto at = owned_.find(instance);
  return at == owned_.end() ? 0 : at->second.last_fence;
}

}  // namespace pearchute::fleet
