#include "lab/measurements/slopes_series.h"

#include <algorithm>

#include "errors/error.h"

namespace pearchute::lab {

void SeriesSet::declare(const std::string& name, const std::string& unit, const std::string& driver,
                        const std::string& source) {
  MeasuredSeries series;
  series.name = name;
  series.unit = unit;
  series.driver = driver;
  series.source = source;
  series_.push_back(std::move(series));
}

void SeriesSet::add(const std::string& name, double size, double value) {
  find(name).points.push_back({size, value});
}

void SeriesSet::append_to_source(const std::string& name, const std::string& remark) {
  find(name).source += "; " + remark;
}

std::vector<MeasuredSeries> SeriesSet::take() {
  for (MeasuredSeries& series : series_) {
    std::ranges::sort(series.points, {}, &MeasuredPoint::size);
    if (series.points.size() >= 2) series.held_out_size = series.points[series.points.size() - 2].size;
  }
  return std::move(series_);
}

MeasuredSeries& SeriesSet::find(const std::string& name) {
  const auto found = std::ranges::find(series_, name, &MeasuredSeries::name);
  if (found == series_.end()) throw SystemError("the slope '" + name + "' is not declared");
  return *found;
}

double median_of(int count, const std::function<double()>& measure_window) {
  std::vector<double> results;
  results.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) results.push_back(measure_window());
  std::ranges::sort(results);
  return results[results.size() / 2];
}

}  // namespace pearchute::lab
