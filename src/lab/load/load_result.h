// What a load generator measured of a run, by step.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "lab/load/latency_histogram.h"
#include "lab/load/load_checker.h"
#include "lab/load/open_loop_schedule.h"

namespace pearchute::lab {

// A run whose generator sends more than one statement in a hundred later than this after its intended time
// says more of the generator than of the manager: it is void.
inline constexpr std::chrono::milliseconds most_lag_p99{5};

// Of one class in one step.
struct ClassResult {
  LoadCounts counts;
  std::uint64_t offered = 0;           // intended
  std::uint64_t no_connection = 0;     // not sent: all connections that the generator may hold were in use
  std::uint64_t answered_in_time = 0;  // with a result, by its deadline and the slack
  LatencyHistogram latency;            // of results, from the intended time
  LatencyHistogram rejection_time;     // of rejections, from the intended time
  std::uint64_t rejected() const { return counts.rejected_with_advice + counts.rejected_without_advice; }
  void merge(const ClassResult& other);
};

struct StepResult {
  LoadStep step;
  std::vector<ClassResult> classes;
  LatencyHistogram lag;  // of the generator itself: actual less intended sending time
  ClassResult total() const;
  bool is_void() const { return lag.quantile_ms(0.99) > static_cast<double>(most_lag_p99.count()); }
};

// By intended time, so that recovery can be seen.
inline constexpr std::chrono::milliseconds timeline_slice{100};
struct TimelineSlice {
  std::uint64_t offered = 0;
  std::uint64_t answered_in_time = 0;
};

struct LoadResult {
  std::vector<StepResult> steps;
  std::vector<TimelineSlice> timeline;
  LoadCounts stray;                           // what belongs to no statement
  std::uint64_t connections_opened = 0;       // over the whole run
  std::uint64_t connections_most = 0;         // at once
  std::uint64_t connections_turned_away = 0;  // closed with a word while no statement was open on them
  bool finished = true;  // false: statements were still open when the wait for them ended
  void merge(const LoadResult& other);
  LoadCounts counts() const;
  bool is_void() const;

  // From the start of this step to the first slice from which on at least `share` of what is offered in each
  // slice of the step is answered in time. Nothing where it does not come to that.
  std::optional<std::chrono::milliseconds> time_to_share(std::size_t step, double share) const;
};

}  // namespace pearchute::lab
