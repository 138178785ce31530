#include "fleet/writer_clock.h"

#include <algorithm>

namespace pearchute::fleet {

void WriterClock::claim(TimePoint now, std::uint64_t incarnation, const std::string& teller, bool is_writer,
                        Duration offset) {
  std::erase_if(claims_, [&](const Claim& one) { return now - one.made > claim_lifetime; });
  // What nobody has spoken of for so long does not stand against a writer that has lost its disk.
  if (incarnation < incarnation_ && !claims_.empty()) return;
  if (incarnation != incarnation_) {
    incarnation_ = incarnation;
    claims_.clear();
  }
  const auto same = std::ranges::find(claims_, teller, &Claim::teller);
  const Claim claim{teller, is_writer, offset, now};
  if (same != claims_.end()) {
    if (offset >= same->at(now)) *same = claim;
    return;
  }
  if (claims_.size() < max_claims) {
    claims_.push_back(claim);
    return;
  }
  // The writer's own claim always has a place.
  const auto least = std::ranges::min_element(
      claims_, {}, [&](const Claim& one) { return std::pair(one.is_writer, one.at(now)); });
  if (is_writer || offset > least->at(now)) *least = claim;
}

std::optional<Duration> WriterClock::offset(TimePoint now, std::uint64_t incarnation) const {
  if (incarnation != incarnation_) return std::nullopt;
  std::optional<Duration> by_writer, greatest, second;
  for (const Claim& claim : claims_) {
    if (now - claim.made > claim_lifetime) continue;
    const Duration value = claim.at(now);
    if (claim.is_writer) {
      by_writer = value;
    } else if (!greatest || value > *greatest) {
      second = greatest;
      greatest = value;
    } else if (!second || value > *second) {
      second = value;
    }
  }
  if (by_writer && second) return std::max(*by_writer, *second);
  return by_writer ? by_writer : second;
}

}  // namespace pearchute::fleet
