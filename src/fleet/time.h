// Types for the times in the fleet's decisions. These decisions read no clock: the caller passes the time.
#pragma once

#include <chrono>

namespace pearchute::fleet {

using Duration = std::chrono::microseconds;

// A point in time on the caller's steady clock, as the time since that clock's start.
using TimePoint = std::chrono::microseconds;

}  // namespace pearchute::fleet
