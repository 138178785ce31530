// Times of the fleet's decisions. They read no clock: whoever calls them passes the time.
#pragma once

#include <chrono>

namespace pearchute::fleet {

// A length of time.
using Duration = std::chrono::microseconds;

// A moment on the steady clock of whoever calls, as the time since that clock's start.
using TimePoint = std::chrono::microseconds;

}  // namespace pearchute::fleet
