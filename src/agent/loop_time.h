// The event loop's clock in the fleet's terms, whose moments are lengths of time since that clock's start.
#pragma once

#include "core/types.h"
#include "fleet/time.h"
#include "net/driver.h"

namespace pearchute::agent {

inline fleet::TimePoint fleet_now(const net::Loop& loop) { return loop.now().time_since_epoch(); }

inline pearchute::TimePoint loop_time(fleet::TimePoint moment) { return pearchute::TimePoint(moment); }

}  // namespace pearchute::agent
