#include "flatten.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace pearchute::service {

using nlohmann::json;

namespace {

std::string plain_text(const json& value) {
  if (value.is_string()) return plain_name(value.get<std::string>());
  if (value.is_null()) return "";
  return value.dump();
}

}  // namespace

std::string plain_name(std::string text) {
  for (char& c : text) {
    if (c == ' ' || c == ',' || c == '\t' || c == '\n') c = '_';
  }
  return text;
}

FlatValues::FlatValues(const json& settings) { flatten("", settings); }

void FlatValues::add(const std::string& name, std::string value) {
  const std::string& stored_name = texts_.emplace_back(name);
  values_.add(stored_name, texts_.emplace_back(std::move(value)));
}

void FlatValues::flatten(const std::string& name, const json& value) {
  const auto qualified = [&](const std::string& part) { return name.empty() ? part : name + "." + part; };
  if (value.is_object()) {
    for (const auto& [key, item] : value.items()) flatten(qualified(key), item);
  } else if (value.is_array() &&
             std::ranges::any_of(value, [](const json& item) { return item.is_object(); })) {
    add(qualified("count"), std::to_string(value.size()));
    for (std::size_t i = 0; i < value.size(); ++i) flatten(qualified(std::to_string(i)), value[i]);
  } else if (value.is_array()) {
    std::string items;
    for (const json& item : value) items.append(items.empty() ? "" : ",").append(plain_text(item));
    add(name, items);
  } else if (!value.is_null()) {
    add(name, plain_text(value));
  }
}

}  // namespace pearchute::service
