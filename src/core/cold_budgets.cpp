#include "core/cold_budgets.h"

#include <algorithm>
#include <set>

namespace pearchute {

ColdBudgets::ColdBudgets(const ServiceDefinition& service)
    : multiple_(service.slow_start_limit_multiple),
      cold_from_(service.slow_start_initial_capacity),
      window_(service.slow_start_window),
      lasts_(service.slow_start_duration),
      managers_(std::max(1, service.managers)),
      kinds_(service.kinds) {}

void ColdBudgets::on_endpoint_update(TimePoint now, EndpointUpdate news,
                                     const std::vector<EngineEndpoint>& engines) {
  std::set<EngineId> named;
  for (const EngineEndpoint& listed : engines) {
    named.insert(listed.id);
    Start& start = engines_[listed.id];
    const bool is_new = start.listed.id != listed.id || start.listed.started_at != listed.started_at;
    if (is_new) start.told = now;
    start.listed = listed;
  }
  std::erase_if(engines_, [&](const auto& one) {
    const bool has_gone = one.second.listed.state == EngineState::removed;
    return has_gone || (news != EndpointUpdate::delta && !named.contains(one.first));
  });
}

const EngineEndpoint* ColdBudgets::listed(EngineId engine) const {
  const auto at = engines_.find(engine);
  return at == engines_.end() ? nullptr : &at->second.listed;
}

// From the listed start, or from when the list told of it if that came late, by five seconds at most.
bool ColdBudgets::cold(TimePoint now, const Start& start) const {
  if (multiple_ <= 0 || window_ <= Duration(0) || !start.listed.started_at) return false;
  const TimePoint began = *start.listed.started_at;
  constexpr std::chrono::seconds told_late(5);
  return now < std::max(began, std::min(start.told, began + told_late)) + lasts_;
}

// An even part of what the settings allow all managers together. Where that is less than a single request,
// managers take turns at the engine, of which the longest allows half of the whole.
double ColdBudgets::own_part(const Start& start, double largest_ms) const {
  const auto kind = static_cast<std::size_t>(std::max(start.listed.kind.value, 0));
  const int cores = kind < kinds_.size() ? kinds_[kind].cores : 1;
  const double window_ms = static_cast<double>(window_.count()) / 1000;
  const double whole = multiple_ * cold_from_ * cores * window_ms;
  const double even = whole / managers_;
  return largest_ms > even / 2 ? std::max(even, whole / 2) : even;
}

bool ColdBudgets::forbids(TimePoint now, EngineId engine, double work_ms, double largest_ms) const {
  const auto at = engines_.find(engine);
  if (at == engines_.end() || !cold(now, at->second)) return false;
  double sent = work_ms;
  for (const Sent& one : at->second.sent) {
    if (one.at > now - window_) sent += one.work_ms;
  }
  return sent > own_part(at->second, largest_ms);
}

void ColdBudgets::attempt_left(TimePoint now, EngineId engine, double work_ms) {
  const auto at = engines_.find(engine);
  if (at == engines_.end()) return;
  std::deque<Sent>& sent = at->second.sent;
  while (!sent.empty() && sent.front().at <= now - window_) sent.pop_front();
  if (cold(now, at->second)) sent.push_back({now, work_ms});
}

}  // namespace pearchute
