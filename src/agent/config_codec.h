// Conversion between the agents' messages on configuration versions (agent.proto) and the types of src/fleet.
#pragma once

#include "agent.pb.h"
#include "fleet/config_spread.h"

namespace pearchute::agent {

v1::ConfigMark to_wire(const fleet::ConfigMark& mark);
v1::ConfigMessage to_wire(const fleet::ConfigMessage& message);
fleet::ConfigMessage from_wire(const v1::ConfigMessage& message);
v1::ConfigShown to_wire(const fleet::ConfigReport& report);

}  // namespace pearchute::agent
