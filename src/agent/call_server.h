// The listening side of an agent's remote calls. Its own sockets listen and accept, on the event loop, and
// hand what they have accepted to gRPC: left to the library, one accept that fails (a shortage, a connection
// that broke off while it waited) would end its listening for good.
#pragma once

#include <grpcpp/grpcpp.h>

#include <memory>
#include <string>
#include <vector>

#include "agent/agent_config.h"
#include "net/event_loop_thread.h"

namespace pearchute::agent {

class CallServer {
 public:
  // Listens at the charter's control socket and, where it has one, at its TLS address. `service` outlives
  // this. Throws AddressError, ListeningError where a place can't be had, ResourceShortage where it can't be
  // had now.
  CallServer(net::EventLoopThread& loop_thread, const AgentConfig& charter, grpc::Service& service);
  ~CallServer();  // open calls have half a second to end
  CallServer(const CallServer&) = delete;
  CallServer& operator=(const CallServer&) = delete;

 private:
  using Acceptor = grpc::experimental::ExternalConnectionAcceptor;
  void listen(const AgentConfig& charter);
  void close_doors();

  net::EventLoopThread& loop_thread_;
  const std::string control_path_;
  std::unique_ptr<Acceptor> control_, listen_;
  std::unique_ptr<grpc::Server> server_;
  std::vector<std::unique_ptr<net::Door>> doors_;  // on the loop
};

}  // namespace pearchute::agent
