// The gRPC server of an agent. It listens and accepts connections itself, on the event loop, and passes them
// to gRPC: a gRPC listener stops for good after one failed accept (a resource shortage, or a connection that
// its client reset before it was accepted).
//
// Constructed and destroyed on a thread other than the loop's. gRPC runs the service on threads of its own.
#pragma once

#include <grpcpp/grpcpp.h>

#include <memory>
#include <string>
#include <vector>

#include "agent/agent_config.h"
#include "net/event_loop_thread.h"
#include "net/listening_socket.h"

namespace pearchute::agent {

// Serves one gRPC service at the agent's addresses, from construction to destruction.
class RpcServer {
 public:
  // Listens at the control socket and, if one is configured, at the TLS address. `service` outlives the
  // server. Throws AddressError or ListeningError if an address can't be used, KeysError if a certificate or
  // key can't be used, SystemError if gRPC can't start the server, ResourceShortage if memory, descriptors or
  // the like have temporarily run out.
  RpcServer(net::EventLoopThread& loop_thread, const AgentConfig& config, grpc::Service& service);
  // Cancels RPCs that are still in progress after half a second.
  ~RpcServer();
  RpcServer(const RpcServer&) = delete;
  RpcServer& operator=(const RpcServer&) = delete;

 private:
  using Acceptor = grpc::experimental::ExternalConnectionAcceptor;
  void listen(const AgentConfig& config);
  void stop_listening();

  net::EventLoopThread& loop_thread_;
  const std::string control_path_;
  std::unique_ptr<Acceptor> control_acceptor_;
  std::unique_ptr<Acceptor> tls_acceptor_;  // null if no TLS address is configured
  std::unique_ptr<grpc::Server> server_;
  std::vector<std::unique_ptr<net::ListeningSocket>> listeners_;  // accessed on the loop only
};

}  // namespace pearchute::agent
