// Which zones would lose most of their serving instances by an operator's command, so that it needs to be
// confirmed. Stateless.
#pragma once

#include <string>
#include <vector>

namespace pearchute::fleet {

// An instance as far as its state is known.
struct InstanceAvailability {
  std::string name, zone;
  bool serves = false;
};

// A zone in which over half of the serving instances would stop.
struct ZoneDisruption {
  std::string zone;
  int serving = 0, stopping = 0;  // instances
};

// The zones that stopping these instances would disrupt, by name. Empty: no confirmation is needed.
std::vector<ZoneDisruption> zone_disruptions(const std::vector<InstanceAvailability>& fleet,
                                             const std::vector<std::string>& stopped);

}  // namespace pearchute::fleet
