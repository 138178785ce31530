// Values with dotted names, as in the settings and in the simulator's messages, and their typed look-up.
// NamedValues does not copy texts: names and values must outlive it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "errors/error.h"

namespace pearchute::service {

// A value is missing or unusable. The message names it and the expected values; the caller adds the location.
using Malformed = MessageError;

// Splits the text at each `by`; returns at least one part, and empty ones, too.
std::vector<std::string_view> split(std::string_view text, char by);
// Parse a value; throw Malformed with `name` unless it is an integer (3.0 is accepted, too), or a finite
// number.
std::int64_t parse_integer(std::string_view name, std::string_view value);
double number_in(std::string_view name, std::string_view value);

// A list of name=value pairs. Look-ups return the first pair of the name, and throw Malformed for an unusable
// value. Optional numbers are none where the name is absent or its value is empty.
class NamedValues {
 public:
  void clear() { pairs_.clear(); }
  void add(std::string_view name, std::string_view value) { pairs_.emplace_back(name, value); }
  // Adds a pair that is written as name=value; throws Malformed for anything else.
  void add_pair(std::string_view part);
  // The required_ look-ups throw Malformed if the name is absent.
  std::optional<std::string_view> text(std::string_view name) const;
  std::string_view required_text(std::string_view name) const;
  std::optional<std::int64_t> whole(std::string_view name) const;
  std::int64_t required_whole(std::string_view name) const;
  std::optional<double> number(std::string_view name) const;
  bool flag(std::string_view name) const;                      // false if absent or empty
  std::vector<std::string> list(std::string_view name) const;  // comma-separated; empty if absent

 private:
  std::vector<std::pair<std::string_view, std::string_view>> pairs_;
};

}  // namespace pearchute::service
