// The event loop and its sockets, between the system and the protocol state machines: one thread that waits
// for sockets and timers, reads, writes, accepts and connects. The loop owns the clock, the buffers and the
// count of descriptors; it doesn't interpret the bytes. All times are those of the steady clock, so that a
// step of the wall clock moves no timer.
#pragma once

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/types.h"
#include "net/system_calls.h"

namespace pearchute::net {

// A pool of buffers of one size.
class BufferPool {
 public:
  // More than a page of a result, which has up to 6000 bytes; a few segments of loopback traffic.
  static constexpr std::size_t buffer_size = 16 * 1024;
  struct Buffer {
    std::array<char, buffer_size> bytes;
    std::size_t begin = 0, end = 0;
  };
  std::unique_ptr<Buffer> take();
  void give_back(std::unique_ptr<Buffer> buffer);
  std::size_t idle() const { return idle_.size(); }
  std::size_t out() const { return in_use_; }

 private:
  std::vector<std::unique_ptr<Buffer>> idle_;
  std::size_t in_use_ = 0;
};

class Connection;

// The events for which a socket is watched, or for which it is ready.
struct Readiness {
  bool readable = false;
  bool writable = false;
  bool broken = false;  // reported whether watched or not
  bool operator==(const Readiness&) const = default;
};

// Receives the readiness of a descriptor; see Loop::watch.
class SocketObserver {
 public:
  virtual ~SocketObserver() = default;
  virtual void on_socket_ready(Readiness ready) = 0;
};
using WatchId = Id<struct WatchTag, std::uint64_t>;

// An event loop. Not thread-safe: all calls are made on the thread that runs it; see EventLoopThread.
class Loop final {
 public:
  // Throws ResourceShortage where the system has no descriptor for it now, SystemError otherwise.
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;
  void run();  // returns after `stop`
  void stop() { stopped_ = true; }
  // Calls `observer` whenever the descriptor is ready, until `unwatch`. Where the system is short of memory
  // for it, the registration is retried. Returns nullopt where the descriptor can't be watched at all.
  std::optional<WatchId> watch(int descriptor, Readiness interest, SocketObserver& observer);
  void change_interest(WatchId id, Readiness interest);
  void unwatch(WatchId id);  // cancels events of the current poll, too
  TimePoint now() const;
  // The earliest time at which bytes that are read now can have arrived; they stay unread while the loop is
  // busy.
  TimePoint unread_since() const { return unread_since_; }
  // Whether input may be unread that arrived during a stall: true from a poll whose events may be old, or
  // when the last poll is long ago, until a poll finds no events, for a limited time.
  bool has_input_backlog() const { return backlog_since_ || now() - last_poll_at_ > stale_after; }
  // Runs `callback` after the current event, or after the input backlog, if there is one.
  void run_when_input_drained(std::function<void()> callback);
  // Everything that had arrived by this time has been read, also from connections that waited to be accepted.
  TimePoint read_up_to() const { return read_up_to_; }
  // Calls `callback` after each poll while `needs` returns true; the loop then polls without waiting.
  void after_each_poll(std::function<bool()> needs, std::function<void()> callback);
  // Records that the current poll leaves arrived data unread.
  void note_unread_data() { has_unread_data_ = true; }
  // Records that the current poll has accepted a connection.
  void note_accepted() { accepted_ = true; }
  // Runs `callback` at the given time, or as soon as possible afterwards.
  void at(TimePoint when, std::function<void()> callback);
  // Runs `callback` after the current event and before the next one.
  void post(std::function<void()> callback);
  // Closes the connection, and destroys it after the current event.
  void retire(std::unique_ptr<Connection> connection);
  // Closes the connection after all its data is written and the peer has closed its side, or after a timeout.
  void finish(std::unique_ptr<Connection> connection);
  std::size_t finishing() const { return finishing_.size(); }
  bool all_written() const;       // whether the finishing connections have written all their data
  void close_oldest_finishing();  // without waiting for its peer
  void settle();                  // runs posted callbacks until none is left
  BufferPool& buffers() { return buffers_; }
  std::size_t descriptors() const { return descriptors_; }

  // Events whose callback threw an exception; each is a defect of the program.
  std::uint64_t failed_events() const { return failed_events_; }

 private:
  friend class Connection;
  friend class ListeningSocket;
  // An attempt may begin up to 100 ms after its client has disconnected; half of this is spent here.
  static constexpr std::chrono::milliseconds stale_after{50};
  struct PollListener {
    std::function<bool()> needs;
    std::function<void()> callback;
  };
  void poll();
  void update_unread_since(TimePoint begun, Duration timeout, bool was_polled);
  void on_poll_end(TimePoint begun);
  void update_backlog(int found);
  void run_timers();
  int poll_timeout_ms() const;
  template <class Callback>
  void run_contained(Callback callback);
  struct Watch;
  std::optional<Failure> register_interest(WatchId id, Watch& watch);
  void retry_registration_later(WatchId id, Watch& watch);

  // The watch of one descriptor, and whether it is registered with the system.
  struct Watch {
    SocketObserver* observer = nullptr;
    int descriptor = -1;
    Readiness interest;
    bool is_registered = false;       // possibly with an earlier interest
    bool is_retry_scheduled = false;  // of the registration
  };
  struct Timer {
    TimePoint when;
    std::uint64_t order;
    std::function<void()> callback;
    bool operator<(const Timer& other) const {  // the heap's top is the earliest
      return when != other.when ? when > other.when : order > other.order;
    }
  };
  std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
  std::vector<Timer> timers_;
  std::uint64_t next_order_ = 0;
  TimePoint polled_{}, unread_since_{};
  std::optional<TimePoint> backlog_since_;
  std::vector<std::function<void()>> when_input_drained_;
  std::deque<std::function<void()>> posted_;
  std::vector<std::unique_ptr<Connection>> retired_;
  // A connection that closes after its data is written and the peer has closed its side.
  struct Finishing {
    std::unique_ptr<Connection> connection;
    TimePoint since{}, last_write_at{};
    std::uint64_t written = 0;
  };
  void close_stalled();
  std::deque<Finishing> finishing_;  // oldest first
  BufferPool buffers_;
  std::size_t descriptors_ = 0;
  bool settling_ = false, stopped_ = false;
  int poll_descriptor_ = -1;
  std::unordered_map<std::uint64_t, Watch> watches_;
  std::uint64_t next_watch_ = 1, failed_events_ = 0;
  std::optional<PollListener> poll_listener_;
  TimePoint read_up_to_{Duration(-1)}, last_poll_at_{};
  std::optional<TimePoint> last_complete_poll_;  // start of the previous poll, where all its input was read
  bool has_unread_data_ = false, accepted_ = false;
  std::size_t unwatched_ = 0;  // sockets whose registration is missing or outdated
};

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

// A listening socket.
class ListeningSocket final : private SocketObserver {
 public:
  // Throws ResourceShortage where a retry may succeed, ListeningError otherwise.
  ListeningSocket(Loop& loop, const Poco::Net::SocketAddress& at,
                  std::function<void(const Poco::Net::StreamSocket&)> on_accepted);
  ~ListeningSocket() override;
  // Accepts the connections that are queued and closes; retries for up to 100 ms where resources are short.
  void shut();
  bool is_shut() const { return shut_; }
  Poco::Net::SocketAddress address() const { return address_; }  // with the port that was picked

 private:
  enum class AcceptResult { all, some, shortage };
  void on_socket_ready(Readiness ready) override;
  AcceptResult accept_up_to(int max_count);
  void accept_remaining(TimePoint until);
  void close();
  void pause_accepting();

  Loop& loop_;
  int descriptor_ = -1;
  Poco::Net::SocketAddress address_;
  std::function<void(const Poco::Net::StreamSocket&)> on_accepted_;
  std::optional<WatchId> watch_;
  std::optional<TimePoint> queued_since_;  // earliest arrival of the connections left in the queue
  bool shutting_ = false, shut_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearchute::net
