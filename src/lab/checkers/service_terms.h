// The figures of the operators' rules that the laboratory's checker judges by.
#pragma once

#include <chrono>
#include <optional>

namespace pearchute::lab {

// Further attempts, per manager and window.
struct RationTerms {
  std::chrono::milliseconds window{0};
  double few = 0, share = 0;
};

// How much work engines that have just started may be sent, by all managers; none without a time.
struct ColdRule {
  std::chrono::milliseconds lasts{0}, window{0};
  double share = 1, multiple = 0;  // of what the engine's cores can do, within a window
  double most_work_ms(int cores) const {
    return multiple * share * cores * static_cast<double>(window.count());
  }
};

struct ServiceTerms {
  std::optional<std::chrono::milliseconds> order_rest;
  std::optional<RationTerms> ration;
  std::optional<ColdRule> cold;
};

}  // namespace pearchute::lab
