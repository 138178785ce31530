#include "lab/capacity/slope_set.h"

#include <algorithm>

namespace pearchute::lab::capacity {

namespace {

const KnownSlope* find_known(std::string_view name) {
  const std::vector<KnownSlope>& known = known_slopes();
  const auto found =
      std::find_if(known.begin(), known.end(), [&](const KnownSlope& one) { return one.name == name; });
  return found == known.end() ? nullptr : &*found;
}

[[noreturn]] void throw_error(const std::string& name, const std::string& wrong) {
  throw SlopeError("[" + name + "] " + wrong, "", std::string(measure_again));
}

}  // namespace

Figure operator+(const Figure& one, const Figure& other) {
  Figure sum = one;
  sum.value = one.value && other.value ? std::optional<double>(*one.value + *other.value) : std::nullopt;
  sum.slopes.insert(other.slopes.begin(), other.slopes.end());
  sum.extrapolated = one.extrapolated || other.extrapolated;
  sum.simulated = one.simulated || other.simulated;
  sum.error = std::max(one.error, other.error);
  return sum;
}

Figure operator*(const Figure& figure, double factor) {
  Figure product = figure;
  if (product.value) *product.value *= factor;
  return product;
}

const std::vector<KnownSlope>& known_slopes() {
  constexpr bool optional = false;
  static const std::vector<KnownSlope> known = {
      {"manager.statement_cpu.by_engines", "us/statement"},
      {"manager.cpu_share.by_rate", "cores"},
      {"manager.statement_cpu.by_open", "us/statement"},
      {"manager.memory.by_idle_connections", "kB"},
      {"manager.memory.by_open_statements", "kB"},
      {"manager.memory.by_engines_known", "kB"},
      {"manager.memory.by_engines_connected", "kB"},
      {"manager.descriptors.by_connections", "descriptors"},
      {"manager.ready_time.by_engines", "ms"},
      {"manager.control_cpu_at_rest.by_engines", "us/s"},
      {"manager.control_bytes_at_rest.by_engines", "bytes/s"},
      {"manager.list_event_cpu.by_engines", "us/event"},
      {"manager.list_event_bytes.by_engines", "bytes/event"},
      {"manager.heartbeat_bytes.by_engines_connected", "bytes/s"},
      {"manager.status_call_cpu.by_engines", "us/call"},
      {"manager.handshake_cpu.by_engines", "us"},
      {"agent.bytes_sent.by_agents", "bytes/s"},
      {"agent.bytes_received.by_agents", "bytes/s"},
      {"agent.cpu.by_agents", "us/s"},
      {"agent.memory.by_agents", "kB"},
      {"agent.bytes_sent.by_instances", "bytes/s"},
      {"agent.cpu.by_instances", "us/s"},
      {"agent.memory.by_instances", "kB"},
      {"agent.disk_writes.by_instances", "writes/s"},
      {"channel.connections.by_managers", "connections"},
      {"channel.bytes.by_managers", "bytes/event"},
      {"engine.connections.by_managers", "connections"},
      {"engine.probes.by_managers", "probes/s"},
      {"operator.status_time.by_instances", "ms"},
      {"operator.rollout_time.by_instances", "s"},
      {"agent.levels.bytes_sent.by_agents", "bytes/s", optional},
      {"agent.levels.bytes_received.by_agents", "bytes/s", optional},
      {"agent.levels.cpu.by_agents", "us/s", optional},
      {"agent.configuration_spread.by_agents", "ms", optional},
      {"fleet.primary_change.by_managers", "ms", optional},
  };
  return known;
}

SlopeSet::SlopeSet(const std::vector<Slope>& slopes, const std::map<std::string, std::string>& not_measured) {
  for (const Slope& slope : slopes) {
    const std::string& name = slope.description.name;
    if (const KnownSlope* known = find_known(name); known && known->unit != slope.description.unit)
      throw_error(
          name, "has the unit '" + slope.description.unit + "'; expected '" + std::string(known->unit) + "'");
    if (not_measured.contains(name))
      throw_error(name, "is in the slopes file and also listed as not measured");
    if (!slopes_.emplace(name, slope).second) throw_error(name, "is defined twice");
  }
  for (const auto& [name, reason] : not_measured)
    if (!find_known(name)) throw_error(name, "is listed as not measured, but the model has no such slope");
  for (const KnownSlope& known : known_slopes()) {
    const std::string name(known.name);
    if (known.required && !has(name) && !not_measured.contains(name)) throw_error(name, "is missing");
  }
}

Figure SlopeSet::at(const std::string& name, double driver) const {
  const auto found = slopes_.find(name);
  if (found == slopes_.end()) return {std::nullopt, {name}, false, false, 0};
  const Slope& slope = found->second;
  const bool simulated = slope.source.find(simulated_source) != std::string::npos;
  return {slope.at(driver), {name}, !slope.covers(driver), simulated, slope.error};
}

Figure SlopeSet::growth(const std::string& name, double from, double to) const {
  Figure figure = at(name, to);
  if (!figure.value) return figure;
  const Slope& slope = slopes_.at(name);
  // A power function with a negative exponent has no value at 0.
  const double start = from > 0 || slope.shape != Shape::power ? slope.at(from) : 0;
  figure.value = std::max(0.0, *figure.value - start);
  return figure;
}

}  // namespace pearchute::lab::capacity
