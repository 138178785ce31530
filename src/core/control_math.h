// Small things that the files of the module share.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>

#include "core/state.h"
#include "core/types.h"

namespace pearchute {

inline constexpr double infinite = std::numeric_limits<double>::infinity();

inline double in_ms(Duration span) { return static_cast<double>(span.count()) / 1000; }
inline Duration from_ms(double ms) {
  return Duration(static_cast<Duration::rep>(std::clamp(ms, 0.0, 4e6) * 1000));
}

inline void take_in(double sample, Mean& mean) {
  mean.count = std::min(mean.count + 1, 1000.0);  // forgets, but is steady against any one job
  mean.value += (sample - mean.value) / mean.count;
}

// Same at every manager, so that they agree on a data set's home engines without a word between them.
inline std::uint64_t shared_hash(DataSetId data_set, EngineId engine) {
  std::uint64_t x = static_cast<std::uint64_t>(data_set.value) * 0x9E3779B97F4A7C15ULL + engine.value;
  x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9ULL;
  x = (x ^ (x >> 27)) * 0x94D049BB133111EBULL;
  return x ^ (x >> 31);
}

}  // namespace pearchute
