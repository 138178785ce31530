// Slow start of engines: how much work all managers together may send to an engine that is warming up, and
// what part of it is this manager's.
//
// Invariant: what the managers send to one warming engine in any window stays within the stated limit,
// without a word between them. Each has an even share of the limit; where that is less than one request,
// managers take time slots in the order of their indices, counted from the engine's start, which all know.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "core/types.h"

namespace pearchute {

struct Engine;

// What slow start keeps of one engine.
struct EngineSlowStart {
  TimePoint listed_at{};  // when it was first listed, or listed with a new start
  TimePoint
      start_uncertain_until{};  // its start may be later than it seems; it counts as warming up till then
  // Work that was sent, within the windows that count.
  struct AdmittedWork {
    TimePoint sent_at{};
    double work_ms = 0;
  };
  std::deque<AdmittedWork> admitted;
};

// When an engine counts as warming up; shared with the rule guard, which keeps records of its own.
// `listed_at`: when the list first told of this start.
bool is_warming_up(const ServiceDefinition& service, TimePoint now, std::optional<TimePoint> started_at,
                   TimePoint listed_at);

// Work in ms that all managers together may send in a window to an engine that has just started.
double slow_start_limit_ms(const ServiceDefinition& service, int cores);

// Decides what a warming engine may be sent; changes EngineSlowStart, which holds the state of each engine.
class SlowStart {
 public:
  // `service` must outlive it.
  explicit SlowStart(const ServiceDefinition& service) : service_(service) {}

  bool is_warming_up(TimePoint now, const Engine& engine) const;
  // Whether it is warming up and an even share of its budget is less than a request that needs
  // `largest_typical_work_ms`.
  bool uses_time_slots(TimePoint now, const Engine& engine, double largest_typical_work_ms) const;
  // Its work relative to full capacity, 0 .. 1; 1 once it is warm.
  double capacity_share(TimePoint now, const Engine& engine) const;

  // What a request counts.
  struct Work {
    double typical_ms = 0;  // of the request's type
    double warm_up_ms = 0;  // what the request itself counts
  };
  // Whether a warming engine may be sent this work now; a warm one always may.
  bool admits(TimePoint now, const Engine& engine, const Work& work, double largest_typical_work_ms) const;
  void on_sent(TimePoint now, Engine& engine, const Work& work, double largest_typical_work_ms) const;

  // For each endpoint of a cached snapshot, until when its start is uncertain. Starts are told by wall
  // clocks, and this machine's may be ahead when the manager starts: engines that have just started would
  // seem long warm. What the starts tell of each other holds: the latest has started by now at the latest.
  std::vector<std::optional<TimePoint>> uncertain_starts(TimePoint now,
                                                         const std::vector<EngineEndpoint>& endpoints) const;

 private:
  double budget_ms(const Engine& engine) const;
  // Whether the work and what was admitted within that time stay within the limit.
  bool fits(TimePoint now, const Engine& engine, Duration within, double work_ms, double limit_ms) const;
  bool admits_in_time_slot(TimePoint now, const Engine& engine, double work_ms) const;
  std::optional<std::uint64_t> own_time_slot(TimePoint now, const Engine& engine, int slots_per_window,
                                             Duration length) const;

  const ServiceDefinition& service_;
};

}  // namespace pearchute
