// The engine side of the protocol: RESP arrays of bulk strings, and the talk on one connection, which carries
// many dispatches. It is fed bytes and gives bytes to send; it knows no socket, clock or engine, gathers all
// pages of a result before it says done, and ends each dispatch once. It never decides what is sent where.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/types.h"

namespace pearchute::net {

// Reads arrays of bulk strings from bytes that come in any cut.
class RespReader {
 public:
  // Calls `on_array(std::vector<std::string>&)` for each whole array; false once the bytes are not that.
  template <class Handler>
  bool feed(std::string_view bytes, Handler on_array) {
    while (!broken_ && !bytes.empty()) {
      if (step(bytes)) on_array(words_);
    }
    return !broken_;
  }
  bool within_answer() const { return state_ != State::array || !line_.empty(); }

 private:
  bool step(std::string_view& bytes);  // true when an array is whole
  bool read_length(std::string_view& bytes, char mark, std::size_t most, std::size_t& length);

  enum class State { array, bulk, text, text_end } state_ = State::array;
  std::string line_;
  std::vector<std::string> words_;
  std::size_t wanted_ = 0, length_ = 0;
  bool broken_ = false;
};

bool is_utf8(std::string_view text);
void append_command(std::string& out, std::initializer_list<std::string_view> words);

// One dispatch, as the caller knows it.
struct AttemptId {
  RequestId request;
  int index = 0;  // from 0, in the order in which the attempts of a request are made
  auto operator<=>(const AttemptId&) const = default;
};

struct EngineRequest {
  std::string_view id, kind, token, statement;
  std::int64_t wait_ms = 0;
  std::optional<TimePoint> answer_by =
      std::nullopt;           // where set, wait_ms is what is left of it when the request leaves
  std::int64_t grant_mb = 0;  // 0: the engine chooses
  int priority = 1;
};

class EngineSession {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void on_attempt_ended(AttemptId key, Outcome outcome, std::vector<std::string> pages) = 0;
    virtual void on_attempt_progress(AttemptId key, double share_done) = 0;
    virtual void on_attempt_spill(AttemptId key, double missing_mb) = 0;
    virtual void on_attempt_wait(AttemptId key, WaitCause wait) = 0;
    // The engine has said this of a dispatch that was given up before; what ends it follows, or is this.
    virtual void on_late_answer(AttemptId, std::string_view) {}
  };
  explicit EngineSession(Listener& listener) : listener_(listener) {}

  void submit(AttemptId key, const EngineRequest& request, std::string& out);
  // Gives it up. It ends as stopped once the engine is known to have heard, whatever the engine says of it
  // meanwhile: only a whole result that had crossed on the way is still one.
  void cancel(AttemptId key, std::string& out);
  // The engine has not said in time that it heard: what was given up ends without its word.
  void abandon(AttemptId key);
  void reprioritize(AttemptId key, int priority, std::string& out);
  void probe_liveness(std::string& out);
  // False where the bytes are no answers; the caller closes and calls `broke`.
  bool feed(std::string_view bytes, std::string& out);
  // The connection is gone: what is open ends as reset, or as unreachable where not all of it had left.
  void on_connection_lost(std::uint64_t bytes_left);
  // The dispatch of which nothing has left after so many bytes, with the length of its command, where there
  // is one (and that one only, where it is named): it is forgotten, and its listener is not told.
  std::optional<std::pair<AttemptId, std::size_t>> retract_unsent(
      std::uint64_t bytes_left, std::optional<AttemptId> only = std::nullopt);
  std::size_t open() const { return open_.size(); }
  // Whether an answer under this id may still come: one that was given up, or a second copy of one that came.
  bool knows(std::string_view id) const;
  // Whether an answer has begun that is not whole: half of its bytes, or a result without all of its pages.
  bool has_partial_answer() const;
  std::uint64_t whole_answers() const { return whole_answers_; }  // with those that belong to no dispatch

 private:
  struct OpenAttempt {
    AttemptId key;
    std::uint64_t starts_at = 0;  // bytes put out before it
    std::size_t length = 0;       // of its command
    std::size_t pages_here = 0;
    std::vector<std::string> pages;  // empty where one is missing yet
    std::vector<bool> here;
    std::size_t bytes = 0;
    std::string cancel_tag;  // the tag whose echo shows that the engine has heard; empty while wanted
  };
  void on_echo(std::string_view tag);
  bool answer(std::vector<std::string>& words, std::string& out);
  void end(std::map<std::string, OpenAttempt, std::less<>>::iterator it, Outcome outcome);
  void put(std::string& out, std::initializer_list<std::string_view> words);

  Listener& listener_;
  RespReader reader_;
  std::map<std::string, OpenAttempt, std::less<>> open_;
  std::map<AttemptId, std::string> ids_;
  std::deque<std::string> ended_ids_;
  std::uint64_t put_ = 0, next_tag_ = 0, whole_answers_ = 0;
};

}  // namespace pearchute::net
