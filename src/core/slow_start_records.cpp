#include "core/slow_start_records.h"

#include <algorithm>
#include <set>

#include "core/slow_start.h"

namespace pearchute {

namespace {

constexpr double even_share_divisor = 2;
constexpr double largest_slot_divisor = 2;

}  // namespace

SlowStartRecords::SlowStartRecords(const ServiceDefinition& service) : service_(service) {
  service_.managers = std::max(1, service.managers);
  service_.types.clear();
  service_.tenants.clear();
}

void SlowStartRecords::on_endpoint_update(TimePoint now, EndpointUpdate kind,
                                          const std::vector<EngineEndpoint>& endpoints) {
  std::set<EngineId> listed_ids;
  for (const EngineEndpoint& endpoint : endpoints) {
    listed_ids.insert(endpoint.id);
    Record& record = engines_[endpoint.id];
    const bool is_new =
        record.endpoint.id != endpoint.id || record.endpoint.started_at != endpoint.started_at;
    if (is_new) record.listed_at = now;
    record.endpoint = endpoint;
  }
  std::erase_if(engines_, [&](const auto& one) {
    const bool is_removed = one.second.endpoint.state == EngineState::removed;
    return is_removed || (kind != EndpointUpdate::delta && !listed_ids.contains(one.first));
  });
}

const EngineEndpoint* SlowStartRecords::endpoint(EngineId engine) const {
  const auto at = engines_.find(engine);
  return at == engines_.end() ? nullptr : &at->second.endpoint;
}

bool SlowStartRecords::is_warming_up(TimePoint now, const Record& record) const {
  return pearchute::is_warming_up(service_, now, record.endpoint.started_at, record.listed_at);
}

// This manager's share: an even share of the limit, or half of the limit, which is the largest time slot, if
// a typical request may need over half of an even share, so that managers may use time slots. SlowStart uses
// less in both cases; the guard checks the configured limit.
double SlowStartRecords::own_share_ms(const Record& record, double largest_typical_work_ms) const {
  const auto kind = static_cast<std::size_t>(std::max(record.endpoint.kind.value, 0));
  const int cores = kind < service_.kinds.size() ? service_.kinds[kind].cores : 1;
  const double limit_ms = slow_start_limit_ms(service_, cores);
  const double even_share_ms = limit_ms / service_.managers;
  const bool uses_time_slots = largest_typical_work_ms > even_share_ms / even_share_divisor;
  return uses_time_slots ? std::max(even_share_ms, limit_ms / largest_slot_divisor) : even_share_ms;
}

bool SlowStartRecords::forbids(TimePoint now, EngineId engine, double work_ms,
                               double largest_typical_work_ms) const {
  const auto at = engines_.find(engine);
  if (at == engines_.end() || !is_warming_up(now, at->second)) return false;
  double sent_ms = work_ms;
  for (const SentWork& one : at->second.sent) {
    if (one.at > now - service_.slow_start_window) sent_ms += one.work_ms;
  }
  return sent_ms > own_share_ms(at->second, largest_typical_work_ms);
}

void SlowStartRecords::on_attempt_left(TimePoint now, EngineId engine, double work_ms) {
  const auto at = engines_.find(engine);
  if (at == engines_.end()) return;
  std::deque<SentWork>& sent = at->second.sent;
  while (!sent.empty() && sent.front().at <= now - service_.slow_start_window) sent.pop_front();
  if (is_warming_up(now, at->second)) sent.push_back({now, work_ms});
}

}  // namespace pearchute
