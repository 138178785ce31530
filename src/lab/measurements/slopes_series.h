// The raw result of one slope's measurement: the points, before a line is fitted through them.
#pragma once

#include <functional>
#include <string>
#include <vector>

namespace pearchute::lab {

struct MeasuredPoint {
  double size = 0;   // of the driver
  double value = 0;  // in the slope's unit
};

struct MeasuredSeries {
  std::string name, unit, driver;
  std::string source;  // how it was measured, and what that leaves out
  std::vector<MeasuredPoint> points;
  double held_out_size = 0;  // the point of this size is left out of the fit and predicted by it
};

// The series of one group, in a fixed order. A point is added to the series of its name.
class SeriesSet {
 public:
  void declare(const std::string& name, const std::string& unit, const std::string& driver,
               const std::string& source);
  // Throws SystemError for a name that is not declared.
  void add(const std::string& name, double size, double value);
  void append_to_source(const std::string& name, const std::string& remark);
  // The series with the second largest size of each held out.
  std::vector<MeasuredSeries> take();

 private:
  MeasuredSeries& find(const std::string& name);
  std::vector<MeasuredSeries> series_;
};

// The median of `count` results of `measure_window`; of an even number the upper one of the middle two.
double median_of(int count, const std::function<double()>& measure_window);

}  // namespace pearchute::lab
