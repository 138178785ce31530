#include "core/rule_guard.h"

#include <algorithm>
#include <numeric>

namespace pearchute {

namespace {

// Up to half a second after its time an answer only earns nothing; later the request counts as lost.
constexpr std::chrono::milliseconds latest_answer(500);

// By the operators' terms; some moments pass between the sum that is told and the question whether it may be.
constexpr std::chrono::milliseconds time_told_slack(150);

}  // namespace

void RuleGuard::serve(const ServiceDefinition& service) {
  types_ = service.types;
  most_attempts_ = service.max_attempts;
  second_copies_ = service.allows_hedging;
  order_ = KeyOrder(service.key_quiet_period);
  cold_ = ColdBudgets(service);
  attempts_ = AttemptBudget(service);
}

void RuleGuard::on_endpoint_update(TimePoint now, EndpointUpdate news,
                                   const std::vector<EngineEndpoint>& engines) {
  cold_.on_endpoint_update(now, news, engines);
}

void RuleGuard::taken(TimePoint now, const TakenRequest& request) {
  Record record;
  record.type = request.type;
  records_.emplace(request.id, record);
  attempts_.request_taken(now);
  if (request.order_key) order_.taken(request.id, *request.order_key);
}

void RuleGuard::attempt_left(TimePoint now, const AttemptFacts& attempt) {
  const auto at = records_.find(attempt.request);
  if (at == records_.end()) return;
  Record& record = at->second;
  if (record.attempts > 0) attempts_.further_left(now);
  record.attempts += 1, record.out += 1;
  record.last_left = now;
  order_.attempt_left(attempt.request);
  cold_.attempt_left(now, attempt.engine, attempt.work_ms);
}

void RuleGuard::attempt_taken_back(RequestId request) {
  const auto at = records_.find(request);
  if (at == records_.end()) return;
  at->second.attempts -= 1, at->second.out -= 1;
  order_.attempt_taken_back(request);
  drop_if_done(request);
}

void RuleGuard::attempt_called_off(TimePoint now, RequestId request) {
  order_.attempt_called_off(now, request);
}

void RuleGuard::attempt_ended(TimePoint now, const AttemptFacts& attempt, Outcome outcome) {
  const auto at = records_.find(attempt.request);
  if (at == records_.end()) return;
  Record& record = at->second;
  record.out -= 1;
  if (!proves_not_executed(outcome) && outcome != Outcome::succeeded && !record.first_uncertain_attempt_at) {
    record.first_uncertain_attempt_at = record.last_left;
    if (const EngineEndpoint* listed = cold_.listed(attempt.engine))
      record.uncertain_zone = listed->zone, record.uncertain_cell = listed->cell;
  }
  order_.attempt_ended(now, attempt.request, outcome);
  drop_if_done(attempt.request);
}

void RuleGuard::over(RequestId request) {
  const auto at = records_.find(request);
  if (at == records_.end()) return;
  at->second.over = true;
  order_.over(request);
  drop_if_done(request);
}

void RuleGuard::drop_if_done(RequestId request) {
  const auto at = records_.find(request);
  if (at->second.over && at->second.out <= 0) records_.erase(at);
}

void RuleGuard::forget_old(TimePoint now) { order_.forget_rested(now); }

std::optional<Rule> RuleGuard::broken_by_place(const RequestType& type, const Record& record,
                                               const EngineEndpoint& engine) const {
  const auto is_named = [](const auto& allowed, auto id) {
    return !allowed || std::ranges::count(*allowed, id) > 0;
  };
  if (!is_named(type.zones, engine.zone) || !is_named(type.kinds, engine.kind)) return Rule::placement;
  if (!record.first_uncertain_attempt_at || type.idempotency != Idempotency::idempotent_by_key)
    return std::nullopt;
  const bool is_known_there =
      type.deduplication_scope == DeduplicationScope::fleet ||
      (type.deduplication_scope == DeduplicationScope::zone && engine.zone == record.uncertain_zone) ||
      (type.deduplication_scope == DeduplicationScope::cell && engine.cell == record.uncertain_cell);
  return is_known_there ? std::nullopt : std::optional(Rule::repeat_group);
}

std::optional<Rule> RuleGuard::broken_by_attempt(TimePoint now, const AttemptFacts& attempt) const {
  const auto at = records_.find(attempt.request);
  if (at == records_.end()) return Rule::one_answer;
  const Record& record = at->second;
  const RequestType& type = types_.at(static_cast<std::size_t>(record.type.value));
  const auto repeat =
      broken_by(RepeatFacts{now, type.idempotency, type.deduplication_window, record.attempts, most_attempts_,
                            record.out, second_copies_, record.first_uncertain_attempt_at});
  if (repeat) return repeat;
  if (const EngineEndpoint* listed = cold_.listed(attempt.engine)) {
    if (const auto rule = broken_by_place(type, record, *listed)) return rule;
  }
  if (record.attempts > 0 && attempts_.forbids_further(now)) return Rule::attempt_budget;
  if (const auto order = order_.forbids(now, attempt.request))
    return *order == KeyOrder::Break::out_of_turn ? Rule::order_by_key : Rule::key_rests;
  if (cold_.forbids(now, attempt.engine, attempt.work_ms, attempt.largest_typical_work_ms))
    return Rule::cold_budget;
  return std::nullopt;
}

std::optional<Rule> RuleGuard::hold_back(Rule rule) {
  ++held_back_[static_cast<std::size_t>(rule)];
  return rule;
}

void RuleGuard::note_broken(Rule rule) { ++broken_[static_cast<std::size_t>(rule)]; }

std::optional<Rule> RuleGuard::broken_by(const SendingFacts& facts) const {
  if (facts.answered) return Rule::one_answer;
  if (facts.now >= facts.end) return Rule::time_is_left;
  if (!facts.client_is_there) return Rule::client_is_there;
  if (facts.engine != EngineState::up) return Rule::engine_takes_work;
  const Duration left = facts.end - facts.now;
  if (facts.time_told && *facts.time_told > left + time_told_slack) return Rule::time_told;
  return std::nullopt;
}

std::optional<Rule> RuleGuard::forbids_sending(const SendingFacts& facts) {
  ++checked_;
  const std::optional<Rule> rule = broken_by(facts);
  return rule ? hold_back(*rule) : rule;
}

std::optional<Rule> RuleGuard::forbids_sending(const SendingFacts& facts, const AttemptFacts& attempt) {
  ++checked_;
  std::optional<Rule> rule = broken_by(facts);
  if (!rule) rule = broken_by_attempt(facts.now, attempt);
  return rule ? hold_back(*rule) : rule;
}

std::optional<Rule> RuleGuard::broken_by(const RepeatFacts& facts) const {
  if (facts.attempts >= facts.most_attempts) return Rule::attempts_are_few;
  const bool may_be_copied = facts.idempotency == Idempotency::idempotent && facts.allows_hedging;
  if (facts.out > 0 && !may_be_copied) return Rule::one_attempt_out;
  if (!facts.first_uncertain_attempt_at || facts.idempotency == Idempotency::idempotent) return std::nullopt;
  if (facts.idempotency == Idempotency::non_idempotent) return Rule::runs_once;
  if (facts.now >= *facts.first_uncertain_attempt_at + facts.deduplication_window) return Rule::runs_once;
  return std::nullopt;
}

std::optional<Rule> RuleGuard::forbids_repeating(const RepeatFacts& facts) {
  ++checked_;
  const std::optional<Rule> rule = broken_by(facts);
  if (!rule) return rule;
  note_broken(*rule);
  return hold_back(*rule);
}

std::optional<Rule> RuleGuard::forbids_taking(bool answers_all) {
  ++checked_;
  if (answers_all) return hold_back(Rule::not_while_ending);
  return std::nullopt;
}

std::optional<Rule> RuleGuard::forbids_closing(const ClosingFacts& facts) {
  ++checked_;
  if (facts.client_has_left) return std::nullopt;
  if (facts.request_is_open || facts.has_unread_bytes) return hold_back(Rule::no_silent_close);
  return std::nullopt;
}

void RuleGuard::closing(const ClosingFacts& facts) {
  ++checked_;
  if (facts.request_is_open && !facts.client_has_left) note_broken(Rule::no_silent_close);
}

void RuleGuard::answering(const AnsweringFacts& facts) {
  ++checked_;
  if (facts.answered) note_broken(Rule::one_answer);
  if (facts.now > facts.end + latest_answer) note_broken(Rule::answer_in_time);
}

std::uint64_t RuleGuard::broken_in_all() const {
  return std::accumulate(broken_.begin(), broken_.end(), std::uint64_t{0});
}

}  // namespace pearchute
