// The capacity model of the whole fleet: tables of the costs of each role in each condition, a verdict for
// each requirement of the target, and the missed requirements in order of their factor. It is computed from
// the slopes and the target, without I/O.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "lab/capacity/conditions.h"
#include "lab/capacity/costs.h"
#include "lab/capacity/figure.h"
#include "lab/capacity/slope.h"
#include "lab/capacity/target.h"

namespace pearchute::lab::capacity {

// In place of a mechanism where the code has none.
inline constexpr const char* nothing_carries_this = "nothing carries this";

enum class Role { manager, agent, engine, list_channel, control_machine, operators };

// One row of a role's table.
struct Row {
  Role role;
  std::string kind;                            // "state", "messages", "processor" or "memory"
  std::string quantity;                        // with its unit
  std::string mechanism;                       // the code that provides it, or nothing_carries_this
  std::vector<Figure> cells;                   // by condition; empty without a mechanism
  std::optional<double> limit = std::nullopt;  // the largest allowed value
};

// The costs of one machine that runs `managers_on_machine` managers and one agent.
struct Placement {
  double managers_on_machine = 1;
  double machines = 0;  // in the whole fleet
  struct Line {
    std::string quantity;
    std::vector<Figure> cells;  // by condition
    std::optional<double> limit;
  };
  std::vector<Line> lines;
};

enum class Verdict {
  met_as_measured,    // within the limit, by slopes measured over the range needed
  met_as_estimated,   // within the limit, by extrapolation or simulation
  missed,             // over the limit, or without a mechanism
  overload_accepted,  // over the limit where the target only asks for graceful degradation; not a miss
  not_measured,
};

struct Requirement {
  std::string bullet;  // the item of the target
  std::string basis;   // which quantity is compared with which limit
  std::string cost;    // to users, where it is missed
  Verdict verdict = Verdict::not_measured;
  std::optional<double> factor = std::nullopt;  // need over limit; none: not measured, or no mechanism
  std::optional<Figure> need = std::nullopt;
  double limit = 0;
  std::string unit = "";
};

// Compares the two ways of spreading status for one number of agents.
struct SpreadingComparison {
  double agents = 0;
  Figure sent_before, sent_after;            // bytes/s of an agent; all with all, and with levels
  Figure processor_before, processor_after;  // us/s of an agent; the same
  Figure configuration;                      // ms until a change of configuration is in force
};

struct CapacityModel {
  Target target;
  std::vector<Condition> conditions;
  std::vector<Slope> slopes;
  Spreading spreading = Spreading::all_with_all;  // `levels` if their slopes are present
  std::vector<Row> rows;
  std::vector<Placement> placements;      // for one manager on a machine, and for several
  std::vector<Requirement> requirements;  // in the order of the target
  std::vector<Requirement> misses;        // those without a mechanism, then the largest factor first
  std::vector<SpreadingComparison> before_and_after;  // empty without the slopes of levels
};

// Computes the model. Throws SlopeError if a required slope is missing or unusable.
CapacityModel compute_model(const Target& target, const std::vector<Slope>& slopes);

// Parts of compute_model(), defined in role_tables.cpp and requirements.cpp.
std::vector<Row> role_rows(const Costs& costs, const std::vector<Condition>& conditions, Spreading spreading);
std::vector<Requirement> requirements(const Costs& costs, const std::vector<Condition>& conditions,
                                      Spreading spreading);

}  // namespace pearchute::lab::capacity
