// The decisions of one agent about its instances: the lifecycle of each, and the leases on them. An intent is
// persisted before it is acted on, a result afterwards.
//
// Not thread-safe. The class reads no clock and does no I/O: the agent's driver observes the instances and
// carries out the decisions.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/instance_lifecycle.h"
#include "fleet/lease_table.h"
#include "fleet/time.h"

namespace pearchute::fleet {

// The instances of one agent, with their lifecycles and leases.
class LeaseOwner final : public LeaseTable::Host {
 public:
  // The persisted state of one instance.
  struct PersistedInstance {
    bool wanted = true;            // the instance should run
    int version = 0;               // of the command with which it is started
    std::uint64_t last_fence = 0;  // the greatest fence ever granted on it
    std::optional<Lease> lease;
    Duration lease_duration{};
    std::optional<Step> step;  // in progress
    std::optional<InstanceLifecycle::CompletedStep> last_step;
  };

  // Carries out the decisions. Must outlive the LeaseOwner.
  class Host {
   public:
    virtual ~Host() = default;
    // Persists all of these instances or none. Returns false on failure. `reason` names the action or event
    // that causes the write.
    virtual bool write(const std::map<std::string, PersistedInstance>& persisted,
                       const std::string& reason) = 0;
    virtual void start(const std::string& instance, int version) = 0;
    virtual void request_shutdown(const std::string& instance, Duration within) = 0;
    virtual void cancel_shutdown(const std::string& instance) = 0;
    virtual void set_drain(const std::string& instance, bool drains, const Step& step) = 0;
    virtual void terminate(const std::string& instance) = 0;
    virtual void kill(const std::string& instance) = 0;
    virtual void step_ended(const std::string& instance, const Step& step, StepEnd end,
                            const std::string& detail) = 0;
    virtual void lease_ended(const std::string& instance, const Lease& lease,
                             LeaseTable::EndReason reason) = 0;
    // Requests a call of on_timer() at `when`. A later request replaces an earlier one.
    virtual void wake_at(TimePoint when) = 0;
  };

  explicit LeaseOwner(Host& host);
  ~LeaseOwner() override;

  void add_instance(TimePoint now, const std::string& instance, const PersistedInstance& persisted);
  // Returns false, and removes nothing, while the instance has a live lease or a step in progress.
  bool remove_instance(TimePoint now, const std::string& instance);
  LeaseTable::Answer acquire(TimePoint now, const LeaseRequest& request);
  bool renew(TimePoint now, const std::string& operation, const std::vector<std::string>& instances,
             Duration lease_duration);
  void release(TimePoint now, const std::string& operation);
  // Begins a step if its operation has a live lease on the instance with the step's fence. Returns false if
  // the step is refused, and sets `fault` to the reason.
  bool step(TimePoint now, const std::string& instance, const Step& step, std::string& fault);
  void observe(TimePoint now, const std::string& instance, const InstanceLifecycle::Observation& observation);
  void on_timer(TimePoint now);

  const LeaseTable& leases() const { return leases_; }
  // Returns null if the agent does not own the instance. The pointer is valid until the instance is removed.
  const InstanceLifecycle* lifecycle(const std::string& instance) const;
  // Returns whether no instance has a step in progress.
  bool settled() const;

 private:
  class Instance;
  bool persist(const std::map<std::string, Lease>& granted) override;
  void lease_ended(const std::string& name, const Lease& lease, LeaseTable::EndReason reason) override;
  void wake_at(TimePoint when) override { host_.wake_at(when); }

  Host& host_;
  LeaseTable leases_;
  std::map<std::string, std::unique_ptr<Instance>> instances_;
  TimePoint now_{};  // time of the event that is being handled
};

}  // namespace pearchute::fleet
