#include "fleet/command_outcome.h"

#include <algorithm>

namespace pearchute::fleet {

std::vector<ZoneDisruption> zone_disruptions(const std::vector<InstanceAvailability>& fleet,
                                             const std::vector<std::string>& stopped) {
  std::map<std::string, ZoneDisruption> zones;
  for (const InstanceAvailability& one : fleet) {
    if (!one.serves) continue;
    ZoneDisruption& loss = zones[one.zone];
    loss.zone = one.zone;
    loss.serving += 1;
    loss.stopping += std::ranges::count(stopped, one.name) > 0;
  }
  std::vector<ZoneDisruption> result;
  for (const auto& [zone, loss] : zones) {
    if (2 * loss.stopping > loss.serving) result.push_back(loss);
  }
  return result;
}

namespace {

// The worst comes first: what has to be looked at before anything else.
ExitStatus worst(const std::vector<CommandOutcome>& each) {
  const auto any = [&](CommandOutcome what) { return std::ranges::find(each, what) != each.end(); };
  if (any(CommandOutcome::conflict)) return in_conflict;
  if (any(CommandOutcome::refused)) return was_refused;
  if (any(CommandOutcome::time_up)) return time_was_up;
  if (any(CommandOutcome::unreachable)) return some_unreachable;
  return any(CommandOutcome::not_begun) ? partly_done : all_done;
}

}  // namespace

ExitStatus exit_status_of_query(const std::vector<CommandOutcome>& each) { return worst(each); }

ExitStatus exit_status_of_change(const std::vector<CommandOutcome>& each) {
  const auto done = std::ranges::count(each, CommandOutcome::yes);
  if (done > 0 && done < static_cast<std::ptrdiff_t>(each.size())) return partly_done;
  return worst(each);
}

}  // namespace pearchute::fleet
