// One TCP connection on the event loop, accepted or opened by this process.
#pragma once

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string_view>

#include "net/event_loop.h"
#include "net/system_calls.h"

namespace pearchute::net {

// One TCP connection. Its listener must outlive it or its `close`.
class Connection final : private SocketObserver {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void on_opened() {}
    virtual void on_writable() {}  // the send buffer is empty and the socket accepts data
    virtual void on_data(std::string_view bytes) = 0;
    // The peer or an error has closed the connection, or it could not be opened.
    virtual void on_closed() = 0;
  };
  Connection(Loop& loop, const Poco::Net::StreamSocket& accepted, Listener& listener);
  Connection(Loop& loop, const Poco::Net::SocketAddress& to, Listener& listener);
  ~Connection() override;
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  void send(std::string_view bytes);
  // Asks for a call of on_writable, after the current event or as soon as the socket has accepted the
  // buffered data.
  void request_write();
  // Discards bytes from the front of the send buffer and counts them as written.
  void discard_front(std::size_t bytes);
  void close();  // at once, without a call of the listener
  void abort();  // like `close`, and discards the data that the peer has not received
  bool opened() const { return opened_; }
  std::uint64_t written() const { return written_; }  // bytes handed to the system
  std::size_t waiting() const { return waiting_; }    // bytes in the send buffer
  bool closed() const { return closed_; }
  int error() const { return error_; }  // errno of a failed connect or a broken connection, otherwise 0
  bool reset_as_it_opened() const;
  // Whether it could not be opened because of a shortage on this machine, not because of the peer.
  bool short_of_resources() const {
    return !opened_ && failure_of(error_) == Failure::not_now && error_ != 0;
  }
  // Whether the peer has closed or broken the connection, even if bytes before that are unread.
  bool peer_has_ended() const;
  // Whether the system holds unread bytes from the peer.
  bool has_unread() const { return has_socket_ && net::has_unread(descriptor()); }
  std::optional<std::chrono::milliseconds> age_of_last_data() const {
    return has_socket_ ? net::age_of_last_data(descriptor()) : std::nullopt;
  }
  // Bytes that have not left this machine, because the peer accepts no more.
  std::size_t unsent() const;
  // Stops or resumes reading. While paused, the end of the connection is not noticed.
  void pause(bool paused);
  bool paused() const { return paused_; }

 private:
  friend class Loop;
  void on_socket_ready(Readiness ready) override;
  void close_when_written();
  void connect();
  void retry_connect();
  void start_watching();
  void close_socket();
  void check_opened();
  void read();
  void flush();
  void close_and_notify();
  void update_interest();
  void shut_down_writing();
  void discard_input();
  int descriptor() const { return socket_.impl()->sockfd(); }

  Loop& loop_;
  Poco::Net::StreamSocket socket_;
  Listener* listener_;
  std::deque<std::unique_ptr<BufferPool::Buffer>> unsent_buffers_;
  std::size_t waiting_ = 0;
  std::uint64_t written_ = 0;
  bool opened_ = false, closed_ = false, closing_ = false, writable_wanted_ = false, flush_due_ = false;
  bool flushing_ = false, has_socket_ = false, paused_ = false, writing_shut_down_ = false;
  std::optional<WatchId> watch_;
  Readiness interest_;
  std::size_t discarded_ = 0;
  int error_ = 0, connects_ = 0;
  std::optional<Poco::Net::SocketAddress> to_;  // while it is being opened
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearchute::net
