// What an operator's command would take away, and what became of it over many instances: whether it needs a
// word of confirmation, and the status with which the command line ends. It knows no instance but by what it
// is told, and no socket, clock or terminal.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace pearchute::fleet {

struct InstanceAvailability {
  std::string name, zone;
  bool serves = false;  // now, as far as it is known
};

// Zones of which over half of what serves now would stop, with the figures; empty: go on.
struct ZoneDisruption {
  std::string zone;
  int serving = 0, stopping = 0;
};
std::vector<ZoneDisruption> zone_disruptions(const std::vector<InstanceAvailability>& fleet,
                                             const std::vector<std::string>& stopped);

// What became of a command on one instance.
enum class CommandOutcome { yes, unreachable, refused, conflict, time_up, not_begun };

// The exit status of a command: see docs/operating.md.
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
// Of a question, whose answers are told as far as they came.
ExitStatus exit_status_of_query(const std::vector<CommandOutcome>& each);
// Of a change: whatever was done on some and not on others is partly done.
ExitStatus exit_status_of_change(const std::vector<CommandOutcome>& each);

}  // namespace pearchute::fleet
