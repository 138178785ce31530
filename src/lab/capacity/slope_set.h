// All measured slopes by name, checked for what the capacity model needs.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "lab/capacity/figure.h"
#include "lab/capacity/slope.h"

namespace pearchute::lab::capacity {

// A slope that the model uses. If an optional one is missing, the model leaves out what depends on it.
struct KnownSlope {
  std::string_view name, unit;
  bool required = true;
};
const std::vector<KnownSlope>& known_slopes();

class SlopeSet {
 public:
  // `not_measured` has a reason for each slope that is left out, by name. Throws SlopeError for a required
  // slope that is neither present nor left out, one that is both, a reason for an unknown slope, a duplicate
  // slope, and a known slope with another unit.
  SlopeSet(const std::vector<Slope>& slopes, const std::map<std::string, std::string>& not_measured);

  bool has(const std::string& name) const { return slopes_.contains(name); }
  // Returns the fitted value at that driver; without a value if the slope is missing.
  Figure at(const std::string& name, double driver) const;
  // Returns how much the quantity grows while its driver goes from `from` to `to`; never negative.
  Figure growth(const std::string& name, double from, double to) const;

 private:
  std::map<std::string, Slope> slopes_;
};

}  // namespace pearchute::lab::capacity
