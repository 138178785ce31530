#include "lab/soak/trouble_schedule.h"

#include <algorithm>
#include <numeric>
#include <random>

namespace pearchute::lab {

using std::chrono::milliseconds;

std::vector<Trouble> schedule_troubles(std::uint64_t seed, milliseconds run) {
  std::knuth_b chance(static_cast<std::knuth_b::result_type>(seed));
  const auto between = [&](int least, int most) {
    return milliseconds(least + static_cast<int>(chance() % static_cast<unsigned>(most - least + 1)));
  };
  std::vector<Trouble> troubles;
  std::vector<TroubleKind> deck;
  milliseconds at(300);
  while (at < run) {
    if (deck.empty()) {
      for (std::size_t i = 0; i < trouble_kinds; ++i) deck.push_back(static_cast<TroubleKind>(i));
      // Not std::shuffle, whose order differs from one library to another.
      for (std::size_t i = deck.size() - 1; i > 0; --i) std::swap(deck[i], deck[chance() % (i + 1)]);
    }
    troubles.push_back({deck.back(), at, between(300, 1400), chance()});
    deck.pop_back();
    at += between(120, 560);
  }
  return troubles;
}

}  // namespace pearchute::lab
