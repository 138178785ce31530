// The server's side of an agent's remote calls: authorizes each caller by the role in its certificate, and
// carries the call out on the event loop.
//
// gRPC runs each call on a thread of its own, which waits for the loop.
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

// Names and arguments are the protocol's. Statuses: PERMISSION_DENIED where the caller may not,
// INVALID_ARGUMENT where a message has a value out of its bounds, FAILED_PRECONDITION where this agent does
// not take part.
class RpcService final : public v1::Agent::Service {
 public:
  // What carries the calls out; all of it outlives the service. Without `gossip` or `config` this agent takes
  // no part in them.
  struct Components {
    ProcessSupervisor& supervisor;
    Coordinator& coordinator;
    GossipService* gossip;
    ConfigService* config;
  };

  // Throws as Revocations does.
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
  // Runs `call` on the loop where the caller may do `action` on behalf of `owner`, the operator whose
  // operation it is (empty: anybody's).
  template <class Call>
  grpc::Status authorize_and_run(const grpc::ServerContext& context, fleet::Action action,
                                 const std::string& owner, Call call);
  // Why the caller may not, for operators; empty where it may.
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
