// Encodes rollout plans and steps as the JSON text that the store keeps. This is a persisted format: the keys
// and the numbers of the enumerations can't be changed.
//
// The decoders throw nlohmann::json::exception if a key is missing or a value has another type.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "fleet/instance_lifecycle.h"
#include "fleet/rollout.h"

namespace pearchute::store {

nlohmann::json encode_step(const fleet::Step& step);
fleet::Step decode_step(const nlohmann::json& from);

nlohmann::json encode_step_outcome(const fleet::InstanceLifecycle::CompletedStep& outcome);
fleet::InstanceLifecycle::CompletedStep decode_step_outcome(const nlohmann::json& from);

// The plan without its id, which is the record's key.
nlohmann::json encode_plan(const fleet::RolloutPlan& plan);
fleet::RolloutPlan decode_plan(const std::string& id, const nlohmann::json& from);

nlohmann::json encode_stages(const std::map<std::string, fleet::Rollout::Stage>& stages);
std::map<std::string, fleet::Rollout::Stage> decode_stages(const nlohmann::json& from);

}  // namespace pearchute::store
