#include "fleet/writer_clock.h"

#include <algorithm>

namespace pearchute::fleet {

void WriterClock::add_bound(TimePoint now, std::uint64_t incarnation, const std::string& reporter,
                            bool is_writer, Duration offset) {
  std::erase_if(bounds_, [&](const Bound& bound) { return now - bound.added_at > bound_lifetime; });
  // Once all bounds of a later incarnation have expired, an earlier one is accepted again: it may come from a
  // writer that has lost its disk.
  if (incarnation < incarnation_ && !bounds_.empty()) return;
  if (incarnation != incarnation_) {
    incarnation_ = incarnation;
    bounds_.clear();
  }
  const Bound added{reporter, is_writer, offset, now};
  const auto present = std::ranges::find(bounds_, reporter, &Bound::reporter);
  if (present != bounds_.end()) {
    if (offset >= present->at(now)) *present = added;
    return;
  }
  if (bounds_.size() < max_bounds) {
    bounds_.push_back(added);
    return;
  }
  // The writer's own bound is always kept.
  const auto least = std::ranges::min_element(
      bounds_, {}, [&](const Bound& bound) { return std::pair(bound.is_writer, bound.at(now)); });
  if (is_writer || offset > least->at(now)) *least = added;
}

std::optional<Duration> WriterClock::offset(TimePoint now, std::uint64_t incarnation) const {
  if (incarnation != incarnation_) return std::nullopt;
  std::optional<Duration> by_writer, greatest, second;
  for (const Bound& bound : bounds_) {
    if (now - bound.added_at > bound_lifetime) continue;
    const Duration offset = bound.at(now);
    if (bound.is_writer) {
      by_writer = offset;
    } else if (!greatest || offset > *greatest) {
      second = greatest;
      greatest = offset;
    } else if (!second || offset > *second) {
      second = offset;
    }
  }
  if (by_writer && second) return std::max(*by_writer, *second);
  return by_writer ? by_writer : second;
}

}  // namespace pearchute::fleet
