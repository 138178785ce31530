// Slow start of engines: how much work all managers together may send to an engine that is warming up, and
// which share of it is this manager's.
//
// Invariant: the work that all managers send to a warming engine in any window stays within the configured
// limit, without communication between them. Each manager has an even share of the limit. Where that is less
// than one request, managers use time slots in the order of their indices, counted from the engine's start,
// which they all know.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "core/types.h"

namespace pearchute {

struct Engine;

// The state of slow start for one engine.
struct EngineSlowStart {
  TimePoint listed_at{};  // when the engine was first listed, listed with a new start, or listed as up again
  // Until then the engine counts as warming up, since it may have started later than the list states.
  TimePoint start_uncertain_until{};
  // Work that was sent to the engine within the windows that are remembered.
  struct AdmittedWork {
    TimePoint sent_at{};
    double work_ms = 0;
  };
  std::deque<AdmittedWork> admitted;
};

// Whether an engine counts as warming up. Also used by the rule guard with its own records. `listed_at`: when
// the endpoint list first contained this start.
bool is_warming_up(const ServiceDefinition& service, TimePoint now, std::optional<TimePoint> started_at,
                   TimePoint listed_at);

// Work in ms that all managers together may send in a window to an engine that has just started.
double slow_start_limit_ms(const ServiceDefinition& service, int cores);

// Decides which work may be sent to a warming engine. Modifies EngineSlowStart, which holds the state of each
// engine.
class SlowStart {
 public:
  // `service` must outlive it.
  explicit SlowStart(const ServiceDefinition& service) : service_(service) {}

  bool is_warming_up(TimePoint now, const Engine& engine) const;
  // Whether the engine is warming up and an even share of its budget is less than `largest_typical_work_ms`,
  // the typical work of the type that needs most.
  bool uses_time_slots(TimePoint now, const Engine& engine, double largest_typical_work_ms) const;
  // The engine's current capacity relative to its full capacity, 0 .. 1; 1 when it has warmed up.
  double capacity_share(TimePoint now, const Engine& engine) const;

  // The work that a request counts against the limit.
  struct Work {
    double typical_ms = 0;  // against an even share: the typical work of its type
    double warm_up_ms = 0;  // in a time slot: WorkModel::warm_up_work_ms
  };
  // Whether the work may be sent to the engine now. Always true for an engine that is not warming up.
  bool admits(TimePoint now, const Engine& engine, const Work& work, double largest_typical_work_ms) const;
  // Records work that is sent to the engine.
  void on_sent(TimePoint now, Engine& engine, const Work& work, double largest_typical_work_ms) const;

  // For each endpoint of a cached snapshot, until when it has to count as warming up. Start times are
  // wall-clock times, and this machine's wall clock may be ahead when the manager starts, so that engines
  // that have just started would seem to be warm already. The differences between the start times are
  // reliable, and the latest start is no later than now.
  std::vector<std::optional<TimePoint>> uncertain_starts(TimePoint now,
                                                         const std::vector<EngineEndpoint>& endpoints) const;

 private:
  double budget_ms(const Engine& engine) const;
  // Whether the work plus the work that was admitted in the preceding time `within` stays within the limit.
  bool fits(TimePoint now, const Engine& engine, Duration within, double work_ms, double limit_ms) const;
  bool admits_in_time_slot(TimePoint now, const Engine& engine, double work_ms) const;
  std::optional<std::uint64_t> own_time_slot(TimePoint now, const Engine& engine, int slots_per_window,
                                             Duration length) const;

  const ServiceDefinition& service_;
};

}  // namespace pearchute
