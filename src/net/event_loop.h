// The event loop, between the system and the protocol state machines: one thread that waits for sockets and
// timers. Connections and listening sockets read, write, accept and connect on it. The loop owns the clock,
// the buffers and the count of descriptors; it doesn't interpret the bytes. All times are those of the steady
// clock, so that a step of the wall clock moves no timer.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
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

// A timer of the loop, never used again for another one.
struct TimerId {
  TimePoint when{};
  std::uint64_t order = 0;
  auto operator<=>(const TimerId&) const = default;
};

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
  TimerId at(TimePoint when, std::function<void()> callback);
  // Drops the callback of a timer. Does nothing where it has run or is running. Timers of things that usually
  // end earlier are cancelled then, lest they accumulate.
  void cancel(TimerId timer);
  // Runs `callback` after the current event and before the next one.
  void post(std::function<void()> callback);
  // Runs `callback` after the next poll and its events, so that other sockets and timers get their turn.
  void run_in_next_turn(std::function<void()> callback);
  // Closes the connection, and destroys it after the current event.
  void retire(std::unique_ptr<Connection> connection);
  // Closes the connection after all its data is written and the peer has closed its side, or after a timeout.
  // A peer that takes its data slowly has until `useful_until`, and 10 s at least.
  void finish(std::unique_ptr<Connection> connection, TimePoint useful_until = {});
  std::size_t finishing() const { return finishing_.size(); }
  bool all_written() const;            // whether the finishing connections have written all their data
  bool has_written_finishing() const;  // whether at least one of them has
  // Closes the oldest finishing connection that has written all its data, without waiting for its peer.
  // Returns false where there is none.
  bool close_oldest_written();
  void settle();  // runs posted callbacks until none is left
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
  void run_deferred();
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
  std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
  std::map<TimerId, std::function<void()>> timers_;
  std::uint64_t next_order_ = 0;
  std::vector<std::function<void()>> deferred_;
  TimePoint polled_{}, unread_since_{};
  std::optional<TimePoint> backlog_since_;
  std::vector<std::function<void()>> when_input_drained_;
  std::deque<std::function<void()>> posted_;
  std::vector<std::unique_ptr<Connection>> retired_;
  // A connection that closes after its data is written and the peer has closed its side.
  struct Finishing {
    std::unique_ptr<Connection> connection;
    TimePoint until{}, last_write_at{};
    std::uint64_t written = 0;
    bool has_written_all() const;
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

}  // namespace pearchute::net
