// Retries: how often and under which conditions a request may have another attempt, and whether a client may
// safely resend a request that had no result.
//
// Rules: a request has at most max_attempts. Once an attempt may have executed, a non-idempotent request has
// no further attempt, and one that is idempotent by key has further attempts only within its deduplication
// window. Retries stay within a budget, which is a minimum plus a ratio of the requests in a window. Only
// idempotent requests may have two attempts at once (hedged requests).
#pragma once

#include <deque>
#include <optional>

#include "core/request_state.h"
#include "core/types.h"

namespace pearchute {

// Decides on further attempts. Maintains the retry budget and the replacement tokens.
class RetryPolicy {
 public:
  // `service` must outlive it.
  explicit RetryPolicy(const ServiceDefinition& service) : service_(service) {}

  // A request has arrived; a retry is being sent.
  void on_request(TimePoint now);
  void on_retry(TimePoint now);

  // Whether the request can never have another attempt.
  bool attempts_exhausted(TimePoint now, const RequestType& type, const RequestState& state) const;
  // Whether the request has had fewer than max_attempts and its client is connected.
  bool may_have_attempt(const RequestState& state) const;
  // Whether the type allows another attempt while one is outstanding.
  bool may_hedge(const RequestType& type) const;
  // Whether the retry budget allows a retry now.
  bool within_budget(TimePoint now);
  // Whether the client of the rejected request may safely send it again: it has had no effect, or engines
  // drop repeats.
  bool is_safe_to_resend(TimePoint now, const RequestType& type, const RequestState& state) const;
  // The latest time at which the next attempt may be sent so that engines still recognize it as a repeat;
  // none if there is no such limit.
  std::optional<TimePoint> latest_repeat(const RequestType& type, const RequestState& state) const;

  // Replacing an overdue attempt at an engine that answers other requests takes a token, so that a slow fleet
  // is not flooded with replacements. Each request adds a tenth of a token, up to ten tokens.
  bool has_replacement_token() const;
  void take_replacement_token();
  // The number of requests that count for the budget, as of the last event.
  std::size_t counted_requests() const { return requests_.size(); }

 private:
  void forget_old_requests(TimePoint now);

  const ServiceDefinition& service_;
  std::deque<TimePoint> requests_;  // arrival times within the budget's window
  std::deque<TimePoint> retries_;
  double replacement_tokens_ = 0;
};

}  // namespace pearchute
