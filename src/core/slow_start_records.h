// The records by which the rule guard checks how much work this manager sends to an engine that is warming up
// within a window. Work is counted when an attempt is sent, independently of the records of the decisions.
// The definitions of warming up and of the limit are shared with them (slow_start.h). No I/O, no clock.
#pragma once

#include <deque>
#include <map>
#include <vector>

#include "core/types.h"

namespace pearchute {

// The work that was sent to each engine within the window.
class SlowStartRecords {
 public:
  SlowStartRecords() = default;
  explicit SlowStartRecords(const ServiceDefinition& service);
  void on_endpoint_update(TimePoint now, EndpointUpdate kind, const std::vector<EngineEndpoint>& endpoints);
  // Whether an attempt of `work_ms` would exceed this manager's share of the limit. `largest_typical_work_ms`
  // is the typical work of the type that needs most; if it exceeds half of an even share, managers may use
  // time slots.
  bool forbids(TimePoint now, EngineId engine, double work_ms, double largest_typical_work_ms) const;
  void on_attempt_left(TimePoint now, EngineId engine, double work_ms);
  // Returns null if the engine is not listed.
  const EngineEndpoint* endpoint(EngineId engine) const;

 private:
  // The work of one attempt.
  struct SentWork {
    TimePoint at{};
    double work_ms = 0;
  };
  // One listed engine.
  struct Record {
    EngineEndpoint endpoint;
    TimePoint listed_at{};  // when the list first contained this start
    std::deque<SentWork> sent;
  };
  bool is_warming_up(TimePoint now, const Record& record) const;
  double own_share_ms(const Record& record, double largest_typical_work_ms) const;

  ServiceDefinition service_;
  std::map<EngineId, Record> engines_;
};

}  // namespace pearchute
