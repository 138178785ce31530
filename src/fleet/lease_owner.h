// What one agent decides: its instances' lives and the leases on them, with every intent on disk before its
// act and every result after it. The agent's driver gives it eyes and hands; it knows no process, file or
// socket.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "fleet/instance_lifecycle.h"
#include "fleet/lease_table.h"

namespace pearchute::fleet {

class LeaseOwner final : public LeaseTable::Host {
 public:
  // Of one instance, as it is on disk.
  struct PersistedInstance {
    bool wanted = true;
    int version = 0;
    std::uint64_t last_fence = 0;
    std::optional<Lease> lease;
    Duration lease_duration{};
    std::optional<Step> step;  // under way
    std::optional<InstanceLifecycle::CompletedStep> last_step;
  };
  class Host {
   public:
    virtual ~Host() = default;
    // All or none, to survive a kill; false where it can't be written.
    virtual bool write(const std::map<std::string, PersistedInstance>& persisted, const std::string& why) = 0;
    virtual void start(const std::string& instance, int version) = 0;
    virtual void request_shutdown(const std::string& instance, Duration within) = 0;
    virtual void cancel_shutdown(const std::string& instance) = 0;
    virtual void set_drain(const std::string& instance, bool drains, const Step& step) = 0;
    virtual void terminate(const std::string& instance) = 0;
    virtual void kill(const std::string& instance) = 0;
    virtual void step_ended(const std::string& instance, const Step& step, StepEnd end,
                            const std::string& word) = 0;
    virtual void lease_ended(const std::string& instance, const Lease& lease, LeaseTable::EndReason why) = 0;
    virtual void wake_at(TimePoint when) = 0;
  };
  explicit LeaseOwner(Host& host);
  ~LeaseOwner() override;

  void add_instance(TimePoint now, const std::string& instance, const PersistedInstance& persisted);
  // False where it is claimed, or a step is under way: it stays.
  bool remove_instance(TimePoint now, const std::string& instance);
  LeaseTable::Answer acquire(TimePoint now, const LeaseRequest& request);
  bool renew(TimePoint now, const std::string& operation, const std::vector<std::string>& instances,
             Duration lease_duration);
  void release(TimePoint now, const std::string& operation);
  // Under a live lease of that operation with that fence only; else `fault` says why not.
  bool step(TimePoint now, const std::string& instance, const Step& step, std::string& fault);
  void observe(TimePoint now, const std::string& instance, const InstanceLifecycle::Observation& look);
  void on_timer(TimePoint now);

  const LeaseTable& leases() const { return leases_; }
  const InstanceLifecycle* lifecycle(const std::string& instance) const;
  // No step is under way anywhere.
  bool settled() const;

 private:
  class One;
  bool persist(const std::map<std::string, Lease>& granted) override;
  void lease_ended(const std::string& instance, const Lease& lease, LeaseTable::EndReason why) override;
  void wake_at(TimePoint when) override { host_.wake_at(when); }
  PersistedInstance persisted_state_of(const One& one) const;

  Host& host_;
  LeaseTable leases_;
  std::map<std::string, std::unique_ptr<One>> all_;
  TimePoint now_{};  // of the event at hand
};

}  // namespace pearchute::fleet
