// The interval of the periodic work of the decisions.
#pragma once

#include "core/types.h"

namespace pearchute {

inline constexpr Duration tick_interval = std::chrono::milliseconds(100);
inline constexpr double ticks_per_second = 10;

}  // namespace pearchute
