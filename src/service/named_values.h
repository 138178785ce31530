// Values by dotted names, as the settings and the simulator's messages hold them, and their typed look-up. It
// owns no text: what it is given has to outlive it. It knows nothing of what a name means.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "errors/error.h"

namespace pearchute::service {

// Says what is wrong with a value, in plain words; the caller adds where it stands.
using Malformed = MessageError;

std::vector<std::string_view> split(std::string_view text, char by);
std::int64_t whole_in(std::string_view name, std::string_view value);
double number_in(std::string_view name, std::string_view value);

class NamedValues {
 public:
  void clear() { pairs_.clear(); }
  void add(std::string_view name, std::string_view value) { pairs_.emplace_back(name, value); }
  void add_pair(std::string_view part);  // name=value
  std::optional<std::string_view> text(std::string_view name) const;
  std::string_view required_text(std::string_view name) const;
  std::optional<std::int64_t> whole(std::string_view name) const;
  std::int64_t required_whole(std::string_view name) const;
  std::optional<double> number(std::string_view name) const;
  bool flag(std::string_view name) const;                      // false where absent
  std::vector<std::string> list(std::string_view name) const;  // items set apart by commas

 private:
  std::vector<std::pair<std::string_view, std::string_view>> pairs_;
};

}  // namespace pearchute::service
