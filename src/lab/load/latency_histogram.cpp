#include "lab/load/latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace pearchute::lab {

namespace {

// 1024 bins over the nine decades from 1 us to 1000 s; each bin is 2% wide.
constexpr double min_us = 1;
constexpr double max_us = 1e9;
constexpr unsigned bin_count = 1024;

}  // namespace

LatencyHistogram::LatencyHistogram() : bins_(std::tuple{LogAxis(bin_count, min_us, max_us)}) {}

void LatencyHistogram::add(std::chrono::microseconds latency) {
  bins_(std::max(static_cast<double>(latency.count()), min_us));
  ++count_;
  max_ = std::max(max_, latency);
}

void LatencyHistogram::merge(const LatencyHistogram& other) {
  // The histogram's own += makes sanitized builds warn of uninitialized values within Boost.
  for (int bin = -1; bin <= static_cast<int>(bin_count); ++bin) bins_.at(bin) += other.bins_.at(bin);
  count_ += other.count_;
  max_ = std::max(max_, other.max_);
}

double LatencyHistogram::quantile_ms(double quantile) const {
  if (count_ == 0) return 0;
  const auto rank = static_cast<std::uint64_t>(std::ceil(quantile * static_cast<double>(count_)));
  std::uint64_t seen = 0;
  for (int bin = 0; bin < static_cast<int>(bin_count); ++bin) {
    seen += bins_.at(bin);
    if (seen >= rank) return std::min(bins_.axis().bin(bin).upper() / 1000, max_ms());
  }
  return max_ms();
}

}  // namespace pearchute::lab
