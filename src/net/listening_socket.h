// A listening TCP or Unix socket on the event loop.
#pragma once

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <functional>
#include <memory>
#include <optional>

#include "net/event_loop.h"

namespace pearchute::net {

// A listening socket.
class ListeningSocket final : private SocketObserver {
 public:
  // Accepts a connection only while `can_accept` returns true; where it is empty, always. Throws
  // ResourceShortage where a retry may succeed, ListeningError otherwise.
  ListeningSocket(Loop& loop, const Poco::Net::SocketAddress& at,
                  std::function<void(const Poco::Net::StreamSocket&)> on_accepted,
                  std::function<bool()> can_accept = {});
  ~ListeningSocket() override;
  // Accepts the connections that are queued and closes; retries for up to 100 ms where resources are short.
  void shut();
  bool is_shut() const { return shut_; }
  Poco::Net::SocketAddress address() const { return address_; }  // with the port that was picked

 private:
  enum class AcceptResult { all, some, no_room, shortage };
  void on_socket_ready(Readiness ready) override;
  AcceptResult accept_up_to(int max_count);
  void accept_remaining(TimePoint until);
  void close();
  void pause_accepting(Duration duration);

  Loop& loop_;
  int descriptor_ = -1;
  Poco::Net::SocketAddress address_;
  std::function<void(const Poco::Net::StreamSocket&)> on_accepted_;
  std::function<bool()> can_accept_;
  std::optional<WatchId> watch_;
  std::optional<TimePoint> queued_since_;  // earliest arrival of the connections left in the queue
  bool shutting_ = false, shut_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearchute::net
