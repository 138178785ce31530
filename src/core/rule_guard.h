// Checks the rules of the service at four points: before the bytes of an attempt are sent to an engine,
// before a request is retried, before a client's connection is closed, and before a request is admitted.
//
// A caller asks before it acts, and the guard returns the rule that forbids the action, if any. It counts the
// actions that it suppressed and the violations that it found after the fact; a run is correct only if there
// are no violations. The guard keeps its own records of the events at the sockets, so that its checks are
// independent of the state of the decisions. No I/O, no clock. Not thread-safe.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "core/execution_records.h"
#include "core/key_order_records.h"
#include "core/retry_budget_records.h"
#include "core/slow_start_records.h"
#include "core/types.h"

namespace pearchute {

// Each enumerator has the name of its key in counters and log lines.
enum class Rule : std::size_t {
  one_answer,         // a request has one final answer, and no attempt is sent after it
  answer_in_time,     // the final answer is sent no later than half a second after the deadline
  no_silent_close,    // a request that was read is answered before its connection is closed
  client_is_there,    // no attempt starts for a client that has disconnected
  engine_takes_work,  // no attempt starts at an engine that is draining or removed
  time_is_left,       // no attempt starts after the deadline
  runs_once,          // a non-idempotent request that may have executed is not retried, nor taken again
  one_attempt_out,    // only hedged requests have two attempts outstanding
  attempts_are_few,   // a request has at most max_attempts
  not_while_ending,   // no request is admitted once a shutdown answers all open requests
  order_by_key,       // no attempt starts while an earlier request of its key is open
  key_rests,          // no attempt starts within its key's quiet period after an uncertain outcome
  cold_budget,        // an engine in slow start gets no more work than this manager's share of its limit
  placement,          // an attempt goes only to engines that its request type allows
  repeat_group,       // a retry by key goes only to engines in the deduplication scope
  attempt_budget,     // retries stay within the retry budget
  time_told,          // the timeout sent to an engine does not exceed the time that the client has left
  count
};
inline constexpr std::size_t rule_count = static_cast<std::size_t>(Rule::count);
inline constexpr std::array<std::string_view, rule_count> rule_names = {
    "one_answer",     "answer_in_time", "no_silent_close", "client_is_there",  "engine_takes_work",
    "time_is_left",   "runs_once",      "one_attempt_out", "attempts_are_few", "not_while_ending",
    "order_by_key",   "key_rests",      "cold_budget",     "placement",        "repeat_group",
    "attempt_budget", "time_told"};

// An answer that is late by up to this earns no value; one that is later counts as a lost request.
inline constexpr std::chrono::milliseconds max_answer_lateness(500);

// An attempt whose first byte is about to be sent.
struct SendingFacts {
  TimePoint now{};
  TimePoint end{};        // the client's deadline
  bool answered = false;  // the request has its final answer
  bool client_is_there = true;
  EngineState engine = EngineState::up;
  std::optional<Duration> time_told = std::nullopt;  // the timeout that is sent to the engine
};

// A newly arrived request.
struct ArrivedRequest {
  RequestId id;
  RequestTypeId type;
  std::optional<OrderKey> order_key;  // only for types that are ordered by key
};

// An attempt of a request at an engine, and the work that it counts against the slow start limit of the
// engine.
struct AttemptFacts {
  RequestId request;
  EngineId engine;
  double work_ms = 0;
  double largest_typical_work_ms = 0;  // the largest typical work of any request type
};

// An attempt that the decisions have decided to send, and the attempts of its request before it.
struct RepeatFacts {
  TimePoint now{};
  Idempotency idempotency = Idempotency::idempotent;
  Duration deduplication_window{};
  int attempts = 0;  // previous ones
  int max_attempts = 1;
  int outstanding = 0;
  bool allows_hedging = false;
  // When the first attempt was sent that may have executed; none if no attempt may have executed.
  std::optional<TimePoint> first_uncertain_attempt_at;
};

// A request that has arrived under an id that no open request has.
struct TakingFacts {
  RequestId id;
  RequestTypeId type;
  TimePoint end{};  // the client's deadline
};

// A client's connection that this manager is about to close.
struct ClosingFacts {
  bool request_is_open = false;   // a request was read and has no final answer
  bool client_has_left = false;   // the client has closed the connection, or asks on another one
  bool has_unread_bytes = false;  // the socket's receive buffer has data, which may be a request
  bool path_call_is_due = false;  // the client was given the path of its result and has not called it yet
  bool answer_is_unsent = false;  // a part of an answer has not been handed to the system
};

// A final answer that is about to be sent.
struct AnsweringFacts {
  TimePoint now{};
  TimePoint end{};        // the client's deadline
  bool answered = false;  // the request already has a final answer
};

// Checks the rules, and counts suppressed actions and violations.
class RuleGuard {
 public:
  // Sets the parameters of the rules. Before this call, the rules on order, budgets and placement forbid
  // nothing.
  void configure(const ServiceDefinition& service);

  // Events at the sockets, in the order in which they occur.
  void on_endpoint_update(TimePoint now, EndpointUpdate kind, const std::vector<EngineEndpoint>& engines);
  void on_request(TimePoint now, const ArrivedRequest& request);
  void on_attempt_left(TimePoint now, const AttemptFacts& attempt);
  // The attempt was reported as sent, but no byte of it has left this machine.
  void on_attempt_retracted(RequestId request);
  // An attempt that was sent is cancelled.
  void on_attempt_cancelled(TimePoint now, RequestId request);
  void on_attempt_ended(TimePoint now, const AttemptFacts& attempt, Outcome outcome);
  // The request has its final answer, or its client has disconnected.
  void on_finished(RequestId request);
  // Drops the records of keys without open requests whose quiet period has ended.
  void forget_idle(TimePoint now);
  // The remaining quiet period of the key; zero if none is running.
  Duration quiet_left(TimePoint now, OrderKey key) const { return order_.quiet_left(now, key); }

  // Return the rule that forbids sending the attempt, and count it as suppressed; none if it may be sent.
  // Without an AttemptFacts, only the rules that need no records are checked.
  std::optional<Rule> forbids_sending(const SendingFacts& facts);
  std::optional<Rule> forbids_sending(const SendingFacts& facts, const AttemptFacts& attempt);
  // Returns the rule that forbids the attempt because of those before it. The decisions must not decide on
  // such an attempt, so it is counted both as suppressed and as a violation.
  std::optional<Rule> forbids_repeating(const RepeatFacts& facts);
  // Returns the rule that forbids admitting a request. `answers_all`: a shutdown answers all open requests.
  std::optional<Rule> forbids_taking(bool answers_all);
  // Returns the rule that forbids admitting a request because one of the same id may have executed. Engines
  // drop a repeat by key for a limited time, and not everywhere.
  std::optional<Rule> forbids_taking_again(const TakingFacts& facts);
  // Returns the rule that forbids closing the connection now. For closes at once that can be postponed;
  // on_closing is for those that cannot, such as closing on a client that exceeds a limit, and for those that
  // first send what is unsent.
  std::optional<Rule> forbids_closing(const ClosingFacts& facts);
  // Actions that cannot be suppressed; a broken rule is counted as a violation.
  void on_closing(const ClosingFacts& facts);
  void on_answering(const AnsweringFacts& facts);

  // Numbers of checks, of suppressed actions and of violations.
  std::uint64_t checked() const { return checked_; }
  std::uint64_t held_back(Rule rule) const { return suppressed_counts_[static_cast<std::size_t>(rule)]; }
  std::uint64_t broken(Rule rule) const { return violation_counts_[static_cast<std::size_t>(rule)]; }
  std::uint64_t broken_in_all() const;

 private:
  // A request that has no final answer or has an outstanding attempt.
  struct Record {
    RequestTypeId type;
    int attempts = 0;
    int outstanding = 0;
    // When the first attempt was sent that may have executed; none if no attempt may have executed.
    std::optional<TimePoint> first_uncertain_attempt_at;
    TimePoint last_sent_at{};
    ZoneId uncertain_zone{-1};
    CellId uncertain_cell{};
    bool is_finished = false;
  };
  std::optional<Rule> broken_by(const SendingFacts& facts) const;
  std::optional<Rule> broken_by(const RepeatFacts& facts) const;
  std::optional<Rule> broken_by_attempt(TimePoint now, const AttemptFacts& attempt) const;
  std::optional<Rule> broken_by_place(const RequestType& type, const Record& record,
                                      const EngineEndpoint& engine) const;
  std::optional<Rule> suppress(Rule rule);
  void count_violation(Rule rule);
  void erase_if_done(RequestId request);
  void forget_if_not_executed(RequestId request, const Record& record);

  std::vector<RequestType> types_;
  int max_attempts_ = 1;
  bool allows_hedging_ = false;
  std::unordered_map<RequestId, Record> records_;
  KeyOrderRecords order_;
  SlowStartRecords slow_start_;
  RetryBudgetRecords retries_;
  ExecutionRecords executions_;

  std::uint64_t checked_ = 0;
  std::array<std::uint64_t, rule_count> suppressed_counts_{}, violation_counts_{};
};

}  // namespace pearchute
