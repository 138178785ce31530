#include "lab/soak/soak_command.h"

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

namespace pearchute::lab {

namespace {

constexpr std::array call_shares = {0.02, 0.08, 0.2};

// What pearchuted calls; the last kinds are those of the agent's folder.
std::vector<FaultKind> daemon_kinds() {
  std::vector<FaultKind> kinds;
  for (std::size_t i = 0; i <= static_cast<std::size_t>(FaultKind::open_fails); ++i)
    kinds.push_back(static_cast<FaultKind>(i));
  return kinds;
}

bool report(const SoakResult& result, nlohmann::json told, bool passed) {
  told.update(result.as_json());
  told["passed"] = passed;
  std::cout << told.dump() << std::endl;
  for (const std::string& fault : result.verdict.faults) std::cerr << fault << "\n";
  for (const std::string& remark : result.remarks) std::cerr << remark << "\n";
  return passed;
}

bool run_calls(SoakSpec spec, bool together) {
  spec.troubles = false;
  bool passed = true;
  std::vector<std::vector<FaultKind>> sets;
  if (!together)
    for (const FaultKind kind : daemon_kinds()) sets.push_back({kind});
  sets.push_back(daemon_kinds());
  for (const auto& kinds : sets) {
    for (const double share : call_shares) {
      spec.failing_calls = FailingCalls{kinds, share};
      const SoakResult result = run_soak(spec);
      const bool all_struck = std::ranges::all_of(
          kinds, [&](FaultKind kind) { return result.calls_failed[static_cast<std::size_t>(kind)] > 0; });
      const std::string name =
          kinds.size() > 1 ? "all" : std::string(fault_kind_names[static_cast<std::size_t>(kinds.front())]);
      passed &= report(result, {{"calls", name}, {"share", share}, {"seed", spec.seed}},
                       result.is_sound() && all_struck);
    }
  }
  return passed;
}

}  // namespace

int SoakCommand::run() const {
  if (calls_only) return run_calls(spec, together) ? 0 : 1;
  bool passed = true;
  SoakSpec one = spec;
  for (int i = 0; i < seeds; ++i, ++one.seed) {
    const SoakResult result = run_soak(one);
    const bool all_came = !every_kind || std::ranges::all_of(result.troubles, [](auto n) { return n > 0; });
    passed &= report(result, {{"seed", one.seed}}, result.is_sound() && all_came);
  }
  return passed ? 0 : 1;
}

}  // namespace pearchute::lab
