// The figures of the operators' rules that HistoryChecker checks.
#pragma once

#include <chrono>
#include <optional>

namespace pearchute::lab {

// The retry budget of each manager: within a window, at most `few` retries plus `share` of the requests that
// the manager received.
struct RationTerms {
  std::chrono::milliseconds window{0};
  double few = 0, share = 0;
};

// Slow start: how much work all managers together may send to an engine during `lasts` after it started. No
// limit applies if `lasts` is 0.
struct ColdRule {
  std::chrono::milliseconds lasts{0}, window{0};
  // The limit within a window is `multiple` times `share` of the work that the engine's cores can do.
  double share = 1, multiple = 0;
  double most_work_ms(int cores) const {
    return multiple * share * cores * static_cast<double>(window.count());
  }
};

// A rule without a value is not checked.
struct ServiceTerms {
  std::optional<std::chrono::milliseconds> order_rest;  // quiet period of an ordered key
  std::optional<RationTerms> ration;
  std::optional<ColdRule> cold;
};

}  // namespace pearchute::lab
