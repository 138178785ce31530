#include "core/outlier_detector.h"

#include <algorithm>

namespace pearchute {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double error_increment = 0.1;
constexpr double reset_increment = 0.05;
constexpr double success_decay = 0.9;  // a memory of about ten attempts
constexpr double ejecting_error_rate = 0.3;
constexpr double recovered_error_rate = 0.2;
constexpr int ejected_share_divisor = 3;  // a third of the fleet at most, on suspicion
constexpr int least_engines_to_eject = 2;
// Doubled at each ejection in a row, the first included: 0.5 s, 1, 2, 4, 8 s. Soon back from a blip, cheap on
// a dead engine.
constexpr milliseconds half_first_ejection(250);
constexpr int most_consecutive_failures = 5;
constexpr seconds full_lifetime(2);
// An answer that came this soon after an attempt was sent tells nothing of it.
constexpr milliseconds crossing_time(20);
// In halves of the interval of progress reports.
constexpr int silent_half_intervals = 5;
constexpr int late_half_intervals = 3;
constexpr int weight_twice_late = 2;
constexpr int weight_late = 1;

}  // namespace

bool EngineHealth::was_full_recently(TimePoint now) const {
  return last_full_at && now < *last_full_at + full_lifetime;
}

void OutlierDetector::reset(TimePoint now, EngineHealth& health) const {
  health.consecutive_failures = 0;
  health.error_rate = 0;
  health.ejected_until = now;
  health.on_probation = false;
}

void OutlierDetector::on_success(TimePoint now, EngineHealth& health) const {
  health.last_response_at = now;
  health.consecutive_failures = 0;
  health.on_probation &= health.error_rate > recovered_error_rate;
  health.error_rate *= success_decay;
}

void OutlierDetector::remove_errors(EngineHealth& health, double increment) const {
  health.error_rate -= std::clamp(increment, 0.0, health.error_rate);
}

double OutlierDetector::error_share(const EngineHealth& health, Outcome outcome) const {
  const double increment = outcome == Outcome::engine_error ? error_increment : reset_increment;
  return increment * (1 - health.error_rate);
}

bool OutlierDetector::exceeds_error_rate(const EngineHealth& health, Outcome outcome) const {
  return health.error_rate > ejecting_error_rate || (health.on_probation && outcome == Outcome::engine_error);
}

bool OutlierDetector::record_failure(TimePoint now, EngineHealth& health, EjectionReason reason,
                                     const FleetHealth& fleet) const {
  if (health.is_ejected(now)) return false;
  const bool is_certain = reason == EjectionReason::unreachable;
  const int most_out = std::max(1, fleet.up / ejected_share_divisor);
  const bool share_is_used = fleet.up < least_engines_to_eject || fleet.out_of_rotation + 1 > most_out;
  if (!is_certain && !health.on_probation && share_is_used) return false;
  health.consecutive_failures = std::min(health.consecutive_failures + 1, most_consecutive_failures);
  health.ejected_until = now + half_first_ejection * (1 << health.consecutive_failures);
  health.on_probation = true;
  health.ejection_reason = reason;
  return true;
}

// Where progress is reported, the reports have to be missing, too; five halves of their interval without one
// are enough by themselves.
bool OutlierDetector::is_overdue(TimePoint now, const AttemptRecord& attempt,
                                 const Expectation& expected) const {
  const Duration age = now - attempt.sent_at;
  const Duration quiet = now - attempt.last_report_at;
  const Duration interval = expected.progress_interval;
  if (interval <= Duration(0)) return age > expected.typical;
  if (quiet >= silent_half_intervals * interval / 2) return true;
  return age > expected.typical && quiet > std::min(late_half_intervals * interval / 2, age - Duration(1));
}

// One attempt is a sign by itself only when twice as late: a quiet manager hears too little to tell.
int OutlierDetector::silence_weight(TimePoint now, const EngineHealth& health, const AttemptRecord& attempt,
                                    const Expectation& expected) const {
  if (health.last_response_at > attempt.sent_at + crossing_time) return 0;
  return now - attempt.sent_at > 2 * expected.typical ? weight_twice_late : weight_late;
}

}  // namespace pearchute
