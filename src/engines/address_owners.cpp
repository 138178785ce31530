#include "engines/address_owners.h"

#include <algorithm>

namespace pearchute::net {

void AddressOwners::apply(EndpointUpdate update, std::vector<DiscoveredEndpoint>& endpoints) {
  if (update != EndpointUpdate::delta) owners_.clear(), addresses_.clear();
  std::vector<DiscoveredEndpoint> displaced;
  for (DiscoveredEndpoint& endpoint : endpoints) {
    if (endpoint.engine.state != EngineState::removed && !claim(endpoint, displaced))
      endpoint.engine.state = EngineState::removed;
    if (endpoint.engine.state == EngineState::removed) release(endpoint.engine.id);
  }
  for (DiscoveredEndpoint& former : displaced) {
    if (addresses_.contains(former.engine.id)) continue;  // it has moved
    former.engine.state = EngineState::removed;
    const auto listed = std::ranges::find_if(
        endpoints, [&](const DiscoveredEndpoint& one) { return one.engine.id == former.engine.id; });
    if (listed != endpoints.end()) listed->engine.state = EngineState::removed;
    else endpoints.push_back(std::move(former));
  }
}

// An engine that drains doesn't displace one that is up, and neither does one that started earlier.
bool AddressOwners::claim(const DiscoveredEndpoint& claimant, std::vector<DiscoveredEndpoint>& displaced) {
  if (claimant.address.empty()) return true;
  const auto at = owners_.find(claimant.address);
  const bool is_taken = at != owners_.end() && at->second.engine.id != claimant.engine.id;
  if (is_taken) {
    const EngineEndpoint& owner = at->second.engine;
    const bool started_earlier =
        claimant.engine.started_at && owner.started_at && *claimant.engine.started_at < *owner.started_at;
    const bool stays =
        owner.state == EngineState::up && (claimant.engine.state != EngineState::up || started_earlier);
    if (stays) return false;
    displaced.push_back(at->second);
    release(owner.id);
  }
  release(claimant.engine.id);
  owners_[claimant.address] = claimant;
  addresses_[claimant.engine.id] = claimant.address;
  return true;
}

void AddressOwners::release(EngineId engine) {
  const auto at = addresses_.find(engine);
  if (at == addresses_.end()) return;
  owners_.erase(at->second);
  addresses_.erase(at);
}

}  // namespace pearchute::net
