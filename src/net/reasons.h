// Why connections are closed and requests refused, each with the word that logs and counters use for it. A
// reason names what this side did; it decides nothing.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace pearchute::net {

// Of a client's connection.
enum class ClientCloseReason : std::size_t {
  client_left,
  last_answer,      // it asked for no more, or the manager ends or drains
  idle,             // nothing open for longer than clients keep a connection
  call_incomplete,  // a call that is not whole in time
  call_unreadable,
  answer_unread,  // its answer lies there, and it reads nothing
  table_full,     // it had the least use for its place
  no_place,       // a newcomer, all places have a call open
  too_much_unread,
  came_again,  // the same client asks for its answer on another connection
  manager_ends,
  count
};
inline constexpr std::array<std::string_view, static_cast<std::size_t>(ClientCloseReason::count)>
    client_close_names = {"client_left",     "last_answer",   "idle",        "call_incomplete",
                          "call_unreadable", "answer_unread", "table_full",  "no_place",
                          "too_much_unread", "came_again",    "manager_ends"};

// Of a connection to an engine.
enum class EngineCloseReason : std::size_t {
  engine_ended,    // closed or reset by it, or refused
  not_up_in_time,  // it did not come up
  short_of_resources,
  idle,
  room_needed,    // for a connection to another engine
  silent,         // it gave no sign when asked for one
  answer_broken,  // bytes that are no answer
  answer_stops,   // an answer that stops short
  in_doubt,       // something on it was given up and not confirmed
  takes_nothing,  // the same, and what was sent has not left this machine
  engine_gone,    // from the list
  count
};
inline constexpr std::array<std::string_view, static_cast<std::size_t>(EngineCloseReason::count)>
    engine_close_names = {"engine_ended", "not_up_in_time", "short_of_resources", "idle",
                          "room_needed",  "silent",         "answer_broken",      "answer_stops",
                          "in_doubt",     "takes_nothing",  "engine_gone"};

// Of a request that the module never sees.
enum class RefusalReason : std::size_t {
  ending,
  draining,
  too_many_open,
  too_much_unread,
  id_in_use,
  unusable,
  count
};
inline constexpr std::array<std::string_view, static_cast<std::size_t>(RefusalReason::count)> refusal_names =
    {"ending", "draining", "too_many_open", "too_much_unread", "id_in_use", "unusable"};

// How often each reason of an enum with `count` was given.
template <class Reason>
class ReasonCounts {
 public:
  void add(Reason reason) { ++counts_[static_cast<std::size_t>(reason)]; }
  std::uint64_t of(Reason reason) const { return counts_[static_cast<std::size_t>(reason)]; }
  static constexpr std::size_t size = static_cast<std::size_t>(Reason::count);

 private:
  std::array<std::uint64_t, size> counts_{};
};

// One JSON object of counts by name; those that are zero are left out.
template <class Reason>
std::string as_json_object(const ReasonCounts<Reason>& counts,
                           const std::array<std::string_view, ReasonCounts<Reason>::size>& names) {
  std::string text = "{";
  for (std::size_t i = 0; i < names.size(); ++i) {
    const std::uint64_t count = counts.of(static_cast<Reason>(i));
    if (count == 0) continue;
    if (text.size() > 1) text += ',';
    text.append("\"").append(names[i]).append("\":").append(std::to_string(count));
  }
  return text + "}";
}

}  // namespace pearchute::net
