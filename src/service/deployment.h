// Decodes the settings of a deployment, for the simulator's adapter and for the daemon. The input is a list
// of values with dotted names. The output is the ServiceDefinition for the decisions, the names of its types,
// tenants, zones and kinds, and the limits of connections to engines. An absent setting gets a default.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/types.h"
#include "named_values.h"

namespace pearchute::service {

// Returns the index of `name` in `names`, or -1 if it is not in the list.
int position(const std::vector<std::string>& names, std::string_view name);

// Returns the value for `text` among the named `choices`. Throws Malformed, which lists the choices, if it is
// none of them. `name` is the name of the setting or field.
template <class Value>
Value one_of(std::string_view name, std::string_view text,
             std::initializer_list<std::pair<std::string_view, Value>> choices) {
  for (const auto& [choice, value] : choices) {
    if (choice == text) return value;
  }
  std::string expected;
  for (const auto& [choice, value] : choices) expected.append(expected.empty() ? "" : ", ").append(choice);
  throw Malformed("'" + std::string(name) + "': expected one of " + expected + ", got '" + std::string(text) +
                  "'");
}

// The limits of connections to engines.
struct EngineConnectionLimits {
  Duration connect_timeout{};
  Duration idle_timeout{};          // engines close a connection that is idle this long; 0: never
  int attempts_per_connection = 1;  // concurrent attempts on one connection
  // The cost of probing whether a connection is alive, relative to the value of a mean request; 0: free.
  double liveness_probe_cost = 0;
};

// The decoded settings of a deployment.
struct Deployment {
  ServiceDefinition service;
  EngineConnectionLimits links;
  std::vector<std::string> types, tenants, zones, kinds;  // names, by their ids

  // Return the id of a name; its value is -1 if the name is unknown.
  RequestTypeId type(std::string_view name) const { return RequestTypeId{position(types, name)}; }
  TenantId tenant(std::string_view name) const { return TenantId{position(tenants, name)}; }
  ZoneId zone(std::string_view name) const { return ZoneId{position(zones, name)}; }
  MachineKindId kind(std::string_view name) const { return MachineKindId{position(kinds, name)}; }
};

// Throws Malformed if a value is missing or unusable.
Deployment decode(const NamedValues& values);

}  // namespace pearchute::service
