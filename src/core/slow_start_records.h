// The rule on engines that are warming up, as the rule guard checks it for this manager: how much work may
// leave for such an engine within a window. Counted by what has left for the engine, apart from the
// decisions' own records; what counts as warming up, and the stated limit, are theirs (slow_start.h). No I/O,
// no clock.
#pragma once

#include <deque>
#include <map>
#include <vector>

#include "core/types.h"

namespace pearchute {

// Work that left for each engine within the window.
class SlowStartRecords {
 public:
  SlowStartRecords() = default;
  explicit SlowStartRecords(const ServiceDefinition& service);
  void on_endpoint_update(TimePoint now, EndpointUpdate kind, const std::vector<EngineEndpoint>& endpoints);
  // Whether an attempt of `work_ms` would exceed this manager's share of the limit. `largest_typical_work_ms`
  // is the typical work of the type that needs most: where that is over half an
  // even share, managers may use time slots.
  bool forbids(TimePoint now, EngineId engine, double work_ms, double largest_typical_work_ms) const;
  void on_attempt_left(TimePoint now, EngineId engine, double work_ms);
  // The endpoint; null where the engine is not listed.
  const EngineEndpoint* endpoint(EngineId engine) const;

 private:
  // Work of one attempt.
  struct SentWork {
    TimePoint at{};
    double work_ms = 0;
  };
  // One listed engine.
  struct Record {
    EngineEndpoint endpoint;
    TimePoint listed_at{};  // when the list first told of this start
    std::deque<SentWork> sent;
  };
  bool is_warming_up(TimePoint now, const Record& record) const;
  double own_share_ms(const Record& record, double largest_typical_work_ms) const;

  ServiceDefinition service_;
  std::map<EngineId, Record> engines_;
};

}  // namespace pearchute
