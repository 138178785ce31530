// A short soak run: managers as processes under the overlapping disruptions of one seed, and under failing
// system calls of all kinds combined. `pearchute-lab soak` plays more seeds for longer.
#include <cassert>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <nlohmann/json.hpp>

#include "lab/soak/soak_run.h"
#include "scenarios.h"

using namespace pearchute::lab;
using std::chrono::milliseconds;

namespace {

SoakSpec short_run() {
  SoakSpec spec;
  spec.seed = 20, spec.managers = 4, spec.engines = 4, spec.rate = 120;
  spec.lasts = milliseconds(8000);
  spec.programs = std::filesystem::path(PEARCHUTED).parent_path();
  return spec;
}

void print(const SoakResult& result) {
  std::fprintf(stderr, "%s\n", result.as_json().dump().c_str());
  for (const std::string& violation : result.verdict.faults) std::fprintf(stderr, "%s\n", violation.c_str());
  for (const std::string& remark : result.remarks) std::fprintf(stderr, "%s\n", remark.c_str());
}

// The same seed gives the same schedule. A long enough run has disruptions of all kinds, which overlap.
void schedule() {
  const auto first = schedule_disruptions(3, milliseconds(20000)),
             second = schedule_disruptions(3, milliseconds(20000));
  assert(first.size() == second.size() && first.size() > 2 * disruption_kinds);
  std::array<int, disruption_kinds> of_kind{};
  std::size_t overlapping = 0;
  for (std::size_t i = 0; i < first.size(); ++i) {
    assert(first[i].kind == second[i].kind && first[i].at == second[i].at && first[i].draw == second[i].draw);
    ++of_kind[static_cast<std::size_t>(first[i].kind)];
    overlapping += i > 0 && first[i].at < first[i - 1].at + first[i - 1].duration;
  }
  for (const int count : of_kind) assert(count > 0);
  assert(2 * overlapping > first.size());
  const auto other = schedule_disruptions(4, milliseconds(20000));
  assert(other.front().draw != first.front().draw);
}

void play_seed(std::uint64_t seed) {
  SoakSpec spec = short_run();
  spec.seed = seed;
  const SoakResult result = run_soak(spec);
  print(result);
  assert(result.verdict.done > 100);
  std::uint64_t started = 0;
  for (const std::uint64_t count : result.disruptions) started += count;
  assert(started > disruption_kinds / 2);
  // The situations that the rules judge have occurred.
  assert(result.verdict.rests_seen > 0 && result.verdict.further_seen > 0 && result.crossing_answers > 0);
  assert(result.is_sound());
}

void troubles() { play_seed(20); }

// A seed with idle connections at two managers for the whole run, and short request timeouts.
void crowd_and_short_deadlines() { play_seed(24); }

void calls() {
  SoakSpec spec = short_run();
  spec.has_disruptions = false, spec.lasts = milliseconds(4000);
  FailingCalls calls;
  for (std::size_t i = 0; i <= static_cast<std::size_t>(FaultKind::open_fails); ++i)
    calls.kinds.push_back(static_cast<FaultKind>(i));
  calls.share = 0.08;
  spec.failing_calls = calls;
  const SoakResult result = run_soak(spec);
  print(result);
  for (const FaultKind kind : calls.kinds) assert(result.calls_failed[static_cast<std::size_t>(kind)] > 0);
  assert(result.restarts == static_cast<std::uint64_t>(spec.managers));
  assert(result.is_sound());
}

constexpr pearchute::test::Scenario scenarios[] = {{"schedule", schedule},
                                                   {"troubles", troubles},
                                                   {"crowd_and_short_deadlines", crowd_and_short_deadlines},
                                                   {"calls", calls}};

}  // namespace

int main(int count, char** names) { return pearchute::test::play_named(scenarios, count, names); }
