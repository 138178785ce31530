#include "lab/capacity/costs.h"

namespace pearchute::lab::capacity {

namespace {

constexpr double microseconds_in_a_second = 1e6;
constexpr double percent = 100;
constexpr double bytes_in_a_slopes_kilobyte = 1024;  // slopes use the kB of /proc
constexpr double bytes_in_a_megabyte = 1e6;          // the target uses decimal units
constexpr double bytes_in_a_kilobyte = 1e3;

Figure megabytes(const Figure& kilobytes) {
  return kilobytes * (bytes_in_a_slopes_kilobyte / bytes_in_a_megabyte);
}

}  // namespace

Figure Costs::agent_cost(const std::string& by_agents, const std::string& by_instances,
                         const Condition& condition, double managers_on_machine) const {
  const Figure cost = slopes_.at(by_agents, condition.managers / managers_on_machine);
  if (managers_on_machine <= 1) return cost;
  return cost + slopes_.growth(by_instances, 1, managers_on_machine);
}

Figure Costs::agent_bytes_sent(const Condition& condition, double managers_on_machine,
                               Spreading spreading) const {
  const std::string by_agents =
      spreading == Spreading::levels ? "agent.levels.bytes_sent.by_agents" : "agent.bytes_sent.by_agents";
  return agent_cost(by_agents, "agent.bytes_sent.by_instances", condition, managers_on_machine);
}

Figure Costs::agent_bytes_received(const Condition& condition, double managers_on_machine,
                                   Spreading spreading) const {
  const std::string of_levels = "agent.levels.bytes_received.by_agents";
  if (spreading == Spreading::levels && slopes_.has(of_levels))
    return agent_cost(of_levels, "agent.bytes_sent.by_instances", condition, managers_on_machine);
  // Without a slope for received bytes, an agent receives as much as it sends: over all agents both are
  // equal.
  if (spreading == Spreading::levels) return agent_bytes_sent(condition, managers_on_machine, spreading);
  return agent_cost("agent.bytes_received.by_agents", "agent.bytes_sent.by_instances", condition,
                    managers_on_machine);
}

Figure Costs::agent_processor(const Condition& condition, double managers_on_machine,
                              Spreading spreading) const {
  // Without a slope for the processor time of levels, that of all_with_all is used.
  const std::string of_levels = "agent.levels.cpu.by_agents";
  const bool by_levels = spreading == Spreading::levels && slopes_.has(of_levels);
  const std::string by_agents = by_levels ? of_levels : "agent.cpu.by_agents";
  return agent_cost(by_agents, "agent.cpu.by_instances", condition, managers_on_machine);
}

Figure Costs::agent_memory(const Condition& condition, double managers_on_machine) const {
  return megabytes(
      agent_cost("agent.memory.by_agents", "agent.memory.by_instances", condition, managers_on_machine));
}

Figure Costs::control_processor(const Condition& condition, double managers_on_machine,
                                Spreading spreading) const {
  const double engines = condition.engines_known;
  Figure microseconds =
      slopes_.at("manager.control_cpu_at_rest.by_engines", engines) +
      slopes_.at("manager.status_call_cpu.by_engines", engines) * target_.agent_status_calls +
      slopes_.at("manager.list_event_cpu.by_engines", engines) * condition.list_events +
      agent_processor(condition, managers_on_machine, spreading) * (1 / managers_on_machine);
  if (condition.restarts > 0)
    microseconds =
        microseconds + slopes_.at("manager.handshake_cpu.by_engines", engines) * condition.restarts;
  return microseconds * (percent / microseconds_in_a_second);
}

Figure Costs::memory_of_engines_connected(const Condition& condition) const {
  return megabytes(slopes_.growth("manager.memory.by_engines_connected", 0, condition.engines_connected));
}

Figure Costs::control_memory(const Condition& condition, double managers_on_machine) const {
  return megabytes(slopes_.at("manager.memory.by_engines_known", condition.engines_known)) +
         memory_of_engines_connected(condition) +
         agent_memory(condition, managers_on_machine) * (1 / managers_on_machine);
}

Figure Costs::control_bytes(const Condition& condition, double managers_on_machine, Spreading spreading,
                            ByteDirections directions) const {
  Figure agent = agent_bytes_sent(condition, managers_on_machine, spreading);
  if (directions == ByteDirections::both_ways)
    agent = agent + agent_bytes_received(condition, managers_on_machine, spreading);
  const Figure bytes =
      slopes_.at("manager.control_bytes_at_rest.by_engines", condition.engines_known) +
      slopes_.at("manager.list_event_bytes.by_engines", condition.engines_known) * condition.list_events +
      slopes_.at("manager.heartbeat_bytes.by_engines_connected", condition.engines_connected) +
      agent * (1 / managers_on_machine);
  return bytes * (1 / bytes_in_a_kilobyte);
}

Figure Costs::data_processor(const Condition& condition) const {
  const Figure microseconds = slopes_.at("manager.statement_cpu.by_engines", condition.engines_known) +
                              slopes_.growth("manager.statement_cpu.by_open", 0, condition.open_statements);
  return microseconds * (condition.statements / microseconds_in_a_second);
}

Figure Costs::data_memory(const Condition& condition) const {
  return megabytes(slopes_.growth("manager.memory.by_idle_connections", 0, condition.connections) +
                   slopes_.growth("manager.memory.by_open_statements", 0, condition.open_statements));
}

Figure Costs::descriptors(const Condition& condition) const {
  return slopes_.at("manager.descriptors.by_connections", condition.connections) +
         Figure::of_target(condition.engines_connected);
}

Figure Costs::configuration_in_force(const Condition& condition) const {
  const double round_trips = target_.region_round_trip * target_.exchanges_between_regions;
  return slopes_.at("agent.configuration_spread.by_agents", condition.managers) +
         Figure::of_target(round_trips);
}

}  // namespace pearchute::lab::capacity
