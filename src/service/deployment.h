// The one decoder of a deployment's settings, for the simulator's adapter and for the daemon: dotted names
// in, the service as the module is given it, the names behind its positions, and the limits of the links out.
// It decides nothing and fills in nothing that was not told, beyond what absent means.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/types.h"
#include "named_values.h"

namespace pearchute::service {

int position(const std::vector<std::string>& names, std::string_view name);  // -1 where it is not there

template <class Value>
Value one_of(std::string_view name, std::string_view word,
             std::initializer_list<std::pair<std::string_view, Value>> words) {
  for (const auto& [known, value] : words) {
    if (known == word) return value;
  }
  throw Malformed("'" + std::string(name) + "' is '" + std::string(word) + "', which is not known");
}

// What holds for connections to engines.
struct EngineConnectionLimits {
  Duration connect_timeout{};
  Duration idle_timeout{};          // engines close what was idle for so long; 0: never
  int attempts_per_connection = 1;  // on one connection at once
  double liveness_probe_cost = 0;   // of asking a connection for a sign of life, in jobs' worth; 0: free
};

struct Deployment {
  ServiceDefinition service;
  EngineConnectionLimits links;
  std::vector<std::string> types, tenants, zones, kinds;

  RequestTypeId type(std::string_view name) const { return RequestTypeId{position(types, name)}; }
  TenantId tenant(std::string_view name) const { return TenantId{position(tenants, name)}; }
  ZoneId zone(std::string_view name) const { return ZoneId{position(zones, name)}; }
  MachineKindId kind(std::string_view name) const { return MachineKindId{position(kinds, name)}; }
};

Deployment decode(const NamedValues& values);

}  // namespace pearchute::service
