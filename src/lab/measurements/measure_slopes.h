// The groups of slopes that `measure slopes` runs, and how it prints and stores a slope.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/capacity/slope.h"
#include "lab/measurements/measurements.h"

namespace pearchute::lab {

struct SlopeGroup {
  std::string name;  // the value of --group
  std::function<std::vector<capacity::Slope>(const MeasurementOptions&)> measure;
};
const std::vector<SlopeGroup>& slope_groups();

// The slope's fields without its name, which is its key in the printed object.
nlohmann::json slope_as_json(const capacity::Slope& slope);

// Adds the measured slopes to a file of slopes, or creates it. A slope of the file is replaced by a measured
// one of the same name, and the others stay. Throws SlopeError for a file that can't be read.
void write_measured_slopes(const std::string& path, const std::vector<capacity::Slope>& measured);

}  // namespace pearchute::lab
