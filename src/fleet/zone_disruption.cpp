#include "fleet/zone_disruption.h"

#include <algorithm>
#include <map>

namespace pearchute::fleet {

std::vector<ZoneDisruption> zone_disruptions(const std::vector<InstanceAvailability>& fleet,
                                             const std::vector<std::string>& stopped) {
  std::map<std::string, ZoneDisruption> zones;
  for (const InstanceAvailability& instance : fleet) {
    if (!instance.serves) continue;
    ZoneDisruption& zone = zones[instance.zone];
    zone.zone = instance.zone;
    zone.serving += 1;
    zone.stopping += std::ranges::count(stopped, instance.name) > 0;
  }
  std::vector<ZoneDisruption> disrupted;
  for (const auto& [name, zone] : zones) {
    if (2 * zone.stopping > zone.serving) disrupted.push_back(zone);
  }
  return disrupted;
}

}  // namespace pearchute::fleet
