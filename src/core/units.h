// Conversions, running means and hashes that several decisions share. No I/O.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>

#include "core/types.h"

namespace pearchute {

inline constexpr double infinite = std::numeric_limits<double>::infinity();
inline constexpr double microseconds_per_ms = 1000;
// The upper bound of durations that are computed from learned values; prevents overflow of time points.
inline constexpr double max_duration_ms = 4e6;

inline double to_ms(Duration duration) { return static_cast<double>(duration.count()) / microseconds_per_ms; }

// The duration, clamped to 0 .. max_duration_ms.
inline Duration from_ms(double ms) {
  return Duration(static_cast<Duration::rep>(std::clamp(ms, 0.0, max_duration_ms) * microseconds_per_ms));
}

// The mean of all samples. Beyond `sample_limit` samples it is an exponential moving average, in which each
// new sample has the weight 1/sample_limit.
class RunningMean {
 public:
  void add(double sample) {
    count_ = std::min(count_ + 1, sample_limit);
    value_ += (sample - value_) / count_;
  }
  double value() const { return value_; }

 private:
  static constexpr double sample_limit = 1000;
  double value_ = 0;
  double count_ = 0;
};

// The hash for rendezvous hashing. It is identical at all managers, so they agree without exchanging
// messages.
inline std::uint64_t rendezvous_hash(std::int64_t key, EngineId engine) {
  std::uint64_t x = static_cast<std::uint64_t>(key) * 0x9E3779B97F4A7C15ULL + engine.value;
  x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9ULL;
  x = (x ^ (x >> 27)) * 0x94D049BB133111EBULL;
  return x ^ (x >> 31);
}

inline std::uint64_t rendezvous_hash(DataSetId data_set, EngineId engine) {
  return rendezvous_hash(data_set.value, engine);
}

}  // namespace pearchute
