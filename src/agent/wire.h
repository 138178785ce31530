// The agents' messages on leases, steps and rollouts, to and from the fleet's types. The only place, with
// gossip_wire.h and config_wire.h, that knows the messages' fields.
//
// Every from_wire throws MessageError where a value is unknown or out of its bounds.
#pragma once

#include "agent.pb.h"
#include "errors/error.h"
#include "fleet/lease_owner.h"
#include "fleet/rollout.h"

namespace pearchute::agent {

std::string_view name_of(fleet::StepKind kind);
std::string_view name_of(fleet::StepEnd end);
// `unseen` where the name is unknown: a newer agent may have states that this one lacks.
fleet::InstanceState parse_instance_state(const std::string& name);

// Rounded down. REQUIRES: not negative.
std::uint64_t whole_milliseconds(fleet::Duration duration);

v1::Step to_wire(const fleet::Step& step);
fleet::Step from_wire(const v1::Step& step);
v1::Ended to_wire(const fleet::InstanceLifecycle::CompletedStep& completed);
fleet::InstanceLifecycle::CompletedStep from_wire(const v1::Ended& completed);

v1::ClaimAsk to_wire(const fleet::LeaseRequest& request);
fleet::LeaseRequest from_wire(const v1::ClaimAsk& request);
std::chrono::milliseconds lease_duration_from_wire(std::uint64_t lease_ms);
// `now` is by the clock of the leases.
v1::Claim to_wire(const fleet::Lease& lease, fleet::TimePoint now);
v1::ClaimAnswer to_wire(const fleet::LeaseTable::Answer& response, fleet::TimePoint now);

v1::Plan to_wire(const fleet::RolloutPlan& plan);
fleet::RolloutPlan from_wire(const v1::Plan& plan);

}  // namespace pearchute::agent
