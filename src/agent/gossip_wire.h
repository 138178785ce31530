// The agents' messages on status reports, to and from the fleet's types.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "agent.pb.h"
#include "fleet/gossip_state.h"

namespace pearchute::agent {

v1::InstanceWord to_wire(const fleet::StatusReport& report);
v1::News to_wire(const fleet::ReportDelta& delta);
// Nothing where a value is out of its bounds.
std::optional<fleet::ReportDelta> from_wire(const v1::News& delta);

// What `agent` asks of a peer: all that is newer than `versions`, by agent.
v1::Question report_request(const std::string& agent,
                            const std::map<std::string, fleet::ReportVersion>& versions);
std::map<std::string, fleet::ReportVersion> versions_in(const v1::Question& request);

// How much is known of `agent`, without its reports.
v1::Heard to_wire(const std::string& agent, const fleet::GossipState::Known& known);

}  // namespace pearchute::agent
