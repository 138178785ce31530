#include "fleet/lease_owner.h"

#include <algorithm>

namespace pearchute::fleet {

// One instance, between its life and the agent's hands.
class LeaseOwner::One final : public InstanceLifecycle::Host {
 public:
  One(LeaseOwner& keeper, std::string name, const PersistedInstance& persisted)
      : lease_owner_(keeper),
        name_(std::move(name)),
        kept_(persisted),
        lifecycle_(*this, persisted.wanted, persisted.version) {
    lifecycle_.restore(persisted.step, persisted.last_step);
  }
  InstanceLifecycle& lifecycle() { return lifecycle_; }
  const InstanceLifecycle& lifecycle() const { return lifecycle_; }
  PersistedInstance& persisted() { return kept_; }
  const PersistedInstance& persisted() const { return kept_; }

 private:
  bool record_intent(const std::string& what, const std::optional<Step>& step) override {
    PersistedInstance next = lease_owner_.persisted_state_of(*this);
    next.step = step;
    if (!lease_owner_.host_.write({{name_, next}}, what)) return false;
    kept_ = next;
    return true;
  }
  void start(int version) override { lease_owner_.host_.start(name_, version); }
  void request_shutdown(Duration within) override { lease_owner_.host_.request_shutdown(name_, within); }
  void cancel_shutdown() override { lease_owner_.host_.cancel_shutdown(name_); }
  void set_drain(bool drains, const Step& step) override {
    lease_owner_.host_.set_drain(name_, drains, step);
  }
  void terminate() override { lease_owner_.host_.terminate(name_); }
  void kill() override { lease_owner_.host_.kill(name_); }
  void step_ended(const Step& step, StepEnd end, const std::string& word) override {
    // Should this not get written, the step is found under way after a kill, and falls back: it does no harm.
    kept_.step.reset();
    kept_ = lease_owner_.persisted_state_of(*this);
    lease_owner_.host_.write({{name_, kept_}}, "step ended");
    lease_owner_.host_.step_ended(name_, step, end, word);
  }

  LeaseOwner& lease_owner_;
  const std::string name_;
  PersistedInstance kept_;
  InstanceLifecycle lifecycle_;
};

LeaseOwner::LeaseOwner(Host& host) : host_(host), leases_(*this) {}
LeaseOwner::~LeaseOwner() = default;

LeaseOwner::PersistedInstance LeaseOwner::persisted_state_of(const One& one) const {
  PersistedInstance persisted = one.persisted();
  persisted.wanted = one.lifecycle().wanted(), persisted.version = one.lifecycle().version();
  persisted.last_step = one.lifecycle().last_step();
  return persisted;
}

void LeaseOwner::add_instance(TimePoint now, const std::string& instance,
                              const PersistedInstance& persisted) {
  all_[instance] = std::make_unique<One>(*this, instance, persisted);
  leases_.add_instance(now, instance, persisted.last_fence, persisted.lease, persisted.lease_duration);
}

bool LeaseOwner::remove_instance(TimePoint now, const std::string& instance) {
  now_ = now;
  const auto at = all_.find(instance);
  if (at == all_.end()) return true;
  if (at->second->lifecycle().current_step() || !leases_.remove_instance(now, instance)) return false;
  all_.erase(at);
  return true;
}

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
  std::map<std::string, PersistedInstance> write;
  for (const auto& [instance, lease] : granted) {
    PersistedInstance persisted = persisted_state_of(*all_.at(instance));
    persisted.lease = lease, persisted.lease_duration = lease.until - now_;
    persisted.last_fence = std::max(persisted.last_fence, lease.fence);
    write[instance] = persisted;
  }
  if (!host_.write(write, "claim")) return false;
  for (const auto& [instance, persisted] : write) all_.at(instance)->persisted() = persisted;
  return true;
}

void LeaseOwner::lease_ended(const std::string& instance, const Lease& lease, LeaseTable::EndReason why) {
  One& one = *all_.at(instance);
  one.persisted().lease.reset();
  host_.write({{instance, persisted_state_of(one)}}, "claim ended");
  host_.lease_ended(instance, lease, why);
  // A step that its own coordinator gives back goes on to its end: nobody else is waiting for the instance.
  if (why != LeaseTable::EndReason::released) one.lifecycle().lease_ended(now_);
}

bool LeaseOwner::step(TimePoint now, const std::string& instance, const Step& step, std::string& fault) {
  now_ = now;
  leases_.on_timer(now);
  const auto at = all_.find(instance);
  if (at == all_.end()) return fault = "not this agent's", false;
  if (!leases_.live(now, instance, step.fence)) {
    fault = "its claim is not live: fence " + std::to_string(step.fence) + ", the last is " +
            std::to_string(leases_.last_fence(instance));
    return false;
  }
  if (leases_.lease_on(now, instance)->operation != step.operation)
    return fault = "claimed by another operation", false;
  if (at->second->lifecycle().step(now, step)) return true;
  fault = at->second->lifecycle().current_step()
              ? "another step is under way"
              : "its state is " + std::string(name_of(at->second->lifecycle().condition()));
  return false;
}

void LeaseOwner::observe(TimePoint now, const std::string& instance,
                         const InstanceLifecycle::Observation& look) {
  now_ = now;
  leases_.on_timer(now);
  if (const auto at = all_.find(instance); at != all_.end()) at->second->lifecycle().observe(now, look);
}

void LeaseOwner::on_timer(TimePoint now) {
  now_ = now;
  leases_.on_timer(now);
}

const InstanceLifecycle* LeaseOwner::lifecycle(const std::string& instance) const {
  const auto at = all_.find(instance);
  return at == all_.end() ? nullptr : &at->second->lifecycle();
}

bool LeaseOwner::settled() const {
  return std::ranges::all_of(all_, [](const auto& one) { return !one.second->lifecycle().current_step(); });
}

}  // namespace pearchute::fleet
