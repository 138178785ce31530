// The rules on where a request may execute. Placement applies them, and the rule guard checks them against
// its own records.
#pragma once

#include <algorithm>

#include "core/types.h"

namespace pearchute {

// Whether requests of the type may execute in the endpoint's zone and on its kind of machine.
inline bool allows_placement(const RequestType& type, const EngineEndpoint& endpoint) {
  const auto is_allowed = [](const auto& allowed, auto id) {
    return !allowed || std::ranges::count(*allowed, id) > 0;
  };
  return is_allowed(type.zones, endpoint.zone) && is_allowed(type.kinds, endpoint.kind);
}

// Whether the endpoint recognizes a repeat of a request whose first uncertain attempt was in this zone and
// cell.
inline bool recognizes_repeat(const RequestType& type, const EngineEndpoint& endpoint, ZoneId uncertain_zone,
                              CellId uncertain_cell) {
  switch (type.deduplication_scope) {
    case DeduplicationScope::fleet:
      return true;
    case DeduplicationScope::zone:
      return endpoint.zone == uncertain_zone;
    case DeduplicationScope::cell:
      return endpoint.cell == uncertain_cell;
  }
  return false;
}

}  // namespace pearchute
