// The command `pearchute-lab capacity`: reads the slopes and the target, and prints, writes or checks the
// capacity page. It also predicts the figures of a scale run, and adds slopes measured by simulations to the
// slopes file.
#pragma once

#include <optional>
#include <ostream>
#include <string>

#include "lab/capacity/prediction.h"

namespace pearchute::lab::capacity {

struct CapacityCommand {
  std::string slopes = "docs/capacity/slopes.ini";
  std::string target = "docs/capacity/target.ini";
  std::string page;    // the page's file; empty: print the sections
  bool write = false;  // replace the page's sections
  bool check = false;  // compare the page with the computed sections
  std::string add;     // a simulation's output, the last line of which is a JSON object; empty: add nothing
  std::optional<ScaleSize> predict = std::nullopt;  // print one JSON object with the prediction instead
};

// Runs the command and returns the exit status. Throws UsageError, SettingsError or SystemError for bad
// input, and SettingsError for a page that differs from the computed sections.
int run(const CapacityCommand& command, std::ostream& out);

}  // namespace pearchute::lab::capacity
