#include "agent/process_supervisor.h"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <nlohmann/json.hpp>
#include <thread>

#include "agent/wire.h"
#include "net/log.h"
#include "system/retries.h"

namespace pearchute::agent {

using admin::CallEnd;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

// Five looks a second: a rollout sees a change within half a second, and one look costs a manager some 50 us.
constexpr milliseconds look_every(200);
// A sound manager answers within a millisecond, on a full machine within some tens.
constexpr milliseconds answers_within(1000);

}  // namespace

// What was last seen of one instance.
struct ProcessSupervisor::Eye {
  std::unique_ptr<admin::Caller> caller;
  bool looking = false, answers = false, looked = false;
  std::string phase, rest;
  std::int64_t pid = 0;
  int version = 0;  // by which its process was started
  std::uint64_t done = 0, answered = 0, open = 0, life = 0;
};

ProcessSupervisor::ProcessSupervisor(net::Loop& loop, const AgentConfig& charter)
    : loop_(loop), config_(charter), store_(charter.state_file) {
  const bool usable = open_store();
  if (usable) lease_owner_ = std::make_unique<fleet::LeaseOwner>(*this);
  else spdlog::error("{}; this agent observes and takes no orders until its state is mended", trouble_);
  const auto kept =
      usable ? store_.instances() : std::map<std::string, fleet::LeaseOwner::PersistedInstance>();
  const auto processes = usable ? store_.processes() : std::map<std::string, store::ProcessRecord>();
  for (const auto& [name, owned] : config_.instances) own(name, owned, kept, processes);
  look();
}

// Guards against an agent that takes no orders for good because its folder failed for a moment at its start.
bool ProcessSupervisor::open_store() {
  const auto until = std::chrono::steady_clock::now() + shortages_pass_within;
  store::OpenStatus opened = store_.open(trouble_);
  while (opened == store::OpenStatus::temporarily_unavailable && std::chrono::steady_clock::now() < until) {
    PEARCHUTE_LOG(spdlog::level::warn, "{}; tried again for some seconds", trouble_);
    std::this_thread::sleep_for(between_attempts);
    opened = store_.open(trouble_);
  }
  return opened == store::OpenStatus::usable;
}

ProcessSupervisor::~ProcessSupervisor() { *alive_ = false; }

// Guards against a process that is taken for ended, and started a second time, because it could not be looked
// at for a moment.
bool ProcessSupervisor::adopt(const std::string& instance, const store::ProcessRecord& process) {
  return retry_while_short([&] { return processes_.adopt(instance, process); },
                           [&](const ResourceShortage& shortage) {
                             PEARCHUTE_LOG(spdlog::level::warn,
                                           "instance {}: {}; tried again for some seconds", instance,
                                           shortage.what());
                           });
}

void ProcessSupervisor::own(const std::string& name, const OwnedInstance& owned,
                            const std::map<std::string, fleet::LeaseOwner::PersistedInstance>& kept,
                            const std::map<std::string, store::ProcessRecord>& processes) {
  auto& eye = eyes_[name] = std::make_unique<Eye>();
  eye->caller = std::make_unique<admin::Caller>(loop_, owned.admin);
  eye->version = owned.initial_version;
  if (!lease_owner_) return;
  fleet::LeaseOwner::PersistedInstance one;
  one.wanted = owned.starts;
  one.version = owned.initial_version;
  if (const auto at = kept.find(name); at != kept.end()) one = at->second;
  // A version that the charter names no more can't be started: the charter's own is.
  if (!owned.commands.contains(one.version)) one.version = owned.initial_version;
  eye->version = one.version;
  if (const auto at = processes.find(name); at != processes.end()) {
    const bool ours = adopt(name, at->second);
    if (ours && at->second.command_version > 0) eye->version = at->second.command_version;
    spdlog::info("instance {}: process {} {}", name, at->second.pid, ours ? "is adopted" : "has ended");
  }
  lease_owner_->add_instance(loop_.now().time_since_epoch(), name, one);
}

std::vector<std::string> ProcessSupervisor::change(const AgentConfig& next) {
  std::vector<std::string> told;
  const AgentConfig before = config_;
  config_.instances = next.instances;
  for (const auto& [name, owned] : before.instances) {
    const auto at = next.instances.find(name);
    // Where it is reached is what makes it this instance: another place is another one.
    const bool same = at != next.instances.end() && at->second.admin.text == owned.admin.text;
    if (same) continue;
    if (lease_owner_ && !lease_owner_->remove_instance(loop_.now().time_since_epoch(), name)) {
      config_.instances[name] = owned;
      told.push_back("instance " + name + " stays as it was: it is claimed");
      continue;
    }
    processes_.release(name);
    eyes_.erase(name);
    if (lease_owner_) store_.erase_instance(name);
    told.push_back("instance " + name + " is not looked after any more; it runs on");
  }
  for (const auto& [name, owned] : config_.instances) {
    if (eyes_.contains(name)) continue;
    own(name, owned, {}, {});
    told.push_back("instance " + name + " is looked after from now on");
  }
  return told;
}

// ---- What operators ask

fleet::LeaseTable::Answer ProcessSupervisor::ask(const fleet::LeaseRequest& ask) {
  if (lease_owner_) return lease_owner_->acquire(loop_.now().time_since_epoch(), ask);
  fleet::LeaseTable::Answer answer;
  answer.fault = trouble_;
  return answer;
}

bool ProcessSupervisor::renew(const std::string& operation, const std::vector<std::string>& instances,
                              Duration lease) {
  return lease_owner_ && lease_owner_->renew(loop_.now().time_since_epoch(), operation, instances, lease);
}

void ProcessSupervisor::release(const std::string& operation) {
  if (lease_owner_) lease_owner_->release(loop_.now().time_since_epoch(), operation);
}

bool ProcessSupervisor::step(const std::string& instance, const fleet::Step& step, std::string& fault) {
  if (!lease_owner_) return fault = trouble_, false;
  const auto at = config_.instances.find(instance);
  if (at != config_.instances.end() && step.kind == fleet::StepKind::change &&
      !at->second.commands.contains(step.version))
    return fault = "no command of version " + std::to_string(step.version), false;
  return lease_owner_->step(loop_.now().time_since_epoch(), instance, step, fault);
}

std::vector<ProcessSupervisor::Seen> ProcessSupervisor::seen() const {
  std::vector<Seen> all;
  for (const auto& [name, owned] : config_.instances) {
    Seen& one = all.emplace_back();
    one.instance = name, one.zone = owned.zone;
    const Eye& eye = *eyes_.at(name);
    one.pid = eye.pid, one.done = eye.done, one.answered = eye.answered;
    one.open = eye.open, one.life = eye.life;
    if (!lease_owner_) {
      one.condition = !eye.answers             ? fleet::InstanceState::unseen
                      : eye.rest == "drained"  ? fleet::InstanceState::drained
                      : eye.rest == "draining" ? fleet::InstanceState::draining
                      : eye.phase == "serving" ? fleet::InstanceState::serving
                                               : fleet::InstanceState::starting;
      continue;
    }
    const fleet::InstanceLifecycle& life = *lease_owner_->lifecycle(name);
    one.condition = life.state(), one.version = life.version(), one.falls = life.crash_count();
    one.claim = lease_owner_->leases().lease_on(loop_.now().time_since_epoch(), name);
    one.under_way = life.current_step(), one.last = life.last_step();
    if (const auto process = processes_.process_of(name)) one.pid = process->pid;
  }
  return all;
}

// ---- Eyes

void ProcessSupervisor::look() {
  for (auto& [name, eye] : eyes_) {
    if (eye->looking) continue;
    eye->looking = true;
    admin::v1::Call call;
    call.mutable_status();
    eye->caller->call(call, answers_within, [this, name = name](CallEnd end, const admin::v1::Reply& reply) {
      Eye& seen = *eyes_.at(name);
      seen.looking = false, seen.looked = true;
      seen.answers = end == CallEnd::answered && reply.outcome() == admin::v1::ok;
      const admin::v1::Identity& identity = reply.status().identity();
      seen.phase = identity.phase(), seen.rest = identity.rest();
      seen.pid = static_cast<std::int64_t>(identity.pid());
      seen.life = identity.started_unix_ms(), seen.open = reply.status().open_jobs();
      const auto counters = nlohmann::json::parse(reply.status().counters(), nullptr, false);
      if (counters.is_object() && counters.contains("answered")) {
        const auto& answers = counters["answered"];
        seen.done = answers.value("done", std::uint64_t{0});
        seen.answered = seen.done + answers.value("throttled", std::uint64_t{0}) +
                        answers.value("cancelled", std::uint64_t{0});
      }
      looked(name);
    });
  }
  loop_.at(loop_.now() + look_every, [this, alive = alive_] {
    if (*alive) look();
  });
}

bool ProcessSupervisor::looked_at_all() const {
  return std::ranges::all_of(eyes_, [](const auto& one) { return one.second->looked; });
}

void ProcessSupervisor::looked(const std::string& name) {
  if (!lease_owner_) return;
  const Eye& eye = *eyes_.at(name);
  fleet::InstanceLifecycle::Observation look;
  look.ours = processes_.alive(name);
  look.answers = eye.answers;
  // The shell that was started may have become the manager or be its parent: a session of ours holds both.
  const auto process = processes_.process_of(name);
  look.is_ours = look.ours && process &&
                 (eye.pid == process->pid || ::getsid(static_cast<pid_t>(eye.pid)) == process->pid);
  look.serves = eye.phase == "serving";
  look.drains = eye.rest == "draining", look.drained = eye.rest == "drained";
  look.version = eye.version;
  lease_owner_->observe(loop_.now().time_since_epoch(), name, look);
}

void ProcessSupervisor::wake_at(Duration when) {
  if (wake_ && *wake_ <= when && *wake_ > loop_.now().time_since_epoch()) return;
  wake_ = when;
  loop_.at(TimePoint(when), [this, alive = alive_] {
    if (!*alive) return;
    wake_.reset();
    lease_owner_->on_timer(loop_.now().time_since_epoch());
  });
}

// ---- Hands

bool ProcessSupervisor::write(const std::map<std::string, fleet::LeaseOwner::PersistedInstance>& kept,
                              const std::string& why) {
  if (store_.write_instances(kept)) return true;
  PEARCHUTE_LOG(spdlog::level::err, "{}: {} is not done", store_.last_error(), why);
  return false;
}

void ProcessSupervisor::start(const std::string& name, int version) {
  const OwnedInstance& owned = config_.instances.at(name);
  const auto command = owned.commands.find(version);
  if (command == owned.commands.end()) {
    PEARCHUTE_LOG(spdlog::level::err, "instance {}: no command of version {}", name, version);
    return;
  }
  std::string fault;
  const bool started = processes_.start(
      name, command->second, owned.log,
      [&](store::ProcessRecord process) {
        process.command_version = version;
        return store_.write_process(name, process);
      },
      fault);
  if (started) eyes_.at(name)->version = version;
  PEARCHUTE_LOG(started ? spdlog::level::info : spdlog::level::err, "instance {}: {}", name,
                started ? "started, version " + std::to_string(version) : "can't be started: " + fault);
}

void ProcessSupervisor::request_shutdown(const std::string& name, Duration within) {
  admin::v1::Call call;
  call.mutable_end()->set_within_ms(static_cast<std::uint64_t>(duration_cast<milliseconds>(within).count()));
  eyes_.at(name)->caller->call(call, answers_within, {});
}

void ProcessSupervisor::cancel_shutdown(const std::string& name) {
  admin::v1::Call call;
  call.mutable_end()->set_called_off(true);
  eyes_.at(name)->caller->call(call, answers_within, {});
}

// Under the operation's name, and with a generation over all that the manager knows.
void ProcessSupervisor::set_drain(const std::string& name, bool drains, const fleet::Step& step) {
  admin::v1::Call known;
  known.mutable_orders();
  eyes_.at(name)->caller->call(
      known, answers_within,
      [this, alive = alive_, name, drains, step](CallEnd end, const admin::v1::Reply& reply) {
        if (!*alive || end != CallEnd::answered) return;
        admin::v1::Call call;
        admin::v1::Order& order = *call.mutable_order();
        order.set_id(step.operation + "-" + std::to_string(step.fence) + (drains ? "-drain" : "-restore"));
        order.set_holder("agent:" + config_.name), order.set_drains(drains);
        order.set_generation(reply.orders().newest_generation() + 1);
        // A drained instance stays so until somebody resumes it, a day at most.
        order.set_lease_ms(24 * 3600 * 1000), order.set_reason("operation " + step.operation);
        eyes_.at(name)->caller->call(call, answers_within, {});
      });
}

void ProcessSupervisor::terminate(const std::string& name) {
  spdlog::warn("instance {}: SIGTERM", name);
  processes_.signal(name, SIGTERM);
}

void ProcessSupervisor::kill(const std::string& name) {
  spdlog::warn("instance {}: SIGKILL", name);
  processes_.signal(name, SIGKILL);
}

void ProcessSupervisor::step_ended(const std::string& name, const fleet::Step& step, fleet::StepEnd end,
                                   const std::string& word) {
  spdlog::info("instance {}: step of {} under fence {}: {}, {}", name, step.operation, step.fence,
               name_of(end), word);
}

void ProcessSupervisor::lease_ended(const std::string& name, const fleet::Lease& claim,
                                    fleet::LeaseTable::EndReason why) {
  constexpr std::string_view words[] = {"has run out", "is given back", "is taken over"};
  spdlog::info("instance {}: the claim of {} for {} {}", name, claim.who, claim.operation,
               words[static_cast<int>(why)]);
}

}  // namespace pearchute::agent
