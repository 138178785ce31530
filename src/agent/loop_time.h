// Conversion between the event loop's time points and those of src/fleet, which are durations since the epoch
// of the loop's clock.
#pragma once

#include "core/types.h"
#include "fleet/time.h"
#include "net/event_loop.h"

namespace pearchute::agent {

inline fleet::TimePoint fleet_now(const net::Loop& loop) { return loop.now().time_since_epoch(); }

inline pearchute::TimePoint loop_time(fleet::TimePoint moment) { return pearchute::TimePoint(moment); }

}  // namespace pearchute::agent
