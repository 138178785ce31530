// One line of the simulator protocol: a message name and name=value pairs, separated by tabs.
#pragma once

#include <string_view>

#include "service/named_values.h"

namespace pearchute::simulator_adapter {

// The parsed fields of one line. Refers to the line, which must outlive it.
class Fields {
 public:
  // Replaces the fields by those of `line`. Throws Malformed where a field is not name=value.
  void read(std::string_view line) {
    values_.clear();
    std::size_t tab = line.find('\t');
    message_ = line.substr(0, tab);
    while (tab != std::string_view::npos) {
      line.remove_prefix(tab + 1);
      tab = line.find('\t');
      if (const std::string_view part = line.substr(0, tab); !part.empty()) values_.add_pair(part);
    }
  }
  std::string_view message() const { return message_; }
  const service::NamedValues& values() const { return values_; }
  std::optional<std::string_view> text(std::string_view name) const { return values_.text(name); }
  std::string_view required_text(std::string_view name) const { return values_.required_text(name); }
  std::optional<std::int64_t> integer(std::string_view name) const { return values_.whole(name); }
  std::int64_t required_integer(std::string_view name) const { return values_.required_whole(name); }
  std::optional<double> number(std::string_view name) const { return values_.number(name); }
  bool flag(std::string_view name) const { return values_.flag(name); }

 private:
  std::string_view message_;
  service::NamedValues values_;
};

}  // namespace pearchute::simulator_adapter
