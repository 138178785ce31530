// A soak run: managers as real processes among stand-ins, steady load, and overlapping troubles drawn from a
// seed. It is judged from outside, by what clients and engines saw, and by the rule guards of the managers,
// whose counts are read from their logs. It ends what it has started.
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
#include "lab/soak/trouble_schedule.h"
#include "lab/stand_ins/test_cluster.h"

namespace pearchute::lab {

// System calls that fail for the whole run, at all managers.
struct FailingCalls {
  std::vector<FaultKind> kinds;
  double share = 0;
};

struct SoakSpec {
  std::uint64_t seed = 1;
  int managers = 12, engines = 8;
  double rate = 300;  // statements a second, over all managers
  std::chrono::milliseconds lasts{20000};
  bool troubles = true;  // by schedule; else managers are only reloaded and restarted in turn
  std::optional<FailingCalls> failing_calls;
  std::string programs;  // the folder of pearchuted and the library of faults
  std::string logs;      // where the managers' logs of a run that is not sound are kept; empty: nowhere
};

struct SoakResult {
  HistoryChecker::Verdict verdict;
  std::array<std::uint64_t, trouble_kinds> troubles{};    // begun, by kind
  std::array<std::uint64_t, fault_kinds> calls_failed{};  // over all managers
  std::uint64_t clock_reads = 0;                          // while a wall clock was off
  std::uint64_t restarts = 0, kills = 0;
  std::uint64_t failed_starts = 0;      // ended before it served, or did not serve in time
  std::uint64_t bad_ends = 0;           // a status other than 0, or no end at last, after SIGTERM
  std::uint64_t killed_at_the_end = 0;  // told to end, and still there when the platform may kill
  std::uint64_t words_across = 0;       // that engines said across a give-up
  std::map<std::string, std::uint64_t> rules_broken, rules_held_back;  // by the managers' guards
  std::uint64_t failed_events = 0;
  std::vector<std::string> remarks;  // the first few, of what went wrong beside the verdict's
  bool is_sound() const;
  nlohmann::json as_json() const;
};

SoakResult run_soak(const SoakSpec& spec);

}  // namespace pearchute::lab
