// Supervises the instances of one host: observes their managers, starts and signals their processes, and
// persists and carries out what fleet::LeaseOwner decides. Where the store can't be used it only observes and
// refuses what operators ask; its instances go on serving.
//
// Lives on the event loop, which it blocks for the time of a write to the store.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "agent/agent_config.h"
#include "agent/manager_client.h"
#include "agent/processes.h"
#include "fleet/lease_owner.h"
#include "net/driver.h"
#include "store/store.h"

namespace pearchute::agent {

// All instances of this host; what fleet::LeaseOwner decides is carried out here.
class ProcessSupervisor final : public fleet::LeaseOwner::Host {
 public:
  // An instance as it is known at the moment.
  struct InstanceStatus {
    std::string name;
    std::string zone;
    fleet::InstanceState state = fleet::InstanceState::unseen;
    int version = 0;  // of its command
    int crashes = 0;  // unexpected ends in a row
    std::int64_t pid = 0;
    std::uint64_t process_id = 0;  // tells its processes apart: when the manager says that it started
    std::uint64_t done = 0;        // requests, since its process started
    std::uint64_t answered = 0;    // the same, of all outcomes
    std::uint64_t open = 0;        // requests
    std::optional<fleet::Lease> lease;
    std::optional<fleet::Step> current_step;
    std::optional<fleet::InstanceLifecycle::CompletedStep> last_step;
  };

  // Opens the store, adopts the processes that an earlier run started, and begins to observe. Blocks for some
  // seconds where the store is temporarily unavailable. Throws as Processes does.
  ProcessSupervisor(net::Loop& loop, const AgentConfig& config);
  ~ProcessSupervisor() override;

  // Takes over another configuration: new instances are supervised, commands change for the next start, and
  // instances that are not named any more are left running. Those with a lease stay. Returns what was done,
  // for the log.
  std::vector<std::string> change(const AgentConfig& next);

  // Requests of operators and coordinators. Each fails where the store can't be used.

  fleet::LeaseTable::Answer acquire(const fleet::LeaseRequest& request);
  // False where any of the leases is not live any more.
  bool renew(const std::string& operation, const std::vector<std::string>& instances,
             fleet::Duration lease_duration);
  void release(const std::string& operation);
  // False where the step is refused; `error` says why.
  bool step(const std::string& instance, const fleet::Step& step, std::string& error);

  std::vector<InstanceStatus> instances() const;
  // Each manager has answered since the start, or has failed to.
  bool has_observed_all() const;

  store::Store& store() { return store_; }
  bool store_is_usable() const { return store_error_.empty(); }
  // Why the store can't be used, for operators; empty where it can.
  const std::string& store_error() const { return store_error_; }

 private:
  // What is needed of an instance beside its lifecycle, which the lease owner has.
  struct Instance {
    Instance(net::Loop& loop, const OwnedInstance& owned)
        : manager(loop, owned.admin), running_version(owned.initial_version) {}
    ManagerClient manager;
    int running_version;  // of the command by which its process was started
  };
  using PersistedInstances = std::map<std::string, fleet::LeaseOwner::PersistedInstance>;
  using ProcessRecords = std::map<std::string, store::ProcessRecord>;

  // fleet::LeaseOwner::Host
  bool write(const PersistedInstances& instances, const std::string& intent) override;
  void start(const std::string& instance, int version) override;
  void request_shutdown(const std::string& instance, fleet::Duration within) override;
  void cancel_shutdown(const std::string& instance) override;
  void set_drain(const std::string& instance, bool drains, const fleet::Step& step) override;
  void terminate(const std::string& instance) override;
  void kill(const std::string& instance) override;
  void step_ended(const std::string& instance, const fleet::Step& step, fleet::StepEnd end,
                  const std::string& reason) override;
  void lease_ended(const std::string& instance, const fleet::Lease& lease,
                   fleet::LeaseTable::EndReason reason) override;
  void wake_at(fleet::TimePoint when) override;

  bool open_store();
  void supervise(const std::string& name, const OwnedInstance& owned, const PersistedInstances& persisted,
                 const ProcessRecords& processes);
  void adopt(const std::string& name, const store::ProcessRecord& process, Instance& instance);
  bool try_adopt(const std::string& name, const store::ProcessRecord& process);
  void poll_managers();
  void on_status(const std::string& name);
  fleet::InstanceLifecycle::Observation observe(const std::string& name);
  InstanceStatus status_of(const std::string& name, const OwnedInstance& owned) const;

  net::Loop& loop_;
  AgentConfig config_;
  store::Store store_;
  Processes processes_;
  std::string store_error_;
  std::map<std::string, std::unique_ptr<Instance>> instances_;  // by name
  std::unique_ptr<fleet::LeaseOwner> lease_owner_;              // none where the store can't be used
  std::optional<fleet::TimePoint> wake_at_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearchute::agent
