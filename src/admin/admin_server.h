// The I/O of an admin channel: listens, and moves bytes between operators' connections and their sessions, on
// the manager's event loop. A connection that sends invalid bytes, never reads or stays idle is closed; it
// doesn't delay clients' requests.
//
// Use on the event loop only.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "admin/admin_config.h"
#include "admin/session.h"
#include "net/connection.h"
#include "net/deferred_deletion.h"
#include "net/event_loop.h"
#include "net/listening_socket.h"

namespace pearchute::admin {

// Owns the listener and all connections.
class AdminServer {
 public:
  // The loop and the handler outlive the server. Throws ListeningError where it cannot listen on the
  // endpoint, ResourceShortage where it cannot for the moment.
  AdminServer(net::Loop& loop, const AdminConfig& config, CallHandler& handler);
  ~AdminServer();

  // Sends the event to each connection with a watch.
  void broadcast(const v1::Event& event);
  std::size_t watchers() const;  // connections with a watch
  std::size_t connections() const { return connections_.size(); }

 private:
  class Connection;
  friend class Connection;
  void on_accepted(const Poco::Net::StreamSocket& socket);
  void close(Connection& connection);
  void sweep();

  net::Loop& loop_;
  const AdminConfig config_;
  CallHandler& handler_;
  std::vector<std::unique_ptr<Connection>> connections_;
  net::DeferredDeletion<Connection> closed_;
  std::unique_ptr<net::ListeningSocket> listener_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearchute::admin
