// The laboratory's command `capacity`: reads slopes and target, and prints, writes or checks the page. It
// also predicts a scale run, and adds what simulations measured to the slopes.
#pragma once

#include <optional>
#include <ostream>
#include <string>

#include "lab/capacity/prediction.h"

namespace pearchute::lab::capacity {

struct CapacityCommand {
  std::string slopes = "docs/capacity/slopes.ini";
  std::string target = "docs/capacity/target.ini";
  std::string page;  // empty: the sections are printed
  bool write = false;
  bool check = false;
  std::string add;  // a simulation's output, whose last line is its JSON object
  std::optional<ScaleSize> predict = std::nullopt;  // in place of the page: one JSON object
};

// The exit status. Throws a typed error for bad input and for a page that is not what was worked out.
int run(const CapacityCommand& command, std::ostream& out);

}  // namespace pearchute::lab::capacity
