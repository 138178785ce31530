#include "lab/scale/scale_faults.h"

#include <algorithm>
#include <sstream>

#include "errors/error.h"
#include "fleet/gossip_state.h"

namespace pearchute::lab {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr ScaleFault every_fault[] = {ScaleFault::ordinary,     ScaleFault::rack,  ScaleFault::zone,
                                      ScaleFault::regions,      ScaleFault::third, ScaleFault::primary,
                                      ScaleFault::configuration};
constexpr seconds recovery_timeout(60);
constexpr seconds fault_duration(5);
// The delay until a command has taken effect everywhere. Real agents check for a signal twenty times a
// second.
constexpr milliseconds effect_delay(500);

constexpr std::size_t ordinary_restarts = 8;
constexpr seconds restart_interval(1);

}  // namespace

std::string_view name_of(ScaleFault fault) {
  constexpr std::string_view names[] = {"ordinary", "rack",    "zone",         "regions",
                                        "third",    "primary", "configuration"};
  return names[static_cast<int>(fault)];
}

std::vector<ScaleFault> all_scale_faults() { return {std::begin(every_fault), std::end(every_fault)}; }

std::vector<ScaleFault> scale_faults_in(const std::string& text) {
  if (text.empty()) return all_scale_faults();
  std::vector<ScaleFault> faults;
  std::istringstream names(text);
  for (std::string word; std::getline(names, word, ',');) {
    const auto known =
        std::ranges::find_if(every_fault, [&](ScaleFault one) { return name_of(one) == word; });
    if (known == std::end(every_fault))
      throw UsageError("expected a fault of a scale run, got '" + word + "'", "--faults",
                       "write some of ordinary,rack,zone,regions,third,primary,configuration");
    faults.push_back(*known);
  }
  return faults;
}

std::optional<milliseconds> FaultInjector::strike(ScaleFault fault) {
  const auto salt = static_cast<std::uint64_t>(fault) + 1;
  const Time repaired_at = [&] {
    switch (fault) {
      case ScaleFault::ordinary:
        return restart_one_by_one();
      case ScaleFault::rack:
        return fail_racks(plan_.draw_racks(1, salt));
      case ScaleFault::zone:
        return fail_racks(plan_.racks_in_zone(plan_.draw_zone(salt)));
      case ScaleFault::regions:
        return cut_regions();
      case ScaleFault::third:
        return restart_third(salt);
      case ScaleFault::primary:
      case ScaleFault::configuration:
        break;
    }
    throw UsageError("the faults primary and configuration have measurements of their own");
  }();
  return cluster_.until_all_fresh(repaired_at, recovery_timeout);
}

// Checks for the duration of a fault that no agent marks gossip of an unreachable agent as fresh. The check
// starts once all gossip from before the fault must have become stale.
void FaultInjector::check_during_fault(const ExpectedGossip& expected) {
  const Time started_at = steady_now();
  const Time stale_from = started_at + fleet::GossipState::fresh_for + effect_delay;
  while (steady_now() - started_at < fault_duration) {
    cluster_.world().rest(milliseconds(200));
    if (steady_now() > stale_from) stale_as_fresh_ += cluster_.compare_all_gossip(expected).stale_as_fresh;
  }
}

Time FaultInjector::fail_racks(const std::set<std::size_t>& racks) {
  cluster_.kill_racks(racks);
  check_during_fault({cluster_.agents_of(racks), false, {}});
  const Time repaired_at = steady_now();
  cluster_.start_racks(racks);
  return repaired_at;
}

Time FaultInjector::cut_regions() {
  cluster_.cut_regions(true);
  check_during_fault({{}, true, {}});
  const Time repaired_at = steady_now();
  cluster_.cut_regions(false);
  return repaired_at;
}

Time FaultInjector::restart_third(std::uint64_t salt) {
  const std::set<std::size_t> racks = plan_.draw_third(salt);
  cluster_.kill_racks(racks);
  const Time repaired_at = steady_now();
  cluster_.start_racks(racks);
  return repaired_at;
}

Time FaultInjector::restart_one_by_one() {
  Time repaired_at = steady_now();
  for (const PlannedHost& host : plan_.draw_hosts(ordinary_restarts, 0)) {
    repaired_at = steady_now();
    cluster_.restart_hosts({host});
    cluster_.world().rest(restart_interval);
  }
  repaired_at = steady_now();
  cluster_.restart_real_agent(0);
  return repaired_at;
}

}  // namespace pearchute::lab
