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
constexpr double good_enough = 0.02;
constexpr double clearly_better = 0.5;
constexpr std::size_t least_points_of_a_quadratic = 5;
constexpr double noise = 1e-6;     // relative: what is smaller comes of points kept to six digits
constexpr double rounding = 1e-6;  // relative, between a kept value and the same worked out again

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

// By the normal equations, with the driver scaled to its largest so that they are well conditioned.
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

// The cross-validated error of a shape, over the mean value; none where the shape can't be fitted.
std::optional<double> cross_validated_error(Shape shape, const std::vector<SlopePoint>& points) {
  if (shape == Shape::quadratic && points.size() < least_points_of_a_quadratic) return std::nullopt;
  if (!fit(shape, points)) return std::nullopt;
  double squares = 0;
  for (std::size_t held_back = 0; held_back < points.size(); ++held_back) {
    std::vector<SlopePoint> others = points;
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(held_back));
    const std::optional<Coefficients> coefficients = fit(shape, others);
    if (!coefficients) return std::nullopt;
    const SlopePoint& point = points[held_back];
    const double missed = value_of(shape, *coefficients, point.driver) - point.value;
    squares += missed * missed;
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
  if (error_of_simple <= good_enough) return best;
  double to_beat = error_of_simple * clearly_better;
  for (const Shape shape : {Shape::power, Shape::quadratic}) {
    const std::optional<double> error = cross_validated_error(shape, points);
    if (!error || *error >= to_beat) continue;
    best = shape;
    to_beat = *error;
  }
  return best;
}

[[noreturn]] void refuse(const SlopeDescription& description, const std::string& wrong) {
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
    if (text->empty()) refuse(description, "'" + std::string(name) + "' is missing");
}

// Takes all sizes, the one left out included, in any order.
void check_sizes(const SlopeDescription& description, std::vector<SlopePoint> points) {
  if (points.size() < least_sizes)
    refuse(description, "has " + std::to_string(points.size()) + " sizes, " + std::to_string(least_sizes) +
                            " are the least, the one left out included");
  std::sort(points.begin(), points.end(),
            [](const SlopePoint& one, const SlopePoint& other) { return one.driver < other.driver; });
  for (std::size_t i = 0; i < points.size(); ++i) {
    if (!std::isfinite(points[i].driver) || points[i].driver < 0)
      refuse(description, "has a negative driver or one that is no number");
    if (!std::isfinite(points[i].value) || points[i].value < 0)
      refuse(description, "has a negative value or one that is no number");
    if (i > 0 && points[i].driver == points[i - 1].driver) refuse(description, "has two points of one size");
  }
  const auto first_positive =
      std::find_if(points.begin(), points.end(), [](const SlopePoint& point) { return point.driver > 0; });
  if (points.back().driver < first_positive->driver * least_factor)
    refuse(description, "was measured over less than a factor of " +
                            std::to_string(static_cast<int>(least_factor)) + " of its driver");
}

// Without coefficients that are mere noise.
Coefficients cleaned(const Coefficients& fit, const std::vector<SlopePoint>& points) {
  double most_driver = 0;
  double most_value = 0;
  for (const SlopePoint& point : points) {
    most_driver = std::max(most_driver, point.driver);
    most_value = std::max(most_value, point.value);
  }
  const auto clean = [&](double coefficient, double factor) {
    return std::abs(coefficient) * factor < noise * most_value ? 0 : rounded(coefficient, coefficient_digits);
  };
  return {clean(fit.a, 1), clean(fit.b, most_driver), clean(fit.c, most_driver * most_driver)};
}

double relative_error(double predicted, double measured) {
  if (measured == 0) return predicted == 0 ? 0 : 1;
  return std::abs(predicted - measured) / measured;
}

bool nearly(double one, double other) {
  return std::abs(one - other) <= rounding * std::max({std::abs(one), std::abs(other), rounding});
}

}  // namespace

std::string_view shape_name(Shape shape) { return shape_names[static_cast<std::size_t>(shape)]; }

Shape shape_by_name(std::string_view name) {
  const auto* found = std::find(shape_names.begin(), shape_names.end(), name);
  if (found == shape_names.end())
    throw SlopeError("'shape' is constant, linear, quadratic or power, not " + std::string(name));
  return static_cast<Shape>(std::distance(shape_names.begin(), found));
}

double Slope::least_driver() const {
  double least = left_out.driver;
  for (const SlopePoint& point : points) least = std::min(least, point.driver);
  return least;
}

double Slope::most_driver() const {
  double most = left_out.driver;
  for (const SlopePoint& point : points) most = std::max(most, point.driver);
  return most;
}

bool Slope::covers(double driver) const { return driver >= least_driver() && driver <= most_driver(); }

double Slope::at(double driver) const {
  const Coefficients fit = {a, b, c};
  const double most = most_driver();
  const double at_most = value_of(shape, fit, most);
  const bool falls = at_most < value_of(shape, fit, least_driver());
  const double value = falls && driver > most ? at_most : value_of(shape, fit, driver);
  return std::max(0.0, value);
}

Slope fit_slope(SlopeDescription description, std::vector<SlopePoint> points, std::size_t left_out_index,
                std::string source) {
  check_description(description);
  for (SlopePoint& point : points)
    point = {rounded(point.driver, point_digits), rounded(point.value, point_digits)};
  check_sizes(description, points);
  if (left_out_index >= points.size()) refuse(description, "leaves out a size that is not there");
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
  else coefficients = cleaned(coefficients, slope.points);
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
    refuse(slope.description, "has a coefficient that is no number");
  if (!nearly(slope.predicted, slope.at(slope.left_out.driver)))
    refuse(slope.description, "'left_out_predicted' is not what its coefficients give");
  if (!nearly(slope.error, relative_error(slope.predicted, slope.left_out.value)))
    refuse(slope.description, "'left_out_error' is not what its prediction gives");
}

}  // namespace pearchute::lab::capacity
