// Typed descriptors of the RPCs that one agent sends to another. The protocol (src/proto/agent.proto) keeps
// the names of its first release, so that agents of different builds understand each other. This file maps
// its methods to the names that the code uses; the codecs (wire.h, gossip_codec.h, config_codec.h) map its
// messages.
#pragma once

#include <grpcpp/grpcpp.h>

#include <functional>

#include "agent.grpc.pb.h"

namespace pearchute::agent {

// An RPC method, as a client starts it, with the types of its messages.
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
