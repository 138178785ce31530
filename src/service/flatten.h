// Nested JSON settings as dotted names and plain values, in the form of the simulator's first message. It
// changes shape only: no name, unit or value.
#pragma once

#include <deque>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "named_values.h"

namespace pearchute::service {

// A name as it stands in flattened values, where spaces and commas set values apart.
std::string plain_name(std::string text);

class FlatValues {
 public:
  explicit FlatValues(const nlohmann::json& settings);
  const NamedValues& values() const { return values_; }

 private:
  void flatten(const std::string& name, const nlohmann::json& value);
  void add(const std::string& name, std::string value);

  std::deque<std::string> texts_;  // stay in place as more come
  NamedValues values_;
};

}  // namespace pearchute::service
