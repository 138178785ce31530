#include "core/key_order_records.h"

#include <algorithm>

namespace pearchute {

KeyOrderRecords::Found KeyOrderRecords::find(RequestId id) {
  const auto key = keys_.find(id);
  if (key == keys_.end()) return {};
  Queue& queue = queues_.at(key->second);
  const auto entry = std::ranges::find(queue.entries, id, &Entry::id);
  return {&queue, &*entry};
}

void KeyOrderRecords::on_request(RequestId id, OrderKey key) {
  if (!keys_.emplace(id, key).second) return;
  queues_[key].entries.push_back({.id = id});
}

std::optional<KeyOrderRecords::Violation> KeyOrderRecords::forbids(TimePoint now, RequestId id) const {
  const auto key = keys_.find(id);
  if (key == keys_.end()) return std::nullopt;
  const Queue& queue = queues_.at(key->second);
  const Entry& first = queue.entries.front();
  if (first.id != id) return Violation::out_of_order;
  // Retries of the first request itself need no quiet period.
  if (first.attempts == 0 && now < queue.quiet_until) return Violation::quiet_period;
  return std::nullopt;
}

void KeyOrderRecords::on_attempt_left(RequestId id) {
  const Found found = find(id);
  if (!found.entry) return;
  found.entry->attempts += 1;
  found.entry->outstanding += 1;
  found.entry->is_cancelled = false;
}

void KeyOrderRecords::on_attempt_retracted(RequestId id) {
  const Found found = find(id);
  if (!found.entry || found.entry->outstanding == 0) return;
  found.entry->attempts -= 1;
  found.entry->outstanding -= 1;
  erase_if_done(id);
}

void KeyOrderRecords::begin_quiet_period(TimePoint now, Queue& queue) const {
  queue.quiet_until = std::max(queue.quiet_until, now + quiet_period_);
}

void KeyOrderRecords::on_attempt_cancelled(TimePoint now, RequestId id) {
  const Found found = find(id);
  if (!found.entry || found.entry->outstanding == 0) return;
  found.entry->is_cancelled = true;
  begin_quiet_period(now, *found.queue);
}

void KeyOrderRecords::on_attempt_ended(TimePoint now, RequestId id, Outcome outcome) {
  const Found found = find(id);
  if (!found.entry || found.entry->outstanding == 0) return;
  found.entry->outstanding -= 1;
  if (!proves_ended(outcome) || found.entry->is_cancelled) begin_quiet_period(now, *found.queue);
  erase_if_done(id);
}

void KeyOrderRecords::on_finished(RequestId id) {
  const Found found = find(id);
  if (!found.entry) return;
  found.entry->is_finished = true;
  erase_if_done(id);
}

void KeyOrderRecords::erase_if_done(RequestId id) {
  const Found found = find(id);
  if (!found.entry->is_finished || found.entry->outstanding > 0) return;
  std::erase_if(found.queue->entries, [&](const Entry& entry) { return entry.id == id; });
  keys_.erase(id);
}

Duration KeyOrderRecords::quiet_left(TimePoint now, OrderKey key) const {
  const auto queue = queues_.find(key);
  return queue == queues_.end() ? Duration(0) : std::max(queue->second.quiet_until - now, Duration(0));
}

void KeyOrderRecords::forget_idle(TimePoint now) {
  std::erase_if(queues_,
                [&](const auto& one) { return one.second.entries.empty() && now >= one.second.quiet_until; });
}

}  // namespace pearchute
