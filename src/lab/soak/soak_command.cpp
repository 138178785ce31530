#include "lab/soak/soak_command.h"

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

namespace pearchute::lab {

namespace {

constexpr std::array failing_call_shares = {0.02, 0.08, 0.2};

// The system calls that pearchuted makes. The kinds after open_fails are calls that only the agent makes.
std::vector<FaultKind> daemon_kinds() {
  std::vector<FaultKind> kinds;
  for (std::size_t i = 0; i <= static_cast<std::size_t>(FaultKind::open_fails); ++i)
    kinds.push_back(static_cast<FaultKind>(i));
  return kinds;
}

// Prints the result, with `run` as the fields that identify it, and returns `passed`.
bool report(const SoakResult& result, nlohmann::json run, bool passed) {
  run.update(result.as_json());
  run["passed"] = passed;
  std::cout << run.dump() << std::endl;
  for (const std::string& violation : result.verdict.faults) std::cerr << violation << "\n";
  for (const std::string& remark : result.remarks) std::cerr << remark << "\n";
  return passed;
}

// Plays a run for each kind of failing call and share. A run also fails if one of its kinds never failed.
bool run_failing_calls(SoakSpec spec, bool combined_only) {
  spec.has_disruptions = false;
  bool passed = true;
  std::vector<std::vector<FaultKind>> sets;
  if (!combined_only)
    for (const FaultKind kind : daemon_kinds()) sets.push_back({kind});
  sets.push_back(daemon_kinds());
  for (const auto& kinds : sets) {
    for (const double share : failing_call_shares) {
      spec.failing_calls = FailingCalls{kinds, share};
      const SoakResult result = run_soak(spec);
      const bool all_failed = std::ranges::all_of(
          kinds, [&](FaultKind kind) { return result.calls_failed[static_cast<std::size_t>(kind)] > 0; });
      const std::string name =
          kinds.size() > 1 ? "all" : std::string(fault_kind_names[static_cast<std::size_t>(kinds.front())]);
      passed &= report(result, {{"calls", name}, {"share", share}, {"seed", spec.seed}},
                       result.is_sound() && all_failed);
    }
  }
  return passed;
}

}  // namespace

int SoakCommand::run() const {
  if (calls_only) return run_failing_calls(spec, together) ? 0 : 1;
  bool passed = true;
  SoakSpec run_spec = spec;
  for (int i = 0; i < seeds; ++i, ++run_spec.seed) {
    const SoakResult result = run_soak(run_spec);
    const bool all_occurred =
        !every_kind || std::ranges::all_of(result.disruptions, [](auto n) { return n > 0; });
    passed &= report(result, {{"seed", run_spec.seed}}, result.is_sound() && all_occurred);
  }
  return passed ? 0 : 1;
}

}  // namespace pearchute::lab
