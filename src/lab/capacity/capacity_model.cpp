#include "lab/capacity/capacity_model.h"

#include <algorithm>
#include <functional>
#include <limits>

#include "lab/capacity/slope_set.h"

namespace pearchute::lab::capacity {

namespace {

constexpr double percent = 100;
constexpr double few_agents = 5;
constexpr double some_agents = 50;

Placement placement(const Costs& costs, const std::vector<Condition>& conditions, Spreading spreading,
                    double managers) {
  const Target& target = costs.target();
  Placement result;
  result.managers_on_machine = managers;
  result.machines = target.managers / managers;
  const auto add = [&](const std::string& quantity, std::optional<double> limit,
                       const std::function<Figure(const Condition&)>& cost) {
    Placement::Line line{quantity, {}, limit};
    for (const Condition& condition : conditions) line.cells.push_back(cost(condition));
    result.lines.push_back(std::move(line));
  };
  add("control of a manager, % of a core", target.control_processor,
      [&](const Condition& condition) { return costs.control_processor(condition, managers, spreading); });
  add("control of a manager, MB", target.control_memory,
      [&](const Condition& condition) { return costs.control_memory(condition, managers); });
  add("control of a manager, KB/s sent", target.control_bytes, [&](const Condition& condition) {
    return costs.control_bytes(condition, managers, spreading, ByteDirections::sent);
  });
  add("control of a manager, KB/s both ways", target.control_bytes, [&](const Condition& condition) {
    return costs.control_bytes(condition, managers, spreading, ByteDirections::both_ways);
  });
  add("the whole machine, cores", target.cores_per_machine, [&](const Condition& condition) {
    const Figure control = costs.control_processor(condition, managers, spreading) * (1 / percent);
    return (control + costs.data_processor(condition)) * managers;
  });
  add("the whole machine, MB", std::nullopt, [&](const Condition& condition) {
    return (costs.control_memory(condition, managers) + costs.data_memory(condition)) * managers;
  });
  return result;
}

std::vector<SpreadingComparison> comparisons(const Costs& costs) {
  std::vector<SpreadingComparison> all;
  const double managers = costs.target().managers;
  for (const double agents : {few_agents, some_agents, managers, 2 * managers}) {
    SpreadingComparison one;
    one.agents = agents;
    one.sent_before = costs.slopes().at("agent.bytes_sent.by_agents", agents);
    one.sent_after = costs.slopes().at("agent.levels.bytes_sent.by_agents", agents);
    one.processor_before = costs.slopes().at("agent.cpu.by_agents", agents);
    one.processor_after = costs.slopes().at("agent.levels.cpu.by_agents", agents);
    one.configuration = costs.slopes().at("agent.configuration_spread.by_agents", agents);
    all.push_back(std::move(one));
  }
  return all;
}

// Requirements without a mechanism rank before all that have a factor.
double rank_of(const Requirement& requirement) {
  return requirement.factor.value_or(std::numeric_limits<double>::infinity());
}

}  // namespace

CapacityModel compute_model(const Target& target, const std::vector<Slope>& slopes) {
  const SlopeSet set(slopes, target.not_measured);
  CapacityModel model;
  model.target = target;
  model.conditions = conditions(target);
  model.slopes = slopes;
  const bool has_levels = set.has("agent.levels.bytes_sent.by_agents");
  model.spreading = has_levels ? Spreading::levels : Spreading::all_with_all;

  const Costs costs(set, target);
  model.rows = role_rows(costs, model.conditions, model.spreading);
  for (const double managers : {1.0, target.several_managers})
    model.placements.push_back(placement(costs, model.conditions, model.spreading, managers));
  model.requirements = requirements(costs, model.conditions, model.spreading);
  for (const Requirement& one : model.requirements)
    if (one.verdict == Verdict::missed) model.misses.push_back(one);
  std::stable_sort(
      model.misses.begin(), model.misses.end(),
      [](const Requirement& one, const Requirement& other) { return rank_of(one) > rank_of(other); });
  if (has_levels) model.before_and_after = comparisons(costs);
  return model;
}

}  // namespace pearchute::lab::capacity
