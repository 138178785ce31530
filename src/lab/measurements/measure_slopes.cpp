// What each role costs against what drives it.
#include <iostream>
#include <nlohmann/json.hpp>

#include "lab/measurements/measurements.h"
#include "lab/measurements/slopes_manager_control.h"

namespace pearchute::lab {

int measure_slopes(const Bench& bench) {
  nlohmann::json told;
  for (const MeasuredSeries& series : measure_manager_control_slopes(bench)) {
    nlohmann::json points = nlohmann::json::array();
    for (const MeasuredPoint& point : series.points) points.push_back({point.size, point.value});
    told[series.name] = {{"unit", series.unit}, {"points", points}, {"source", series.source}};
  }
  std::cout << told.dump() << std::endl;
  return 0;
}

}  // namespace pearchute::lab
