#include "core/outlier_detector.h"

#include <algorithm>

namespace pearchute {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double error_increment = 0.1;
constexpr double reset_increment = 0.05;
constexpr double success_decay = 0.9;  // the error rate reflects about the last ten attempts
constexpr double ejecting_error_rate = 0.3;
constexpr double recovered_error_rate = 0.2;
constexpr int ejected_share_divisor = 3;  // at most a third of the fleet is ejected on suspicion
constexpr int min_engines_to_eject = 2;
// Doubled at each consecutive ejection, the first included: 0.5 s, 1, 2, 4, 8 s. The engine soon returns
// after a short fault, while a dead engine costs few trial requests.
constexpr milliseconds half_first_ejection(250);
constexpr int max_consecutive_failures = 5;
constexpr seconds full_rejection_lifetime(2);
// A response that arrives this soon after an attempt was sent may have been sent before the attempt reached
// the engine, so it does not show that the engine answers the attempt.
constexpr milliseconds min_response_time(20);
// In halves of the interval of progress reports.
constexpr int silent_half_intervals = 5;
constexpr int overdue_half_intervals = 3;
constexpr int weight_twice_overdue = 2;
constexpr int weight_overdue = 1;

}  // namespace

bool EngineHealth::was_full_recently(TimePoint now) const {
  return last_full_at && now < *last_full_at + full_rejection_lifetime;
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
  const int max_out_of_rotation = std::max(1, fleet.up / ejected_share_divisor);
  const bool is_share_exhausted =
      fleet.up < min_engines_to_eject || fleet.out_of_rotation + 1 > max_out_of_rotation;
  if (!is_certain && !health.on_probation && is_share_exhausted) return false;
  health.consecutive_failures = std::min(health.consecutive_failures + 1, max_consecutive_failures);
  health.ejected_until = now + half_first_ejection * (1 << health.consecutive_failures);
  health.on_probation = true;
  health.ejection_reason = reason;
  return true;
}

// Without progress reports, an attempt is overdue by its age alone. With them, the last report must also be
// over one and a half intervals old, or missing. After two and a half intervals without a report, the attempt
// is overdue at any age.
bool OutlierDetector::is_overdue(TimePoint now, const AttemptRecord& attempt,
                                 const Expectation& expected) const {
  const Duration age = now - attempt.sent_at;
  const Duration silence = now - attempt.last_report_at;
  const Duration interval = expected.progress_interval;
  if (interval <= Duration(0)) return age > expected.overdue_age;
  if (silence >= silent_half_intervals * interval / 2) return true;
  return age > expected.overdue_age &&
         silence > std::min(overdue_half_intervals * interval / 2, age - Duration(1));
}

// A single overdue attempt suffices to consider the engine silent only when it is twice as late: a manager
// with little traffic receives too few responses to conclude it earlier.
int OutlierDetector::silence_weight(TimePoint now, const EngineHealth& health, const AttemptRecord& attempt,
                                    const Expectation& expected) const {
  if (health.last_response_at > attempt.sent_at + min_response_time) return 0;
  return now - attempt.sent_at > 2 * expected.overdue_age ? weight_twice_overdue : weight_overdue;
}

}  // namespace pearchute
