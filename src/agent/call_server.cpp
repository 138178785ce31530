#include "agent/call_server.h"

#include <fcntl.h>
#include <unistd.h>

#include "agent/grpc_credentials.h"
#include "agent/rpc_deadline.h"
#include "errors/error.h"
#include "net/addresses.h"
#include "net/log.h"
#include "net/owner_door.h"

namespace pearchute::agent {

using std::chrono::milliseconds;

namespace {

using ExternalConnection = grpc::ServerBuilder::experimental_type::ExternalConnectionType;

// Bounds: of threads, of a message (the largest is a plan of some thousand instances), and of idle
// connections.
constexpr int most_threads = 16, largest_message = 1 << 20, longest_idle_ms = 60'000;
constexpr milliseconds calls_end_within(500);

// gRPC gets a descriptor of its own; where none can be had the caller sees its connection end, and calls
// again.
void hand_over(grpc::experimental::ExternalConnectionAcceptor& acceptor,
               const Poco::Net::StreamSocket& socket) {
  const int descriptor = ::fcntl(socket.impl()->sockfd(), F_DUPFD_CLOEXEC, 0);
  if (descriptor < 0) {
    PEARCHUTE_LOG(spdlog::level::warn, "no descriptor for a caller's connection; it is closed");
    return;
  }
  grpc::experimental::ExternalConnectionAcceptor::NewConnectionParameters connection;
  connection.fd = descriptor;
  acceptor.HandleNewConnection(&connection);
}

std::string path_of(const keys::Reach& reach) { return reach.text.substr(std::string("unix:").size()); }

}  // namespace

CallServer::CallServer(net::EventLoopThread& loop_thread, const AgentConfig& charter, grpc::Service& service)
    : loop_thread_(loop_thread), control_path_(path_of(charter.control)) {
  grpc::ServerBuilder builder;
  grpc::ResourceQuota quota;
  quota.SetMaxThreads(most_threads);
  builder.SetResourceQuota(quota);
  builder.SetMaxReceiveMessageSize(largest_message);
  builder.AddChannelArgument(GRPC_ARG_MAX_CONNECTION_IDLE_MS, longest_idle_ms);
  control_ = builder.experimental().AddExternalConnectionAcceptor(ExternalConnection::FROM_FD,
                                                                  grpc::InsecureServerCredentials());
  if (charter.listen.tls)
    listen_ = builder.experimental().AddExternalConnectionAcceptor(ExternalConnection::FROM_FD,
                                                                   credentials_by(charter.tls));
  builder.RegisterService(&service);
  server_ = builder.BuildAndStart();
  if (!server_) throw SystemError("the server of remote calls can't be started", charter.name);
  try {
    loop_thread_.on([&] { listen(charter); });
  } catch (...) {
    loop_thread_.on([this] { close_doors(); });
    throw;
  }
}

CallServer::~CallServer() {
  loop_thread_.on([this] {
    close_doors();
    ::unlink(control_path_.c_str());
  });
  server_->Shutdown(deadline_in(calls_end_within));
}

void CallServer::listen(const AgentConfig& charter) {
  doors_.push_back(
      net::open_owner_door(loop_thread_.loop(), control_path_,
                           [this](const Poco::Net::StreamSocket& socket) { hand_over(*control_, socket); }));
  if (!listen_) return;
  doors_.push_back(std::make_unique<net::Door>(
      loop_thread_.loop(), net::resolved_address(charter.listen.target, "listen"),
      [this](const Poco::Net::StreamSocket& socket) { hand_over(*listen_, socket); }));
}

void CallServer::close_doors() { doors_.clear(); }

}  // namespace pearchute::agent
