// Between the agents' messages and the decisions' terms, both ways. A word that is not known throws
// MessageError.
#pragma once

#include "agent.pb.h"
#include "errors/error.h"
#include "fleet/gossip_state.h"
#include "fleet/lease_owner.h"
#include "fleet/rollout.h"

namespace pearchute::agent {

std::string_view name_of(fleet::StepKind kind);
std::string_view name_of(fleet::StepEnd end);
fleet::InstanceState parse_instance_state(const std::string& word);
v1::Step to_wire(const fleet::Step& step);
fleet::Step from_wire(const v1::Step& step);
v1::InstanceWord to_wire(const fleet::StatusReport& word);
v1::News to_wire(const fleet::ReportDelta& news);
std::optional<fleet::ReportDelta> from_wire(const v1::News& news);  // none where it holds what can't be
v1::Ended to_wire(const fleet::InstanceLifecycle::CompletedStep& past);
fleet::InstanceLifecycle::CompletedStep from_wire(const v1::Ended& ended);
v1::Plan to_wire(const fleet::RolloutPlan& plan);
fleet::RolloutPlan from_wire(const v1::Plan& plan);  // out of bounds throws as well

}  // namespace pearchute::agent
