#include "fleet/lease_table.h"

#include <algorithm>

namespace pearchute::fleet {

namespace {

TimePoint expiry(TimePoint now, Duration lease_duration) {
  return now + std::clamp(lease_duration, LeaseTable::min_lease, LeaseTable::max_lease);
}

}  // namespace

void LeaseTable::add_instance(TimePoint now, const std::string& instance, std::uint64_t last_fence,
                              const std::optional<Lease>& open, Duration lease_duration) {
  OwnedInstance& owned = instances_[instance];
  owned.last_fence = std::max(owned.last_fence, last_fence);
  if (open) {
    owned.lease = open;
    owned.lease->since = now;
    owned.lease->until = expiry(now, lease_duration);
    owned.last_fence = std::max(owned.last_fence, open->fence);
  }
  schedule_timer();
}

bool LeaseTable::remove_instance(TimePoint now, const std::string& instance) {
  on_timer(now);
  const auto found = instances_.find(instance);
  if (found == instances_.end()) return true;
  if (found->second.lease) return false;
  instances_.erase(found);
  return true;
}

LeaseTable::Answer LeaseTable::acquire(TimePoint now, const LeaseRequest& request) {
  Answer answer;
  on_timer(now);
  check(request, answer);
  if (!answer.fault.empty() || !answer.conflicts.empty()) return answer;
  std::map<std::string, Lease> granted;
  for (const std::string& instance : request.instances)
    granted[instance] = lease_for(now, request, instances_.at(instance));
  if (!host_.persist(granted)) {
    answer.fault = "the agent can't write its state";
    return answer;
  }
  answer.granted = true;
  for (const auto& [instance, lease] : granted) {
    OwnedInstance& owned = instances_.at(instance);
    if (owned.lease && !owned.is_leased_to(request.operation)) end(instance, owned, EndReason::taken_over);
    owned.lease = lease;
    owned.last_fence = lease.fence;
    answer.fences[instance] = lease.fence;
  }
  schedule_timer();
  return answer;
}

// Sets the faults and conflicts for which a request can't be granted. Of several faults only the last one is
// kept.
void LeaseTable::check(const LeaseRequest& request, Answer& answer) const {
  if (request.operation.empty() || request.who.empty() || request.instances.empty())
    answer.fault = "an ask without a name";
  if (request.lease_duration < min_lease || request.lease_duration > max_lease)
    answer.fault = "a lease out of bounds";
  for (const std::string& instance : request.instances) {
    const auto found = instances_.find(instance);
    if (found == instances_.end()) {
      answer.fault = instance + " is not this agent's";
      continue;
    }
    const OwnedInstance& owned = found->second;
    if (owned.lease && !owned.is_leased_to(request.operation) && !request.take_over)
      answer.conflicts.push_back({instance, *owned.lease});
  }
}

Lease LeaseTable::lease_for(TimePoint now, const LeaseRequest& request, const OwnedInstance& owned) const {
  Lease lease{request.operation, request.who, owned.last_fence + 1, now, now + request.lease_duration};
  if (owned.is_leased_to(request.operation)) {
    // A repeated request keeps the fence of its first grant, since the answer to that may have been lost.
    lease.fence = owned.lease->fence;
    lease.since = owned.lease->since;
  }
  return lease;
}

bool LeaseTable::renew(TimePoint now, const std::string& operation, const std::vector<std::string>& instances,
                       Duration lease_duration) {
  on_timer(now);
  bool all_live = true;
  for (const std::string& instance : instances) {
    const auto found = instances_.find(instance);
    if (found == instances_.end() || !found->second.is_leased_to(operation)) {
      all_live = false;
      continue;
    }
    TimePoint& until = found->second.lease->until;
    until = std::max(until, expiry(now, lease_duration));
  }
  schedule_timer();
  return all_live;
}

void LeaseTable::release(TimePoint now, const std::string& operation) {
  on_timer(now);
  for (auto& [instance, owned] : instances_) {
    if (owned.is_leased_to(operation)) end(instance, owned, EndReason::released);
  }
}

void LeaseTable::on_timer(TimePoint now) {
  for (auto& [instance, owned] : instances_) {
    if (owned.lease && now >= owned.lease->until) end(instance, owned, EndReason::run_out);
  }
  schedule_timer();
}

void LeaseTable::end(const std::string& instance, OwnedInstance& owned, EndReason reason) {
  const Lease lease = *owned.lease;
  owned.lease.reset();
  host_.lease_ended(instance, lease, reason);
}

void LeaseTable::schedule_timer() {
  std::optional<TimePoint> next;
  for (const auto& [instance, owned] : instances_) {
    if (owned.lease) next = std::min(next.value_or(owned.lease->until), owned.lease->until);
  }
  if (next) host_.wake_at(*next);
}

bool LeaseTable::live(TimePoint now, const std::string& instance, std::uint64_t fence) const {
  const std::optional<Lease> lease = lease_on(now, instance);
  return lease && lease->fence == fence;
}

std::optional<Lease> LeaseTable::lease_on(TimePoint now, const std::string& instance) const {
  const auto found = instances_.find(instance);
  if (found == instances_.end() || !found->second.lease || now >= found->second.lease->until)
    return std::nullopt;
  return found->second.lease;
}

std::uint64_t LeaseTable::last_fence(const std::string& instance) const {
  const auto found = instances_.find(instance);
  return found == instances_.end() ? 0 : found->second.last_fence;
}

}  // namespace pearchute::fleet
