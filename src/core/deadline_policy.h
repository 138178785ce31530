// Deadlines: when a request's final answer is due, which requests cannot meet their latency objective, and
// when the client of a rejected request should retry.
#pragma once

#include "core/latency_model.h"
#include "core/request_state.h"
#include "core/types.h"
#include "core/work_model.h"

namespace pearchute {

// Derives deadlines from the settings, the request, and learned work and latency. Stateless.
class DeadlinePolicy {
 public:
  // All must outlive it.
  DeadlinePolicy(const ServiceDefinition& service, const WorkModel& work, const LatencyModel& latency)
      : service_(service), work_(work), latency_(latency) {}

  // Sets `deadline` and `objective_at` of a newly arrived request.
  void on_request(TimePoint now, RequestState& state) const;
  // On arrival: whether the request would miss its latency objective at the current latency of the fleet.
  bool is_unreachable(TimePoint now, const RequestState& state) const;
  // While queued: whether the request would miss its latency objective even in its ideal time.
  bool is_missed(TimePoint now, const RequestState& state) const;
  // Whether an attempt that starts now could still be in transit when the final answer is sent.
  bool is_too_close(TimePoint now, const RequestState& state) const {
    return now + service_.event_interval >= state.deadline;
  }
  // Whether the client has been disconnected for over a second; a client that reconnects does so within that.
  bool has_client_abandoned(TimePoint now, const RequestState& state) const;
  // After which time the client of a rejected request should retry; 0: no Retry-After.
  Duration retry_after(TimePoint now, const RequestState& state) const;
  // For how long an attempt that has timed out is assumed to continue executing where it cannot be cancelled,
  // at an engine with this latency ratio.
  Duration remaining_execution(const RequestState& state, double latency_ratio) const;
  // The age at which an attempt is overdue: twice the 95th percentile for its type and work, at least
  // `min_age`.
  Duration overdue_after(const RequestState& state, Duration min_age) const;

 private:
  const ServiceDefinition& service_;
  const WorkModel& work_;
  const LatencyModel& latency_;
};

}  // namespace pearchute
