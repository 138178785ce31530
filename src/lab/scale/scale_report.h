// The result of a scale run, its JSON object, and the checks for broken rules and missed targets.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace pearchute::lab {

// The users' limits for the control traffic, CPU time and memory of one manager, and for the duration of
// changes.
struct ScaleTarget {
  double control_bytes_per_s = 13'000, control_cpu_share = 0.013, control_memory_mb = 256;
  std::chrono::milliseconds config_in_force{3000}, primary_change{12'000};
};

struct ScaleResult {
  int managers = 0, engines = 0;
  std::size_t agents = 0, processes = 0, hollow_processes = 0;
  int real_managers = 0;
  std::size_t real_agents = 0;
  double control_bytes_per_s_max = 0, control_bytes_per_s_mean = 0;
  double control_cpu_share_max = 0, control_memory_mb_max = 0;
  std::optional<std::chrono::milliseconds> config_in_force, primary_change, all_fresh_at_start;
  // Share of the group's statements that its home engine had before the failure.
  double primary_home_share = 0;
  // By fault; nothing if some gossip was still not fresh after 60 s.
  std::map<std::string, std::optional<std::chrono::milliseconds>> recovered;
  std::uint64_t sent = 0, done = 0, lost = 0, doubled = 0, stale_as_fresh = 0;
  std::optional<std::uint64_t> cold_over_limit;  // windows; nothing if no engine was in slow start
  double cold_most_of_limit = 0;
  std::optional<double> predicted_error_max;
  double memory_share = 0;
};

// Returns the largest relative error of the predictions in `file`, a JSON object with some of
// control_bytes_per_s_mean, control_bytes_per_s_max, control_cpu_share_max and control_memory_mb_max. Throws
// SettingsError if it has none of them or a value is not a positive number.
double predicted_error(const std::string& file, const ScaleResult& result);

nlohmann::json to_json(const ScaleResult& result, const ScaleTarget& target = {});
// Whether no rule was broken; missed targets don't count.
bool rules_hold(const ScaleResult& result);

}  // namespace pearchute::lab
