#include "core/execution_records.h"

namespace pearchute {

void ExecutionRecords::on_attempt_left(TimePoint now, RequestId id) {
  if (!first_sent_at_.emplace(id, now).second) return;
  in_order_.emplace_back(id, now);
  if (in_order_.size() <= max_records) return;
  const auto [oldest, sent_at] = in_order_.front();
  in_order_.pop_front();
  // The request may have been forgotten and recorded anew since.
  const auto at = first_sent_at_.find(oldest);
  if (at != first_sent_at_.end() && at->second == sent_at) first_sent_at_.erase(at);
}

void ExecutionRecords::on_not_executed(RequestId id) { first_sent_at_.erase(id); }

std::optional<TimePoint> ExecutionRecords::first_sent_at(RequestId id) const {
  const auto at = first_sent_at_.find(id);
  return at == first_sent_at_.end() ? std::nullopt : std::optional(at->second);
}

}  // namespace pearchute
