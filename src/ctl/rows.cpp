#include "ctl/rows.h"

#include <array>
#include <chrono>
#include <cstdio>

namespace pearchute::ctl {

using json = nlohmann::ordered_json;

namespace {

constexpr std::uint64_t ms_per_second = 1000;
constexpr std::uint64_t ms_per_minute = 60 * ms_per_second;
constexpr std::uint64_t ms_per_hour = 60 * ms_per_minute;

}  // namespace

json instance_row(const Instance& instance) {
  json row = {{"instance", instance.facts.name}};
  if (!instance.facts.zone.empty()) row["zone"] = instance.facts.zone;
  return row;
}

json order_row(const admin::v1::Order& order) {
  return {{"subject", order.subject().empty() ? "(manager)" : order.subject()},
          {"holder", order.holder()},
          {"generation", order.generation()},
          {"left", age_text(order.lease_ms())},
          {"reason", order.reason()},
          {"id", order.id()}};
}

std::string age_text(std::uint64_t ms) {
  if (ms >= 10 * ms_per_second && ms < 10 * ms_per_minute) return seconds_text(ms);
  std::array<char, 32> text{};
  if (ms < 10 * ms_per_second)
    std::snprintf(text.data(), text.size(), "%.1fs", static_cast<double>(ms) / ms_per_second);
  else
    std::snprintf(text.data(), text.size(), "%lluh%02llum", static_cast<unsigned long long>(ms / ms_per_hour),
                  static_cast<unsigned long long>(ms / ms_per_minute % 60));
  return text.data();
}

std::string seconds_text(std::uint64_t ms) { return std::to_string(ms / ms_per_second) + "s"; }

std::uint64_t unix_milliseconds() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

}  // namespace pearchute::ctl
