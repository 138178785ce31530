#include "core/deadline_policy.h"

#include <algorithm>

#include "core/units.h"

namespace pearchute {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A wake-up may be delivered up to one event interval late, and its resulting action another interval later.
constexpr int answer_margin_intervals = 2;
constexpr milliseconds answer_margin(10);
constexpr seconds reconnect_timeout(1);
constexpr milliseconds min_retry_after(50);
constexpr seconds retry_after_limit(2);
// Multiplies the fleet's latency ratio on arrival where attempts cannot be cancelled: there, attempts that
// time out continue to execute, so admission needs more slack.
constexpr double slack_without_cancel = 1.5;
constexpr double overdue_factor = 2;  // of the 95th percentile of the time that the type takes

}  // namespace

void DeadlinePolicy::on_request(TimePoint now, RequestState& state) const {
  const Duration margin = answer_margin_intervals * service_.event_interval + answer_margin;
  state.deadline = now + std::max<Duration>(state.request.time_left - margin, Duration(0));
  const RequestType& type = work_.type(state);
  const Duration objective =
      type.latency_objective + from_ms(type.latency_objective_per_work * work_.ideal_ms(state));
  state.objective_at = std::min(now + objective, state.deadline);
}

// Requests of the highest priority are hardly delayed by the load of others, so the fleet's latency ratio is
// not applied to them.
bool DeadlinePolicy::is_unreachable(TimePoint now, const RequestState& state) const {
  const double slack = service_.allows_cancel ? 1.0 : slack_without_cancel;
  const double load = work_.priority(state) == highest_priority ? 1 : latency_.fleet_ratio() * slack;
  const double ratio = std::max(1.0, latency_.p10_ratio(state.request.type) * load);
  return now + from_ms(work_.ideal_ms(state) * ratio) > state.objective_at;
}

bool DeadlinePolicy::is_missed(TimePoint now, const RequestState& state) const {
  return now + from_ms(work_.ideal_ms(state)) > state.objective_at;
}

bool DeadlinePolicy::has_client_abandoned(TimePoint now, const RequestState& state) const {
  return state.client_disconnected_at && now > *state.client_disconnected_at + reconnect_timeout;
}

// Half of the time left until the latency objective, so that the client's next try can still meet it.
Duration DeadlinePolicy::retry_after(TimePoint now, const RequestState& state) const {
  const Duration half =
      std::clamp<Duration>((state.objective_at - now) / 2, min_retry_after, retry_after_limit);
  return std::min(half, service_.max_retry_after);
}

Duration DeadlinePolicy::remaining_execution(const RequestState& state, double latency_ratio) const {
  const double more_ms = work_.ideal_ms(state) * std::max(1.0, latency_ratio);
  return std::min(from_ms(more_ms), work_.type(state).request_timeout);
}

Duration DeadlinePolicy::overdue_after(const RequestState& state, Duration min_age) const {
  const double typical_ms = overdue_factor * work_.ideal_ms(state) * latency_.p95_ratio(state.request.type);
  return from_ms(std::max(typical_ms, to_ms(min_age)));
}

}  // namespace pearchute
