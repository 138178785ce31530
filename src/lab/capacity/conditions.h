// The conditions for which the capacity page is worked out: what drives each role's cost in each of them,
// from the target alone. Pure.
#pragma once

#include <string>
#include <vector>

#include "lab/capacity/target.h"

namespace pearchute::lab::capacity {

enum class ConditionKind { ordinary_day, peak, lost_zone, regions_cut_off, lost_region, restart };

struct Condition {
  ConditionKind kind;
  std::string title;
  double managers = 0;  // that live and reach each other
  // Of one manager:
  double engines_known = 0;
  double engines_connected = 0;
  double connections = 0;  // of clients
  double statements = 0;   // a second
  double open_statements = 0;
  double list_events = 0;  // a second
  double restarts = 0;     // of this manager, a second
};

// In the order of ConditionKind. Engines that are lost stay on the list of a manager.
std::vector<Condition> conditions(const Target& target);

// The share of managers and engines in the larger region.
double larger_region_share(const Target& target);

}  // namespace pearchute::lab::capacity
