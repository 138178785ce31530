// The capacity of the whole: tables of what each role costs in each condition, each bullet of the target with
// its verdict, and what is missed in order of its factor. Worked out of slopes and target. Pure.
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

// Stands for a mechanism that the code has not got.
inline constexpr const char* nothing_carries_this = "nothing carries this";

enum class Role { manager, agent, engine, list_channel, control_machine, operators };

struct Row {
  Role role;
  std::string kind;           // "state", "messages", "processor" or "memory"
  std::string quantity;       // with its unit
  std::string mechanism;      // in the code, or nothing_carries_this
  std::vector<Figure> cells;  // by condition; empty where nothing carries it
  std::optional<double> limit = std::nullopt;
};

// One machine with so many managers and their agent.
struct Placement {
  double managers_on_machine = 1;
  double machines = 0;
  struct Line {
    std::string quantity;
    std::vector<Figure> cells;  // by condition
    std::optional<double> limit;
  };
  std::vector<Line> lines;
};

// Over the limit where the target only asks for grace: `graceful_over`, shown by a run and no miss.
enum class Verdict { carried_and_shown, carried_on_paper, missed, graceful_over, not_measured };

struct Requirement {
  std::string bullet;  // of the target
  std::string basis;   // what is compared with what
  std::string cost;    // to users, where it is missed
  Verdict verdict = Verdict::not_measured;
  std::optional<double> factor = std::nullopt;  // need over limit; none: nothing carries it
  std::optional<Figure> need = std::nullopt;
  double limit = 0;
  std::string unit = "";
};

// The two ways of spreading status at some numbers of agents.
struct SpreadingComparison {
  double agents = 0;
  Figure sent_before, sent_after;            // bytes/s of an agent
  Figure processor_before, processor_after;  // us/s of an agent
  Figure configuration;                      // ms until a change is in force
};

struct CapacityModel {
  Target target;
  std::vector<Condition> conditions;
  std::vector<Slope> slopes;
  Spreading spreading = Spreading::all_with_all;  // levels, once their slopes are there
  std::vector<Row> rows;
  std::vector<Placement> placements;                  // one manager on a machine, and several
  std::vector<Requirement> requirements;              // in the order of the target
  std::vector<Requirement> misses;                    // the largest factor first
  std::vector<SpreadingComparison> before_and_after;  // empty until the slopes of levels are there
};

// Throws SlopeError where the slopes don't suffice.
CapacityModel work_out(const Target& target, const std::vector<Slope>& slopes);

// The parts of it, in role_tables.cpp and requirements.cpp.
std::vector<Row> role_rows(const Costs& costs, const std::vector<Condition>& conditions, Spreading spreading);
std::vector<Requirement> requirements(const Costs& costs, const std::vector<Condition>& conditions,
                                      Spreading spreading);

}  // namespace pearchute::lab::capacity
