// The thin driver between the state machines and the sockets: one thread on POCO's SocketReactor that reads,
// writes, accepts, connects and keeps timers. It owns the clock, the buffers and the count of descriptors; it
// looks into no byte, and decides nothing but when a socket is ready.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/SocketReactor.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "core/types.h"

namespace pearchute::net {

// Buffers of one size, used again.
class BufferPool {
 public:
  // A few segments of loopback traffic or one page of a result with room to spare.
  static constexpr std::size_t buffer_size = 16 * 1024;
  struct Buffer {
    std::array<char, buffer_size> bytes;
    std::size_t begin = 0, end = 0;
  };
  std::unique_ptr<Buffer> take();
  void give_back(std::unique_ptr<Buffer> buffer);
  std::size_t idle() const { return idle_.size(); }
  std::size_t out() const { return out_; }

 private:
  std::vector<std::unique_ptr<Buffer>> idle_;
  std::size_t out_ = 0;
};

class Wire;

class Loop final : public Poco::Net::SocketReactor {
 public:
  Loop();
  ~Loop() override;
  Span now() const;
  // The earliest moment at which bytes that are read now can have come: while the loop is busy they lie
  // unread.
  Span unread_since() const { return unread_since_; }
  void at(Span when, std::function<void()> what);
  void soon(std::function<void()> what);    // after the event at hand, before the next
  void retire(std::unique_ptr<Wire> wire);  // closes it; destroyed once no event can be within it
  void finish(
      std::unique_ptr<Wire> wire);  // the same once it has written what it was given and the peer has heard
  std::size_t finishing() const { return finishing_.size(); }
  bool all_written() const;  // by those that finish
  void cut_finishing();      // the one that has been at it for longest
  void settle();             // what was put off, until nothing is
  BufferPool& buffers() { return buffers_; }
  std::size_t descriptors() const { return descriptors_; }

 protected:
  void onBusy() override;
  void onTimeout() override;
  void onIdle() override { tick(); }

 private:
  friend class Wire;
  friend class Door;
  void tick();
  void set_wait();

  struct Timer {
    Span when;
    std::uint64_t order;
    std::function<void()> what;
    bool operator<(const Timer& other) const {  // the heap's top is the earliest
      return when != other.when ? when > other.when : order > other.order;
    }
  };
  std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
  std::vector<Timer> timers_;
  std::uint64_t next_order_ = 0;
  Span polled_{}, worked_until_{}, unread_since_{};
  std::deque<std::function<void()>> soon_;
  std::vector<std::unique_ptr<Wire>> retired_;
  std::deque<std::pair<Span, std::unique_ptr<Wire>>> finishing_;  // until when, oldest first
  BufferPool buffers_;
  std::size_t descriptors_ = 0;
  bool settling_ = false;
};

// One TCP connection.
class Wire {
 public:
  class User {
   public:
    virtual ~User() = default;
    virtual void wire_opened() {}
    virtual void wire_free() {}  // nothing waits to be written; what is sent now goes out at once
    virtual void wire_brought(std::string_view bytes) = 0;
    virtual void wire_ended() = 0;  // by the peer, by an error, or never opened; the wire is closed by then
  };
  Wire(Loop& loop, const Poco::Net::StreamSocket& accepted, User& user);
  Wire(Loop& loop, const Poco::Net::SocketAddress& to, User& user);
  ~Wire();
  Wire(const Wire&) = delete;
  Wire& operator=(const Wire&) = delete;
  void send(std::string_view bytes);
  void offer();  // wire_free comes before this event is over, or as soon as the socket has taken what waits
  // Drops so many bytes of the front of what waits, and counts them as written.
  void skip(std::size_t bytes);
  void close();  // at once; the user hears no more
  bool opened() const { return opened_; }
  std::uint64_t written() const { return written_; }  // bytes handed to the system
  std::size_t waiting() const { return waiting_; }
  bool closed() const { return closed_; }
  int error() const { return error_; }  // the system's, where it ended before it was opened
  // While paused nothing is read, so what the peer sends stays with the system, and its end goes unseen.
  void pause(bool paused);
  bool paused() const { return paused_; }

 private:
  friend class Loop;
  void close_when_written();
  void start();
  void set_no_delay();
  void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
  void on_writable(const Poco::AutoPtr<Poco::Net::WritableNotification>&);
  void on_error(const Poco::AutoPtr<Poco::Net::ErrorNotification>&);
  void check_opened();
  void read_error();
  void flush();
  void ended();
  void want_writable(bool wanted);
  void watch_incoming(bool wanted);
  void watch_readable(bool wanted);
  void say_the_end();
  void discard();

  Loop& loop_;
  Poco::Net::StreamSocket socket_;
  User* user_;
  std::deque<std::unique_ptr<BufferPool::Buffer>> out_;
  std::size_t waiting_ = 0;
  std::uint64_t written_ = 0;
  bool opened_ = false, closed_ = false, closing_ = false, writable_wanted_ = false, flush_due_ = false;
  bool flushing_ = false, registered_ = false, paused_ = false, told_end_ = false;
  std::size_t discarded_ = 0;
  int error_ = 0;
};

// The listening socket.
class Door {
 public:
  Door(Loop& loop, const Poco::Net::SocketAddress& at,
       std::function<void(const Poco::Net::StreamSocket&)> came);
  ~Door();
  void shut();                                                            // what has come by then is taken
  Poco::Net::SocketAddress address() const { return socket_.address(); }  // with the port that was picked

 private:
  void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
  bool take(int most);
  void close();
  void listen(bool wanted);
  void rest();

  Loop& loop_;
  Poco::Net::ServerSocket socket_;
  std::function<void(const Poco::Net::StreamSocket&)> came_;
  bool listening_ = false, shut_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearchute::net
