// The raw result of one slope's measurement: the points, before a line is fitted through them.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "lab/capacity/slope.h"

namespace pearchute::lab {

struct MeasuredSeries {
  capacity::SlopeDescription description;
  std::string source;                        // how it was measured, and what that leaves out
  std::vector<capacity::SlopePoint> points;  // by size
};

// The series of one group, in a fixed order. A point is added to the series of its name.
class SeriesSet {
 public:
  void declare(const capacity::SlopeDescription& description, const std::string& source);
  // Throws SystemError for a name that is not declared.
  void add(const std::string& name, double size, double value);
  void append_to_source(const std::string& name, const std::string& remark);
  std::vector<MeasuredSeries> take();

 private:
  MeasuredSeries& find(const std::string& name);
  std::vector<MeasuredSeries> series_;
};

// Fits a series without its second largest size, which the fit predicts: within the range, so that the fit
// keeps its full reach, and far enough up to tell a wrong shape.
capacity::Slope fit_series(const MeasuredSeries& series);

// The median of `count` results of `measure_window`; of an even number the upper one of the middle two.
double median_of(int count, const std::function<double()>& measure_window);

}  // namespace pearchute::lab
