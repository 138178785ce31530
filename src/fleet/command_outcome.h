// Outcomes of an operator's command on many instances, and the exit status of the command line that they add
// up to. Stateless.
#pragma once

#include <vector>

namespace pearchute::fleet {

// The outcome of a command on one instance.
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

// Returns the exit status of a query; the answers that were received are printed whatever the status.
ExitStatus exit_status_of_query(const std::vector<CommandOutcome>& each);
// Returns the exit status of a change: partly_done if it succeeded on some of the instances only.
ExitStatus exit_status_of_change(const std::vector<CommandOutcome>& each);

}  // namespace pearchute::fleet
