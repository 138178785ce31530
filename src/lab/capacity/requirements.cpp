// The requirements of the target: each compares a need, computed from the slopes, with a limit and so gets a
// verdict.
#include <algorithm>
#include <utility>

#include "lab/capacity/capacity_model.h"

namespace pearchute::lab::capacity {

namespace {

constexpr double one_manager = 1;
constexpr double milliseconds_in_a_second = 1e3;
constexpr double bytes_in_a_kilobyte = 1e3;

const Condition& condition_of(const std::vector<Condition>& conditions, ConditionKind kind) {
  return conditions[static_cast<std::size_t>(kind)];
}

Requirement judge(std::string bullet, std::string basis, const Figure& need, double limit, std::string unit,
                  std::string cost) {
  Requirement requirement;
  requirement.bullet = std::move(bullet);
  requirement.basis = std::move(basis);
  requirement.cost = std::move(cost);
  requirement.need = need;
  requirement.limit = limit;
  requirement.unit = std::move(unit);
  if (!need.value) return requirement;
  requirement.factor = *need.value / limit;
  if (*requirement.factor > 1) requirement.verdict = Verdict::missed;
  else if (need.extrapolated || need.simulated) requirement.verdict = Verdict::met_as_estimated;
  else requirement.verdict = Verdict::met_as_measured;
  return requirement;
}

Requirement without_mechanism(std::string bullet, std::string basis, std::string cost) {
  Requirement requirement;
  requirement.bullet = std::move(bullet);
  requirement.basis = std::move(basis);
  requirement.cost = std::move(cost);
  requirement.verdict = Verdict::missed;
  return requirement;
}

// The largest cost over all conditions, with its condition. Without a value if the cost is not measured in
// one of them.
struct Worst {
  Figure cost;
  std::string condition;
};
template <class Cost>
Worst worst_of(const std::vector<Condition>& conditions, const Cost& cost_in) {
  Worst worst;
  for (const Condition& condition : conditions) {
    const Figure cost = cost_in(condition);
    if (!cost.value) return {cost, condition.title};
    if (!worst.cost.value || *cost.value > *worst.cost.value) worst = {cost, condition.title};
  }
  return worst;
}

std::string per_machine(double managers) {
  if (managers <= one_manager) return "one manager on a machine";
  return std::to_string(static_cast<int>(managers)) + " managers on a machine";
}

void add_data(std::vector<Requirement>& all, const Costs& costs, const std::vector<Condition>& conditions) {
  const Target& target = costs.target();
  const Condition& peak = condition_of(conditions, ConditionKind::peak);
  const Condition& lost_zone = condition_of(conditions, ConditionKind::lost_zone);
  const Condition& lost_region = condition_of(conditions, ConditionKind::lost_region);
  all.push_back(judge("managers before engines", "connections of all managers at one engine, at the peak",
                      costs.slopes().at("engine.connections.by_managers", peak.managers),
                      target.engine_connections, "connections", "engines refuse managers that come late"));
  all.push_back(judge("client connections", "descriptors of a manager with a zone lost",
                      costs.descriptors(lost_zone), target.manager_descriptors, "descriptors",
                      "new clients are refused"));
  all.push_back(judge("client connections", "memory of a manager with a zone lost",
                      costs.data_memory(lost_zone) + costs.control_memory(lost_zone, one_manager),
                      target.manager_memory, "MB",
                      "managers end for want of memory, with all their clients"));
  const std::string rejected = "the least valuable statements are rejected with a time to come back";
  all.push_back(judge("statements a second, at the peak", "processor time of a manager's data",
                      costs.data_processor(peak), target.manager_processor, "cores", rejected));
  all.push_back(judge("statements a second, with a zone lost at the peak",
                      "processor time of a manager's data", costs.data_processor(lost_zone),
                      target.manager_processor, "cores", rejected));
  Requirement region = judge("statements a second, with the larger region lost at the peak",
                             "processor time of a manager's data; to be graceful, not to hold",
                             costs.data_processor(lost_region), target.manager_processor, "cores", rejected);
  if (region.verdict == Verdict::missed) region.verdict = Verdict::overload_accepted;
  all.push_back(std::move(region));
}

void add_changes(std::vector<Requirement>& all, const Costs& costs, const std::vector<Condition>& conditions,
                 Spreading spreading) {
  const Target& target = costs.target();
  const Condition& peak = condition_of(conditions, ConditionKind::peak);
  all.push_back(judge("changes of primary", "time until statements are served on time as before",
                      costs.slopes().at("fleet.primary_change.by_managers", peak.managers),
                      target.primary_change_within * milliseconds_in_a_second, "ms",
                      "statements of a group of tables are late or fail meanwhile"));
  if (spreading == Spreading::all_with_all)
    all.push_back(
        without_mechanism("regions and zones", "zones are settings of instances; no code knows a region",
                          "all with all over the line between regions, whatever its cost and loss"));
  else
    all.push_back(judge("regions and zones", "what an agent sends by levels",
                        costs.agent_bytes_sent(peak, one_manager, spreading) * (1 / bytes_in_a_kilobyte),
                        target.control_bytes, "KB/s", "status grows stale as lines fill"));
  if (costs.slopes().has("agent.configuration_spread.by_agents"))
    all.push_back(judge("changes of configuration", "time until in force everywhere",
                        costs.configuration_in_force(peak),
                        target.configuration_in_force_within * milliseconds_in_a_second, "ms",
                        "instances answer by different rules"));
  else
    all.push_back(without_mechanism("changes of configuration", "no message brings one to a running manager",
                                    "each change takes a restart of every manager, or is not made"));
}

void add_control(std::vector<Requirement>& all, const Costs& costs, const std::vector<Condition>& conditions,
                 Spreading spreading) {
  const Target& target = costs.target();
  for (const double managers : {one_manager, target.several_managers}) {
    const std::string suffix = ", " + per_machine(managers);
    const Worst processor = worst_of(conditions, [&](const Condition& condition) {
      return costs.control_processor(condition, managers, spreading);
    });
    all.push_back(judge("control: processor" + suffix, "worst: " + processor.condition, processor.cost,
                        target.control_processor, "% of a core", "less is left for statements"));
    const Worst memory = worst_of(
        conditions, [&](const Condition& condition) { return costs.control_memory(condition, managers); });
    all.push_back(judge("control: memory" + suffix, "worst: " + memory.condition, memory.cost,
                        target.control_memory, "MB", "less is left for connections"));
    for (const ByteDirections directions : {ByteDirections::sent, ByteDirections::both_ways}) {
      const std::string name =
          directions == ByteDirections::sent ? "control: bytes sent" : "control: bytes both ways";
      const Worst bytes = worst_of(conditions, [&](const Condition& condition) {
        return costs.control_bytes(condition, managers, spreading, directions);
      });
      all.push_back(judge(name + suffix, "worst: " + bytes.condition, bytes.cost, target.control_bytes,
                          "KB/s", "status grows stale as lines fill, and data shares them"));
    }
  }
}

void add_machines(std::vector<Requirement>& all, const Costs& costs,
                  const std::vector<Condition>& conditions) {
  const Target& target = costs.target();
  const Condition& peak = condition_of(conditions, ConditionKind::peak);
  all.push_back(judge(
      "machines set aside for control",
      "connections of the list channel on each of them, against a process's descriptors",
      costs.slopes().at("channel.connections.by_managers", peak.managers) * (1 / target.control_machines),
      target.manager_descriptors, "connections", "managers go on with the list as they know it"));
  all.push_back(judge("machines that fail or are restarted",
                      "a manager's time until ready, against a change of primary's",
                      costs.slopes().at("manager.ready_time.by_engines", peak.engines_known),
                      target.primary_change_within * milliseconds_in_a_second, "ms",
                      "its clients go to other managers for longer"));
}

}  // namespace

std::vector<Requirement> requirements(const Costs& costs, const std::vector<Condition>& conditions,
                                      Spreading spreading) {
  std::vector<Requirement> all;
  add_data(all, costs, conditions);
  add_changes(all, costs, conditions, spreading);
  add_control(all, costs, conditions, spreading);
  add_machines(all, costs, conditions);
  return all;
}

}  // namespace pearchute::lab::capacity
