// One operator's connection, sans-IO: bytes come in, calls go to the Desk, replies and events of a watch come
// out. It keeps the bounds of one connection: the size of a message, the calls for each turn, what may wait
// to be read. It decides nothing of what is asked.
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

// What answers the calls. `reply` comes with its number set and the outcome ok.
class Desk {
 public:
  virtual ~Desk() = default;
  virtual void answer(const v1::Call& call, v1::Reply& reply) = 0;
  // What a watch has missed behind that event, as far as it is kept.
  virtual std::vector<v1::Event> since(std::uint64_t after) const;
};

class Session {
 public:
  // Replies that wait to be read; more and the next calls wait, so that one who never reads costs no more.
  static constexpr std::size_t most_unread = 2 * largest_frame;
  static constexpr int calls_each_turn = 8;        // some hundred microseconds of the manager's time
  static constexpr std::size_t most_waiting = 32;  // calls read and not yet answered

  explicit Session(Desk& desk) : desk_(desk) {}
  // False where the connection is to be closed: it does not speak the protocol, or asks too much at once.
  bool feed(std::string_view bytes);
  // Answers what waits, as far as one turn goes; `unread` is what its peer has not taken yet. The rest waits
  // for another turn.
  void turn(std::size_t unread, std::string& out);
  // An event for its watch, if it has one. A reader that is behind loses it, and is told how many with the
  // next that it gets.
  void event(const v1::Event& event, std::size_t unread, std::string& out);
  bool watches() const { return watch_.has_value(); }
  bool within() const { return reader_.within(); }
  bool waiting() const { return !calls_.empty(); }

 private:
  Desk& desk_;
  FrameReader reader_;
  std::deque<std::string> calls_;
  std::optional<std::uint64_t> watch_;  // the number of its call
  std::uint64_t lost_ = 0;
};

}  // namespace pearchute::admin
