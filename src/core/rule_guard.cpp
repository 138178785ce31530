#include "core/rule_guard.h"

#include <numeric>

namespace pearchute {

namespace {

// Up to half a second after its time an answer only earns nothing; later the request counts as lost.
constexpr std::chrono::milliseconds latest_answer(500);

}  // namespace

std::optional<Rule> RuleGuard::hold_back(Rule rule) {
  ++held_back_[static_cast<std::size_t>(rule)];
  return rule;
}

void RuleGuard::note_broken(Rule rule) { ++broken_[static_cast<std::size_t>(rule)]; }

std::optional<Rule> RuleGuard::forbids_sending(const SendingFacts& facts) {
  ++checked_;
  if (facts.answered) return hold_back(Rule::one_answer);
  if (facts.now >= facts.end) return hold_back(Rule::time_is_left);
  if (!facts.client_is_there) return hold_back(Rule::client_is_there);
  if (facts.engine != EngineState::up) return hold_back(Rule::engine_takes_work);
  return std::nullopt;
}

std::optional<Rule> RuleGuard::forbids_repeating(const RepeatFacts& facts) {
  ++checked_;
  const auto forbid = [&](Rule rule) {
    note_broken(rule);
    return hold_back(rule);
  };
  if (facts.attempts >= facts.most_attempts) return forbid(Rule::attempts_are_few);
  const bool may_be_copied = facts.effect == Effect::restartable && facts.second_copies;
  if (facts.out > 0 && !may_be_copied) return forbid(Rule::one_attempt_out);
  if (!facts.first_doubt || facts.effect == Effect::restartable) return std::nullopt;
  if (facts.effect == Effect::run_once) return forbid(Rule::runs_once);
  if (facts.now >= *facts.first_doubt + facts.repeat_window) return forbid(Rule::runs_once);
  return std::nullopt;
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
