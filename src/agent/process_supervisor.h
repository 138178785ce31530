// Supervises the instances of one host: polls their managers, starts and signals their processes, and
// persists and executes the decisions of fleet::LeaseOwner. If the store can't be used, the supervisor only
// polls, and refuses requests of operators and coordinators; the instances keep serving.
//
// Lives on the event loop, which it blocks while it writes to the store.
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
#include "net/event_loop.h"
#include "store/store.h"

namespace pearchute::agent {

class ProcessSupervisor final : public fleet::LeaseOwner::Host {
 public:
  // The last known state of an instance.
  struct InstanceStatus {
    std::string name;
    std::string zone;
    fleet::InstanceState state = fleet::InstanceState::unseen;
    int version = 0;  // of its command
    int crashes = 0;  // consecutive unexpected exits
    std::int64_t pid = 0;
    // Differs between successive processes of the instance: the start time in ms that its manager reports.
    std::uint64_t process_id = 0;
    std::uint64_t done = 0;      // requests done since the process started
    std::uint64_t answered = 0;  // requests answered since then, with any outcome
    std::uint64_t open = 0;      // requests in progress
    std::optional<fleet::Lease> lease;
    std::optional<fleet::Step> current_step;
    std::optional<fleet::InstanceLifecycle::CompletedStep> last_step;
  };

  // Opens the store, adopts the processes that an earlier run of the agent started, and starts to poll.
  // Blocks for some seconds if the store is temporarily unavailable. Throws what Processes throws.
  ProcessSupervisor(net::Loop& loop, const AgentConfig& config);
  ~ProcessSupervisor() override;

  // Applies another configuration. Supervises instances that are new; releases those that `next` no longer
  // names, whose processes keep running; changed commands take effect when an instance next starts. An
  // instance with a lease or a step in progress keeps its previous configuration. Returns a line for the log
  // on each instance that is added, released or kept.
  std::vector<std::string> change(const AgentConfig& next);

  // Requests of operators and coordinators. Each fails if the store can't be used.

  fleet::LeaseTable::Answer acquire(const fleet::LeaseRequest& request);
  // Returns false if any of the leases is not live any more.
  bool renew(const std::string& operation, const std::vector<std::string>& instances,
             fleet::Duration lease_duration);
  void release(const std::string& operation);
  // Returns false and sets `error` if the step is refused.
  bool step(const std::string& instance, const fleet::Step& step, std::string& error);

  std::vector<InstanceStatus> instances() const;
  // Whether each manager has been polled since the start, with or without an answer.
  bool has_observed_all() const;

  store::Store& store() { return store_; }
  bool store_is_usable() const { return store_error_.empty(); }
  // Why the store can't be used, for operators; empty if it can.
  const std::string& store_error() const { return store_error_; }

 private:
  // The supervisor's own state of an instance; the lease owner holds the instance's lifecycle.
  struct Instance {
    Instance(net::Loop& loop, const OwnedInstance& owned)
        : manager(loop, owned.admin), running_version(owned.initial_version) {}
    ManagerClient manager;
    int running_version;  // version of the command that started its process
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
  std::unique_ptr<fleet::LeaseOwner> lease_owner_;              // null if the store can't be used
  std::optional<fleet::TimePoint> wake_at_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearchute::agent
