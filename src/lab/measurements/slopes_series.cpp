#include "lab/measurements/slopes_series.h"

#include <algorithm>

#include "errors/error.h"

namespace pearchute::lab {

void SeriesSet::declare(const capacity::SlopeDescription& description, const std::string& source) {
  series_.push_back({description, source, {}});
}

void SeriesSet::add(const std::string& name, double size, double value) {
  // The difference of two readings may be slightly negative where the measured quantity is close to 0.
  find(name).points.push_back({size, std::max(0.0, value)});
}

void SeriesSet::append_to_source(const std::string& name, const std::string& remark) {
  find(name).source += "; " + remark;
}

std::vector<MeasuredSeries> SeriesSet::take() {
  for (MeasuredSeries& series : series_) std::ranges::sort(series.points, {}, &capacity::SlopePoint::driver);
  return std::move(series_);
}

MeasuredSeries& SeriesSet::find(const std::string& name) {
  const auto found = std::ranges::find(series_, name, [](const auto& one) { return one.description.name; });
  if (found == series_.end()) throw SystemError("the slope '" + name + "' is not declared in its group");
  return *found;
}

capacity::Slope fit_series(const MeasuredSeries& series) {
  const std::size_t left_out = series.points.size() < 2 ? 0 : series.points.size() - 2;
  return capacity::fit_slope(series.description, series.points, left_out, series.source);
}

double median_of(int count, const std::function<double()>& measure_window) {
  std::vector<double> results;
  results.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) results.push_back(measure_window());
  std::ranges::sort(results);
  return results[results.size() / 2];
}

}  // namespace pearchute::lab
