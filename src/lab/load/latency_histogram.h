// Latencies in logarithmic bins (Boost.Histogram): quantiles to about 2%, at a cost and size that don't
// depend on how many are counted.
#pragma once

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <chrono>
#include <cstdint>
#include <tuple>
#include <vector>

namespace pearchute::lab {

class LatencyHistogram {
 public:
  LatencyHistogram();
  void add(std::chrono::microseconds latency);
  void merge(const LatencyHistogram& other);
  std::uint64_t count() const { return count_; }
  // In milliseconds, the upper edge of the bin that holds the quantile and never above max_ms(); 0 where
  // nothing was counted.
  double quantile_ms(double quantile) const;
  double max_ms() const { return std::chrono::duration<double, std::milli>(max_).count(); }

 private:
  using LogAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Bins =
      boost::histogram::histogram<std::tuple<LogAxis>, boost::histogram::dense_storage<std::uint64_t>>;

  Bins bins_;
  std::uint64_t count_ = 0;
  std::chrono::microseconds max_{};
};

}  // namespace pearchute::lab
