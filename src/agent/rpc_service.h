// The server side of an agent's RPCs: authorizes each caller by the role in its certificate, and executes the
// RPC on the event loop.
//
// gRPC runs each handler on a thread of its own, which blocks until the loop has executed it.
#pragma once

#include <string>
#include <string_view>

#include "agent.grpc.pb.h"
#include "agent/config_service.h"
#include "agent/coordinator.h"
#include "agent/gossip_service.h"
#include "agent/grpc_credentials.h"
#include "agent/process_supervisor.h"
#include "fleet/roles.h"
#include "net/event_loop_thread.h"

namespace pearchute::agent {

// Implements the service of agent.proto, with the protocol's names. A method returns PERMISSION_DENIED if the
// caller is not authorized, INVALID_ARGUMENT if a message holds a value that is unknown or out of bounds, and
// FAILED_PRECONDITION if this agent's configuration disables the exchange that the method belongs to.
class RpcService final : public v1::Agent::Service {
 public:
  // The objects that execute the RPCs; they outlive the service. `gossip` and `config` are null if the
  // agent's configuration disables that exchange.
  struct Components {
    ProcessSupervisor& supervisor;
    Coordinator& coordinator;
    GossipService* gossip;
    ConfigService* config;
  };

  // `build` is reported to operators. Throws what the constructor of Revocations throws.
  RpcService(net::EventLoopThread& loop_thread, const Components& components, const AgentConfig& config,
             std::string build);

  grpc::Status Show(grpc::ServerContext* context, const v1::Empty*, v1::Shown* status) override;
  grpc::Status Exchange(grpc::ServerContext* context, const v1::Question* request,
                        v1::Bulletin* response) override;
  grpc::Status Synchronize(grpc::ServerContext* context, const v1::ConfigMessage* request,
                           v1::ConfigMessage* response) override;
  grpc::Status PublishConfig(grpc::ServerContext* context, const v1::ConfigPublication* request,
                             v1::ConfigPublished* response) override;
  grpc::Status ShowConfig(grpc::ServerContext* context, const v1::Empty*, v1::ConfigShown* status) override;
  grpc::Status Claim(grpc::ServerContext* context, const v1::ClaimAsk* request,
                     v1::ClaimAnswer* response) override;
  grpc::Status Renew(grpc::ServerContext* context, const v1::Renewal* request,
                     v1::Renewed* response) override;
  grpc::Status Release(grpc::ServerContext* context, const v1::Operation* request, v1::Empty*) override;
  grpc::Status DoStep(grpc::ServerContext* context, const v1::StepAsk* request,
                      v1::StepAnswer* response) override;
  grpc::Status StartRollout(grpc::ServerContext* context, const v1::Plan* plan, v1::Said* response) override;
  grpc::Status Rollouts(grpc::ServerContext* context, const v1::Operation* request,
                        v1::RolloutList* response) override;
  grpc::Status Say(grpc::ServerContext* context, const v1::Word* request, v1::Said* response) override;

 private:
  // Runs `handler` on the loop if the caller may perform `action` on an operation of the operator `owner`. An
  // empty `owner` stands for an action that concerns no operator's operation.
  template <class Handler>
  grpc::Status authorize_and_run(const grpc::ServerContext& context, fleet::Action action,
                                 const std::string& owner, Handler handler);
  // Returns why the caller is not authorized, for operators; empty if it is.
  std::string denial(const CallerIdentity& caller, fleet::Action action, const std::string& owner);
  std::string owner_of(const std::string& operation);
  v1::Instance to_wire_status(const ProcessSupervisor::InstanceStatus& status) const;

  net::EventLoopThread& loop_thread_;
  const Components components_;
  const std::string agent_name_;
  const std::string build_;
  Revocations revocations_;
};

}  // namespace pearchute::agent
