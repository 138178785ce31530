// The state of one engine of the endpoint list. `ledger`, `latency`, `health` and `slow_start` each belong to
// one decision; other code reads and changes them only through its interface.
#pragma once

#include <map>
#include <set>
#include <utility>

#include "core/engine_ledger.h"
#include "core/latency_model.h"
#include "core/outlier_detector.h"
#include "core/slow_start.h"
#include "core/types.h"

namespace pearchute {

// One engine, as the decisions see it.
struct Engine {
  EngineEndpoint endpoint;
  MachineKind machine;
  bool is_up = false;  // listed, and neither draining nor removed
  EngineLedger ledger;
  EngineLatency latency;
  EngineHealth health;
  EngineSlowStart slow_start;
  std::set<std::pair<TimePoint, std::pair<RequestId, int>>>
      outstanding;  // this manager's attempts, oldest first

  EngineId id() const { return endpoint.id; }
  bool can_be_forgotten() const { return endpoint.state == EngineState::removed && outstanding.empty(); }
};

using EngineMap = std::map<EngineId, Engine>;

}  // namespace pearchute
