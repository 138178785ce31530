#include "core/rule_guard.h"

#include <algorithm>
#include <numeric>

#include "core/placement_rules.h"

namespace pearchute {

namespace {

// The timeout that is sent to an engine may exceed the time left by this much, since time passes between its
// computation and this check.
constexpr std::chrono::milliseconds engine_timeout_slack(150);

}  // namespace

void RuleGuard::configure(const ServiceDefinition& service) {
  types_ = service.types;
  max_attempts_ = service.max_attempts;
  allows_hedging_ = service.allows_hedging;
  order_ = KeyOrderRecords(service.key_quiet_period);
  slow_start_ = SlowStartRecords(service);
  retries_ = RetryBudgetRecords(service);
}

void RuleGuard::on_endpoint_update(TimePoint now, EndpointUpdate kind,
                                   const std::vector<EngineEndpoint>& engines) {
  slow_start_.on_endpoint_update(now, kind, engines);
}

void RuleGuard::on_request(TimePoint now, const ArrivedRequest& request) {
  Record record;
  record.type = request.type;
  records_.emplace(request.id, record);
  retries_.on_request(now);
  if (request.order_key) order_.on_request(request.id, *request.order_key);
}

void RuleGuard::on_attempt_left(TimePoint now, const AttemptFacts& attempt) {
  const auto at = records_.find(attempt.request);
  if (at == records_.end()) return;
  Record& record = at->second;
  if (record.attempts > 0) retries_.on_retry_sent(now);
  record.attempts += 1;
  record.outstanding += 1;
  record.last_sent_at = now;
  const RequestType& type = types_.at(static_cast<std::size_t>(record.type.value));
  if (type.idempotency != Idempotency::idempotent) executions_.on_attempt_left(now, attempt.request);
  order_.on_attempt_left(attempt.request);
  slow_start_.on_attempt_left(now, attempt.engine, attempt.work_ms);
}

void RuleGuard::on_attempt_retracted(RequestId request) {
  const auto at = records_.find(request);
  if (at == records_.end()) return;
  at->second.attempts -= 1;
  at->second.outstanding -= 1;
  forget_if_not_executed(request, at->second);
  order_.on_attempt_retracted(request);
  erase_if_done(request);
}

void RuleGuard::on_attempt_cancelled(TimePoint now, RequestId request) {
  order_.on_attempt_cancelled(now, request);
}

void RuleGuard::on_attempt_ended(TimePoint now, const AttemptFacts& attempt, Outcome outcome) {
  const auto at = records_.find(attempt.request);
  if (at == records_.end()) return;
  Record& record = at->second;
  record.outstanding -= 1;
  if (!proves_not_executed(outcome) && outcome != Outcome::succeeded && !record.first_uncertain_attempt_at) {
    record.first_uncertain_attempt_at = record.last_sent_at;
    if (const EngineEndpoint* endpoint = slow_start_.endpoint(attempt.engine)) {
      record.uncertain_zone = endpoint->zone;
      record.uncertain_cell = endpoint->cell;
    }
  }
  if (proves_not_executed(outcome)) forget_if_not_executed(attempt.request, record);
  order_.on_attempt_ended(now, attempt.request, outcome);
  erase_if_done(attempt.request);
}

void RuleGuard::on_finished(RequestId request) {
  const auto at = records_.find(request);
  if (at == records_.end()) return;
  at->second.is_finished = true;
  order_.on_finished(request);
  erase_if_done(request);
}

void RuleGuard::erase_if_done(RequestId request) {
  const auto at = records_.find(request);
  if (at->second.is_finished && at->second.outstanding <= 0) records_.erase(at);
}

// REQUIRES: the last attempt of the request is proved not to have executed.
void RuleGuard::forget_if_not_executed(RequestId request, const Record& record) {
  if (record.outstanding <= 0 && !record.first_uncertain_attempt_at) executions_.on_not_executed(request);
}

void RuleGuard::forget_idle(TimePoint now) { order_.forget_idle(now); }

std::optional<Rule> RuleGuard::broken_by_place(const RequestType& type, const Record& record,
                                               const EngineEndpoint& engine) const {
  if (!allows_placement(type, engine)) return Rule::placement;
  if (!record.first_uncertain_attempt_at || type.idempotency != Idempotency::idempotent_by_key) {
    return std::nullopt;
  }
  const bool is_recognized = recognizes_repeat(type, engine, record.uncertain_zone, record.uncertain_cell);
  return is_recognized ? std::nullopt : std::optional(Rule::repeat_group);
}

std::optional<Rule> RuleGuard::broken_by_attempt(TimePoint now, const AttemptFacts& attempt) const {
  const auto at = records_.find(attempt.request);
  if (at == records_.end()) return Rule::one_answer;
  const Record& record = at->second;
  const RequestType& type = types_.at(static_cast<std::size_t>(record.type.value));
  const auto repeat =
      broken_by(RepeatFacts{now, type.idempotency, type.deduplication_window, record.attempts, max_attempts_,
                            record.outstanding, allows_hedging_, record.first_uncertain_attempt_at});
  if (repeat) return repeat;
  if (const EngineEndpoint* endpoint = slow_start_.endpoint(attempt.engine)) {
    if (const auto rule = broken_by_place(type, record, *endpoint)) return rule;
  }
  if (record.attempts > 0 && retries_.forbids_retry(now)) return Rule::attempt_budget;
  if (const auto order = order_.forbids(now, attempt.request))
    return *order == KeyOrderRecords::Violation::out_of_order ? Rule::order_by_key : Rule::key_rests;
  if (slow_start_.forbids(now, attempt.engine, attempt.work_ms, attempt.largest_typical_work_ms))
    return Rule::cold_budget;
  return std::nullopt;
}

std::optional<Rule> RuleGuard::suppress(Rule rule) {
  ++suppressed_counts_[static_cast<std::size_t>(rule)];
  return rule;
}

void RuleGuard::count_violation(Rule rule) { ++violation_counts_[static_cast<std::size_t>(rule)]; }

std::optional<Rule> RuleGuard::broken_by(const SendingFacts& facts) const {
  if (facts.answered) return Rule::one_answer;
  if (facts.now >= facts.end) return Rule::time_is_left;
  if (!facts.client_is_there) return Rule::client_is_there;
  if (facts.engine != EngineState::up) return Rule::engine_takes_work;
  const Duration left = facts.end - facts.now;
  if (facts.time_told && *facts.time_told > left + engine_timeout_slack) return Rule::time_told;
  return std::nullopt;
}

std::optional<Rule> RuleGuard::forbids_sending(const SendingFacts& facts) {
  ++checked_;
  const std::optional<Rule> rule = broken_by(facts);
  return rule ? suppress(*rule) : rule;
}

std::optional<Rule> RuleGuard::forbids_sending(const SendingFacts& facts, const AttemptFacts& attempt) {
  ++checked_;
  std::optional<Rule> rule = broken_by(facts);
  if (!rule) rule = broken_by_attempt(facts.now, attempt);
  return rule ? suppress(*rule) : rule;
}

std::optional<Rule> RuleGuard::broken_by(const RepeatFacts& facts) const {
  if (facts.attempts >= facts.max_attempts) return Rule::attempts_are_few;
  const bool may_be_copied = facts.idempotency == Idempotency::idempotent && facts.allows_hedging;
  if (facts.outstanding > 0 && !may_be_copied) return Rule::one_attempt_out;
  if (!facts.first_uncertain_attempt_at || facts.idempotency == Idempotency::idempotent) return std::nullopt;
  if (facts.idempotency == Idempotency::non_idempotent) return Rule::runs_once;
  if (facts.now >= *facts.first_uncertain_attempt_at + facts.deduplication_window) return Rule::runs_once;
  return std::nullopt;
}

std::optional<Rule> RuleGuard::forbids_repeating(const RepeatFacts& facts) {
  ++checked_;
  const std::optional<Rule> rule = broken_by(facts);
  if (!rule) return rule;
  count_violation(*rule);
  return suppress(*rule);
}

std::optional<Rule> RuleGuard::forbids_taking(bool answers_all) {
  ++checked_;
  if (answers_all) return suppress(Rule::not_while_ending);
  return std::nullopt;
}

std::optional<Rule> RuleGuard::forbids_taking_again(const TakingFacts& facts) {
  ++checked_;
  const std::optional<TimePoint> first_sent_at = executions_.first_sent_at(facts.id);
  if (!first_sent_at) return std::nullopt;
  const RequestType& type = types_.at(static_cast<std::size_t>(facts.type.value));
  if (type.idempotency == Idempotency::idempotent) return std::nullopt;
  const bool engines_drop_repeats = type.idempotency == Idempotency::idempotent_by_key &&
                                    type.deduplication_scope == DeduplicationScope::fleet &&
                                    facts.end < *first_sent_at + type.deduplication_window;
  if (engines_drop_repeats) return std::nullopt;
  return suppress(Rule::runs_once);
}

std::optional<Rule> RuleGuard::forbids_closing(const ClosingFacts& facts) {
  ++checked_;
  if (facts.client_has_left) return std::nullopt;
  const bool is_owed = facts.request_is_open || facts.path_call_is_due || facts.answer_is_unsent;
  if (is_owed || facts.has_unread_bytes) return suppress(Rule::no_silent_close);
  return std::nullopt;
}

void RuleGuard::on_closing(const ClosingFacts& facts) {
  ++checked_;
  if (facts.request_is_open && !facts.client_has_left) count_violation(Rule::no_silent_close);
}

void RuleGuard::on_answering(const AnsweringFacts& facts) {
  ++checked_;
  if (facts.answered) count_violation(Rule::one_answer);
  if (facts.now > facts.end + max_answer_lateness) count_violation(Rule::answer_in_time);
}

std::uint64_t RuleGuard::broken_in_all() const {
  return std::accumulate(violation_counts_.begin(), violation_counts_.end(), std::uint64_t{0});
}

}  // namespace pearchute
