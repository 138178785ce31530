#include "named_values.h"

#include <charconv>
#include <cmath>

namespace pearchute::service {

namespace {

[[noreturn]] void reject(std::string_view name, std::string_view value, const char* expected) {
  throw Malformed("'" + std::string(name) + "': expected " + expected + ", got '" + std::string(value) + "'");
}

}  // namespace

std::vector<std::string_view> split(std::string_view text, char by) {
  std::vector<std::string_view> parts;
  while (true) {
    const std::size_t end = text.find(by);
    parts.push_back(text.substr(0, end));
    if (end == std::string_view::npos) return parts;
    text.remove_prefix(end + 1);
  }
}

std::int64_t parse_integer(std::string_view name, std::string_view value) {
  std::int64_t result = 0;
  const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), result);
  if (error == std::errc{} && end == value.data() + value.size()) return result;
  const double number = number_in(name, value);  // an integer may be written with a decimal point
  if (number != std::floor(number) || std::abs(number) > 9e15) reject(name, value, "an integer");
  return static_cast<std::int64_t>(number);
}

double number_in(std::string_view name, std::string_view value) {
  double result = 0;
  const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), result);
  if (error != std::errc{} || end != value.data() + value.size() || !std::isfinite(result)) {
    reject(name, value, "a number");
  }
  return result;
}

void NamedValues::add_pair(std::string_view part) {
  const std::size_t equals = part.find('=');
  if (equals == std::string_view::npos || equals == 0) {
    throw Malformed("expected name=value, got '" + std::string(part) + "'");
  }
  add(part.substr(0, equals), part.substr(equals + 1));
}

std::optional<std::string_view> NamedValues::text(std::string_view name) const {
  for (const auto& [pair_name, value] : pairs_) {
    if (pair_name == name) return value;
  }
  return std::nullopt;
}

std::string_view NamedValues::required_text(std::string_view name) const {
  const auto value = text(name);
  if (!value) throw Malformed("'" + std::string(name) + "' is missing");
  return *value;
}

std::optional<std::int64_t> NamedValues::whole(std::string_view name) const {
  const auto value = text(name);
  if (!value || value->empty()) return std::nullopt;
  return parse_integer(name, *value);
}

std::int64_t NamedValues::required_whole(std::string_view name) const {
  return parse_integer(name, required_text(name));
}

std::optional<double> NamedValues::number(std::string_view name) const {
  const auto value = text(name);
  if (!value || value->empty()) return std::nullopt;
  return number_in(name, *value);
}

bool NamedValues::flag(std::string_view name) const {
  const auto value = text(name);
  if (!value || *value == "0" || *value == "false" || value->empty()) return false;
  if (*value == "1" || *value == "true") return true;
  reject(name, *value, "1, 0, true or false");
}

std::vector<std::string> NamedValues::list(std::string_view name) const {
  std::vector<std::string> items;
  const auto value = text(name);
  if (!value || value->empty()) return items;
  for (const std::string_view item : split(*value, ',')) items.emplace_back(item);
  return items;
}

}  // namespace pearchute::service
