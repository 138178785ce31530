// A figure of the capacity page: a value together with the slopes from which it was computed.
#pragma once

#include <optional>
#include <set>
#include <string>

namespace pearchute::lab::capacity {

struct Figure {
  std::optional<double> value;   // none: a slope that it depends on is not measured
  std::set<std::string> slopes;  // names; empty: computed from the target alone
  bool extrapolated = false;     // a driver lies outside the range in which its slope was measured
  bool simulated = false;        // one of its slopes comes from a simulation
  double error = 0;  // the largest relative error of its slopes, each at the size left out of its fit

  static Figure of_target(double value) { return {value, {}, false, false, 0}; }
};

// The sum has the slopes and marks of both, and no value if one of them has none.
Figure operator+(const Figure& one, const Figure& other);
Figure operator*(const Figure& figure, double factor);

}  // namespace pearchute::lab::capacity
