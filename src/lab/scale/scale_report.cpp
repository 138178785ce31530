#include "lab/scale/scale_report.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <nlohmann/json.hpp>

#include "errors/error.h"

namespace pearchute::lab {

using nlohmann::json;

namespace {

json in_ms(const std::optional<std::chrono::milliseconds>& time) {
  return time ? json(time->count()) : json();
}

std::map<std::string, double> predictable_figures(const ScaleResult& result) {
  return {{"control_bytes_per_s_mean", result.control_bytes_per_s_mean},
          {"control_bytes_per_s_max", result.control_bytes_per_s_max},
          {"control_cpu_share_max", result.control_cpu_share_max},
          {"control_memory_mb_max", result.control_memory_mb_max}};
}

// The factor by which each missed target is missed; null if there is no measured value.
json missed_targets(const ScaleResult& result, const ScaleTarget& target) {
  json missed = json::object();
  const auto compare = [&](const char* name, double measured, double limit) {
    if (measured > limit) missed[name] = measured / limit;
  };
  compare("control_bytes_per_s_max", result.control_bytes_per_s_max, target.control_bytes_per_s);
  compare("control_cpu_share_max", result.control_cpu_share_max, target.control_cpu_share);
  compare("control_memory_mb_max", result.control_memory_mb_max, target.control_memory_mb);
  const auto compare_time = [&](const char* name, const std::optional<std::chrono::milliseconds>& measured,
                                std::chrono::milliseconds limit) {
    if (!measured) missed[name] = nullptr;
    else compare(name, static_cast<double>(measured->count()), static_cast<double>(limit.count()));
  };
  compare_time("config_in_force_ms_max", result.config_in_force, target.config_in_force);
  compare_time("primary_change_ms_max", result.primary_change, target.primary_change);
  return missed;
}

}  // namespace

double predicted_error(const std::string& file, const ScaleResult& result) {
  std::ifstream in(file);
  if (!in) throw SettingsError("can't be read", file);
  const json predicted = json::parse(in, nullptr, false);
  if (!predicted.is_object()) throw SettingsError("expected a JSON object", file);
  std::optional<double> worst;
  for (const auto& [name, measured] : predictable_figures(result)) {
    if (!predicted.contains(name)) continue;
    const json& value = predicted.at(name);
    if (!value.is_number() || value.get<double>() <= 0)
      throw SettingsError("expected a positive number for '" + name + "'", file);
    const double error = std::abs(value.get<double>() - measured) / std::max(measured, 1e-9);
    worst = std::max(worst.value_or(0), error);
  }
  if (!worst) throw SettingsError("has no figure that a scale run measures", file);
  return *worst;
}

json to_json(const ScaleResult& result, const ScaleTarget& target) {
  json values = {{"managers", result.managers},
                 {"engines", result.engines},
                 {"agents", result.agents},
                 {"real_managers", result.real_managers},
                 {"real_agents", result.real_agents},
                 {"processes", result.processes},
                 {"hollow_processes", result.hollow_processes},
                 {"memory_share", result.memory_share},
                 {"control_bytes_per_s_max", result.control_bytes_per_s_max},
                 {"control_bytes_per_s_mean", result.control_bytes_per_s_mean},
                 {"control_cpu_share_max", result.control_cpu_share_max},
                 {"control_memory_mb_max", result.control_memory_mb_max},
                 {"config_in_force_ms_max", in_ms(result.config_in_force)},
                 {"primary_change_ms_max", in_ms(result.primary_change)},
                 {"primary_home_share", result.primary_home_share},
                 {"all_fresh_at_start_ms", in_ms(result.all_fresh_at_start)},
                 {"statements", result.sent},
                 {"done", result.done},
                 {"lost", result.lost},
                 {"doubled", result.doubled},
                 {"stale_as_fresh", result.stale_as_fresh},
                 {"missed", missed_targets(result, target)}};
  values["recovered_ms"] = json::object();
  for (const auto& [fault, time] : result.recovered) values["recovered_ms"][fault] = in_ms(time);
  values["cold_over_limit"] = result.cold_over_limit ? json(*result.cold_over_limit) : json();
  values["cold_most_of_limit"] = result.cold_most_of_limit;
  values["predicted_error_max"] = result.predicted_error_max ? json(*result.predicted_error_max) : json();
  return values;
}

bool rules_hold(const ScaleResult& result) {
  return result.lost == 0 && result.doubled == 0 && result.stale_as_fresh == 0 &&
         result.cold_over_limit.value_or(0) == 0;
}

}  // namespace pearchute::lab
