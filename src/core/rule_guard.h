// The rules of the service as they bind at four moments: before a request's bytes go to an engine, before it
// is repeated, before a client's connection is closed, and before a request is taken on. Whoever acts asks
// here first and is told which rule forbids it, if one does. What was held back is counted, and so is what
// was found broken after the fact; a run is sound while the latter stays at zero. It keeps records of its own
// of what happened at the sockets, so that the module that decides is not the judge of its own work. It
// decides nothing else: no I/O, no clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "core/attempt_budget.h"
#include "core/cold_budgets.h"
#include "core/key_order.h"
#include "core/types.h"

namespace pearchute {

enum class Rule : std::size_t {
  one_answer,         // a request has one final answer, and nothing leaves after it
  answer_in_time,     // no later than half a second after its time
  no_silent_close,    // a request that was read is answered before its connection closes
  client_is_there,    // nothing begins for a client that has gone
  engine_takes_work,  // nothing begins at an engine that drains or has gone
  time_is_left,       // nothing begins after the client's time
  runs_once,          // what may have run and must not run twice is not repeated
  one_attempt_out,    // nor has it two attempts out
  attempts_are_few,   // no more than the settings allow
  not_while_ending,   // nothing is taken on once the manager answers all that it has
  order_by_key,       // nothing begins while an earlier request of its key is not over
  key_rests,          // nor before its key has rested after an attempt whose end is not sure
  cold_budget,        // no more work goes to an engine that has just started than this manager's part
  placement,          // nothing goes where its class may not run
  repeat_group,       // what may have run is repeated only where its repeat is known
  attempt_budget,     // further attempts stay within the stated few and share
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
struct TakenRequest {
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
  int most_attempts = 1;
  int out = 0;
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

class RuleGuard {
 public:
  // The figures that the rules go by; without them the rules on order, budgets and placement ask for nothing.
  void serve(const ServiceDefinition& service);

  // What happens at the sockets, as it happens.
  void on_endpoint_update(TimePoint now, EndpointUpdate news, const std::vector<EngineEndpoint>& engines);
  void taken(TimePoint now, const TakenRequest& request);
  void attempt_left(TimePoint now, const AttemptFacts& attempt);
  void attempt_taken_back(RequestId request);                 // no byte of it has left this machine after all
  void attempt_called_off(TimePoint now, RequestId request);  // of one that has left
  void attempt_ended(TimePoint now, const AttemptFacts& attempt, Outcome outcome);
  void over(RequestId request);  // it has its final answer, or its client has gone
  void forget_old(TimePoint now);
  Duration rest_left(TimePoint now, OrderKey key) const { return order_.rest_left(now, key); }

  // The rule that forbids it; it is counted as held back.
  std::optional<Rule> forbids_sending(const SendingFacts& facts);
  std::optional<Rule> forbids_sending(const SendingFacts& facts, const AttemptFacts& attempt);
  // The same; whoever decided on it has broken the rule, so it is counted as broken, too.
  std::optional<Rule> forbids_repeating(const RepeatFacts& facts);
  std::optional<Rule> forbids_taking(bool answers_all);
  // Of closes that can wait; those of a client that keeps to no bound can't.
  std::optional<Rule> forbids_closing(const ClosingFacts& facts);
  // What can't be held back is counted as broken.
  void closing(const ClosingFacts& facts);
  void answering(const AnsweringFacts& facts);

  std::uint64_t checked() const { return checked_; }
  std::uint64_t held_back(Rule rule) const { return held_back_[static_cast<std::size_t>(rule)]; }
  std::uint64_t broken(Rule rule) const { return broken_[static_cast<std::size_t>(rule)]; }
  std::uint64_t broken_in_all() const;

 private:
  // What is known of a request that has not been answered, or has an attempt out.
  struct Record {
    RequestTypeId type;
    int attempts = 0, out = 0;
    std::optional<TimePoint> first_uncertain_attempt_at;  // when the first attempt that may have run left
    TimePoint last_left{};
    ZoneId uncertain_zone{-1};
    CellId uncertain_cell{};
    bool over = false;
  };
  std::optional<Rule> broken_by(const SendingFacts& facts) const;
  std::optional<Rule> broken_by(const RepeatFacts& facts) const;
  std::optional<Rule> broken_by_attempt(TimePoint now, const AttemptFacts& attempt) const;
  std::optional<Rule> broken_by_place(const RequestType& type, const Record& record,
                                      const EngineEndpoint& engine) const;
  std::optional<Rule> hold_back(Rule rule);
  void note_broken(Rule rule);
  void drop_if_done(RequestId request);

  std::vector<RequestType> types_;
  int most_attempts_ = 1;
  bool second_copies_ = false;
  std::unordered_map<RequestId, Record> records_;
  KeyOrder order_;
  ColdBudgets cold_;
  AttemptBudget attempts_;

  std::uint64_t checked_ = 0;
  std::array<std::uint64_t, rule_count> held_back_{}, broken_{};
};

}  // namespace pearchute
