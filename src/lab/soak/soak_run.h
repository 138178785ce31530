// A soak run: managers as real processes among stand-ins, under steady load and overlapping disruptions drawn
// from a seed. The run is judged by what the stand-in clients and engines observed, and by the rule guards of
// the managers, whose counts are read from their logs. A run ends every process that it started.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "lab/faults/fault_injection.h"
#include "lab/soak/disruption_schedule.h"
#include "lab/stand_ins/test_cluster.h"

namespace pearchute::lab {

// System calls that fail at all managers for the whole run.
struct FailingCalls {
  std::vector<FaultKind> kinds;
  double share = 0;  // of the calls of each kind, 0 to 1
};

struct SoakSpec {
  std::uint64_t seed = 1;
  int managers = 12, engines = 8;
  double rate = 300;  // statements per second, over all managers
  std::chrono::milliseconds lasts{20000};
  bool has_disruptions = true;  // else managers are only reloaded and restarted, one after another
  std::optional<FailingCalls> failing_calls;
  std::string programs;  // the folder of pearchuted and of the fault injection library
  std::string logs;      // the folder where the managers' logs are kept if a run is not sound; empty: nowhere
};

struct SoakResult {
  HistoryChecker::Verdict verdict;
  std::array<std::uint64_t, disruption_kinds> disruptions{};  // started, by kind
  std::array<std::uint64_t, fault_kinds> calls_failed{};      // over all managers
  std::uint64_t clock_reads = 0;                              // by managers while their wall clock was off
  std::uint64_t restarts = 0, kills = 0;
  std::uint64_t failed_starts = 0;  // a manager that exited before it served, or did not serve in time
  std::uint64_t failed_exits = 0;   // crashes, and after SIGTERM a status other than 0 or no exit at the end
  std::uint64_t killed_during_shutdown = 0;  // still running when the platform may kill them
  std::uint64_t crossing_answers = 0;  // of engines, to attempts that the manager had cancelled meanwhile
  std::map<std::string, std::uint64_t> rules_broken, rules_suppressed;  // by the managers' rule guards
  std::uint64_t failed_events = 0;
  std::vector<std::string> remarks;  // the first 20 faults that the verdict does not cover
  // No rule was broken, each start and exit succeeded, and the guards suppressed no action that can only come
  // from a wrong decision.
  bool is_sound() const;
  nlohmann::json as_json() const;
};

// Returns after the run, which takes `spec.lasts` and the time to start and stop the managers.
SoakResult run_soak(const SoakSpec& spec);

}  // namespace pearchute::lab
