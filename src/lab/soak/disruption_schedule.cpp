#include "lab/soak/disruption_schedule.h"

#include <algorithm>
#include <numeric>
#include <random>

namespace pearchute::lab {

using std::chrono::milliseconds;

std::vector<Disruption> schedule_disruptions(std::uint64_t seed, milliseconds duration) {
  std::knuth_b chance(static_cast<std::knuth_b::result_type>(seed));
  const auto between = [&](int min, int max) {
    return milliseconds(min + static_cast<int>(chance() % static_cast<unsigned>(max - min + 1)));
  };
  std::vector<Disruption> disruptions;
  std::vector<DisruptionKind> remaining;  // kinds that are not drawn yet since the last refill
  milliseconds at(300);
  while (at < duration) {
    if (remaining.empty()) {
      for (std::size_t i = 0; i < disruption_kinds; ++i) remaining.push_back(static_cast<DisruptionKind>(i));
      // Not std::shuffle: its order differs between standard libraries, and a seed must give one schedule.
      for (std::size_t i = remaining.size() - 1; i > 0; --i)
        std::swap(remaining[i], remaining[chance() % (i + 1)]);
    }
    disruptions.push_back({remaining.back(), at, between(300, 1400), chance()});
    remaining.pop_back();
    at += between(120, 560);
  }
  return disruptions;
}

}  // namespace pearchute::lab
