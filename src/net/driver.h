// The thin driver between the state machines and the sockets: one thread that waits for sockets and timers,
// reads, writes, accepts and connects. It owns the clock, the buffers and the count of descriptors; it looks
// into no byte, and decides nothing but when a socket is ready. All its times are those of the steady clock:
// a wall clock that is stepped moves no timer and no wait.
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

class Connection;

// What a socket is watched for, and what it is ready for.
struct Readiness {
  bool readable = false;
  bool writable = false;
  bool broken = false;  // told whether asked for or not
  bool operator==(const Readiness&) const = default;
};

class Watcher {
 public:
  virtual ~Watcher() = default;
  virtual void socket_ready(Readiness what) = 0;
};
using WatchId = Id<struct WatchTag, std::uint64_t>;

class Loop final {
 public:
  // Throws ResourceShortage where the system has no descriptor for it now, SystemError otherwise.
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;
  void run();  // until `stop`
  void stop() { stopped_ = true; }
  // From now on `watcher` hears when the descriptor is ready; where the system is short of memory for it, as
  // soon as it has some. Nothing where it can't be watched at all.
  std::optional<WatchId> watch(int descriptor, Readiness interest, Watcher& watcher);
  void change_interest(WatchId id, Readiness interest);
  void unwatch(WatchId id);  // it hears no more, not even of what was found together
  TimePoint now() const;
  // The earliest moment at which bytes that are read now can have come: while the loop is busy they lie
  // unread.
  TimePoint unread_since() const { return unread_since_; }
  // From a wait that found events which may have lain there for long, or from when none was made for long,
  // until one that finds none, within bounds: what peers have said meanwhile may not have been read yet.
  bool has_input_backlog() const { return backlog_since_ || now() - looked_at_ > stale_after; }
  void run_when_input_drained(std::function<void()> what);  // after the event at hand, where it is not behind
  // All that had come by then has been read, also from connections that waited to be accepted.
  TimePoint read_up_to() const { return read_up_to_; }
  // Heard after each look for what has come, while `needs` asks for one: the loop does not wait meanwhile.
  void after_each_look(std::function<bool()> needs, std::function<void()> what);
  // Something that has come is left unread for now.
  void note_unread_left() { unread_left_ = true; }
  void note_accepted() { accepted_ = true; }
  void at(TimePoint when, std::function<void()> what);
  void post(std::function<void()> what);                // after the event at hand, before the next
  void retire(std::unique_ptr<Connection> connection);  // closes it; destroyed once no event can be within it
  void finish(std::unique_ptr<Connection>
                  connection);  // the same once it has written what it was given and the peer has heard
  std::size_t finishing() const { return finishing_.size(); }
  bool all_written() const;  // by those that finish
  void cut_finishing();      // the one that has been at it for longest
  void settle();             // what was put off, until nothing is
  BufferPool& buffers() { return buffers_; }
  std::size_t descriptors() const { return descriptors_; }

  // Events that an error within the program cut short; each is a fault of the program.
  std::uint64_t failed_events() const { return failed_events_; }

 private:
  friend class Connection;
  friend class ListeningSocket;
  // Half of the tenth of a second within which an attempt may begin after its client has gone.
  static constexpr std::chrono::milliseconds stale_after{50};
  struct LookListener {
    std::function<bool()> needs;
    std::function<void()> what;
  };
  void wait();
  void note_wait(TimePoint begun, Duration at_most, bool looked);
  void note_look(TimePoint begun);
  void note_backlog(int found);
  void run_timers();
  int wait_ms() const;
  template <class What>
  void run_contained(What what);
  struct Watch;
  std::optional<Failure> register_interest(WatchId id, Watch& watch);
  void register_interest_later(WatchId id, Watch& watch);

  // What one descriptor is watched for, and whether the system has been told so.
  struct Watch {
    Watcher* watcher = nullptr;
    int descriptor = -1;
    Readiness interest;
    bool is_known = false;  // the system watches it, though maybe for something else
    bool is_later = false;  // the system is to be told once more
  };
  struct Timer {
    TimePoint when;
    std::uint64_t order;
    std::function<void()> what;
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
  // A connection that has all it is to send, until that has gone and the peer has ended, too.
  struct Finishing {
    std::unique_ptr<Connection> connection;
    TimePoint since{}, moved_at{};  // when bytes last went
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
  std::optional<LookListener> look_listener_;
  TimePoint read_up_to_{Duration(-1)}, looked_at_{};
  std::optional<TimePoint> last_whole_look_;  // the one before, where all that it found was read
  bool unread_left_ = false, accepted_ = false;
  std::size_t unwatched_ = 0;  // sockets that the system has not taken yet, or not as they are to be watched
};

// One TCP connection.
class Connection final : private Watcher {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void on_opened() {}
    virtual void on_writable() {}  // nothing waits to be written; what is sent now goes out at once
    virtual void on_data(std::string_view bytes) = 0;
    virtual void
    on_closed() = 0;  // by the peer, by an error, or never opened; the connection is closed by then
  };
  Connection(Loop& loop, const Poco::Net::StreamSocket& accepted, Listener& listener);
  Connection(Loop& loop, const Poco::Net::SocketAddress& to, Listener& listener);
  ~Connection() override;
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  void send(std::string_view bytes);
  void offer();  // on_writable comes before this event is over, or as soon as the socket has taken what waits
  // Drops so many bytes of the front of what waits, and counts them as written.
  void skip(std::size_t bytes);
  void close();  // at once; the user hears no more
  void abort();  // the same, and what the peer has not got by now it never gets
  bool opened() const { return opened_; }
  std::uint64_t written() const { return written_; }  // bytes handed to the system
  std::size_t waiting() const { return waiting_; }
  bool closed() const { return closed_; }
  int error() const { return error_; }  // the system's number, where it ended before it was opened or broke
  bool reset_as_it_opened() const;
  // It could not be opened because this machine was short of something; the peer had no part in it.
  bool short_of_resources() const {
    return !opened_ && failure_of(error_) == Failure::not_now && error_ != 0;
  }
  // Whether the peer has ended, even behind bytes that have not been read.
  bool peer_has_ended() const;
  // Whether bytes of the peer's lie with the system.
  bool has_unread() const { return has_socket_ && net::has_unread(descriptor()); }
  std::optional<std::chrono::milliseconds> age_of_last_data() const {
    return has_socket_ ? net::age_of_last_data(descriptor()) : std::nullopt;
  }
  // Bytes that have not left this machine, and will as soon as the peer takes them.
  std::size_t unsent() const;
  // While paused nothing is read, so what the peer sends stays with the system, and its end goes unseen.
  void pause(bool paused);
  bool paused() const { return paused_; }

 private:
  friend class Loop;
  void socket_ready(Readiness what) override;
  void close_when_written();
  void connect();
  void connect_again();
  void start();
  void leave_socket();
  void check_opened();
  void read();
  void flush();
  void ended();
  void update_interest();
  void shut_down_writing();
  void discard();
  int descriptor() const { return socket_.impl()->sockfd(); }

  Loop& loop_;
  Poco::Net::StreamSocket socket_;
  Listener* listener_;
  std::deque<std::unique_ptr<BufferPool::Buffer>> out_;
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

// The listening socket.
class ListeningSocket final : private Watcher {
 public:
  // Throws ResourceShortage where it can't be had now, ListeningError where it can't be had.
  ListeningSocket(Loop& loop, const Poco::Net::SocketAddress& at,
                  std::function<void(const Poco::Net::StreamSocket&)> came);
  ~ListeningSocket() override;
  // What has come by then is taken, over a tenth of a second at most where the system is short of something.
  void shut();
  bool is_shut() const { return shut_; }
  Poco::Net::SocketAddress address() const { return address_; }  // with the port that was picked

 private:
  enum class Taken { all, some, shortage };
  void socket_ready(Readiness what) override;
  Taken take(int most);
  void accept_remaining(TimePoint until);
  void close();
  void pause_accepting();

  Loop& loop_;
  int descriptor_ = -1;
  Poco::Net::SocketAddress address_;
  std::function<void(const Poco::Net::StreamSocket&)> on_accepted_;
  std::optional<WatchId> watch_;
  std::optional<TimePoint>
      waits_since_;  // the oldest connection that may be in the queue, where one is left there
  bool shutting_ = false, shut_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearchute::net
