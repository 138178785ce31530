// The calls of the agents' service (src/proto/agent.proto) under the terms of the code. The service, its
// methods and its fields keep the names with which they went into service; they are mapped here and in the
// codecs (wire.h, gossip_wire.h, config_wire.h), and used nowhere behind them.
#pragma once

#include <grpcpp/grpcpp.h>

#include <functional>

#include "agent.grpc.pb.h"

namespace pearchute::agent {

// The client's side of one call, with the types of its messages.
template <class Request, class Response>
struct RpcMethod {
  using Start = void (v1::Agent::StubInterface::async_interface::*)(grpc::ClientContext*, const Request*,
                                                                    Response*,
                                                                    std::function<void(grpc::Status)>);
  Start start;
};

namespace rpc {

using AsyncStub = v1::Agent::StubInterface::async_interface;

inline constexpr RpcMethod<v1::Empty, v1::Shown> get_status{&AsyncStub::Show};
inline constexpr RpcMethod<v1::ClaimAsk, v1::ClaimAnswer> acquire_leases{&AsyncStub::Claim};
inline constexpr RpcMethod<v1::Renewal, v1::Renewed> renew_leases{&AsyncStub::Renew};
inline constexpr RpcMethod<v1::Operation, v1::Empty> release_leases{&AsyncStub::Release};
inline constexpr RpcMethod<v1::StepAsk, v1::StepAnswer> start_step{&AsyncStub::DoStep};
inline constexpr RpcMethod<v1::Question, v1::Bulletin> exchange_reports{&AsyncStub::Exchange};
inline constexpr RpcMethod<v1::ConfigMessage, v1::ConfigMessage> synchronize_config{&AsyncStub::Synchronize};

}  // namespace rpc

}  // namespace pearchute::agent
