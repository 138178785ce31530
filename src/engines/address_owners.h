// Which engine is at each address, according to the endpoint list. A new engine may have the address of one
// that has gone, and the list may tell the new one first: the address belongs to the engine that was last
// listed as up there, and the one that was there before has gone. No I/O, no clock.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/types.h"
#include "engines/discovered_endpoint.h"

namespace pearchute::net {

// Owned by EndpointList.
class AddressOwners {
 public:
  // Applies the endpoints of an event in their order. One whose address belongs to another engine is changed
  // to removed, and an engine that loses its address is appended as removed where the event doesn't list it.
  void apply(EndpointUpdate update, std::vector<DiscoveredEndpoint>& endpoints);

 private:
  // Returns false where the address belongs to another engine, which stays there.
  bool claim(const DiscoveredEndpoint& claimant, std::vector<DiscoveredEndpoint>& displaced);
  void release(EngineId engine);

  std::map<std::string, DiscoveredEndpoint> owners_;  // by address
  std::map<EngineId, std::string> addresses_;         // of the owners
};

}  // namespace pearchute::net
