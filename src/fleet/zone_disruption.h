// Finds the zones that would lose most of their serving instances through an operator's command, which then
// needs a confirmation. Stateless.
#pragma once

#include <string>
#include <vector>

namespace pearchute::fleet {

// An instance and whether it is known to serve.
struct InstanceAvailability {
  std::string name, zone;
  bool serves = false;
};

// A zone in which over half of the serving instances would stop.
struct ZoneDisruption {
  std::string zone;
  int serving = 0, stopping = 0;  // instances
};

// Returns the zones, sorted by name, that stopping the named instances would disrupt. If there are none, no
// confirmation is needed.
std::vector<ZoneDisruption> zone_disruptions(const std::vector<InstanceAvailability>& fleet,
                                             const std::vector<std::string>& stopped);

}  // namespace pearchute::fleet
