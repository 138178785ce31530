// One operator's connection, without its I/O: bytes come in, calls go to the handler, replies and the events
// of a watch come out. It keeps the limits of one connection: the size of a message, the calls for each turn
// of the loop, the bytes that wait to be read.
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

// Carries out the calls.
class CallHandler {
 public:
  virtual ~CallHandler() = default;
  // `reply` comes with its number set and the outcome ok.
  virtual void answer(const v1::Call& call, v1::Reply& reply) = 0;
  // The events behind number `after`, as far as they are kept: what a watch has missed.
  virtual std::vector<v1::Event> events_after(std::uint64_t after) const;
};

// The state of one connection.
class Session {
 public:
  // With more replies than this unread, further calls wait, so that a client which never reads costs no more.
  static constexpr std::size_t max_unread_bytes = 2 * max_frame_bytes;
  static constexpr int max_calls_per_turn = 8;          // some hundred microseconds of the manager's time
  static constexpr std::size_t max_pending_calls = 32;  // received and not answered yet

  // The handler outlives the session.
  explicit Session(CallHandler& handler) : handler_(handler) {}

  // False where the connection is to be closed: it does not speak the protocol, or has too many calls
  // pending.
  bool feed(std::string_view bytes);
  // Answers pending calls, as far as one turn goes. `unread_bytes`: what the client has not taken yet.
  void answer_pending(std::size_t unread_bytes, std::string& out);
  // Sends an event to its watch, if it has one. A client that is behind loses it, and is told how many it has
  // lost with the next event that it gets.
  void send_event(const v1::Event& event, std::size_t unread_bytes, std::string& out);

  bool is_watching() const { return watch_.has_value(); }
  bool has_partial_call() const { return reader_.has_partial_message(); }
  bool has_pending_calls() const { return !calls_.empty(); }

 private:
  void answer_next(std::string& out, std::size_t unread_bytes);

  CallHandler& handler_;
  FrameReader reader_;
  std::deque<std::string> calls_;       // serialized
  std::optional<std::uint64_t> watch_;  // the number of its call
  std::uint64_t lost_events_ = 0;       // since the last one that was sent
};

}  // namespace pearchute::admin
