// The costs of one process or machine in a condition. Each cost is a sum of slopes, taken at the condition's
// drivers.
#pragma once

#include "lab/capacity/conditions.h"
#include "lab/capacity/figure.h"
#include "lab/capacity/slope_set.h"
#include "lab/capacity/target.h"

namespace pearchute::lab::capacity {

// How agents spread the status of instances: each agent with every other, or by groups, zones and regions.
enum class Spreading { all_with_all, levels };

// Which bytes count as control traffic. The target leaves this open, so the page has both.
enum class ByteDirections { sent, both_ways };

// `slopes` and `target` must outlive the Costs.
class Costs {
 public:
  Costs(const SlopeSet& slopes, const Target& target) : slopes_(slopes), target_(target) {}

  // Costs of an agent with this many managers on its machine; bytes/s.
  Figure agent_bytes_sent(const Condition& condition, double managers_on_machine, Spreading spreading) const;
  Figure agent_bytes_received(const Condition& condition, double managers_on_machine,
                              Spreading spreading) const;
  Figure agent_processor(const Condition& condition, double managers_on_machine,
                         Spreading spreading) const;                                  // us/s
  Figure agent_memory(const Condition& condition, double managers_on_machine) const;  // MB

  // Control costs of a manager, including its share of the machine's agent.
  Figure control_processor(const Condition& condition, double managers_on_machine,
                           Spreading spreading) const;                                  // % of a core
  Figure control_memory(const Condition& condition, double managers_on_machine) const;  // MB
  // KB/s. `directions` applies to the agent's bytes. The manager's own bytes are measured in both directions
  // together and always count in full.
  Figure control_bytes(const Condition& condition, double managers_on_machine, Spreading spreading,
                       ByteDirections directions) const;

  // Data costs of a manager.
  Figure data_processor(const Condition& condition) const;  // cores
  Figure data_memory(const Condition& condition) const;     // MB
  Figure descriptors(const Condition& condition) const;
  Figure memory_of_engines_connected(const Condition& condition) const;  // MB

  // Time until a change of configuration is in force at all managers that can reach each other, in ms.
  Figure configuration_in_force(const Condition& condition) const;

  const SlopeSet& slopes() const { return slopes_; }
  const Target& target() const { return target_; }

 private:
  // A cost of an agent: the slope by the number of agents, plus the growth for several instances.
  Figure agent_cost(const std::string& by_agents, const std::string& by_instances, const Condition& condition,
                    double managers_on_machine) const;

  const SlopeSet& slopes_;
  const Target& target_;
};

}  // namespace pearchute::lab::capacity
