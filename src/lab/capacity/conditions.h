// The operating conditions for which the capacity model is computed, with the values in each of them that
// drive the costs. They follow from the target alone.
#pragma once

#include <string>
#include <vector>

#include "lab/capacity/target.h"

namespace pearchute::lab::capacity {

enum class ConditionKind { ordinary_day, peak, lost_zone, regions_cut_off, lost_region, restart };

struct Condition {
  ConditionKind kind;
  std::string title;
  double managers = 0;  // running managers that can reach each other
  // Per manager:
  double engines_known = 0;
  double engines_connected = 0;
  double connections = 0;  // from clients
  double statements = 0;   // per second
  double open_statements = 0;
  double list_events = 0;  // per second
  double restarts = 0;     // of this manager, per second
};

// Returns the conditions in the order of ConditionKind. Lost engines stay in a manager's list, so
// engines_known is the same in all of them.
std::vector<Condition> conditions(const Target& target);

// Returns the share of all managers and engines that is in the larger region.
double larger_region_share(const Target& target);

}  // namespace pearchute::lab::capacity
