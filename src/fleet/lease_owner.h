// What one agent decides about its instances: the lifecycle of each, and the leases on them. Every intent is
// durable before it is acted on, and every result afterwards.
//
// Not thread-safe. It reads no clock and does no I/O: the agent's driver observes the instances and carries
// out what is decided.
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
  // One instance, as it is persisted.
  struct PersistedInstance {
    bool wanted = true;  // it is to run
    int version = 0;     // of the command by which it is started
    std::uint64_t last_fence = 0;
    std::optional<Lease> lease;
    Duration lease_duration{};
    std::optional<Step> step;  // in progress
    std::optional<InstanceLifecycle::CompletedStep> last_step;
  };

  // Carries out what is decided. Must outlive the LeaseOwner.
  class Host {
   public:
    virtual ~Host() = default;
    // Persists all of these or none. Returns false where that fails.
    virtual bool write(const std::map<std::string, PersistedInstance>& persisted, const std::string& why) = 0;
    virtual void start(const std::string& instance, int version) = 0;
    virtual void request_shutdown(const std::string& instance, Duration within) = 0;
    virtual void cancel_shutdown(const std::string& instance) = 0;
    virtual void set_drain(const std::string& instance, bool drains, const Step& step) = 0;
    virtual void terminate(const std::string& instance) = 0;
    virtual void kill(const std::string& instance) = 0;
    virtual void step_ended(const std::string& instance, const Step& step, StepEnd end,
                            const std::string& detail) = 0;
    virtual void lease_ended(const std::string& instance, const Lease& lease, LeaseTable::EndReason why) = 0;
    // Asks for on_timer() at that time. A later call replaces an earlier one.
    virtual void wake_at(TimePoint when) = 0;
  };

  explicit LeaseOwner(Host& host);
  ~LeaseOwner() override;

  void add_instance(TimePoint now, const std::string& instance, const PersistedInstance& persisted);
  // Returns false, and removes nothing, while there is a lease on it or a step is in progress.
  bool remove_instance(TimePoint now, const std::string& instance);
  LeaseTable::Answer acquire(TimePoint now, const LeaseRequest& request);
  bool renew(TimePoint now, const std::string& operation, const std::vector<std::string>& instances,
             Duration lease_duration);
  void release(TimePoint now, const std::string& operation);
  // Begins a step, under a live lease of its operation with its fence only. Returns false where it is
  // refused; `fault` says why.
  bool step(TimePoint now, const std::string& instance, const Step& step, std::string& fault);
  void observe(TimePoint now, const std::string& instance, const InstanceLifecycle::Observation& observation);
  void on_timer(TimePoint now);

  const LeaseTable& leases() const { return leases_; }
  // None where the agent does not own such an instance.
  const InstanceLifecycle* lifecycle(const std::string& instance) const;
  // Whether no step is in progress anywhere.
  bool settled() const;

 private:
  class Instance;
  bool persist(const std::map<std::string, Lease>& granted) override;
  void lease_ended(const std::string& name, const Lease& lease, LeaseTable::EndReason why) override;
  void wake_at(TimePoint when) override { host_.wake_at(when); }

  Host& host_;
  LeaseTable leases_;
  std::map<std::string, std::unique_ptr<Instance>> instances_;
  TimePoint now_{};  // of the event that is being handled
};

}  // namespace pearchute::fleet
