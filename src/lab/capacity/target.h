// The target that the capacity page is worked out for, with the assumptions beside it, in a strict INI file:
// each value is written with its unit, `control_bytes = 13 KB/s`, and refused in another one.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pearchute::lab::capacity {

struct Target {
  // [letter]: what is asked for.
  double managers = 0;
  double engines = 0;
  double client_connections = 0;
  double statements = 0;  // a second, at the peak
  double regions = 0;
  double zones = 0;
  double primary_changes = 0;                // a day
  double primary_change_within = 0;          // s
  double configuration_changes = 0;          // a day
  double configuration_in_force_within = 0;  // s
  double control_processor = 0;              // % of a core, for each manager
  double control_memory = 0;                 // MB, for each manager
  double control_bytes = 0;                  // KB/s, for each manager
  double control_machines = 0;
  double machine_failures = 0;  // a day
  double machine_restarts = 0;  // a day

  // [assumptions]: what is not asked for, and results hang on.
  double several_managers = 0;  // on a machine, where it is not one
  double cores_per_machine = 0;
  double zones_of_larger_region = 0;
  double peak_to_mean = 0;       // of statements
  double statement_time = 0;     // ms, mean
  double statement_size = 0;     // bytes
  double answer_size = 0;        // bytes
  double engines_connected = 0;  // % of the list that a manager holds connections to
  double list_events_per_change = 0;
  double fault_window = 0;               // s over which a fault's messages are averaged
  double agent_status_calls = 0;         // a second, by an agent to each of its managers
  double sign_of_life_period = 0;        // ms
  double region_round_trip = 0;          // ms
  double exchanges_between_regions = 0;  // one after another, until a change of configuration is everywhere
  double manager_processor = 0;          // cores that one manager can use
  double manager_descriptors = 0;
  double manager_memory = 0;      // MB, control and data together
  double engine_connections = 0;  // that one engine takes

  // [not_measured]: slopes that the page does without, with the reason.
  std::map<std::string, std::string> not_measured;
};

// One value of the file: where it stands, its unit, and for the page what it means or what hangs on it.
struct TargetField {
  std::string_view section, key, unit, meaning;
  double Target::*value;
  bool may_be_zero = false;
};
const std::vector<TargetField>& target_fields();

// Throws SettingsError with the file, the line or the key, for what is missing, unknown, twice there, no
// number, not positive, of another unit, or in contradiction to another value.
Target read_target(const std::string& path);

}  // namespace pearchute::lab::capacity
