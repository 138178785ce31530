// Helpers of the tests of slopes and of the capacity page: errors as text, files, points of a function.
#pragma once

#include <algorithm>
#include <cassert>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <functional>
#include <sstream>
#include <string>
#include <vector>

#include "errors/error.h"
#include "lab/capacity/slope.h"

namespace pearchute::lab::capacity {

inline bool close_to(double one, double other, double tolerance = 1e-6) {
  return std::abs(one - other) <= tolerance * std::max(1.0, std::abs(other));
}

// Returns the message and remedy of the SettingsError that `action` throws; empty if it throws none.
inline std::string error_of(const std::function<void()>& action) {
  try {
    action();
  } catch (const SettingsError& error) {
    return std::string(error.what()) + " | " + error.remedy();
  }
  return "";
}

// Fails the test unless the error contains all parts.
inline void expect_parts(const std::string& error, const std::vector<std::string>& parts) {
  for (const std::string& part : parts) {
    if (error.find(part) != std::string::npos) continue;
    std::fprintf(stderr, "'%s' does not contain '%s'\n", error.c_str(), part.c_str());
    assert(false);
  }
}

inline void write_file(const std::string& path, const std::string& text) { std::ofstream(path) << text; }

inline std::string read_file(const std::string& path) {
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

// Returns the text with the first occurrence of `from` replaced; `from` has to be in it.
inline std::string with(std::string text, const std::string& from, const std::string& to) {
  const std::size_t at = text.find(from);
  assert(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

inline std::vector<SlopePoint> points_of(const std::vector<double>& drivers,
                                         const std::function<double(double)>& value) {
  std::vector<SlopePoint> points;
  for (const double driver : drivers) points.push_back({driver, value(driver)});
  return points;
}

}  // namespace pearchute::lab::capacity
