// Outlier detection: ejects engines that fail, do not answer or cannot be reached, and readmits them through
// probation (half-open) with one short trial request at a time.
//
// States of an engine: in rotation -> ejected (no attempts) -> on probation (one trial at a time, until a
// success with a low error rate) -> in rotation, or ejected again for twice as long. Invariant: at most a
// third of the fleet, or one engine, is ejected or on probation on suspicion alone; otherwise a fault that
// all engines have in common would move the load of many engines to a few. The only engine is never ejected
// on suspicion alone.
#pragma once

#include <cstdint>
#include <optional>

#include "core/request_state.h"
#include "core/types.h"

namespace pearchute {

struct Engine;

// Why an engine was last ejected.
enum class EjectionReason {
  none,
  errors,       // its error rate is too high, or a trial request ended with an error
  unreachable,  // it could not be connected to
  unanswered,   // an attempt timed out, and the engine has not responded to any attempt since it was sent
  silent        // attempts are overdue, and the engine has not responded to any attempt since they were sent
};

// The state of outlier detection for one engine.
struct EngineHealth {
  double error_rate = 0;  // of recent attempts, smoothed
  int consecutive_failures = 0;
  TimePoint ejected_until{};
  EjectionReason ejection_reason = EjectionReason::none;
  // Set by an ejection until a success with a low error rate. While ejected, the engine gets no attempts at
  // all.
  bool on_probation = false;
  bool trial_outstanding = false;
  TimePoint last_response_at{};
  std::optional<TimePoint> last_full_at;  // when the engine last rejected an attempt as full

  bool is_ejected(TimePoint now) const { return now < ejected_until; }
  bool was_full_recently(TimePoint now) const;
};

// Decides on ejections. It modifies EngineHealth, which holds the state of each engine, and has no other
// state.
class OutlierDetector {
 public:
  // The engine is new, has restarted or is up again: clears its errors and any ejection.
  void reset(TimePoint now, EngineHealth& health) const;
  void on_success(TimePoint now, EngineHealth& health) const;
  // The engine has reported something about an attempt.
  void on_response(TimePoint now, EngineHealth& health) const { health.last_response_at = now; }
  // The engine rejected an attempt as full. This is not a response, since an engine that hangs is full, too.
  void on_full(TimePoint now, EngineHealth& health) const { health.last_full_at = now; }
  void begin_trial(EngineHealth& health) const { health.trial_outstanding = true; }
  void end_trial(EngineHealth& health) const { health.trial_outstanding = false; }
  void add_errors(EngineHealth& health, double increment) const { health.error_rate += increment; }
  void remove_errors(EngineHealth& health, double increment) const;
  // How much an error or a connection reset adds to the engine's error rate. A reset counts half, since it is
  // often caused by the network.
  double error_share(const EngineHealth& health, Outcome outcome) const;
  // Whether the engine is to be ejected for its error rate; on probation, a single engine error suffices.
  bool exceeds_error_rate(const EngineHealth& health, Outcome outcome) const;

  // The number of engines that are up, and how many of these are ejected or on probation.
  struct FleetHealth {
    int up = 0;
    int out_of_rotation = 0;
  };
  // Records a failure of an engine. Returns whether it ejects the engine.
  bool record_failure(TimePoint now, EngineHealth& health, EjectionReason reason,
                      const FleetHealth& fleet) const;

  // The expected behavior of an outstanding attempt, by which it is found to be overdue.
  struct Expectation {
    Duration overdue_age{};        // twice the 95th percentile of the time that such attempts take
    Duration progress_interval{};  // 0: no progress reports
  };
  bool is_overdue(TimePoint now, const AttemptRecord& attempt, const Expectation& expected) const;
  // How much an overdue attempt contributes to the conclusion that its engine is silent. The engine is
  // considered silent when the sum over its overdue attempts exceeds `silence_threshold`.
  int silence_weight(TimePoint now, const EngineHealth& health, const AttemptRecord& attempt,
                     const Expectation& expected) const;
  static constexpr int silence_threshold = 1;

  // No attempt is overdue by its age alone before this.
  static constexpr Duration min_overdue_age = std::chrono::milliseconds(150);
};

}  // namespace pearchute
