// What is known of one open request and of its attempts. Records only: what they mean for a decision stands
// with that decision.
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
  TimePoint last_report_at{};  // the last sign of this attempt
  double grant_mb = 0;
  int threads = 0;
  bool is_outstanding = true;
  bool is_cancelling = false;  // cancelled, its end has not been reported yet
  bool is_overdue = false;     // a hedged request may follow it
  bool waits_for_data_load = false;
  bool is_trial = false;             // of an engine on probation
  bool at_preferred_engine = false;  // by data affinity
  double error_share =
      0;  // what it added to its engine's error rate; negative where the request was at fault
};

// One open request. Deadlines and estimates are set when it arrives.
struct RequestState {
  Request request;
  std::uint64_t arrival_sequence = 0;
  TimePoint arrived_at{};
  TimePoint objective_at{};  // answered by then, it earns its whole weight
  TimePoint deadline{};      // the final answer goes out by then
  double work_ms = 0;        // estimated or typical, as time on one thread
  std::vector<AttemptRecord> attempts;
  int outstanding = 0;   // attempts
  int bypass_count = 0;  // later requests that were sent before it since it was queued
  std::optional<TimePoint> client_disconnected_at;  // it may reconnect
  // Of the first attempt that may have executed: when it was sent, and where.
  std::optional<TimePoint> first_uncertain_attempt_at;
  ZoneId uncertain_zone{-1};
  CellId uncertain_cell{};
  bool is_queued = false;
  bool is_finished = false;  // it has its final answer
  bool is_streaming = false;
};

}  // namespace pearchute
