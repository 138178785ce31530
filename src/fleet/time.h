// Types for durations and points in time in src/fleet. Nothing there reads a clock: the caller passes the
// time.
#pragma once

#include <chrono>

namespace pearchute::fleet {

using Duration = std::chrono::microseconds;

// A point in time on the caller's steady clock, as the time since that clock's start.
using TimePoint = std::chrono::microseconds;

}  // namespace pearchute::fleet
