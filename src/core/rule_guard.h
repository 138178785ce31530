// The rules of the service, checked at four moments: before a request's bytes go to an engine, before it is
// retried, before a client's connection is closed, and before a request is admitted.
//
// Whoever acts asks here first and is told which rule forbids it, if one does. What was suppressed is
// counted, and so is what was found violated after the fact; a run is sound while the latter stays at zero.
// The guard keeps records of its own of what happened at the sockets, so that the decisions are not the judge
// of their own work. It decides nothing else: no I/O, no clock. Not thread-safe.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "core/key_order_records.h"
#include "core/retry_budget_records.h"
#include "core/slow_start_records.h"
#include "core/types.h"

namespace pearchute {

// The enumerators are named like their keys in counters and log lines.
enum class Rule : std::size_t {
  one_answer,         // a request has one final answer, and no attempt leaves after it
  answer_in_time,     // the final answer goes out within half a second of the deadline
  no_silent_close,    // a request that was read is answered before its connection closes
  client_is_there,    // no attempt begins for a client that has disconnected
  engine_takes_work,  // none begins at an engine that drains or is removed
  time_is_left,       // none begins after the deadline
  runs_once,          // a request that is not idempotent and may have executed is not retried
  one_attempt_out,    // nor has it two attempts outstanding
  attempts_are_few,   // at most max_attempts
  not_while_ending,   // none is admitted once a shutdown answers all open requests
  order_by_key,       // no attempt begins while an earlier request of its key is open
  key_rests,          // nor within the key's quiet period after an uncertain outcome
  cold_budget,        // an engine that is warming up gets no more work than this manager's share (slow start)
  placement,          // only where its request type is allowed
  repeat_group,       // a retry by key only within the deduplication scope
  attempt_budget,     // retries stay within the retry budget
  time_told,          // an engine is told no more time than the client has left
  count
};
inline constexpr std::size_t rule_count = static_cast<std::size_t>(Rule::count);
inline constexpr std::array<std::string_view, rule_count> rule_names = {
    "one_answer",     "answer_in_time", "no_silent_close", "client_is_there",  "engine_takes_work",
    "time_is_left",   "runs_once",      "one_attempt_out", "attempts_are_few", "not_while_ending",
    "order_by_key",   "key_rests",      "cold_budget",     "placement",        "repeat_group",
    "attempt_budget", "time_told"};

// An attempt whose first byte is about to go.
struct SendingFacts {
  TimePoint now{};
  TimePoint end{};  // of the client's time
  bool answered = false;
  bool client_is_there = true;
  EngineState engine = EngineState::up;
  std::optional<Duration> time_told = std::nullopt;  // to the engine
};

// A request as it is taken.
struct ArrivedRequest {
  RequestId id;
  RequestTypeId type;
  std::optional<OrderKey> order_key;  // in a class that keeps order
};

// Which attempt of which request goes where, and what it counts against the part of a cold engine.
struct AttemptFacts {
  RequestId request;
  EngineId engine;
  double work_ms = 0;
  double largest_typical_work_ms = 0;  // of any class
};

// An attempt that has been decided on, and those before it.
struct RepeatFacts {
  TimePoint now{};
  Idempotency idempotency = Idempotency::idempotent;
  Duration deduplication_window{};
  int attempts = 0;  // so far
  int max_attempts = 1;
  int outstanding = 0;
  bool allows_hedging = false;                          // allowed by the settings
  std::optional<TimePoint> first_uncertain_attempt_at;  // when the first attempt that may have run was sent
};

// A client's connection that is about to be closed, by this side.
struct ClosingFacts {
  bool request_is_open = false;   // one was read and has no answer
  bool client_has_left = false;   // or has asked for it elsewhere
  bool has_unread_bytes = false;  // with the system: they may be a request
};

// A final answer that is about to go out.
struct AnsweringFacts {
  TimePoint now{};
  TimePoint end{};
  bool answered = false;
};

// Checks the rules, and counts what it suppresses and what it finds violated.
class RuleGuard {
 public:
  // The figures that the rules go by; without them the rules on order, budgets and placement ask for nothing.
  void configure(const ServiceDefinition& service);

  // What happens at the sockets, as it happens.
  void on_endpoint_update(TimePoint now, EndpointUpdate kind, const std::vector<EngineEndpoint>& engines);
  void on_request(TimePoint now, const ArrivedRequest& request);
  void on_attempt_left(TimePoint now, const AttemptFacts& attempt);
  void on_attempt_retracted(RequestId request);  // no byte of it has left this machine after all
  void on_attempt_cancelled(TimePoint now, RequestId request);  // of one that has left
  void on_attempt_ended(TimePoint now, const AttemptFacts& attempt, Outcome outcome);
  void on_finished(RequestId request);  // it has its final answer, or its client has gone
  void forget_idle(TimePoint now);
  Duration quiet_left(TimePoint now, OrderKey key) const { return order_.quiet_left(now, key); }

  // The rule that forbids it; it is counted as suppressed.
  std::optional<Rule> forbids_sending(const SendingFacts& facts);
  std::optional<Rule> forbids_sending(const SendingFacts& facts, const AttemptFacts& attempt);
  // The same; whoever decided on it has violated the rule, so it is counted as a violation, too.
  std::optional<Rule> forbids_repeating(const RepeatFacts& facts);
  std::optional<Rule> forbids_taking(bool answers_all);
  // Of closes that can wait; those of a client that keeps to no bound can't.
  std::optional<Rule> forbids_closing(const ClosingFacts& facts);
  // What can't be suppressed is counted as a violation.
  void on_closing(const ClosingFacts& facts);
  void on_answering(const AnsweringFacts& facts);

  std::uint64_t checked() const { return checked_; }
  std::uint64_t held_back(Rule rule) const { return held_back_[static_cast<std::size_t>(rule)]; }
  std::uint64_t broken(Rule rule) const { return broken_[static_cast<std::size_t>(rule)]; }
  std::uint64_t broken_in_all() const;

 private:
  // A request that has not been answered, or has an attempt outstanding.
  struct Record {
    RequestTypeId type;
    int attempts = 0;
    int outstanding = 0;
    std::optional<TimePoint> first_uncertain_attempt_at;  // when the first attempt that may have run left
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

  std::vector<RequestType> types_;
  int max_attempts_ = 1;
  bool allows_hedging_ = false;
  std::unordered_map<RequestId, Record> records_;
  KeyOrderRecords order_;
  SlowStartRecords slow_start_;
  RetryBudgetRecords retries_;

  std::uint64_t checked_ = 0;
  std::array<std::uint64_t, rule_count> held_back_{}, broken_{};
};

}  // namespace pearchute
