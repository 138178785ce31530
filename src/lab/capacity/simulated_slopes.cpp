#include "lab/capacity/simulated_slopes.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace pearchute::lab::capacity {

namespace {

using nlohmann::json;

constexpr const char* levels_key = "after";
constexpr const char* configuration_prefix = "calm_";

double number_in(const json& figures, const char* key) {
  const auto found = figures.find(key);
  if (found == figures.end() || !found->is_number())
    throw SlopeError("the measurement lacks the number '" + std::string(key) + "'", "",
                     std::string(measure_again));
  return found->get<double>();
}

Slope slope_of(SlopeDescription description, const std::vector<json>& sizes, const char* key,
               const std::string& source) {
  std::vector<SlopePoint> points;
  for (const json& figures : sizes) points.push_back({number_in(figures, "agents"), number_in(figures, key)});
  std::sort(points.begin(), points.end(),
            [](const SlopePoint& one, const SlopePoint& other) { return one.driver < other.driver; });
  const std::size_t left_out = points.size() < 2 ? 0 : points.size() - 2;
  return fit_slope(std::move(description), std::move(points), left_out, source);
}

std::vector<Slope> slopes_of_levels(const std::vector<json>& sizes) {
  const std::string source =
      "measure levels, simulated: the busiest agent, seven zones in two regions but at 5";
  return {slope_of({"agent.levels.bytes_sent.by_agents", "agent", "bytes sent by the busiest agent",
                    "bytes/s", "agents of the fleet", "agents"},
                   sizes, "bytes_per_s_max", source),
          slope_of({"agent.levels.bytes_received.by_agents", "agent", "bytes received by the busiest agent",
                    "bytes/s", "agents of the fleet", "agents"},
                   sizes, "bytes_received_per_s_max", source)};
}

std::vector<Slope> slopes_of_configuration(const std::vector<json>& sizes) {
  return {slope_of({"agent.configuration_spread.by_agents", "agent", "time until a change is in force", "ms",
                    "agents of the fleet", "agents"},
                   sizes, "in_force_ms_max",
                   "measure configuration, simulated: the slowest change in a calm")};
}

}  // namespace

std::vector<Slope> simulated_slopes(const json& measured) {
  if (!measured.is_object()) throw SlopeError("expected a JSON object with the figures of a measurement");
  std::vector<json> sizes;
  const auto levels = measured.find(levels_key);
  if (levels != measured.end() && levels->is_array()) {
    sizes.assign(levels->begin(), levels->end());
    return slopes_of_levels(sizes);
  }
  for (const auto& [key, figures] : measured.items())
    if (key.starts_with(configuration_prefix)) sizes.push_back(figures);
  if (sizes.empty())
    throw SlopeError(
        "expected the output of measure levels (key 'after') or of measure configuration (keys "
        "'calm_NUMBER')");
  return slopes_of_configuration(sizes);
}

}  // namespace pearchute::lab::capacity
