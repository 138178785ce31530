// The records of an open request and of its attempts. They contain no logic: each decision defines how it
// uses them.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/types.h"

namespace pearchute {

// One attempt of a request at one engine. Its index is its position in RequestState::attempts.
struct AttemptRecord {
  EngineId engine;
  TimePoint sent_at{};
  TimePoint last_report_at{};  // when the engine last reported on this attempt, or sent_at
  double grant_mb = 0;
  int threads = 0;
  bool is_outstanding = true;
  bool is_cancelling = false;  // cancelled, but its end has not been reported yet
  bool is_overdue = false;     // a hedged request may be sent beside it
  bool waits_for_data_load = false;
  bool is_trial = false;             // the trial request of an engine on probation
  bool at_preferred_engine = false;  // the engine is preferred by data affinity
  // What it added to its engine's error rate; negative if the request was at fault.
  double error_share = 0;
};

// One open request. Deadlines and estimates are set when it arrives.
struct RequestState {
  Request request;
  std::uint64_t arrival_sequence = 0;
  TimePoint arrived_at{};
  TimePoint objective_at{};  // an answer until then earns the full priority weight
  TimePoint deadline{};      // the final answer is sent by then
  double work_ms = 0;        // estimated or typical work, in ms on one thread
  std::vector<AttemptRecord> attempts;
  int outstanding = 0;   // number of outstanding attempts
  int bypass_count = 0;  // later requests that were sent before it since it was queued
  std::optional<TimePoint> client_disconnected_at;  // none while the client is connected
  // When and where the first attempt was sent that may have executed; none if no attempt may have executed.
  std::optional<TimePoint> first_uncertain_attempt_at;
  ZoneId uncertain_zone{-1};
  CellId uncertain_cell{};
  bool is_queued = false;
  bool is_finished = false;   // its client has the final answer, or has cancelled it
  bool is_streaming = false;  // an engine has begun to stream the result
};

}  // namespace pearchute
