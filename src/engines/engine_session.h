// The engine protocol: RESP arrays of bulk strings, and the session on one connection, which carries many
// attempts. EngineSession parses received bytes and appends the bytes to send; it uses no socket and no
// clock, and knows no engine. It collects all pages of a result before an attempt succeeds and ends each
// attempt exactly once. It doesn't decide which attempt is sent where.
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

// Parses arrays of bulk strings from bytes that may be split at any position.
class RespReader {
 public:
  // Calls `on_array(std::vector<std::string>&)` for each complete array. Returns false once the bytes are
  // malformed.
  template <class Handler>
  bool feed(std::string_view bytes, Handler on_array) {
    while (!broken_ && !bytes.empty()) {
      if (step(bytes)) on_array(strings_);
    }
    return !broken_;
  }
  bool has_partial_array() const { return state_ != State::array || !line_.empty(); }

 private:
  bool step(std::string_view& bytes);  // returns true when an array is complete
  bool read_length(std::string_view& bytes, char mark, std::size_t max_length, std::size_t& length);

  enum class State { array, bulk, text, text_end } state_ = State::array;
  std::string line_;
  std::vector<std::string> strings_;
  std::size_t string_count_ = 0, string_length_ = 0;  // announced by the array's and the string's header
  bool broken_ = false;
};

bool is_utf8(std::string_view text);
void append_command(std::string& out, std::initializer_list<std::string_view> strings);

// Identifies an attempt.
struct AttemptId {
  RequestId request;
  int index = 0;  // from 0, in the order in which the attempts of a request are made
  auto operator<=>(const AttemptId&) const = default;
};

struct EngineRequest {
  std::string_view id, kind, token, statement;
  std::int64_t wait_ms = 0;
  // Where set, `wait_ms` is recalculated as the time until this deadline when the request is sent.
  std::optional<TimePoint> answer_deadline = std::nullopt;
  std::int64_t grant_mb = 0;  // 0: the engine chooses
  int priority = 1;
};

// The protocol session on one connection. The methods append the bytes to send to `out`.
class EngineSession {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    // `pages` holds the complete result where the outcome is `succeeded`, and is empty otherwise.
    virtual void on_attempt_ended(AttemptId attempt, Outcome outcome, std::vector<std::string> pages) = 0;
    virtual void on_attempt_progress(AttemptId attempt, double share_done) = 0;
    virtual void on_attempt_spill(AttemptId attempt, double missing_mb) = 0;
    virtual void on_attempt_wait(AttemptId attempt, WaitCause wait) = 0;
    // The engine has sent an answer, whose type is `answer`, for an attempt that was cancelled before. The
    // attempt has not ended yet: its end follows, and may be this answer.
    virtual void on_late_answer(AttemptId, std::string_view) {}
  };
  explicit EngineSession(Listener& listener) : listener_(listener) {}

  void submit(AttemptId attempt, const EngineRequest& request, std::string& out);
  // Cancels an attempt. It ends as cancelled once the engine has confirmed that it read the cancellation,
  // whatever it answers before that; only a complete result that crossed the cancellation still counts.
  void cancel(AttemptId attempt, std::string& out);
  // Ends a cancelled attempt without the engine's confirmation, which didn't arrive in time.
  void abandon(AttemptId attempt);
  void reprioritize(AttemptId attempt, int priority, std::string& out);
  void probe_liveness(std::string& out);
  // Returns false where the bytes are not valid answers; the caller then closes the connection and calls
  // `on_connection_lost`.
  bool feed(std::string_view bytes, std::string& out);
  // Ends the open attempts: as connection_reset where the whole command is among the `bytes_written`, as
  // unreachable otherwise.
  void on_connection_lost(std::uint64_t bytes_written);
  // Finds the attempt whose command starts right after `bytes_written`, so that none of it is sent, and
  // forgets it without calling the listener. Returns it with the length of its command; nullopt where there
  // is none, or where it is not `only`.
  std::optional<std::pair<AttemptId, std::size_t>> retract_unsent(
      std::uint64_t bytes_written, std::optional<AttemptId> only = std::nullopt);
  std::size_t open() const { return open_.size(); }
  // Whether an answer under this id may still arrive, for an open attempt or as a late or duplicate answer.
  bool may_still_answer(std::string_view id) const;
  // Whether an answer has begun but is incomplete: a part of its bytes, or a result with missing pages.
  bool has_partial_answer() const;
  // Complete answers so far, including those that belong to no open attempt.
  std::uint64_t answer_count() const { return answer_count_; }

 private:
  struct OpenAttempt {
    AttemptId attempt;
    std::uint64_t start_offset = 0;  // of its command in the bytes of this connection
    std::size_t length = 0;          // of its command in bytes
    std::size_t received_pages = 0;
    std::vector<std::string> pages;  // sized when the first page arrives; missing pages are empty
    std::vector<bool> received;      // by page
    std::size_t bytes = 0;
    std::string cancel_tag;  // the tag whose echo confirms the cancellation; empty while not cancelled
  };
  void on_echo(std::string_view tag);
  bool on_answer(std::vector<std::string>& strings, std::string& out);
  void end(std::map<std::string, OpenAttempt, std::less<>>::iterator it, Outcome outcome);
  void append(std::string& out, std::initializer_list<std::string_view> strings);

  Listener& listener_;
  RespReader reader_;
  std::map<std::string, OpenAttempt, std::less<>> open_;
  std::map<AttemptId, std::string> ids_;
  std::deque<std::string> ended_ids_;
  std::uint64_t appended_bytes_ = 0, next_tag_ = 0, answer_count_ = 0;
};

}  // namespace pearchute::net
