#include "lab/capacity/prediction.h"

#include "lab/capacity/slope_set.h"

namespace pearchute::lab::capacity {

namespace {

constexpr double percent = 100;

}  // namespace

ScalePrediction predict_scale(const Target& target, const std::vector<Slope>& slopes, const ScaleSize& size) {
  const SlopeSet set(slopes, target.not_measured);
  const Costs costs(set, target);
  if (size.spreading == Spreading::levels && !set.has("agent.levels.bytes_sent.by_agents"))
    throw SlopeError("[agent.levels.bytes_sent.by_agents] is missing", "", std::string(measure_again));
  const double managers_on_machine = size.managers / size.agents;
  Condition at_rest;
  at_rest.managers = size.managers;
  at_rest.engines_known = size.engines;
  at_rest.engines_connected = size.engines;
  ScalePrediction prediction;
  prediction.control_bytes_per_s_mean = costs.agent_bytes_sent(at_rest, managers_on_machine, size.spreading);
  prediction.control_cpu_share_max =
      costs.control_processor(at_rest, managers_on_machine, size.spreading) * (1 / percent);
  prediction.control_memory_mb_max = costs.control_memory(at_rest, managers_on_machine);
  return prediction;
}

}  // namespace pearchute::lab::capacity
