// All measured slopes, by their names, checked for what the capacity page needs. Pure.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "lab/capacity/figure.h"
#include "lab/capacity/slope.h"

namespace pearchute::lab::capacity {

// A slope that the model knows. One that is not required may be missing; what needs it is then left out.
struct KnownSlope {
  std::string_view name, unit;
  bool required = true;
};
const std::vector<KnownSlope>& known_slopes();

class SlopeSet {
 public:
  // Throws SlopeError for a required slope that is missing and not listed in `not_measured`, one that is both
  // listed and there, a reason for one that is not known, and a known slope of another unit.
  SlopeSet(const std::vector<Slope>& slopes, const std::map<std::string, std::string>& not_measured);

  bool has(const std::string& name) const { return slopes_.contains(name); }
  // The fitted value at that driver.
  Figure at(const std::string& name, double driver) const;
  // What the quantity grows by as its driver goes from one value to another; never negative.
  Figure growth(const std::string& name, double from, double to) const;

 private:
  std::map<std::string, Slope> slopes_;
};

}  // namespace pearchute::lab::capacity
