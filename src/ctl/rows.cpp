#include "ctl/rows.h"

#include <chrono>
#include <cstdio>

namespace pearchute::ctl {

using json = nlohmann::ordered_json;

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
  char text[32];
  if (ms < 10'000) std::snprintf(text, sizeof text, "%.1fs", static_cast<double>(ms) / 1000);
  else if (ms < 600'000)
    std::snprintf(text, sizeof text, "%llus", static_cast<unsigned long long>(ms / 1000));
  else
    std::snprintf(text, sizeof text, "%lluh%02llum", static_cast<unsigned long long>(ms / 3'600'000),
                  static_cast<unsigned long long>(ms / 60'000 % 60));
  return text;
}

std::uint64_t unix_milliseconds() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

}  // namespace pearchute::ctl
