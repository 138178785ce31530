// The interface through which the decisions act. Whoever drives a WorkloadManager implements it; the manager
// calls it only from within one of its own events, on the caller's thread, and never keeps what it passes.
#pragma once

#include <cstdint>
#include <string_view>

#include "core/types.h"

namespace pearchute {

// Carries out what the decisions decide.
class DecisionSink {
 public:
  virtual ~DecisionSink() = default;
  // Sends the request's next attempt; attempts of a request count from 0. A limit of 0: the request timeout.
  virtual void dispatch(RequestId request, EngineId engine, Duration time_limit) = 0;
  // Precedes `dispatch`. A grant of 0 MB: the engine chooses. Priorities go from 0 to 3, the highest.
  virtual void set_execution_terms(RequestId request, double grant_mb, int priority) = 0;
  // The next attempt is a repeat that engines recognize for so long only: what has not left by then ends as
  // unreachable. Nothing to do where attempts leave at once.
  virtual void limit_send_delay(RequestId, Duration) {}
  virtual void cancel_attempt(RequestId request, int attempt_index) = 0;
  // Precedes `throttle` or `fail`: why.
  virtual void on_rejection(RequestId, RejectionReason) {}
  // Final answer: it had no effect, or may safely be sent again; 0: no Retry-After.
  virtual void throttle(RequestId request, Duration retry_after) = 0;
  // Final answer: it must not be sent again.
  virtual void fail(RequestId request) = 0;
  // Calls WorkloadManager::on_wakeup with the token after the delay.
  virtual void schedule_wakeup(Duration delay, std::uint64_t token) = 0;
  virtual void probe(EngineId engine) = 0;
  virtual void subscribe_endpoints() = 0;
  // A line for operators, on the simulator's wire and the admin channel.
  virtual void trace_event(std::string_view text) = 0;
};

}  // namespace pearchute
