// Converts nested JSON settings to dotted names and plain values, which is the form of the simulator's first
// message. Only the structure changes; names, units and values stay the same, except for the characters that
// plain_name replaces.
#pragma once

#include <deque>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "named_values.h"

namespace pearchute::service {

// Returns the text with spaces, commas, tabs and line breaks replaced by underscores, since these characters
// separate flattened values.
std::string plain_name(std::string text);

// The flattened settings; owns the texts that values() refers to.
class FlatValues {
 public:
  explicit FlatValues(const nlohmann::json& settings);
  const NamedValues& values() const { return values_; }

 private:
  void flatten(const std::string& name, const nlohmann::json& value);
  void add(const std::string& name, std::string value);

  std::deque<std::string> texts_;  // a deque, since its elements keep their addresses
  NamedValues values_;
};

}  // namespace pearchute::service
