#include "lab/capacity/slope.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <iterator>
#include <limits>
#include <optional>
#include <utility>

namespace pearchute::lab::capacity {

namespace {

constexpr std::array<std::string_view, 4> shape_names = {"constant", "linear", "quadratic", "power"};
constexpr int point_digits = 6;
constexpr int coefficient_digits = 9;
constexpr double acceptable_error = 0.02;  // of a constant or a line; see fit_slope()
constexpr double max_error_ratio = 0.5;    // of another shape's error to that of a constant or a line
constexpr std::size_t min_points_of_a_quadratic = 5;
constexpr double noise = 1e-6;     // relative; smaller terms come from rounding points to six digits
constexpr double rounding = 1e-6;  // relative, between a stored value and the same value computed again

struct Coefficients {
  double a = 0, b = 0, c = 0;
};

double rounded(double value, int digits) {
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%.*g", digits, value);
  return std::strtod(text.data(), nullptr);
}

double value_of(Shape shape, const Coefficients& fit, double driver) {
  switch (shape) {
    case Shape::constant:
      return fit.a;
    case Shape::linear:
      return fit.a + fit.b * driver;
    case Shape::quadratic:
      return fit.a + fit.b * driver + fit.c * driver * driver;
    case Shape::power:
      return fit.a * std::pow(driver, fit.b);
  }
  return fit.a;
}

double mean_value(const std::vector<SlopePoint>& points) {
  double sum = 0;
  for (const SlopePoint& point : points) sum += point.value;
  return sum / static_cast<double>(points.size());
}

Coefficients fit_constant(const std::vector<SlopePoint>& points) { return {mean_value(points), 0, 0}; }

Coefficients fit_linear(const std::vector<SlopePoint>& points) {
  double mean_driver = 0;
  for (const SlopePoint& point : points) mean_driver += point.driver / static_cast<double>(points.size());
  const double mean = mean_value(points);
  double covariance = 0;
  double variance = 0;
  for (const SlopePoint& point : points) {
    covariance += (point.driver - mean_driver) * (point.value - mean);
    variance += (point.driver - mean_driver) * (point.driver - mean_driver);
  }
  const double b = covariance / variance;
  return {mean - b * mean_driver, b, 0};
}

// Solves the normal equations, with drivers scaled by the largest so that the equations are well conditioned.
// Returns nothing for a singular system or c <= 0.
std::optional<Coefficients> fit_quadratic(const std::vector<SlopePoint>& points) {
  if (points.size() < 3) return std::nullopt;
  double scale = 0;
  for (const SlopePoint& point : points) scale = std::max(scale, point.driver);
  std::array<std::array<double, 4>, 3> rows{};
  for (const SlopePoint& point : points) {
    const double x = point.driver / scale;
    const std::array<double, 3> powers = {1, x, x * x};
    for (std::size_t row = 0; row < 3; ++row) {
      for (std::size_t column = 0; column < 3; ++column) rows[row][column] += powers[row] * powers[column];
      rows[row][3] += powers[row] * point.value;
    }
  }
  for (std::size_t pivot = 0; pivot < 3; ++pivot) {
    if (std::abs(rows[pivot][pivot]) < std::numeric_limits<double>::epsilon()) return std::nullopt;
    for (std::size_t row = 0; row < 3; ++row) {
      if (row == pivot) continue;
      const double factor = rows[row][pivot] / rows[pivot][pivot];
      for (std::size_t column = 0; column < 4; ++column) rows[row][column] -= factor * rows[pivot][column];
    }
  }
  const Coefficients fit = {rows[0][3] / rows[0][0], rows[1][3] / rows[1][1] / scale,
                            rows[2][3] / rows[2][2] / (scale * scale)};
  if (fit.c <= 0) return std::nullopt;
  return fit;
}

std::optional<Coefficients> fit_power(const std::vector<SlopePoint>& points) {
  std::vector<SlopePoint> logarithms;
  for (const SlopePoint& point : points) {
    if (point.driver <= 0 || point.value <= 0) return std::nullopt;
    logarithms.push_back({std::log(point.driver), std::log(point.value)});
  }
  const Coefficients line = fit_linear(logarithms);
  return Coefficients{std::exp(line.a), line.b, 0};
}

std::optional<Coefficients> fit(Shape shape, const std::vector<SlopePoint>& points) {
  switch (shape) {
    case Shape::constant:
      return fit_constant(points);
    case Shape::linear:
      return fit_linear(points);
    case Shape::quadratic:
      return fit_quadratic(points);
    case Shape::power:
      return fit_power(points);
  }
  return std::nullopt;
}

// Returns the cross-validated error of a shape, relative to the mean value; none if the shape can't be
// fitted.
std::optional<double> cross_validated_error(Shape shape, const std::vector<SlopePoint>& points) {
  if (shape == Shape::quadratic && points.size() < min_points_of_a_quadratic) return std::nullopt;
  if (!fit(shape, points)) return std::nullopt;
  double squares = 0;
  for (std::size_t held_back = 0; held_back < points.size(); ++held_back) {
    std::vector<SlopePoint> others = points;
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(held_back));
    const std::optional<Coefficients> coefficients = fit(shape, others);
    if (!coefficients) return std::nullopt;
    const SlopePoint& point = points[held_back];
    const double deviation = value_of(shape, *coefficients, point.driver) - point.value;
    squares += deviation * deviation;
  }
  const double mean = mean_value(points);
  const double root_mean_square = std::sqrt(squares / static_cast<double>(points.size()));
  const double error = mean > 0 ? root_mean_square / mean : root_mean_square;
  return error < noise ? 0 : error;
}

Shape simplest_shape(const std::vector<SlopePoint>& points) {
  const double constant = cross_validated_error(Shape::constant, points).value();
  const double line = cross_validated_error(Shape::linear, points).value();
  Shape best = constant <= line ? Shape::constant : Shape::linear;
  const double error_of_simple = std::min(constant, line);
  if (error_of_simple <= acceptable_error) return best;
  double max_error = error_of_simple * max_error_ratio;
  for (const Shape shape : {Shape::power, Shape::quadratic}) {
    const std::optional<double> error = cross_validated_error(shape, points);
    if (!error || *error >= max_error) continue;
    best = shape;
    max_error = *error;
  }
  return best;
}

std::string text_of(double value) {
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%.*g", point_digits, value);
  return text.data();
}

[[noreturn]] void throw_error(const SlopeDescription& description, const std::string& wrong) {
  throw SlopeError("[" + description.name + "] " + wrong, "", std::string(measure_again));
}

void check_description(const SlopeDescription& description) {
  if (description.name.empty()) throw SlopeError("a slope has no name", "", std::string(measure_again));
  const std::array<std::pair<std::string_view, const std::string*>, 5> fields = {
      {{"role", &description.role},
       {"quantity", &description.quantity},
       {"unit", &description.unit},
       {"driver", &description.driver},
       {"driver_unit", &description.driver_unit}}};
  for (const auto& [name, text] : fields)
    if (text->empty()) throw_error(description, "'" + std::string(name) + "' is missing");
}

// `points` are all sizes, including the one left out, in any order.
void check_sizes(const SlopeDescription& description, std::vector<SlopePoint> points) {
  if (points.size() < min_sizes)
    throw_error(description, "has " + std::to_string(points.size()) + " sizes; at least " +
                                 std::to_string(min_sizes) + " are needed, including the one left out");
  std::sort(points.begin(), points.end(),
            [](const SlopePoint& one, const SlopePoint& other) { return one.driver < other.driver; });
  for (std::size_t i = 0; i < points.size(); ++i) {
    if (!std::isfinite(points[i].driver) || points[i].driver < 0)
      throw_error(description,
                  "has the driver " + text_of(points[i].driver) + "; expected a number of at least 0");
    if (!std::isfinite(points[i].value) || points[i].value < 0)
      throw_error(description,
                  "has the value " + text_of(points[i].value) + "; expected a number of at least 0");
    if (i > 0 && points[i].driver == points[i - 1].driver)
      throw_error(description, "has two points with the driver " + text_of(points[i].driver));
  }
  const auto first_positive =
      std::find_if(points.begin(), points.end(), [](const SlopePoint& point) { return point.driver > 0; });
  if (points.back().driver < first_positive->driver * min_range_factor)
    throw_error(description, "was measured with drivers from " + text_of(first_positive->driver) + " to " +
                                 text_of(points.back().driver) + "; the largest has to be at least " +
                                 text_of(min_range_factor) + " times the smallest positive one");
}

// Sets coefficients that are mere noise to 0 and rounds the others.
Coefficients without_noise(const Coefficients& fit, const std::vector<SlopePoint>& points) {
  double max_driver = 0;
  double max_value = 0;
  for (const SlopePoint& point : points) {
    max_driver = std::max(max_driver, point.driver);
    max_value = std::max(max_value, point.value);
  }
  const auto clean = [&](double coefficient, double factor) {
    return std::abs(coefficient) * factor < noise * max_value ? 0 : rounded(coefficient, coefficient_digits);
  };
  return {clean(fit.a, 1), clean(fit.b, max_driver), clean(fit.c, max_driver * max_driver)};
}

double relative_error(double predicted, double measured) {
  if (measured == 0) return predicted == 0 ? 0 : 1;
  return std::abs(predicted - measured) / measured;
}

bool is_close(double one, double other) {
  return std::abs(one - other) <= rounding * std::max({std::abs(one), std::abs(other), rounding});
}

}  // namespace

std::string_view shape_name(Shape shape) { return shape_names[static_cast<std::size_t>(shape)]; }

Shape shape_by_name(std::string_view name) {
  const auto* found = std::find(shape_names.begin(), shape_names.end(), name);
  if (found == shape_names.end())
    throw SlopeError("'shape': expected constant, linear, quadratic or power, got '" + std::string(name) +
                     "'");
  return static_cast<Shape>(std::distance(shape_names.begin(), found));
}

double Slope::min_driver() const {
  double smallest = left_out.driver;
  for (const SlopePoint& point : points) smallest = std::min(smallest, point.driver);
  return smallest;
}

double Slope::max_driver() const {
  double largest = left_out.driver;
  for (const SlopePoint& point : points) largest = std::max(largest, point.driver);
  return largest;
}

bool Slope::covers(double driver) const { return driver >= min_driver() && driver <= max_driver(); }

double Slope::at(double driver) const {
  const Coefficients fit = {a, b, c};
  const double end = max_driver();
  const double value_at_end = value_of(shape, fit, end);
  const bool is_falling = value_at_end < value_of(shape, fit, min_driver());
  const double value = is_falling && driver > end ? value_at_end : value_of(shape, fit, driver);
  return std::max(0.0, value);
}

Slope fit_slope(SlopeDescription description, std::vector<SlopePoint> points, std::size_t left_out_index,
                std::string source) {
  check_description(description);
  for (SlopePoint& point : points)
    point = {rounded(point.driver, point_digits), rounded(point.value, point_digits)};
  check_sizes(description, points);
  if (left_out_index >= points.size())
    throw_error(description, "has " + std::to_string(points.size()) + " sizes; there is no size " +
                                 std::to_string(left_out_index) + ", counted from 0, to be left out");
  Slope slope;
  slope.description = std::move(description);
  slope.source = std::move(source);
  slope.left_out = points[left_out_index];
  points.erase(points.begin() + static_cast<std::ptrdiff_t>(left_out_index));
  std::sort(points.begin(), points.end(),
            [](const SlopePoint& one, const SlopePoint& other) { return one.driver < other.driver; });
  slope.points = std::move(points);
  slope.shape = simplest_shape(slope.points);
  Coefficients coefficients = fit(slope.shape, slope.points).value();
  if (slope.shape == Shape::power)
    coefficients = {rounded(coefficients.a, coefficient_digits), rounded(coefficients.b, coefficient_digits),
                    0};
  else coefficients = without_noise(coefficients, slope.points);
  slope.a = coefficients.a;
  slope.b = coefficients.b;
  slope.c = coefficients.c;
  slope.predicted = rounded(slope.at(slope.left_out.driver), coefficient_digits);
  slope.error = rounded(relative_error(slope.predicted, slope.left_out.value), coefficient_digits);
  return slope;
}

void check_slope(const Slope& slope) {
  check_description(slope.description);
  std::vector<SlopePoint> sizes = slope.points;
  sizes.push_back(slope.left_out);
  check_sizes(slope.description, sizes);
  if (!std::isfinite(slope.a) || !std::isfinite(slope.b) || !std::isfinite(slope.c))
    throw_error(slope.description, "has a coefficient that is not finite");
  if (!is_close(slope.predicted, slope.at(slope.left_out.driver)))
    throw_error(slope.description, "'left_out_predicted' doesn't follow from the coefficients: expected " +
                                       text_of(slope.at(slope.left_out.driver)) + ", got " +
                                       text_of(slope.predicted));
  if (!is_close(slope.error, relative_error(slope.predicted, slope.left_out.value)))
    throw_error(slope.description, "'left_out_error' doesn't follow from the prediction: expected " +
                                       text_of(relative_error(slope.predicted, slope.left_out.value)) +
                                       ", got " + text_of(slope.error));
}

}  // namespace pearchute::lab::capacity
