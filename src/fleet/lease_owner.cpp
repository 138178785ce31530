#include "fleet/lease_owner.h"

#include <algorithm>

namespace pearchute::fleet {

// One instance: connects its lifecycle to the agent's driver, and keeps the last persisted state.
class LeaseOwner::Instance final : public InstanceLifecycle::Host {
 public:
  Instance(LeaseOwner& owner, std::string name, const PersistedInstance& persisted)
      : host_(owner.host_),
        name_(std::move(name)),
        persisted_(persisted),
        lifecycle_(*this, persisted.wanted, persisted.version) {
    lifecycle_.restore(persisted.step, persisted.last_step);
  }

  InstanceLifecycle& lifecycle() { return lifecycle_; }
  const InstanceLifecycle& lifecycle() const { return lifecycle_; }
  void set_persisted(const PersistedInstance& persisted) { persisted_ = persisted; }
  void clear_lease() { persisted_.lease.reset(); }

  // Returns the present state as it has to be persisted.
  PersistedInstance snapshot() const {
    PersistedInstance snapshot = persisted_;
    snapshot.wanted = lifecycle_.wanted();
    snapshot.version = lifecycle_.version();
    snapshot.last_step = lifecycle_.last_step();
    return snapshot;
  }

 private:
  bool record_intent(const std::string& action, const std::optional<Step>& step) override {
    PersistedInstance next = snapshot();
    next.step = step;
    if (!host_.write({{name_, next}}, action)) return false;
    persisted_ = next;
    return true;
  }
  void start(int version) override { host_.start(name_, version); }
  void request_shutdown(Duration within) override { host_.request_shutdown(name_, within); }
  void cancel_shutdown() override { host_.cancel_shutdown(name_); }
  void set_drain(bool drains, const Step& step) override { host_.set_drain(name_, drains, step); }
  void terminate() override { host_.terminate(name_); }
  void kill() override { host_.kill(name_); }
  void step_ended(const Step& step, StepEnd end, const std::string& detail) override {
    // If this write fails and the agent is killed, the next start finds the step in progress and lets it fall
    // back, which does no harm.
    persisted_.step.reset();
    persisted_ = snapshot();
    host_.write({{name_, persisted_}}, "step ended");
    host_.step_ended(name_, step, end, detail);
  }

  LeaseOwner::Host& host_;
  const std::string name_;
  PersistedInstance persisted_;
  InstanceLifecycle lifecycle_;
};

LeaseOwner::LeaseOwner(Host& host) : host_(host), leases_(*this) {}
LeaseOwner::~LeaseOwner() = default;

void LeaseOwner::add_instance(TimePoint now, const std::string& instance,
                              const PersistedInstance& persisted) {
  instances_[instance] = std::make_unique<Instance>(*this, instance, persisted);
  leases_.add_instance(now, instance, persisted.last_fence, persisted.lease, persisted.lease_duration);
}

bool LeaseOwner::remove_instance(TimePoint now, const std::string& instance) {
  now_ = now;
  const auto found = instances_.find(instance);
  if (found == instances_.end()) return true;
  if (found->second->lifecycle().current_step() || !leases_.remove_instance(now, instance)) return false;
  instances_.erase(found);
  return true;
}

// ---- Leases

LeaseTable::Answer LeaseOwner::acquire(TimePoint now, const LeaseRequest& request) {
  now_ = now;
  return leases_.acquire(now, request);
}

bool LeaseOwner::renew(TimePoint now, const std::string& operation, const std::vector<std::string>& instances,
                       Duration lease_duration) {
  now_ = now;
  return leases_.renew(now, operation, instances, lease_duration);
}

void LeaseOwner::release(TimePoint now, const std::string& operation) {
  now_ = now;
  leases_.release(now, operation);
}

bool LeaseOwner::persist(const std::map<std::string, Lease>& granted) {
  std::map<std::string, PersistedInstance> changed;
  for (const auto& [name, lease] : granted) {
    PersistedInstance persisted = instances_.at(name)->snapshot();
    persisted.lease = lease;
    persisted.lease_duration = lease.until - now_;
    persisted.last_fence = std::max(persisted.last_fence, lease.fence);
    changed[name] = persisted;
  }
  if (!host_.write(changed, "claim")) return false;
  for (const auto& [name, persisted] : changed) instances_.at(name)->set_persisted(persisted);
  return true;
}

void LeaseOwner::lease_ended(const std::string& name, const Lease& lease, LeaseTable::EndReason reason) {
  Instance& instance = *instances_.at(name);
  instance.clear_lease();
  host_.write({{name, instance.snapshot()}}, "claim ended");
  host_.lease_ended(name, lease, reason);
  // If the step's own coordinator releases the lease, the step continues to its end, since no other operation
  // waits for the instance.
  if (reason != LeaseTable::EndReason::released) instance.lifecycle().lease_ended(now_);
}

// ---- Instances

bool LeaseOwner::step(TimePoint now, const std::string& instance, const Step& step, std::string& fault) {
  now_ = now;
  leases_.on_timer(now);
  const auto found = instances_.find(instance);
  if (found == instances_.end()) {
    fault = "not this agent's";
    return false;
  }
  if (!leases_.live(now, instance, step.fence)) {
    fault = "its claim is not live: fence " + std::to_string(step.fence) + ", the last is " +
            std::to_string(leases_.last_fence(instance));
    return false;
  }
  if (leases_.lease_on(now, instance)->operation != step.operation) {
    fault = "claimed by another operation";
    return false;
  }
  InstanceLifecycle& lifecycle = found->second->lifecycle();
  if (lifecycle.step(now, step)) return true;
  fault = lifecycle.current_step() ? "another step is under way"
                                   : "its state is " + std::string(name_of(lifecycle.state()));
  return false;
}

void LeaseOwner::observe(TimePoint now, const std::string& instance,
                         const InstanceLifecycle::Observation& observation) {
  now_ = now;
  leases_.on_timer(now);
  const auto found = instances_.find(instance);
  if (found != instances_.end()) found->second->lifecycle().observe(now, observation);
}

void LeaseOwner::on_timer(TimePoint now) {
  now_ = now;
  leases_.on_timer(now);
}

const InstanceLifecycle* LeaseOwner::lifecycle(const std::string& instance) const {
  const auto found = instances_.find(instance);
  return found == instances_.end() ? nullptr : &found->second->lifecycle();
}

bool LeaseOwner::settled() const {
  return std::ranges::all_of(instances_,
                             [](const auto& entry) { return !entry.second->lifecycle().current_step(); });
}

}  // namespace pearchute::fleet
