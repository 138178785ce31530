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

// What a client's connection was in the middle of when it was closed.
enum class ClientState : std::size_t {
  idle,             // between requests, or before the first one
  reading_request,  // an HTTP request has arrived in part
  request_open,     // a request is open, and its client has no path
  path_given,       // the client was given the path of its result and has not called it yet
  result_awaited,   // the client has called the path and waits for the result
  answer_unsent,    // a final answer has not been handed to the system completely
  count
};
inline constexpr std::array<std::string_view, static_cast<std::size_t>(ClientState::count)>
    client_state_names = {"idle",       "reading_request", "request_open",
                          "path_given", "result_awaited",  "answer_unsent"};

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
  id_came_before,   // a request with this id may have executed, and must not be repeated
  count
};
inline constexpr std::array<std::string_view, static_cast<std::size_t>(RefusalReason::count)> refusal_names =
    {"ending", "draining", "too_many_open", "too_much_unread", "id_in_use", "unusable", "id_came_before"};

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

// Counts of closed client connections by reason and, within each reason, by state.
class ClientCloseCounts {
 public:
  void add(ClientCloseReason reason, ClientState state) {
    by_reason_[static_cast<std::size_t>(reason)].add(state);
  }
  std::uint64_t of(ClientCloseReason reason, ClientState state) const {
    return by_reason_[static_cast<std::size_t>(reason)].of(state);
  }
  // Returns a JSON object of objects, without the counts and the reasons that are zero.
  std::string as_json() const {
    std::string text = "{";
    for (std::size_t i = 0; i < by_reason_.size(); ++i) {
      const std::string states = as_json_object(by_reason_[i], client_state_names);
      if (states == "{}") continue;
      if (text.size() > 1) text += ',';
      text.append("\"").append(client_close_names[i]).append("\":").append(states);
    }
    return text + "}";
  }

 private:
  std::array<ReasonCounts<ClientState>, static_cast<std::size_t>(ClientCloseReason::count)> by_reason_;
};

}  // namespace pearchute::net
