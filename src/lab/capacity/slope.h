// A slope: how one measured quantity depends on one driver. It has a fitted function, the points to which
// that was fitted, and one size that was left out of the fit and is predicted by it.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "errors/error.h"

namespace pearchute::lab::capacity {

// A slope or a file of slopes that can't be used. Its message names the slope; its remedy is the command to
// run.
using SlopeError = SettingsError;

// The remedy for a slope that is missing or broken.
inline constexpr std::string_view measure_again = "measure it again with pearchute-lab measure slopes";

// A slope's source contains this word if its points come from a simulation instead of real processes.
inline constexpr std::string_view simulated_source = "simulated";

// The value as a function of the driver x.
enum class Shape {
  constant,   // a
  linear,     // a + b x
  quadratic,  // a + b x + c x^2, c > 0
  power,      // a x^b
};

std::string_view shape_name(Shape shape);
Shape shape_by_name(std::string_view name);  // throws SlopeError for an unknown name

struct SlopePoint {
  double driver = 0;
  double value = 0;
  friend bool operator==(const SlopePoint&, const SlopePoint&) = default;
};

struct SlopeDescription {
  std::string name;         // "manager.statement_cpu.by_engines"
  std::string role;         // "manager"
  std::string quantity;     // "processor time of a statement"
  std::string unit;         // of the value: "us/statement"
  std::string driver;       // "engines known"
  std::string driver_unit;  // "engines"
  friend bool operator==(const SlopeDescription&, const SlopeDescription&) = default;
};

struct Slope {
  SlopeDescription description;
  Shape shape = Shape::constant;
  double a = 0, b = 0, c = 0;
  std::vector<SlopePoint> points;  // the fitted points, in order of their driver
  SlopePoint left_out;             // a measured point that is not fitted
  double predicted = 0;            // by the fit, at the size left out
  double error = 0;                // |predicted - measured| / measured, at the size left out
  std::string source;              // the run that measured the points

  // The measured range of the driver, including the size left out.
  double min_driver() const;
  double max_driver() const;
  bool covers(double driver) const;  // false: at() extrapolates

  // Returns the fitted value. Beyond the range a falling function keeps its value at max_driver(), and no
  // value is negative, so that a cost is overestimated rather than underestimated.
  double at(double driver) const;

  friend bool operator==(const Slope&, const Slope&) = default;
};

// The minimum number of sizes of a slope, including the one left out, and the minimum ratio of the largest
// driver to the smallest positive one.
inline constexpr std::size_t min_sizes = 4;
inline constexpr double min_range_factor = 8;

// Fits the points by least squares (a power function on logarithms) and chooses the simplest shape that fits.
// Shapes are compared by their cross-validated error: the root mean square of the deviations at each point of
// a fit to all other points, over the mean value. The choice is a constant if its error is no larger than
// that of a line, and a line otherwise. If the smaller of these errors is above 2%, a power function (with at
// least five points also a quadratic with c > 0) is chosen instead, provided that its error is less than half
// of that. Points are rounded to six and coefficients to nine significant digits, so that a file stores them
// exactly. Throws SlopeError for fewer sizes than min_sizes, a range below min_range_factor, two points with
// one driver, a driver or value that is negative or not finite, an empty field of the description, or an
// invalid `left_out_index`.
Slope fit_slope(SlopeDescription description, std::vector<SlopePoint> points, std::size_t left_out_index,
                std::string source = "");

// Throws SlopeError for a slope that fit_slope() can't have made: for the reasons above, for a coefficient
// that is not finite, and for a prediction or an error that doesn't follow from the other fields.
void check_slope(const Slope& slope);

}  // namespace pearchute::lab::capacity
