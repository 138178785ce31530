// The groups of slopes that `measure slopes` runs, and how a slope is told and kept.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/capacity/slope.h"
#include "lab/measurements/measurements.h"

namespace pearchute::lab {

struct SlopeGroup {
  std::string name;  // as --group takes it
  std::function<std::vector<capacity::Slope>(const Bench&)> measure;
};
const std::vector<SlopeGroup>& slope_groups();

nlohmann::json slope_as_json(const capacity::Slope& slope);

// Writes the slopes into a file of slopes; those of the file that were not measured now stay.
void write_measured_slopes(const std::string& path, const std::vector<capacity::Slope>& measured);

}  // namespace pearchute::lab
