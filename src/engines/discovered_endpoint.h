// An engine as the endpoint list names it.
#pragma once

#include <string>

#include "core/types.h"

namespace pearchute::net {

struct DiscoveredEndpoint {
  std::string name;
  EngineEndpoint engine;
  std::string address;
};

}  // namespace pearchute::net
