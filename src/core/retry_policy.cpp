#include "core/retry_policy.h"

#include <algorithm>

namespace pearchute {

namespace {

constexpr double replacement_tokens_per_request = 0.1;
constexpr double max_replacement_tokens = 10.0;
// The clock reading may be one event interval old, both here and at the engine's end of the window.
constexpr int window_margin_intervals = 2;

}  // namespace

void RetryPolicy::on_request(TimePoint now) {
  if (service_.retry_budget_window) {
    requests_.push_back(now);
    forget_old_requests(now);
  }
  replacement_tokens_ =
      std::min(replacement_tokens_ + replacement_tokens_per_request, max_replacement_tokens);
}

// At the edge of the window, requests are not counted and retries are, so that the budget is never exceeded.
void RetryPolicy::forget_old_requests(TimePoint now) {
  const TimePoint counted_after = now - *service_.retry_budget_window + service_.event_interval;
  while (!requests_.empty() &&
         (requests_.front() <= counted_after || requests_.size() > ServiceDefinition::max_counted_requests))
    requests_.pop_front();
}

void RetryPolicy::on_retry(TimePoint now) {
  if (service_.retry_budget_window) retries_.push_back(now);
}

bool RetryPolicy::attempts_exhausted(TimePoint now, const RequestType& type,
                                     const RequestState& state) const {
  if (static_cast<int>(state.attempts.size()) >= service_.max_attempts) return true;
  if (!state.first_uncertain_attempt_at || type.idempotency == Idempotency::idempotent) return false;
  if (type.idempotency == Idempotency::non_idempotent) return true;
  return now + window_margin_intervals * service_.event_interval >=
         *state.first_uncertain_attempt_at + type.deduplication_window;
}

bool RetryPolicy::may_have_attempt(const RequestState& state) const {
  return static_cast<int>(state.attempts.size()) < service_.max_attempts && !state.client_disconnected_at;
}

bool RetryPolicy::may_hedge(const RequestType& type) const {
  return service_.allows_hedging && type.idempotency == Idempotency::idempotent;
}

bool RetryPolicy::within_budget(TimePoint now) {
  if (!service_.retry_budget_window) return true;
  const TimePoint window_start = now - *service_.retry_budget_window;
  forget_old_requests(now);
  while (!retries_.empty() && retries_.front() < window_start - service_.event_interval) retries_.pop_front();
  const double budget =
      service_.retry_budget_minimum + service_.retry_budget_ratio * static_cast<double>(requests_.size());
  return static_cast<double>(retries_.size()) + 1 <= budget;
}

bool RetryPolicy::is_safe_to_resend(TimePoint now, const RequestType& type, const RequestState& state) const {
  if (type.idempotency == Idempotency::idempotent) return true;
  if (state.outstanding == 0 && !state.first_uncertain_attempt_at) return true;
  if (type.idempotency == Idempotency::non_idempotent ||
      type.deduplication_scope != DeduplicationScope::fleet) {
    return false;
  }
  const TimePoint first = state.first_uncertain_attempt_at.value_or(state.attempts.front().sent_at);
  return now < first + type.deduplication_window;
}

std::optional<TimePoint> RetryPolicy::latest_repeat(const RequestType& type,
                                                    const RequestState& state) const {
  if (!state.first_uncertain_attempt_at || type.idempotency != Idempotency::idempotent_by_key) {
    return std::nullopt;
  }
  return *state.first_uncertain_attempt_at + type.deduplication_window - service_.event_interval;
}

bool RetryPolicy::has_replacement_token() const { return replacement_tokens_ >= 1; }

void RetryPolicy::take_replacement_token() { replacement_tokens_ -= 1; }

}  // namespace pearchute
