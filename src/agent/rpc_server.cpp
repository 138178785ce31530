#include "agent/rpc_server.h"

#include <fcntl.h>
#include <unistd.h>

#include "agent/grpc_credentials.h"
#include "agent/rpc_deadline.h"
#include "errors/error.h"
#include "net/addresses.h"
#include "net/log.h"
#include "net/owner_socket.h"

namespace pearchute::agent {

using std::chrono::milliseconds;

namespace {

using ExternalConnection = grpc::ServerBuilder::experimental_type::ExternalConnectionType;

constexpr int max_threads = 16;
constexpr int max_message_bytes =
    1 << 20;  // the largest message is the plan of a rollout over 5000 instances
constexpr int max_connection_idle_ms = 60'000;
constexpr milliseconds shutdown_timeout(500);

// Passes a duplicate of the socket's descriptor to gRPC, which closes it. If no descriptor is available, the
// connection is closed and its client reconnects.
void hand_over(grpc::experimental::ExternalConnectionAcceptor& acceptor,
               const Poco::Net::StreamSocket& socket) {
  const int descriptor = ::fcntl(socket.impl()->sockfd(), F_DUPFD_CLOEXEC, 0);
  if (descriptor < 0) {
    PEARCHUTE_LOG(spdlog::level::warn, "no file descriptor for an accepted connection; it is closed");
    return;
  }
  grpc::experimental::ExternalConnectionAcceptor::NewConnectionParameters connection;
  connection.fd = descriptor;
  acceptor.HandleNewConnection(&connection);
}

std::string path_of(const keys::Endpoint& endpoint) {
  return endpoint.text.substr(std::string_view("unix:").size());
}

void set_limits(grpc::ServerBuilder& builder) {
  grpc::ResourceQuota quota;
  quota.SetMaxThreads(max_threads);
  builder.SetResourceQuota(quota);
  builder.SetMaxReceiveMessageSize(max_message_bytes);
  builder.AddChannelArgument(GRPC_ARG_MAX_CONNECTION_IDLE_MS, max_connection_idle_ms);
}

}  // namespace

RpcServer::RpcServer(net::EventLoopThread& loop_thread, const AgentConfig& config, grpc::Service& service)
    : loop_thread_(loop_thread), control_path_(path_of(config.control)) {
  grpc::ServerBuilder builder;
  set_limits(builder);
  control_acceptor_ = builder.experimental().AddExternalConnectionAcceptor(ExternalConnection::FROM_FD,
                                                                           grpc::InsecureServerCredentials());
  if (config.listen.tls)
    tls_acceptor_ = builder.experimental().AddExternalConnectionAcceptor(ExternalConnection::FROM_FD,
                                                                         server_credentials(config.tls));
  builder.RegisterService(&service);
  server_ = builder.BuildAndStart();
  if (!server_) throw SystemError("the gRPC server can't be started", config.name);
  try {
    loop_thread_.on([&] { listen(config); });
  } catch (...) {
    loop_thread_.on([this] { stop_listening(); });
    throw;
  }
}

RpcServer::~RpcServer() {
  loop_thread_.on([this] {
    stop_listening();
    ::unlink(control_path_.c_str());
  });
  server_->Shutdown(deadline_in(shutdown_timeout));
}

void RpcServer::listen(const AgentConfig& config) {
  const auto accept_control = [this](const Poco::Net::StreamSocket& socket) {
    hand_over(*control_acceptor_, socket);
  };
  listeners_.push_back(net::open_owner_socket(loop_thread_.loop(), control_path_, accept_control));
  if (!tls_acceptor_) return;
  const auto accept_tls = [this](const Poco::Net::StreamSocket& socket) {
    hand_over(*tls_acceptor_, socket);
  };
  listeners_.push_back(std::make_unique<net::ListeningSocket>(
      loop_thread_.loop(), net::resolved_address(config.listen.target, "listen"), accept_tls));
}

void RpcServer::stop_listening() { listeners_.clear(); }

}  // namespace pearchute::agent
