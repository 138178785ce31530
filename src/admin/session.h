// One operator's connection without its I/O: parses calls from received bytes, passes them to the handler,
// and encodes the replies and the events of a watch. Enforces the limits of one connection: the size of a
// message, the calls per turn of the event loop, the unread bytes.
//
// Not thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "admin/frames.h"

namespace pearchute::admin::v1 {
class Call;
class Reply;
class Event;
}  // namespace pearchute::admin::v1

namespace pearchute::admin {

// Executes the calls of the admin channel.
class CallHandler {
 public:
  virtual ~CallHandler() = default;
  // Fills `reply`, which has its number set and the outcome `ok`.
  virtual void answer(const v1::Call& call, v1::Reply& reply) = 0;
  // Returns the stored events with numbers over `after`, which a new watch has missed.
  virtual std::vector<v1::Event> events_after(std::uint64_t after) const;
};

// The state of one connection.
class Session {
 public:
  // While more bytes than this are unread, further calls wait: this bounds the memory for a client that never
  // reads.
  static constexpr std::size_t max_unread_bytes = 2 * max_frame_bytes;
  static constexpr int max_calls_per_turn = 8;          // takes a few hundred microseconds
  static constexpr std::size_t max_pending_calls = 32;  // received and not answered yet

  // The handler outlives the session. `own_pid` is the id of this process: calls for another one, which
  // listened at this address before, are refused. 0: all calls are executed.
  explicit Session(CallHandler& handler, std::uint64_t own_pid = 0) : handler_(handler), own_pid_(own_pid) {}

  // Parses received bytes. Returns false where the connection must be closed: the frames are invalid, or too
  // many calls are pending.
  bool feed(std::string_view bytes);
  // Answers pending calls within the limits of one turn, and appends the replies to `out`. `unread_bytes` are
  // queued for the client already.
  void answer_pending(std::size_t unread_bytes, std::string& out);
  // Appends the event to `out` where the client has a watch. A client with too many unread bytes loses the
  // event; the next event that it receives has the count of lost ones.
  void send_event(const v1::Event& event, std::size_t unread_bytes, std::string& out);

  bool is_watching() const { return watch_.has_value(); }
  bool has_partial_call() const { return reader_.has_partial_message(); }
  bool has_pending_calls() const { return !calls_.empty(); }

 private:
  void answer_next(std::string& out, std::size_t unread_bytes);

  CallHandler& handler_;
  std::uint64_t own_pid_;
  FrameReader reader_;
  std::deque<std::string> calls_;       // serialized
  std::optional<std::uint64_t> watch_;  // the number of the watch call
  std::uint64_t lost_events_ = 0;       // since the last event that was sent
};

}  // namespace pearchute::admin
