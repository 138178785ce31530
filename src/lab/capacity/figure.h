// A figure of the capacity page: a value together with the slopes that it was worked out from. Pure.
#pragma once

#include <optional>
#include <set>
#include <string>

namespace pearchute::lab::capacity {

struct Figure {
  std::optional<double> value;   // none: a slope that it needs was not measured
  std::set<std::string> slopes;  // by name; empty: worked out of the target alone
  bool extrapolated = false;     // a driver lies outside the range in which its slope was measured
  bool simulated = false;        // one of its slopes comes from a simulation
  double error = 0;              // the largest relative error of its slopes at the size left out

  static Figure of_target(double value) { return {value, {}, false, false, 0}; }
};

// The slopes of both; without a value where one of them has none.
Figure operator+(const Figure& one, const Figure& other);
Figure operator*(const Figure& figure, double factor);

}  // namespace pearchute::lab::capacity
