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
constexpr seconds known_again_within(60);
constexpr seconds held_for(5);
// From a command until it is in force everywhere: real agents look for a signal twenty times a second.
constexpr milliseconds in_force_within(500);

constexpr std::size_t ordinary_restarts = 8;
constexpr seconds between_restarts(1);

}  // namespace

std::string_view name_of(ScaleFault fault) {
  constexpr std::string_view words[] = {"ordinary", "rack",    "zone",         "regions",
                                        "third",    "primary", "configuration"};
  return words[static_cast<int>(fault)];
}

std::vector<ScaleFault> all_scale_faults() { return {std::begin(every_fault), std::end(every_fault)}; }

std::vector<ScaleFault> scale_faults_in(const std::string& text) {
  if (text.empty()) return all_scale_faults();
  std::vector<ScaleFault> faults;
  std::istringstream words(text);
  for (std::string word; std::getline(words, word, ',');) {
    const auto known =
        std::ranges::find_if(every_fault, [&](ScaleFault one) { return name_of(one) == word; });
    if (known == std::end(every_fault))
      throw UsageError("'" + word + "' is no fault of a scale run", "--faults",
                       "write some of ordinary,rack,zone,regions,third,primary,configuration");
    faults.push_back(*known);
  }
  return faults;
}

std::optional<milliseconds> FaultInjector::strike(ScaleFault fault) {
  const auto salt = static_cast<std::uint64_t>(fault) + 1;
  const Time mended = [&] {
    switch (fault) {
      case ScaleFault::ordinary:
        return restart_one_by_one();
      case ScaleFault::rack:
        return lose_racks(plan_.draw_racks(1, salt));
      case ScaleFault::zone:
        return lose_racks(plan_.racks_in_zone(plan_.draw_zone(salt)));
      case ScaleFault::regions:
        return cut_regions();
      case ScaleFault::third:
        return restart_third(salt);
      case ScaleFault::primary:
      case ScaleFault::configuration:
        break;
    }
    throw UsageError("a change of primary or of configuration is no fault of agents");
  }();
  return cluster_.until_all_fresh(mended, known_again_within);
}

// Once word that was fresh when the fault struck has to have grown old, nobody may call it fresh.
void FaultInjector::hold(const Expected& expected) {
  const Time struck = steady_now();
  const Time old_from = struck + fleet::GossipState::fresh_for + in_force_within;
  while (steady_now() - struck < held_for) {
    cluster_.world().rest(milliseconds(200));
    if (steady_now() > old_from) stale_as_fresh_ += cluster_.look(expected).stale_as_fresh;
  }
}

Time FaultInjector::lose_racks(const std::set<std::size_t>& racks) {
  cluster_.kill_racks(racks);
  hold({cluster_.agents_of(racks), false, {}});
  const Time mended = steady_now();
  cluster_.start_racks(racks);
  return mended;
}

Time FaultInjector::cut_regions() {
  cluster_.cut_regions(true);
  hold({{}, true, {}});
  const Time mended = steady_now();
  cluster_.cut_regions(false);
  return mended;
}

Time FaultInjector::restart_third(std::uint64_t salt) {
  const std::set<std::size_t> racks = plan_.draw_third(salt);
  cluster_.kill_racks(racks);
  const Time mended = steady_now();
  cluster_.start_racks(racks);
  return mended;
}

Time FaultInjector::restart_one_by_one() {
  Time mended = steady_now();
  for (const PlannedHost& host : plan_.draw_hosts(ordinary_restarts, 0)) {
    mended = steady_now();
    cluster_.restart_hosts({host});
    cluster_.world().rest(between_restarts);
  }
  mended = steady_now();
  cluster_.restart_real_agent(0);
  return mended;
}

}  // namespace pearchute::lab
