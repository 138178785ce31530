// The points of slopes as they are measured, before a shape is fitted to them.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "lab/capacity/slope.h"

namespace pearchute::lab {

struct MeasuredSeries {
  capacity::SlopeDescription description;
  std::string source;                        // how the points were measured, and what they leave out
  std::vector<capacity::SlopePoint> points;  // sorted by size
};

// The series of one group of slopes, in the order of their declaration.
class SeriesSet {
 public:
  void declare(const capacity::SlopeDescription& description, const std::string& source);
  // Adds a point to the series of that name; a negative value counts as 0. Throws SystemError for a name that
  // is not declared.
  void add(const std::string& name, double size, double value);
  // Throws SystemError for a name that is not declared.
  void append_to_source(const std::string& name, const std::string& remark);
  // Returns all series with sorted points, and leaves the set empty.
  std::vector<MeasuredSeries> take();

 private:
  MeasuredSeries& find(const std::string& name);
  std::vector<MeasuredSeries> series_;
};

// Fits a shape to a series without its second largest size, which the fit then predicts. That size is inside
// the range, so the fit still covers all of it, and large enough to reveal a wrong shape.
capacity::Slope fit_series(const MeasuredSeries& series);

// The median of `count` results of `measure_window`; for an even count the upper of the two middle results.
double median_of(int count, const std::function<double()>& measure_window);

}  // namespace pearchute::lab
