#include "core/deadline_policy.h"

#include <algorithm>

#include "core/units.h"

namespace pearchute {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A wake-up comes up to one event interval late, and so does what it leads to.
constexpr int answer_margin_intervals = 2;
constexpr milliseconds answer_margin(10);
constexpr seconds reconnect_within(1);
constexpr milliseconds least_retry_after(50);
constexpr seconds longest_retry_after(2);
// Where nothing can be cancelled, what times out executes on, so more slack is wanted on arrival.
constexpr double slack_without_cancel = 1.5;
constexpr double overdue_factor = 2;

}  // namespace

void DeadlinePolicy::on_request(TimePoint now, RequestState& state) const {
  const Duration margin = answer_margin_intervals * service_.event_interval + answer_margin;
  state.deadline = now + std::max<Duration>(state.request.time_left - margin, Duration(0));
  const RequestType& type = work_.type(state);
  const Duration objective =
      type.latency_objective + from_ms(type.latency_objective_per_work * work_.ideal_ms(state));
  state.objective_at = std::min(now + objective, state.deadline);
}

// The highest priority hardly feels the load of the others.
bool DeadlinePolicy::is_unreachable(TimePoint now, const RequestState& state) const {
  const double slack = service_.allows_cancel ? 1.0 : slack_without_cancel;
  const double load = work_.priority(state) == highest_priority ? 1 : latency_.fleet_ratio() * slack;
  const double ratio = std::max(1.0, latency_.p10_ratio(state.request.type) * load);
  return now + from_ms(work_.ideal_ms(state) * ratio) > state.objective_at;
}

bool DeadlinePolicy::is_missed(TimePoint now, const RequestState& state) const {
  return now + from_ms(work_.ideal_ms(state)) > state.objective_at;
}

bool DeadlinePolicy::client_is_gone(TimePoint now, const RequestState& state) const {
  return state.client_disconnected_at && now > *state.client_disconnected_at + reconnect_within;
}

// Half the time that is left to its objective, so that a later request can still be in time.
Duration DeadlinePolicy::retry_after(TimePoint now, const RequestState& state) const {
  const Duration half =
      std::clamp<Duration>((state.objective_at - now) / 2, least_retry_after, longest_retry_after);
  return std::min(half, service_.max_retry_after);
}

Duration DeadlinePolicy::remaining_execution(const RequestState& state, double latency_ratio) const {
  const double more_ms = work_.ideal_ms(state) * std::max(1.0, latency_ratio);
  return std::min(from_ms(more_ms), work_.type(state).request_timeout);
}

Duration DeadlinePolicy::overdue_after(const RequestState& state, Duration least) const {
  const double typical_ms = overdue_factor * work_.ideal_ms(state) * latency_.p95_ratio(state.request.type);
  return from_ms(std::max(typical_ms, to_ms(least)));
}

}  // namespace pearchute
