// Latencies in logarithmic bins (Boost.Histogram). Quantiles are accurate to about 2%; cost and size don't
// depend on the number of latencies.
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
  // The upper edge in milliseconds of the bin that holds the quantile, at most max_ms(); 0 if it is empty.
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
