#include "admin/admin_server.h"

#include <unistd.h>

#include <algorithm>

#include "admin.pb.h"
#include "errors/error.h"
#include "net/log.h"
#include "net/owner_door.h"

namespace pearchute::admin {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Also how often pending calls of a busy connection are answered further.
constexpr milliseconds sweep_interval(50);
constexpr seconds call_timeout(5);   // from a call's first byte to its last
constexpr seconds read_timeout(10);  // in which a client has to take some of what waits for it

}  // namespace

class AdminServer::Connection final : public net::Connection::Listener {
 public:
  Connection(AdminServer& server, const Poco::Net::StreamSocket& socket)
      : server_(server),
        session_(server.handler_),
        last_call_at_(server.loop_.now()),
        last_progress_at_(last_call_at_) {
    wire_ = std::make_unique<net::Connection>(server.loop_, socket, *this);
  }
  net::Connection& wire() { return *wire_; }
  std::unique_ptr<net::Connection> release_connection() { return std::move(wire_); }
  const Session& session() const { return session_; }

  void on_data(std::string_view bytes) override {
    const bool had_partial_call = session_.has_partial_call();
    if (!session_.feed(bytes)) {
      PEARCHUTE_LOG(spdlog::level::warn, "admin channel: bytes that are no calls; connection closed");
      return server_.close(*this);
    }
    if (!had_partial_call || !session_.has_partial_call()) last_call_at_ = server_.loop_.now();
    answer_pending();
  }

  void on_closed() override { server_.close(*this); }

  void answer_pending() {
    if (!wire_) return;
    std::string out;
    session_.answer_pending(wire_->waiting(), out);
    wire_->send(out);
    // Nothing more is read while calls are pending; the sweep goes on with them, after what else has come for
    // clients and engines.
    wire_->pause(session_.has_pending_calls());
  }

  void send_event(const v1::Event& event) {
    std::string out;
    session_.send_event(event, wire_->waiting(), out);
    wire_->send(out);
  }

  bool has_timed_out(TimePoint now) {
    if (wire_->waiting() == 0 || wire_->written() != last_written_) {
      last_written_ = wire_->written();
      last_progress_at_ = now;
    }
    if (now - last_progress_at_ > read_timeout) return true;
    if (session_.has_partial_call()) return now - last_call_at_ > call_timeout;
    return !session_.is_watching() && now - last_call_at_ > server_.config_.idle_timeout;
  }

 private:
  AdminServer& server_;
  Session session_;
  std::unique_ptr<net::Connection> wire_;
  TimePoint last_call_at_;  // when a call began, or ended
  TimePoint last_progress_at_;
  std::uint64_t last_written_ = 0;
};

AdminServer::AdminServer(net::Loop& loop, const AdminConfig& config, CallHandler& handler)
    : loop_(loop), config_(config), handler_(handler), closed_(loop) {
  const auto accept = [this](const Poco::Net::StreamSocket& socket) { on_accepted(socket); };
  const Endpoint& endpoint = config_.listen;
  if (endpoint.path.empty())
    listener_ = std::make_unique<net::ListeningSocket>(loop, endpoint.address, accept);
  else listener_ = net::open_owner_socket(loop, endpoint.path, accept);
  spdlog::info("admin channel at {}", endpoint.text);
  sweep();
}

AdminServer::~AdminServer() {
  *alive_ = false;
  if (!config_.listen.path.empty()) ::unlink(config_.listen.path.c_str());
}

void AdminServer::on_accepted(const Poco::Net::StreamSocket& socket) {
  if (connections_.size() >= config_.max_connections) {
    PEARCHUTE_LOG(spdlog::level::warn, "admin channel: {} connections are open; one more is closed",
                  connections_.size());
    return Poco::Net::StreamSocket(socket).close();
  }
  connections_.push_back(std::make_unique<Connection>(*this, socket));
}

void AdminServer::close(Connection& connection) {
  const auto at = std::ranges::find(connections_, &connection, [](const auto& one) { return one.get(); });
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

// Closes connections that have timed out, and goes on with pending calls. Neither is done while the
// connections are looked through, since both change them.
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
