// Retries: how often and under which conditions a request may have a further attempt, and how a request
// without a result may be answered.
//
// Rules: at most max_attempts; a request that is not idempotent has no further attempt once one may have
// executed; one that is idempotent by key only within its deduplication window; retries stay within a budget,
// a minimum and a share of the requests of a window. Two attempts at once only for idempotent requests
// (hedging).
#pragma once

#include <deque>
#include <optional>

#include "core/request_state.h"
#include "core/types.h"

namespace pearchute {

// Decides on further attempts; keeps the retry budget and the rescue tokens.
class RetryPolicy {
 public:
  // `service` must outlive it.
  explicit RetryPolicy(const ServiceDefinition& service) : service_(service) {}

  void on_request(TimePoint now);
  void on_retry(TimePoint now);

  // No attempt may follow those that it had, whatever happens.
  bool attempts_exhausted(TimePoint now, const RequestType& type, const RequestState& state) const;
  // Fewer than max_attempts so far, and its client is connected.
  bool may_have_attempt(const RequestState& state) const;
  // A further attempt while one is outstanding.
  bool may_hedge(const RequestType& type) const;
  bool within_budget(TimePoint now);
  // The rejected request may safely be sent again by its client: it has had no effect, or repeats are
  // dropped.
  bool is_safe_to_resend(TimePoint now, const RequestType& type, const RequestState& state) const;
  // The last moment at which a repeat may leave and still be recognized; none where that does not matter.
  std::optional<TimePoint> latest_repeat(const RequestType& type, const RequestState& state) const;

  // Rescues of attempts that are overdue at engines that answer others take a token each,
  // so that a slow fleet is not flooded with them.
  bool has_rescue_token() const;
  void take_rescue_token();

 private:
  const ServiceDefinition& service_;
  std::deque<TimePoint> requests_;  // within the budget's window
  std::deque<TimePoint> retries_;
  double rescue_tokens_ = 0;
};

}  // namespace pearchute
