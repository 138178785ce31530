#include "fleet/command_outcome.h"

#include <algorithm>

namespace pearchute::fleet {

namespace {

// Returns the status of the most severe outcome: the one that an operator has to handle first.
ExitStatus most_severe(const std::vector<CommandOutcome>& each) {
  const auto any = [&](CommandOutcome outcome) { return std::ranges::find(each, outcome) != each.end(); };
  if (any(CommandOutcome::conflict)) return in_conflict;
  if (any(CommandOutcome::refused)) return was_refused;
  if (any(CommandOutcome::time_up)) return time_was_up;
  if (any(CommandOutcome::unreachable)) return some_unreachable;
  return any(CommandOutcome::not_begun) ? partly_done : all_done;
}

}  // namespace

ExitStatus exit_status_of_query(const std::vector<CommandOutcome>& each) { return most_severe(each); }

ExitStatus exit_status_of_change(const std::vector<CommandOutcome>& each) {
  const auto done = std::ranges::count(each, CommandOutcome::yes);
  if (done > 0 && done < static_cast<std::ptrdiff_t>(each.size())) return partly_done;
  return most_severe(each);
}

}  // namespace pearchute::fleet
