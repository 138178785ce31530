// What one process, or one machine, spends in a condition: each cost a sum of slopes at that condition's
// drivers. Pure.
#pragma once

#include "lab/capacity/conditions.h"
#include "lab/capacity/figure.h"
#include "lab/capacity/slope_set.h"
#include "lab/capacity/target.h"

namespace pearchute::lab::capacity {

// How agents spread what they know of instances.
enum class Spreading { all_with_all, levels };

// The target does not say which bytes count; both ways of counting are told.
enum class Counted { sent, both_ways };

class Costs {
 public:
  Costs(const SlopeSet& slopes, const Target& target) : slopes_(slopes), target_(target) {}

  // Of an agent with so many managers on its machine, among the machines of that condition.
  Figure agent_bytes_sent(const Condition& condition, double managers_on_machine, Spreading spreading) const;
  Figure agent_bytes_received(const Condition& condition, double managers_on_machine,
                              Spreading spreading) const;
  Figure agent_processor(const Condition& condition, double managers_on_machine,
                         Spreading spreading) const;                                  // us/s
  Figure agent_memory(const Condition& condition, double managers_on_machine) const;  // MB

  // Of a manager, with its share of the machine's agent.
  Figure control_processor(const Condition& condition, double managers_on_machine,
                           Spreading spreading) const;                                  // % of a core
  Figure control_memory(const Condition& condition, double managers_on_machine) const;  // MB
  // KB/s. Of what is sent it is the agent's; the manager's own is measured both ways together, and counts
  // whole.
  Figure control_bytes(const Condition& condition, double managers_on_machine, Spreading spreading,
                       Counted counted) const;

  // Of a manager.
  Figure data_processor(const Condition& condition) const;  // cores
  Figure data_memory(const Condition& condition) const;     // MB
  Figure descriptors(const Condition& condition) const;
  Figure memory_of_engines_connected(const Condition& condition) const;  // MB

  // Until a change of configuration is in force in all that reach each other, in ms.
  Figure configuration_in_force(const Condition& condition) const;

  const SlopeSet& slopes() const { return slopes_; }
  const Target& target() const { return target_; }

 private:
  // A cost of an agent: by the number of agents, and what several instances add to it.
  Figure agent_cost(const std::string& by_agents, const std::string& by_instances, const Condition& condition,
                    double managers_on_machine) const;

  const SlopeSet& slopes_;
  const Target& target_;
};

}  // namespace pearchute::lab::capacity
