#include "store/json_codec.h"

namespace pearchute::store {

using fleet::Duration;
using fleet::Fallback;
using fleet::RolloutPlan;
using fleet::Step;
using fleet::StepKind;
using nlohmann::json;

namespace {

template <class Enum>
Enum decode_enum(const json& from) {
  return static_cast<Enum>(from.get<int>());
}

Duration decode_microseconds(const json& from) { return Duration(from.get<Duration::rep>()); }

}  // namespace

json encode_step(const Step& step) {
  return {{"operation", step.operation},
          {"fence", step.fence},
          {"kind", static_cast<int>(step.kind)},
          {"fallback", static_cast<int>(step.fallback)},
          {"version", step.version},
          {"drain_within_us", step.drain_within.count()},
          {"up_within_us", step.up_within.count()}};
}

Step decode_step(const json& from) {
  Step step;
  step.operation = from.at("operation");
  step.fence = from.at("fence");
  step.kind = decode_enum<StepKind>(from.at("kind"));
  step.fallback = decode_enum<Fallback>(from.at("fallback"));
  step.version = from.at("version");
  step.drain_within = decode_microseconds(from.at("drain_within_us"));
  step.up_within = decode_microseconds(from.at("up_within_us"));
  return step;
}

json encode_step_outcome(const fleet::InstanceLifecycle::CompletedStep& outcome) {
  return {
      {"step", encode_step(outcome.step)}, {"end", static_cast<int>(outcome.end)}, {"word", outcome.detail}};
}

fleet::InstanceLifecycle::CompletedStep decode_step_outcome(const json& from) {
  return {decode_step(from.at("step")), decode_enum<fleet::StepEnd>(from.at("end")), from.at("word")};
}

json encode_plan(const RolloutPlan& plan) {
  json targets = json::array();
  for (const fleet::Target& target : plan.targets)
    targets.push_back({target.instance, target.agent, target.zone});
  return {{"who", plan.who},
          {"kind", static_cast<int>(plan.kind)},
          {"fallback", static_cast<int>(plan.fallback)},
          {"version", plan.version},
          {"version_before", plan.version_before},
          {"targets", targets},
          {"at_once", plan.max_concurrent},
          {"batch", plan.batch},
          {"least_serving", plan.min_serving},
          {"warm_us", plan.warm.count()},
          {"gate_us", plan.gate.count()},
          {"margin", plan.margin},
          {"failures", plan.failures},
          {"reverts", plan.reverts},
          {"take_over", plan.take_over},
          {"lease_us", plan.lease_duration.count()},
          {"drain_within_us", plan.drain_within.count()},
          {"up_within_us", plan.up_within.count()}};
}

RolloutPlan decode_plan(const std::string& id, const json& from) {
  RolloutPlan plan;
  plan.id = id;
  plan.who = from.at("who");
  plan.kind = decode_enum<StepKind>(from.at("kind"));
  plan.fallback = decode_enum<Fallback>(from.at("fallback"));
  plan.version = from.at("version");
  plan.version_before = from.at("version_before");
  for (const json& target : from.at("targets"))
    plan.targets.push_back({target.at(0), target.at(1), target.at(2)});
  plan.max_concurrent = from.at("at_once");
  plan.batch = from.at("batch");
  plan.min_serving = from.at("least_serving").get<std::map<std::string, int>>();
  plan.warm = decode_microseconds(from.at("warm_us"));
  plan.gate = decode_microseconds(from.at("gate_us"));
  plan.margin = from.at("margin");
  plan.failures = from.at("failures");
  plan.reverts = from.value("reverts", false);  // records of older versions do not have this key
  plan.take_over = from.at("take_over");
  plan.lease_duration = decode_microseconds(from.at("lease_us"));
  plan.drain_within = decode_microseconds(from.at("drain_within_us"));
  plan.up_within = decode_microseconds(from.at("up_within_us"));
  return plan;
}

json encode_stages(const std::map<std::string, fleet::Rollout::Stage>& stages) {
  json encoded = json::object();
  for (const auto& [instance, stage] : stages) encoded[instance] = static_cast<int>(stage);
  return encoded;
}

std::map<std::string, fleet::Rollout::Stage> decode_stages(const json& from) {
  std::map<std::string, fleet::Rollout::Stage> stages;
  for (const auto& [instance, stage] : from.items())
    stages[instance] = decode_enum<fleet::Rollout::Stage>(stage);
  return stages;
}

}  // namespace pearchute::store
