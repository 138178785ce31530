// The interface through which the decisions act. The owner of a WorkloadManager implements it. The manager
// calls it only from within its constructor and its event methods, on the caller's thread.
#pragma once

#include <cstdint>
#include <string_view>

#include "core/types.h"

namespace pearchute {

// Executes the actions of the decisions.
class DecisionSink {
 public:
  virtual ~DecisionSink() = default;
  // Sends the request's next attempt; attempts of a request are numbered from 0. A `time_limit` of 0 stands
  // for the request timeout.
  virtual void send_attempt(RequestId request, EngineId engine, Duration time_limit) = 0;
  // Called before `send_attempt`. A grant of 0 MB leaves the choice to the engine. Priorities range from 0 to
  // 3, the highest.
  virtual void set_execution_terms(RequestId request, double grant_mb, int priority) = 0;
  // Called before `send_attempt` of a repeat that engines recognize only within the given time: if the
  // attempt has not been sent by then, it ends as unreachable. An implementation that sends attempts at once
  // can ignore it.
  virtual void limit_send_delay(RequestId, Duration) {}
  virtual void cancel_attempt(RequestId request, int attempt_index) = 0;
  // Called before `throttle` or `fail` with the reason.
  virtual void on_rejection(RequestId, RejectionReason) {}
  // Final answer: the request had no effect or may safely be sent again. A `retry_after` of 0: no
  // Retry-After.
  virtual void throttle(RequestId request, Duration retry_after) = 0;
  // Final answer: the request must not be sent again, since it may have had an effect.
  virtual void fail(RequestId request) = 0;
  // Calls WorkloadManager::on_wakeup with the token after the delay.
  virtual void schedule_wakeup(Duration delay, std::uint64_t token) = 0;
  // A wake-up with this token is no longer needed. An implementation that can't cancel one can ignore it.
  virtual void cancel_wakeup(std::uint64_t) {}
  virtual void probe(EngineId engine) = 0;
  virtual void subscribe_endpoints() = 0;
  // A line for operators, which appears on the simulator's wire and the admin channel.
  virtual void trace_event(std::string_view text) = 0;
};

}  // namespace pearchute
