// What became of an operator's command over many instances, and the exit status with which the command line
// ends. Stateless.
#pragma once

#include <vector>

namespace pearchute::fleet {

// What became of a command on one instance.
enum class CommandOutcome { yes, unreachable, refused, conflict, time_up, not_begun };

// The exit status of a command line: see docs/operating.md.
enum ExitStatus {
  all_done = 0,
  usage = 2,
  some_unreachable = 3,
  was_refused = 4,
  in_conflict = 5,
  time_was_up = 6,
  partly_done = 7,
  not_confirmed = 8,
};

// Of a query, whose answers are printed as far as they came.
ExitStatus exit_status_of_query(const std::vector<CommandOutcome>& each);
// Of a change: partly done where it was done on some instances only.
ExitStatus exit_status_of_change(const std::vector<CommandOutcome>& each);

}  // namespace pearchute::fleet
