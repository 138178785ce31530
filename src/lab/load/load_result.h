// The measurements of a load generator in one run, by step.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "lab/load/latency_histogram.h"
#include "lab/load/load_checker.h"
#include "lab/load/open_loop_schedule.h"

namespace pearchute::lab {

// A step is void if the generator sent more than one statement in a hundred later than this after its
// intended time: its results then describe the generator rather than the manager.
inline constexpr std::chrono::milliseconds max_lag_p99{5};

// Statements of one class in one step.
struct ClassResult {
  LoadCounts counts;
  std::uint64_t offered = 0;        // by the schedule
  std::uint64_t no_connection = 0;  // not sent, since all connections that the generator may open were in use
  std::uint64_t answered_in_time = 0;  // with a result, no later than late_slack after the deadline
  LatencyHistogram latency;            // of results, from the intended time
  LatencyHistogram rejection_time;     // of rejections, from the intended time
  std::uint64_t rejected() const { return counts.rejected_with_advice + counts.rejected_without_advice; }
  void merge(const ClassResult& other);
};

struct StepResult {
  LoadStep step;
  std::vector<ClassResult> classes;
  LatencyHistogram lag;  // of the generator: actual minus intended time of sending
  ClassResult total() const;
  bool is_void() const { return lag.quantile_ms(0.99) > static_cast<double>(max_lag_p99.count()); }
};

// Statements are counted in the slice of their intended time, which shows how the manager recovers.
inline constexpr std::chrono::milliseconds timeline_slice{100};
struct TimelineSlice {
  std::uint64_t offered = 0;
  std::uint64_t answered_in_time = 0;
};

struct LoadResult {
  std::vector<StepResult> steps;
  std::vector<TimelineSlice> timeline;
  LoadCounts stray;                      // answers to unknown statements
  std::uint64_t connections_opened = 0;  // in the whole run
  std::uint64_t connections_most = 0;    // open at the same time; the sum over the threads
  // Closed by the manager with the status 503 or 408, without an open statement.
  std::uint64_t connections_turned_away = 0;
  bool finished = true;                 // false if statements were still open when the wait for them ended
  void merge(const LoadResult& other);  // of another thread with the same steps and classes
  LoadCounts counts() const;
  bool is_void() const;  // whether a step is

  // The time from the start of the step until at least `share` of the offered statements is answered in time
  // in each of its remaining slices. Nothing if the last slice of the step falls short.
  std::optional<std::chrono::milliseconds> time_to_share(std::size_t step, double share) const;
};

}  // namespace pearchute::lab
