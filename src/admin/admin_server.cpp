#include "admin/admin_server.h"

#include <unistd.h>

#include <algorithm>

#include "admin.pb.h"
#include "errors/error.h"
#include "net/log.h"
#include "net/owner_socket.h"

namespace pearchute::admin {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// The interval at which timeouts are checked and pending calls of busy connections are resumed.
constexpr milliseconds sweep_interval(50);
constexpr seconds call_timeout(5);   // from the first byte of a call to its last
constexpr seconds read_timeout(10);  // within which a client has to read some of the bytes sent to it

}  // namespace

class AdminServer::Connection final : public net::Connection::Listener {
 public:
  Connection(AdminServer& server, const Poco::Net::StreamSocket& socket)
      : server_(server),
        session_(server.handler_, static_cast<std::uint64_t>(::getpid())),
        last_call_at_(server.loop_.now()),
        last_progress_at_(last_call_at_) {
    connection_ = std::make_unique<net::Connection>(server.loop_, socket, *this);
  }
  std::unique_ptr<net::Connection> release_connection() { return std::move(connection_); }
  const Session& session() const { return session_; }

  void on_data(std::string_view bytes) override {
    const bool had_partial_call = session_.has_partial_call();
    if (!session_.feed(bytes)) {
      PEARCHUTE_LOG(spdlog::level::warn,
                    "admin channel: connection closed, since it sent invalid frames or too many calls");
      return server_.close(*this);
    }
    if (!had_partial_call || !session_.has_partial_call()) last_call_at_ = server_.loop_.now();
    answer_pending();
  }

  void on_closed() override { server_.close(*this); }

  void answer_pending() {
    if (!connection_) return;
    std::string out;
    session_.answer_pending(connection_->waiting(), out);
    connection_->send(out);
    // While calls are pending, nothing more is read. sweep() resumes them, so that events of clients and
    // engines are handled in between.
    connection_->pause(session_.has_pending_calls());
  }

  void send_event(const v1::Event& event) {
    std::string out;
    session_.send_event(event, connection_->waiting(), out);
    connection_->send(out);
  }

  bool has_timed_out(TimePoint now) {
    if (connection_->waiting() == 0 || connection_->written() != last_written_) {
      last_written_ = connection_->written();
      last_progress_at_ = now;
    }
    if (now - last_progress_at_ > read_timeout) return true;
    if (session_.has_partial_call()) return now - last_call_at_ > call_timeout;
    return !session_.is_watching() && now - last_call_at_ > server_.config_.idle_timeout;
  }

 private:
  AdminServer& server_;
  Session session_;
  std::unique_ptr<net::Connection> connection_;
  TimePoint last_call_at_;      // when the last call began or was complete
  TimePoint last_progress_at_;  // when the client last read something, or had nothing to read
  std::uint64_t last_written_ = 0;
};

AdminServer::AdminServer(net::Loop& loop, const AdminConfig& config, CallHandler& handler)
    : loop_(loop), config_(config), handler_(handler), closed_(loop) {
  const auto accept = [this](const Poco::Net::StreamSocket& socket) { on_accepted(socket); };
  const Endpoint& endpoint = config_.listen;
  if (endpoint.path.empty())
    listener_ = std::make_unique<net::ListeningSocket>(loop, endpoint.address, accept);
  else listener_ = net::open_owner_socket(loop, endpoint.path, accept);
  spdlog::info("admin channel listens on {}", endpoint.text);
  sweep();
}

AdminServer::~AdminServer() {
  *alive_ = false;
  if (!config_.listen.path.empty()) ::unlink(config_.listen.path.c_str());
}

void AdminServer::on_accepted(const Poco::Net::StreamSocket& socket) {
  if (connections_.size() >= config_.max_connections) {
    PEARCHUTE_LOG(spdlog::level::warn,
                  "admin channel: new connection closed, since {} connections are open already",
                  connections_.size());
    return Poco::Net::StreamSocket(socket).close();
  }
  connections_.push_back(std::make_unique<Connection>(*this, socket));
}

void AdminServer::close(Connection& connection) {
  const auto at = std::ranges::find(connections_, &connection, [](const auto& entry) { return entry.get(); });
  if (at == connections_.end()) return;
  closed_.take(std::move(*at));
  connections_.erase(at);
}

void AdminServer::broadcast(const v1::Event& event) {
  for (const auto& connection : connections_) connection->send_event(event);
}

std::size_t AdminServer::watchers() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      connections_, [](const auto& connection) { return connection->session().is_watching(); }));
}

// Closes connections that have timed out, and answers pending calls of the others. Both change connections_,
// so neither happens during the iteration over it.
void AdminServer::sweep() {
  std::vector<Connection*> timed_out;
  std::vector<Connection*> pending;
  const TimePoint now = loop_.now();
  for (const auto& connection : connections_) {
    if (connection->has_timed_out(now)) timed_out.push_back(connection.get());
    else if (connection->session().has_pending_calls()) pending.push_back(connection.get());
  }
  for (Connection* connection : timed_out) close(*connection);
  for (Connection* connection : pending) connection->answer_pending();
  loop_.at(now + sweep_interval, [this, alive = alive_] {
    if (*alive) sweep();
  });
}

}  // namespace pearchute::admin
