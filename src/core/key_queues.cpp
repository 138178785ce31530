#include "core/key_queues.h"

#include <algorithm>

namespace pearchute {

void KeyQueues::remove(OrderKey key, RequestId id) {
  const auto at = queues_.find(key);
  if (at != queues_.end()) std::erase(at->second.requests, id);
}

bool KeyQueues::is_first(OrderKey key, RequestId id) const {
  const auto at = queues_.find(key);
  return at == queues_.end() || at->second.requests.empty() || at->second.requests.front() == id;
}

bool KeyQueues::is_quiet(TimePoint now, OrderKey key) const {
  const auto at = queues_.find(key);
  return at != queues_.end() && now < at->second.quiet_until;
}

void KeyQueues::begin_quiet_period(TimePoint now, OrderKey key) {
  TimePoint& until = queues_[key].quiet_until;
  until = std::max(until, now + quiet_period_);
}

void KeyQueues::forget_idle(TimePoint now) {
  std::erase_if(
      queues_, [&](const auto& one) { return one.second.requests.empty() && now >= one.second.quiet_until; });
}

}  // namespace pearchute
