// The listening side of an agent's remote calls. It listens and accepts itself, on the event loop, and hands
// accepted connections to gRPC: left to gRPC, one accept that fails (a shortage, a connection that broke off
// while it waited) would end its listening for good.
//
// Constructed and destroyed on a thread other than the loop's. gRPC runs the service on threads of its own.
#pragma once

#include <grpcpp/grpcpp.h>

#include <memory>
#include <string>
#include <vector>

#include "agent/agent_config.h"
#include "net/event_loop_thread.h"

namespace pearchute::agent {

// Serves one gRPC service at the agent's addresses, from its construction to its end.
class CallServer {
 public:
  // Listens at the control socket and, where one is configured, at the TLS address. `service` outlives this.
  // Throws AddressError or ListeningError where an address can't be used, KeysError where a certificate
  // can't, ResourceShortage where the machine is short of something now.
  CallServer(net::EventLoopThread& loop_thread, const AgentConfig& config, grpc::Service& service);
  // Open calls have half a second to end.
  ~CallServer();
  CallServer(const CallServer&) = delete;
  CallServer& operator=(const CallServer&) = delete;

 private:
  using Acceptor = grpc::experimental::ExternalConnectionAcceptor;
  void listen(const AgentConfig& config);
  void stop_listening();

  net::EventLoopThread& loop_thread_;
  const std::string control_path_;
  std::unique_ptr<Acceptor> control_acceptor_;
  std::unique_ptr<Acceptor> tls_acceptor_;  // none where no TLS address is configured
  std::unique_ptr<grpc::Server> server_;
  std::vector<std::unique_ptr<net::ListeningSocket>> listeners_;  // used on the loop only
};

}  // namespace pearchute::agent
