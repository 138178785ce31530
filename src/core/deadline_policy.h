// Deadlines: when a request's final answer goes out, which requests can't meet their latency objective, and
// when a rejected client should come back.
#pragma once

#include "core/latency_model.h"
#include "core/request_state.h"
#include "core/types.h"
#include "core/work_model.h"

namespace pearchute {

// Stateless: deadlines follow from the settings, the request, and learned work and latency.
class DeadlinePolicy {
 public:
  // All must outlive it.
  DeadlinePolicy(const ServiceDefinition& service, const WorkModel& work, const LatencyModel& latency)
      : service_(service), work_(work), latency_(latency) {}

  // Sets `deadline` and `objective_at` of a request that arrives.
  void on_request(TimePoint now, RequestState& state) const;
  // On arrival: it would not be answered within its objective at the pace of the fleet.
  bool is_unreachable(TimePoint now, const RequestState& state) const;
  // While queued: it would not be answered within its objective even at best.
  bool is_missed(TimePoint now, const RequestState& state) const;
  // Whether an attempt that begins now could still be on its way when the final answer goes out.
  bool is_too_close(TimePoint now, const RequestState& state) const {
    return now + service_.event_interval >= state.deadline;
  }
  // A client that has disconnected reconnects at once, or not at all.
  bool client_is_gone(TimePoint now, const RequestState& state) const;
  // When the client of a rejected request should send it again; 0: no Retry-After.
  Duration retry_after(TimePoint now, const RequestState& state) const;
  // How long an attempt that has timed out is taken to execute on where it can't be cancelled, at an engine
  // with that latency ratio.
  Duration remaining_execution(const RequestState& state, double latency_ratio) const;
  // Twice what all but one in twenty requests of its type take.
  Duration overdue_after(const RequestState& state, Duration least) const;

 private:
  const ServiceDefinition& service_;
  const WorkModel& work_;
  const LatencyModel& latency_;
};

}  // namespace pearchute
