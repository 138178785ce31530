// The definitions of where a request may be executed. Shared by the placement, which decides by them, and by
// the rule guard, which checks by records of its own.
#pragma once

#include <algorithm>

#include "core/types.h"

namespace pearchute {

// Whether the type may be executed at the endpoint's zone and kind of machine.
inline bool allows_placement(const RequestType& type, const EngineEndpoint& endpoint) {
  const auto is_named = [](const auto& allowed, auto id) {
    return !allowed || std::ranges::count(*allowed, id) > 0;
  };
  return is_named(type.zones, endpoint.zone) && is_named(type.kinds, endpoint.kind);
}

// Whether the endpoint drops a repeat of a request whose first uncertain attempt was at that zone and cell.
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
