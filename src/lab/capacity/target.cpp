#include "lab/capacity/target.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>
#include <utility>

#include "ini/reader.h"

namespace pearchute::lab::capacity {

namespace {

constexpr std::string_view letter = "letter";
constexpr std::string_view assumptions = "assumptions";
constexpr std::string_view not_measured = "not_measured";

double value_in_unit(const TargetField& field, std::string_view text) {
  const std::size_t blank = text.find(' ');
  const std::string_view number = text.substr(0, blank);
  const std::string_view unit = blank == std::string_view::npos ? "" : text.substr(blank + 1);
  const std::string key(field.key);
  double value = 0;
  const auto [stop, error] = std::from_chars(number.data(), number.data() + number.size(), value);
  if (error != std::errc{} || stop != number.data() + number.size() || !std::isfinite(value))
    throw ini::Error("'" + key + "': expected a number and its unit, got '" + std::string(text) + "'");
  if (unit != field.unit)
    throw ini::Error("'" + key + "': expected the unit " + std::string(field.unit) + ", got '" +
                     std::string(unit) + "'");
  if (value < 0 || (value == 0 && !field.may_be_zero))
    throw ini::Error("'" + key + "': expected a value " + (field.may_be_zero ? "of at least 0" : "above 0") +
                     ", got '" + std::string(text) + "'");
  return value;
}

const TargetField& field_of(const std::string& section, const std::string& key) {
  const std::vector<TargetField>& fields = target_fields();
  const auto found = std::find_if(fields.begin(), fields.end(), [&](const TargetField& field) {
    return field.section == section && field.key == key;
  });
  if (found == fields.end()) throw ini::Error("unknown key '" + key + "' in [" + section + "]");
  return *found;
}

void check_consistent(const Target& target, const std::string& path) {
  if (target.zones < 2) throw ini::Error("'zones' has to be at least 2", path);
  if (target.regions < 2) throw ini::Error("'regions' has to be at least 2", path);
  if (target.zones_of_larger_region >= target.zones)
    throw ini::Error("'zones_of_larger_region' has to be less than 'zones'", path);
  if (target.engines_connected > 100) throw ini::Error("'engines_connected' has to be at most 100 %", path);
  if (target.peak_to_mean < 1) throw ini::Error("'peak_to_mean' has to be at least 1 times", path);
  if (target.several_managers < 2) throw ini::Error("'several_managers' has to be at least 2", path);
}

}  // namespace

const std::vector<TargetField>& target_fields() {
  using T = Target;
  static const std::vector<TargetField> fields = {
      {letter, "managers", "managers", "workload managers", &T::managers},
      {letter, "engines", "engines", "databases before which they stand", &T::engines},
      {letter, "client_connections", "connections", "of clients, to all managers", &T::client_connections},
      {letter, "statements", "statements/s", "to all managers, at the peak", &T::statements},
      {letter, "regions", "regions", "", &T::regions},
      {letter, "zones", "zones", "in all regions together, of equal size", &T::zones},
      {letter, "primary_changes", "changes/day", "", &T::primary_changes, true},
      {letter, "primary_change_within", "s", "until each is over", &T::primary_change_within},
      {letter, "configuration_changes", "changes/day", "", &T::configuration_changes, true},
      {letter, "configuration_in_force_within", "s", "everywhere", &T::configuration_in_force_within},
      {letter, "control_processor", "% of a core", "for control, each manager", &T::control_processor},
      {letter, "control_memory", "MB", "for control, each manager", &T::control_memory},
      {letter, "control_bytes", "KB/s",
       "for control, each manager; held against what is sent, and against both ways together",
       &T::control_bytes},
      {letter, "control_machines", "machines", "set aside for control", &T::control_machines},
      {letter, "machine_failures", "machines/day", "on an ordinary day", &T::machine_failures, true},
      {letter, "machine_restarts", "machines/day", "restarted or replaced", &T::machine_restarts, true},
      {assumptions, "several_managers", "managers/machine",
       "number of agents, and how many managers share one agent's cost; one on a machine is worked out too",
       &T::several_managers},
      {assumptions, "cores_per_machine", "cores", "whether several managers and an agent fit on a machine",
       &T::cores_per_machine},
      {assumptions, "zones_of_larger_region", "zones", "what is left when the larger region is lost",
       &T::zones_of_larger_region},
      {assumptions, "peak_to_mean", "times", "statements a second on an ordinary day", &T::peak_to_mean},
      {assumptions, "statement_time", "ms",
       "open statements of a manager, with their memory and processor time", &T::statement_time},
      {assumptions, "statement_size", "bytes", "data bytes a second only", &T::statement_size},
      {assumptions, "answer_size", "bytes", "data bytes a second only", &T::answer_size},
      {assumptions, "engines_connected", "% of the list",
       "memory and signs of life by engines connected, connections at an engine", &T::engines_connected},
      {assumptions, "list_events_per_change", "events",
       "events of the list for a machine that goes and returns", &T::list_events_per_change},
      {assumptions, "fault_window", "s", "rates during a fault: its messages are averaged over this time",
       &T::fault_window},
      {assumptions, "agent_status_calls", "calls/s", "a manager's processor time for its agent's looks",
       &T::agent_status_calls},
      {assumptions, "sign_of_life_period", "ms", "the most signs of life that an engine is asked for",
       &T::sign_of_life_period},
      {assumptions, "region_round_trip", "ms", "time until a change of configuration is in force",
       &T::region_round_trip},
      {assumptions, "exchanges_between_regions", "exchanges", "the same: so many round trips are added",
       &T::exchanges_between_regions},
      {assumptions, "manager_processor", "cores", "statements that a manager bears: it has one thread",
       &T::manager_processor},
      {assumptions, "manager_descriptors", "descriptors", "client connections that a manager bears",
       &T::manager_descriptors},
      {assumptions, "manager_memory", "MB", "client connections and open statements that a manager bears",
       &T::manager_memory},
      {assumptions, "engine_connections", "connections", "managers that an engine bears",
       &T::engine_connections},
  };
  return fields;
}

Target read_target(const std::string& path) {
  Target target;
  std::set<std::string_view> seen;
  ini::read(path, [&](const std::string& section, const std::string& key, const std::string& text) {
    if (section == not_measured) {
      if (text.empty()) throw ini::Error("'" + key + "': expected the reason why it is not measured");
      target.not_measured[key] = text;
      return;
    }
    if (section != letter && section != assumptions)
      throw ini::Error("unknown section [" + section +
                       "]; expected [letter], [assumptions] or [not_measured]");
    const TargetField& field = field_of(section, key);
    target.*field.value = value_in_unit(field, text);
    seen.insert(field.key);
  });
  for (const TargetField& field : target_fields())
    if (!seen.contains(field.key))
      throw ini::Error("'" + std::string(field.key) + "' is missing in [" + std::string(field.section) + "]",
                       path);
  check_consistent(target, path);
  return target;
}

}  // namespace pearchute::lab::capacity
