// The rule on cold engines, as it binds one manager: how much work it may send to an engine that has just
// started, within the time in which such an engine falls over. Counted by what has left for the engine. No
// I/O, no clock.
#pragma once

#include <deque>
#include <map>
#include <vector>

#include "core/types.h"

namespace pearchute {

class ColdBudgets {
 public:
  ColdBudgets() = default;
  explicit ColdBudgets(const ServiceDefinition& service);
  void on_endpoint_update(TimePoint now, EndpointUpdate news, const std::vector<EngineEndpoint>& engines);
  // Whether an attempt of that much work would be more than this manager's part.
  // `largest_ms` is the usual work of the class that needs most: where that is over an even part, managers
  // take turns.
  bool forbids(TimePoint now, EngineId engine, double work_ms, double largest_ms) const;
  void attempt_left(TimePoint now, EngineId engine, double work_ms);
  // Where it stands; nothing where the engine was never listed.
  const EngineEndpoint* listed(EngineId engine) const;

 private:
  struct Sent {
    TimePoint at{};
    double work_ms = 0;
  };
  struct Start {
    EngineEndpoint listed;
    TimePoint told{};  // when the list first told of this start
    std::deque<Sent> sent;
  };
  bool cold(TimePoint now, const Start& start) const;
  double own_part(const Start& start, double largest_ms) const;

  double multiple_ = 0, cold_from_ = 1;
  Duration window_{}, lasts_{};
  int managers_ = 1;
  std::vector<MachineKind> kinds_;
  std::map<EngineId, Start> engines_;
};

}  // namespace pearchute
