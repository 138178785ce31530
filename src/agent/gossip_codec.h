// Conversion between the agents' messages on status reports (agent.proto) and the types of src/fleet.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "agent.pb.h"
#include "fleet/gossip_state.h"

namespace pearchute::agent {

v1::InstanceWord to_wire(const fleet::StatusReport& report);
v1::News to_wire(const fleet::ReportDelta& delta);
// Returns nullopt if a value is out of bounds.
std::optional<fleet::ReportDelta> from_wire(const v1::News& delta);

// The request by which `agent` asks a peer for the reports that are newer than `versions` (by agent).
v1::Question report_request(const std::string& agent,
                            const std::map<std::string, fleet::ReportVersion>& versions);
std::map<std::string, fleet::ReportVersion> versions_in(const v1::Question& request);

// The version, age and freshness of the reports known of `agent`, without the reports themselves.
v1::Heard to_wire(const std::string& agent, const fleet::GossipState::Known& known);

}  // namespace pearchute::agent
