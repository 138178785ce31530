// Outlier detection: ejects engines that fail, don't answer or can't be reached, and takes them back through
// probation (half-open) with one short trial request at a time.
//
// States of an engine: in rotation -> ejected (no attempts) -> on probation (one trial at a time, until
// a success finds the error rate low) -> in rotation, or ejected again for twice as long. Invariant: on
// suspicion alone never more than a share of the fleet is out at once; the rest would be overrun by what all
// of them share.
#pragma once

#include <cstdint>
#include <optional>

#include "core/request_state.h"
#include "core/types.h"

namespace pearchute {

struct Engine;

// Why an engine was last ejected.
enum class EjectionReason { none, errors, unreachable, unanswered, silent };

// What outlier detection keeps of one engine.
struct EngineHealth {
  double error_rate = 0;  // of recent attempts, smoothed
  int consecutive_failures = 0;
  TimePoint ejected_until{};
  EjectionReason ejection_reason = EjectionReason::none;
  // Set by an ejection, until a success finds the error rate low; while ejected nothing is sent at all.
  bool on_probation = false;
  bool trial_outstanding = false;
  TimePoint last_response_at{};
  std::optional<TimePoint> last_full_at;  // when it last rejected an attempt as full

  bool is_ejected(TimePoint now) const { return now < ejected_until; }
  bool was_full_recently(TimePoint now) const;
};

// Decides ejections; changes EngineHealth, which holds the state of each engine.
class OutlierDetector {
 public:
  void reset(TimePoint now, EngineHealth& health) const;
  void on_success(TimePoint now, EngineHealth& health) const;
  // The engine has reported something of an attempt.
  void on_response(TimePoint now, EngineHealth& health) const { health.last_response_at = now; }
  // It rejected an attempt as full. No sign of life: an engine that hangs is full, too.
  void on_full(TimePoint now, EngineHealth& health) const { health.last_full_at = now; }
  void begin_trial(EngineHealth& health) const { health.trial_outstanding = true; }
  void end_trial(EngineHealth& health) const { health.trial_outstanding = false; }
  void add_errors(EngineHealth& health, double increment) const { health.error_rate += increment; }
  void remove_errors(EngineHealth& health, double increment) const;
  // How much an error or a reset adds to the engine's error rate. A reset counts half, as often the
  // network's.
  double error_share(const EngineHealth& health, Outcome outcome) const;
  bool exceeds_error_rate(const EngineHealth& health, Outcome outcome) const;

  // How many of all engines are up, and how many of those are ejected or on probation.
  struct FleetHealth {
    int up = 0;
    int out_of_rotation = 0;
  };
  // Records a failure of an engine; true where it is ejected for it.
  bool record_failure(TimePoint now, EngineHealth& health, EjectionReason reason,
                      const FleetHealth& fleet) const;

  // What tells that an outstanding attempt is overdue.
  struct Expectation {
    Duration typical{};            // all but one in twenty end within half of this
    Duration progress_interval{};  // 0: no progress reports come
  };
  bool is_overdue(TimePoint now, const AttemptRecord& attempt, const Expectation& expected) const;
  // How much an overdue attempt says that its whole engine is silent; past `silence_threshold` in sum it is.
  int silence_weight(TimePoint now, const EngineHealth& health, const AttemptRecord& attempt,
                     const Expectation& expected) const;
  static constexpr int silence_threshold = 1;

  static constexpr Duration least_overdue = std::chrono::milliseconds(150);
};

}  // namespace pearchute
