// A slope: how one measured quantity grows with one driver, as a fitted shape with the points it was fitted
// to and one size that was left out of the fit and predicted by it. Pure: no I/O, no clock.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "errors/error.h"

namespace pearchute::lab::capacity {

// A slope or a file of slopes that can't be used. Names the slope and what to run.
using SlopeError = SettingsError;

// What an operator can do about a slope that is missing or broken.
inline constexpr std::string_view measure_again = "measure it anew with pearchute-lab measure slopes";

// In a slope's source: its points come from a simulation, not from processes.
inline constexpr std::string_view simulated_source = "simulated";

// The value as a function of the driver x.
enum class Shape {
  constant,   // a
  linear,     // a + b x
  quadratic,  // a + b x + c x^2, c > 0
  power,      // a x^b
};

std::string_view shape_name(Shape shape);
Shape shape_by_name(std::string_view name);  // throws SlopeError

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
  std::vector<SlopePoint> points;  // those fitted, in order of their driver
  SlopePoint left_out;             // measured and not fitted
  double predicted = 0;            // by the fit, at the size left out
  double error = 0;                // |predicted - measured| / measured, at the size left out
  std::string source;              // which run gave the points

  // The range of the driver over which something was measured, the size left out included.
  double least_driver() const;
  double most_driver() const;
  bool covers(double driver) const;  // false: at() extrapolates

  // The fitted value. Beyond the range a shape that falls is held at its end, and nothing is negative: a cost
  // is rather told too high than too low.
  double at(double driver) const;

  friend bool operator==(const Slope&, const Slope&) = default;
};

// The least that makes a slope: sizes measured, the one left out included, and the factor over which.
inline constexpr std::size_t least_sizes = 4;
inline constexpr double least_factor = 8;

// Fits by least squares (the power on logarithms) and takes the simplest shape that fits. Each shape's
// cross-validated error is the root mean square of what it misses each fitted point by when it is fitted to
// the others, over the mean value. A line is taken, or a constant where its error is no larger. Only where
// the error of both is above 2%, and that of a power (with five points or more also of a quadratic that opens
// upwards) is under half of it, that is taken instead.
// Points and coefficients are kept to six and nine significant digits, so that a file holds them exactly.
// Throws SlopeError for fewer sizes than least_sizes, a range under least_factor, two points of one size, a
// value that is negative or no number, or an index that is none.
Slope fit_slope(SlopeDescription description, std::vector<SlopePoint> points, std::size_t left_out_index,
                std::string source = "");

// Throws SlopeError for a slope whose fields can't have come from a measurement: those above, a description
// with an empty field, a fit that is negative within its own range, a prediction or error that doesn't
// follow.
void check_slope(const Slope& slope);

}  // namespace pearchute::lab::capacity
