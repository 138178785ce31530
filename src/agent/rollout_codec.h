// Conversion between the agents' messages on leases, steps and rollouts (agent.proto) and the types of
// src/fleet.
//
// Each from_wire throws MessageError if a value is unknown or out of bounds.
#pragma once

#include "agent.pb.h"
#include "errors/error.h"
#include "fleet/lease_owner.h"
#include "fleet/rollout.h"

namespace pearchute::agent {

std::string_view name_of(fleet::StepKind kind);
std::string_view name_of(fleet::StepEnd end);
// Returns `unseen` for an unknown name: a newer agent may report states that this build doesn't have.
fleet::InstanceState parse_instance_state(const std::string& name);

// Rounds down. REQUIRES: `duration` is not negative.
std::uint64_t whole_milliseconds(fleet::Duration duration);

v1::Step to_wire(const fleet::Step& step);
fleet::Step from_wire(const v1::Step& step);
v1::Ended to_wire(const fleet::InstanceLifecycle::CompletedStep& completed);
fleet::InstanceLifecycle::CompletedStep from_wire(const v1::Ended& completed);

v1::ClaimAsk to_wire(const fleet::LeaseRequest& request);
fleet::LeaseRequest from_wire(const v1::ClaimAsk& request);
std::chrono::milliseconds lease_duration_from_ms(std::uint64_t lease_ms);
// `now` is read from the clock that the lease's times refer to.
v1::Claim to_wire(const fleet::Lease& lease, fleet::TimePoint now);
v1::ClaimAnswer to_wire(const fleet::LeaseTable::Answer& response, fleet::TimePoint now);

v1::Plan to_wire(const fleet::RolloutPlan& plan);
fleet::RolloutPlan from_wire(const v1::Plan& plan);

}  // namespace pearchute::agent
