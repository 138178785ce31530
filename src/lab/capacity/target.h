// The target of the capacity page and its assumptions, read from an INI file. Each value is written with its
// unit, as in `control_bytes = 13 KB/s`; another unit is an error.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pearchute::lab::capacity {

struct Target {
  // [letter]: the requirements. Counts are those of the whole fleet.
  double managers = 0;
  double engines = 0;
  double client_connections = 0;
  double statements = 0;  // per second, at the peak
  double regions = 0;
  double zones = 0;
  double primary_changes = 0;                // per day
  double primary_change_within = 0;          // s
  double configuration_changes = 0;          // per day
  double configuration_in_force_within = 0;  // s
  double control_processor = 0;              // % of a core, per manager
  double control_memory = 0;                 // MB, per manager
  double control_bytes = 0;                  // KB/s, per manager
  double control_machines = 0;
  double machine_failures = 0;  // per day
  double machine_restarts = 0;  // per day

  // [assumptions]: values that are not required but on which results depend.
  double several_managers = 0;  // managers on a machine, in the variant with more than one
  double cores_per_machine = 0;
  double zones_of_larger_region = 0;
  double peak_to_mean = 0;       // ratio of statements per second
  double statement_time = 0;     // ms, mean
  double statement_size = 0;     // bytes
  double answer_size = 0;        // bytes
  double engines_connected = 0;  // % of the listed engines to which a manager has connections
  double list_events_per_change = 0;
  double fault_window = 0;               // s, over which the messages of a fault are averaged
  double agent_status_calls = 0;         // per second, from an agent to each of its managers
  double sign_of_life_period = 0;        // ms
  double region_round_trip = 0;          // ms
  double exchanges_between_regions = 0;  // successive round trips until a new configuration is everywhere
  double manager_processor = 0;          // cores that one manager can use
  double manager_descriptors = 0;
  double manager_memory = 0;      // MB, control and data together
  double engine_connections = 0;  // maximum of one engine

  // [not_measured]: slopes that are left out, by name, with the reason.
  std::map<std::string, std::string> not_measured;
};

// One value of the file: its section, key and unit. `meaning` is printed on the page: what the value means or
// what depends on it.
struct TargetField {
  std::string_view section, key, unit, meaning;
  double Target::*value;
  bool may_be_zero = false;
};
const std::vector<TargetField>& target_fields();

// Reads the file. Throws SettingsError, with the file and the line or key, for a value that is missing,
// unknown, duplicate, not a number, not positive, in another unit, or in contradiction to another value.
Target read_target(const std::string& path);

}  // namespace pearchute::lab::capacity
