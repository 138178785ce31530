#include "agent/rpc_service.h"

#include <utility>
#include <vector>

#include "agent/loop_time.h"
#include "agent/rollout_codec.h"
#include "errors/error.h"
#include "net/log.h"

namespace pearchute::agent {

using fleet::Action;
using grpc::ServerContext;
using grpc::Status;
using std::chrono::milliseconds;

namespace {

Status no_gossip() { return {grpc::StatusCode::FAILED_PRECONDITION, "this agent exchanges no word"}; }

Status no_config() {
  return {grpc::StatusCode::FAILED_PRECONDITION, "this agent takes no part in configuration versions"};
}

template <class Strings>
std::vector<std::string> to_vector(const Strings& strings) {
  return {strings.begin(), strings.end()};
}

}  // namespace

RpcService::RpcService(net::EventLoopThread& loop_thread, const Components& components,
                       const AgentConfig& config, std::string build)
    : loop_thread_(loop_thread),
      components_(components),
      agent_name_(config.name),
      build_(std::move(build)),
      revocations_(config.tls) {}

// ---- Authorization

template <class Handler>
Status RpcService::authorize_and_run(const ServerContext& context, Action action, const std::string& owner,
                                     Handler handler) {
  const CallerIdentity caller = identity_of(context);
  if (const std::string reason = denial(caller, action, owner); !reason.empty()) {
    PEARCHUTE_LOG(spdlog::level::warn, "refused an RPC of '{}' from {}: {}", caller.name, context.peer(),
                  reason);
    return {grpc::StatusCode::PERMISSION_DENIED, reason};
  }
  try {
    loop_thread_.on(handler);
    return Status::OK;
  } catch (const MessageError& error) {
    return {grpc::StatusCode::INVALID_ARGUMENT, error.what()};
  }
}

std::string RpcService::denial(const CallerIdentity& caller, Action action, const std::string& owner) {
  if (!caller.role) return "a certificate without a role";
  if (revocations_.is_revoked(caller.serial)) return "the certificate is revoked";
  return fleet::denial_reason(*caller.role, action, caller.name, owner).value_or("");
}

// The operator who holds an operation's leases at this agent; empty if it holds none.
std::string RpcService::owner_of(const std::string& operation) {
  return loop_thread_.on([&]() -> std::string {
    for (const ProcessSupervisor::InstanceStatus& instance : components_.supervisor.instances()) {
      if (instance.lease && instance.lease->operation == operation) return instance.lease->who;
    }
    return "";
  });
}

// ---- Status

Status RpcService::Show(ServerContext* context, const v1::Empty*, v1::Shown* status) {
  return authorize_and_run(*context, Action::look, "", [&] {
    status->set_name(agent_name_);
    status->set_build(build_);
    status->set_trouble(components_.supervisor.store_error());
    for (const ProcessSupervisor::InstanceStatus& instance : components_.supervisor.instances())
      *status->add_instances() = to_wire_status(instance);
    if (components_.gossip) components_.gossip->show(*status);
  });
}

v1::Instance RpcService::to_wire_status(const ProcessSupervisor::InstanceStatus& status) const {
  v1::Instance to;
  to.set_name(status.name);
  to.set_zone(status.zone);
  to.set_condition(std::string(fleet::name_of(status.state)));
  to.set_version(status.version);
  to.set_falls(static_cast<std::uint32_t>(status.crashes));
  to.set_pid(static_cast<std::uint64_t>(status.pid));
  to.set_done(status.done);
  to.set_answered(status.answered);
  to.set_life(status.process_id);
  if (status.lease) *to.mutable_claim() = to_wire(*status.lease, fleet_now(loop_thread_.loop()));
  if (status.current_step) *to.mutable_under_way() = to_wire(*status.current_step);
  if (status.last_step) *to.mutable_last() = to_wire(*status.last_step);
  return to;
}

// ---- RPCs between agents

Status RpcService::Exchange(ServerContext* context, const v1::Question* request, v1::Bulletin* response) {
  if (!components_.gossip) return no_gossip();
  return authorize_and_run(*context, Action::look, "",
                           [&] { components_.gossip->answer(*request, *response); });
}

Status RpcService::Synchronize(ServerContext* context, const v1::ConfigMessage* request,
                               v1::ConfigMessage* response) {
  if (!components_.config) return no_config();
  if (identity_of(*context).role != fleet::Role::agent)
    return {grpc::StatusCode::PERMISSION_DENIED, "only agents exchange versions of the configuration"};
  return authorize_and_run(*context, Action::change, "",
                           [&] { components_.config->synchronize(*request, *response); });
}

// ---- Configuration versions

Status RpcService::PublishConfig(ServerContext* context, const v1::ConfigPublication* request,
                                 v1::ConfigPublished* response) {
  if (!components_.config) return no_config();
  const Action action = request->new_epoch() ? Action::take_over : Action::change;
  return authorize_and_run(*context, action, "", [&] { components_.config->publish(*request, *response); });
}

Status RpcService::ShowConfig(ServerContext* context, const v1::Empty*, v1::ConfigShown* status) {
  if (!components_.config) return no_config();
  return authorize_and_run(*context, Action::look, "", [&] { components_.config->show(*status); });
}

// ---- Leases and steps

Status RpcService::Claim(ServerContext* context, const v1::ClaimAsk* request, v1::ClaimAnswer* response) {
  const Action action = request->take_over() ? Action::take_over : Action::change;
  return authorize_and_run(*context, action, request->who(), [&] {
    const fleet::LeaseTable::Answer answer = components_.supervisor.acquire(from_wire(*request));
    *response = to_wire(answer, fleet_now(loop_thread_.loop()));
  });
}

Status RpcService::Renew(ServerContext* context, const v1::Renewal* request, v1::Renewed* response) {
  return authorize_and_run(*context, Action::change, owner_of(request->operation()), [&] {
    const milliseconds lease_duration = lease_duration_from_ms(request->lease_ms());
    const bool live =
        components_.supervisor.renew(request->operation(), to_vector(request->instances()), lease_duration);
    response->set_live(live);
  });
}

Status RpcService::Release(ServerContext* context, const v1::Operation* request, v1::Empty*) {
  return authorize_and_run(*context, Action::change, owner_of(request->id()),
                           [&] { components_.supervisor.release(request->id()); });
}

Status RpcService::DoStep(ServerContext* context, const v1::StepAsk* request, v1::StepAnswer* response) {
  return authorize_and_run(*context, Action::change, owner_of(request->step().operation()), [&] {
    std::string error;
    response->set_accepted(
        components_.supervisor.step(request->instance(), from_wire(request->step()), error));
    response->set_fault(error);
  });
}

// ---- Rollouts

Status RpcService::StartRollout(ServerContext* context, const v1::Plan* plan, v1::Said* response) {
  const Action action = plan->take_over() ? Action::take_over : Action::change;
  return authorize_and_run(*context, action, plan->who(),
                           [&] { response->set_fault(components_.coordinator.start(from_wire(*plan))); });
}

Status RpcService::Rollouts(ServerContext* context, const v1::Operation* request, v1::RolloutList* response) {
  return authorize_and_run(*context, Action::look, "",
                           [&] { components_.coordinator.list(request->id(), *response); });
}

// No owner is checked: an operator with the right to change may control the rollouts of all operators.
Status RpcService::Say(ServerContext* context, const v1::Word* request, v1::Said* response) {
  return authorize_and_run(*context, Action::change, "", [&] {
    response->set_fault(components_.coordinator.control(request->id(), request->word()));
  });
}

}  // namespace pearchute::agent
