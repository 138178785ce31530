// The reasons for closing connections and for rejecting requests before admission, with their names in log
// lines and counters.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace pearchute::net {

// Why a client's connection was closed.
enum class ClientCloseReason : std::size_t {
  client_left,
  last_answer,  // answered without keep-alive: by the client's choice, or the manager shuts down or drains
  idle,         // no open request for longer than clients keep a connection
  call_incomplete,  // the HTTP request was not complete in time
  call_unreadable,  // the HTTP request was malformed or too large
  answer_unread,    // the client doesn't read its answer
  table_full,       // closed to make room for a new connection
  no_place,         // a new connection, rejected since all others have an open request
  too_much_unread,  // incomplete requests use too much memory, and this one is the largest
  came_again,       // the client fetches its answer on another connection
  manager_ends,     // idle while the manager shuts down
  count
};
inline constexpr std::array<std::string_view, static_cast<std::size_t>(ClientCloseReason::count)>
    client_close_names = {"client_left",     "last_answer",   "idle",        "call_incomplete",
                          "call_unreadable", "answer_unread", "table_full",  "no_place",
                          "too_much_unread", "came_again",    "manager_ends"};

// Why a connection to an engine was closed.
enum class EngineCloseReason : std::size_t {
  engine_ended,        // closed, reset or refused by the engine
  not_up_in_time,      // connect timeout
  short_of_resources,  // on this machine
  idle,
  room_needed,    // closed to make room for a connection to another engine
  silent,         // no answer to a liveness probe
  answer_broken,  // malformed answer
  answer_stops,   // incomplete answer without progress
  in_doubt,       // after an unconfirmed cancellation or a removal, once its attempts have ended
  takes_nothing,  // unconfirmed cancellation, and bytes for the engine have not left this machine
  engine_gone,    // removed from the endpoint list, or its address has changed
  count
};
inline constexpr std::array<std::string_view, static_cast<std::size_t>(EngineCloseReason::count)>
    engine_close_names = {"engine_ended", "not_up_in_time", "short_of_resources", "idle",
                          "room_needed",  "silent",         "answer_broken",      "answer_stops",
                          "in_doubt",     "takes_nothing",  "engine_gone"};

// Why a request was rejected before it was passed to the WorkloadManager.
enum class RefusalReason : std::size_t {
  ending,           // the manager shuts down
  draining,         // the manager drains
  too_many_open,    // open requests
  too_much_unread,  // statements use too much memory
  id_in_use,        // a request with this id is open
  unusable,         // invalid fields or statement
  count
};
inline constexpr std::array<std::string_view, static_cast<std::size_t>(RefusalReason::count)> refusal_names =
    {"ending", "draining", "too_many_open", "too_much_unread", "id_in_use", "unusable"};

// Counts by reason; `Reason` is an enum whose last enumerator is `count`.
template <class Reason>
class ReasonCounts {
 public:
  void add(Reason reason) { ++counts_[static_cast<std::size_t>(reason)]; }
  std::uint64_t of(Reason reason) const { return counts_[static_cast<std::size_t>(reason)]; }
  static constexpr std::size_t size = static_cast<std::size_t>(Reason::count);

 private:
  std::array<std::uint64_t, size> counts_{};
};

// Returns a JSON object of counts by name, without those that are zero.
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
