#include "agent/process_supervisor.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <string_view>
#include <thread>

#include "agent/loop_time.h"
#include "agent/rollout_codec.h"
#include "net/log.h"
#include "system/retries.h"

namespace pearchute::agent {

using fleet::InstanceLifecycle;
using fleet::InstanceState;
using fleet::TimePoint;
using std::chrono::milliseconds;

namespace {

// A rollout sees a change of state within half a second. Each poll takes a manager about 50 us.
constexpr milliseconds poll_interval(200);

// The instance's state if there is no lease owner, by its manager's status alone.
InstanceState state_of(const ManagerStatus& status) {
  if (!status.answered) return InstanceState::unseen;
  if (status.drain_state == "drained") return InstanceState::drained;
  if (status.drain_state == "draining") return InstanceState::draining;
  return status.phase == "serving" ? InstanceState::serving : InstanceState::starting;
}

}  // namespace

ProcessSupervisor::ProcessSupervisor(net::Loop& loop, const AgentConfig& config)
    : loop_(loop), config_(config), store_(config.state_file) {
  const bool usable = open_store();
  if (usable) lease_owner_ = std::make_unique<fleet::LeaseOwner>(*this);
  else
    spdlog::error("{}; this agent only observes; repair its state file and restart the agent", store_error_);
  const PersistedInstances persisted = usable ? store_.instances() : PersistedInstances();
  const ProcessRecords processes = usable ? store_.processes() : ProcessRecords();
  for (const auto& [name, owned] : config_.instances) supervise(name, owned, persisted, processes);
  poll_managers();
}

ProcessSupervisor::~ProcessSupervisor() { *alive_ = false; }

// Retries, since the agent doesn't open the store again later: a brief failure of the folder at the start
// would leave the agent without a store until its next restart.
bool ProcessSupervisor::open_store() {
  const auto deadline = std::chrono::steady_clock::now() + shortages_pass_within;
  store::OpenStatus status = store_.open(store_error_);
  while (status == store::OpenStatus::temporarily_unavailable &&
         std::chrono::steady_clock::now() < deadline) {
    PEARCHUTE_LOG(spdlog::level::warn, "{}; retrying", store_error_);
    std::this_thread::sleep_for(between_attempts);
    status = store_.open(store_error_);
  }
  return status == store::OpenStatus::usable;
}

void ProcessSupervisor::supervise(const std::string& name, const OwnedInstance& owned,
                                  const PersistedInstances& persisted, const ProcessRecords& processes) {
  std::unique_ptr<Instance>& instance = instances_[name];
  instance = std::make_unique<Instance>(loop_, owned);
  if (!lease_owner_) return;
  fleet::LeaseOwner::PersistedInstance state;
  state.wanted = owned.starts;
  state.version = owned.initial_version;
  if (const auto at = persisted.find(name); at != persisted.end()) state = at->second;
  // The persisted version may have been removed from the configuration, and then can't be started.
  if (!owned.commands.contains(state.version)) state.version = owned.initial_version;
  instance->running_version = state.version;
  if (const auto at = processes.find(name); at != processes.end()) adopt(name, at->second, *instance);
  lease_owner_->add_instance(fleet_now(loop_), name, state);
}

void ProcessSupervisor::adopt(const std::string& name, const store::ProcessRecord& process,
                              Instance& instance) {
  const bool runs = try_adopt(name, process);
  if (runs && process.command_version > 0) instance.running_version = process.command_version;
  spdlog::info("instance {}: process {} {}", name, process.pid, runs ? "adopted" : "has exited");
}

// Retries while the process can't be inspected: an instance whose process is wrongly taken for exited would
// be started a second time.
bool ProcessSupervisor::try_adopt(const std::string& name, const store::ProcessRecord& process) {
  const auto log_shortage = [&](const ResourceShortage& shortage) {
    PEARCHUTE_LOG(spdlog::level::warn, "instance {}: {}; retrying", name, shortage.what());
  };
  return retry_while_short([&] { return processes_.adopt(name, process); }, log_shortage);
}

std::vector<std::string> ProcessSupervisor::change(const AgentConfig& next) {
  std::vector<std::string> changes;
  const AgentConfig previous = config_;
  config_.instances = next.instances;
  for (const auto& [name, owned] : previous.instances) {
    const auto at = next.instances.find(name);
    // The admin address identifies an instance: one with a changed address is removed and added.
    const bool same = at != next.instances.end() && at->second.admin.text == owned.admin.text;
    if (same) continue;
    if (lease_owner_ && !lease_owner_->remove_instance(fleet_now(loop_), name)) {
      config_.instances[name] = owned;
      changes.push_back("instance " + name + " keeps its previous configuration: it has a lease or a step");
      continue;
    }
    processes_.release(name);
    instances_.erase(name);
    if (lease_owner_) store_.erase_instance(name);
    changes.push_back("instance " + name + " is no longer supervised; its process keeps running");
  }
  for (const auto& [name, owned] : config_.instances) {
    if (instances_.contains(name)) continue;
    supervise(name, owned, {}, {});
    changes.push_back("instance " + name + " is now supervised");
  }
  return changes;
}

// ---- Requests of operators and coordinators

fleet::LeaseTable::Answer ProcessSupervisor::acquire(const fleet::LeaseRequest& request) {
  if (lease_owner_) return lease_owner_->acquire(fleet_now(loop_), request);
  fleet::LeaseTable::Answer refusal;
  refusal.fault = store_error_;
  return refusal;
}

bool ProcessSupervisor::renew(const std::string& operation, const std::vector<std::string>& instances,
                              fleet::Duration lease_duration) {
  return lease_owner_ && lease_owner_->renew(fleet_now(loop_), operation, instances, lease_duration);
}

void ProcessSupervisor::release(const std::string& operation) {
  if (lease_owner_) lease_owner_->release(fleet_now(loop_), operation);
}

bool ProcessSupervisor::step(const std::string& name, const fleet::Step& step, std::string& error) {
  if (!lease_owner_) {
    error = store_error_;
    return false;
  }
  const auto at = config_.instances.find(name);
  const bool known = at != config_.instances.end();
  if (known && step.kind == fleet::StepKind::change && !at->second.commands.contains(step.version)) {
    error = "no command is configured for version " + std::to_string(step.version);
    return false;
  }
  return lease_owner_->step(fleet_now(loop_), name, step, error);
}

std::vector<ProcessSupervisor::InstanceStatus> ProcessSupervisor::instances() const {
  std::vector<InstanceStatus> statuses;
  for (const auto& [name, owned] : config_.instances) statuses.push_back(status_of(name, owned));
  return statuses;
}

ProcessSupervisor::InstanceStatus ProcessSupervisor::status_of(const std::string& name,
                                                               const OwnedInstance& owned) const {
  const ManagerStatus& manager = instances_.at(name)->manager.status();
  InstanceStatus status;
  status.name = name;
  status.zone = owned.zone;
  status.pid = manager.pid;
  status.process_id = manager.started_unix_ms;
  status.done = manager.done;
  status.answered = manager.answered_requests;
  status.open = manager.open_requests;
  if (!lease_owner_) {
    status.state = state_of(manager);
    return status;
  }
  const InstanceLifecycle& lifecycle = *lease_owner_->lifecycle(name);
  status.state = lifecycle.state();
  status.version = lifecycle.version();
  status.crashes = lifecycle.crash_count();
  status.lease = lease_owner_->leases().lease_on(fleet_now(loop_), name);
  status.current_step = lifecycle.current_step();
  status.last_step = lifecycle.last_step();
  if (const auto process = processes_.process_of(name)) status.pid = process->pid;
  return status;
}

// ---- Observation

void ProcessSupervisor::poll_managers() {
  for (auto& [name, instance] : instances_) instance->manager.poll([this, name = name] { on_status(name); });
  loop_.at(loop_.now() + poll_interval, [this, alive = alive_] {
    if (*alive) poll_managers();
  });
}

bool ProcessSupervisor::has_observed_all() const {
  return std::ranges::all_of(instances_,
                             [](const auto& entry) { return entry.second->manager.has_polled(); });
}

void ProcessSupervisor::on_status(const std::string& name) {
  if (!lease_owner_) return;
  const InstanceLifecycle::Observation observation = observe(name);
  lease_owner_->observe(fleet_now(loop_), name, observation);
}

InstanceLifecycle::Observation ProcessSupervisor::observe(const std::string& name) {
  const Instance& instance = *instances_.at(name);
  const ManagerStatus& status = instance.manager.status();
  InstanceLifecycle::Observation observation;
  observation.ours = processes_.alive(name);
  observation.answers = status.answered;
  // The shell that Processes started may have replaced itself with the manager or be its parent. In both
  // cases the manager is in the session that the shell leads.
  const std::optional<store::ProcessRecord> process = processes_.process_of(name);
  observation.is_ours =
      observation.ours && process &&
      (status.pid == process->pid || ::getsid(static_cast<pid_t>(status.pid)) == process->pid);
  observation.serves = status.phase == "serving";
  observation.drains = status.drain_state == "draining";
  observation.drained = status.drain_state == "drained";
  observation.version = instance.running_version;
  return observation;
}

// ---- fleet::LeaseOwner::Host

void ProcessSupervisor::wake_at(TimePoint when) {
  if (wake_at_ && *wake_at_ <= when && *wake_at_ > fleet_now(loop_)) return;
  wake_at_ = when;
  loop_.at(loop_time(when), [this, alive = alive_] {
    if (!*alive) return;
    wake_at_.reset();
    lease_owner_->on_timer(fleet_now(loop_));
  });
}

bool ProcessSupervisor::write(const PersistedInstances& instances, const std::string& intent) {
  if (store_.write_instances(instances)) return true;
  PEARCHUTE_LOG(spdlog::level::err, "can't persist the intent '{}', which is not executed: {}", intent,
                store_.last_error());
  return false;
}

void ProcessSupervisor::start(const std::string& name, int version) {
  const OwnedInstance& owned = config_.instances.at(name);
  const auto command = owned.commands.find(version);
  if (command == owned.commands.end()) {
    PEARCHUTE_LOG(spdlog::level::err, "instance {}: no command is configured for version {}", name, version);
    return;
  }
  const auto persist = [&](store::ProcessRecord process) {
    process.command_version = version;
    return store_.write_process(name, process);
  };
  std::string error;
  const bool started = processes_.start(name, command->second, owned.log, persist, error);
  if (started) instances_.at(name)->running_version = version;
  PEARCHUTE_LOG(started ? spdlog::level::info : spdlog::level::err, "instance {}: {}", name,
                started ? "started, version " + std::to_string(version) : "can't be started: " + error);
}

void ProcessSupervisor::request_shutdown(const std::string& name, fleet::Duration within) {
  instances_.at(name)->manager.request_shutdown(within);
}

void ProcessSupervisor::cancel_shutdown(const std::string& name) {
  instances_.at(name)->manager.cancel_shutdown();
}

void ProcessSupervisor::set_drain(const std::string& name, bool drains, const fleet::Step& step) {
  instances_.at(name)->manager.order_drain("agent:" + config_.name, drains, step);
}

void ProcessSupervisor::terminate(const std::string& name) {
  spdlog::warn("instance {}: sending SIGTERM", name);
  processes_.signal(name, SIGTERM);
}

void ProcessSupervisor::kill(const std::string& name) {
  spdlog::warn("instance {}: sending SIGKILL", name);
  processes_.signal(name, SIGKILL);
}

void ProcessSupervisor::step_ended(const std::string& name, const fleet::Step& step, fleet::StepEnd end,
                                   const std::string& reason) {
  spdlog::info("instance {}: step of operation {} with fence {} ended: {}, {}", name, step.operation,
               step.fence, name_of(end), reason);
}

void ProcessSupervisor::lease_ended(const std::string& name, const fleet::Lease& lease,
                                    fleet::LeaseTable::EndReason reason) {
  constexpr std::array<std::string_view, 3> descriptions = {"has expired", "was released", "was taken over"};
  spdlog::info("instance {}: lease of operator {} for operation {} {}", name, lease.who, lease.operation,
               descriptions[static_cast<std::size_t>(reason)]);
}

}  // namespace pearchute::agent
