// Measures how the cost of each role grows with its driver: runs the groups of slopes one after another, fits
// each slope with one size left out, and prints one JSON object; writes a file of slopes where one is named.
#include "lab/measurements/measure_slopes.h"

#include <algorithm>
#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>

#include "errors/error.h"
#include "lab/capacity/slopes_file.h"
#include "lab/measurements/slopes_agent.h"
#include "lab/measurements/slopes_channel_engine.h"
#include "lab/measurements/slopes_manager_control.h"
#include "lab/measurements/slopes_manager_data.h"
#include "lab/measurements/slopes_operator.h"

namespace pearchute::lab {

using capacity::Slope;

namespace {

std::vector<Slope> fit_all(const std::vector<MeasuredSeries>& measured) {
  std::vector<Slope> slopes;
  slopes.reserve(measured.size());
  for (const MeasuredSeries& series : measured) slopes.push_back(fit_series(series));
  return slopes;
}

}  // namespace

const std::vector<SlopeGroup>& slope_groups() {
  static const std::vector<SlopeGroup> groups = {
      {"manager-control",
       [](const MeasurementOptions& options) { return fit_all(measure_manager_control_slopes(options)); }},
      {"manager-data", measure_manager_data_slopes},
      {"agent", [](const MeasurementOptions& options) { return fit_all(measure_agent_slopes(options)); }},
      {"channel-engine",
       [](const MeasurementOptions& options) { return fit_all(measure_channel_engine_slopes(options)); }},
      {"operator",
       [](const MeasurementOptions& options) { return fit_all(measure_operator_slopes(options)); }},
  };
  return groups;
}

nlohmann::json slope_as_json(const Slope& slope) {
  nlohmann::json points = nlohmann::json::array();
  for (const capacity::SlopePoint& point : slope.points) points.push_back({point.driver, point.value});
  return {{"unit", slope.description.unit},
          {"driver", slope.description.driver},
          {"shape", capacity::shape_name(slope.shape)},
          {"a", slope.a},
          {"b", slope.b},
          {"c", slope.c},
          {"points", points},
          {"left_out", {slope.left_out.driver, slope.left_out.value}},
          {"predicted", slope.predicted},
          {"error", slope.error},
          {"source", slope.source}};
}

void write_measured_slopes(const std::string& path, const std::vector<Slope>& measured) {
  std::vector<Slope> kept;
  if (std::filesystem::exists(path)) kept = capacity::read_slopes(path);
  capacity::write_slopes(path, capacity::merge_slopes(std::move(kept), measured));
}

int measure_slopes(const MeasurementOptions& options) {
  std::vector<Slope> measured;
  for (const SlopeGroup& group : slope_groups()) {
    if (!options.group.empty() && options.group != group.name) continue;
    const std::vector<Slope> of_group = group.measure(options);
    measured.insert(measured.end(), of_group.begin(), of_group.end());
  }
  if (measured.empty()) {
    std::string known;
    for (const SlopeGroup& group : slope_groups()) known += (known.empty() ? "" : ", ") + group.name;
    throw UsageError("unknown group of slopes '" + options.group + "', expected one of " + known);
  }
  if (!options.out.empty()) write_measured_slopes(options.out, measured);
  nlohmann::json report;
  for (const Slope& slope : measured) report[slope.description.name] = slope_as_json(slope);
  std::cout << report.dump() << std::endl;
  return 0;
}

}  // namespace pearchute::lab
