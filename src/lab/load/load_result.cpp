#include "lab/load/load_result.h"

#include <algorithm>

namespace pearchute::lab {

void ClassResult::merge(const ClassResult& other) {
  counts += other.counts;
  offered += other.offered;
  no_connection += other.no_connection;
  answered_in_time += other.answered_in_time;
  latency.merge(other.latency);
  rejection_time.merge(other.rejection_time);
}

ClassResult StepResult::total() const {
  ClassResult total;
  for (const ClassResult& result : classes) total.merge(result);
  return total;
}

void LoadResult::merge(const LoadResult& other) {
  for (std::size_t s = 0; s < steps.size(); ++s) {
    steps[s].lag.merge(other.steps[s].lag);
    for (std::size_t c = 0; c < steps[s].classes.size(); ++c)
      steps[s].classes[c].merge(other.steps[s].classes[c]);
  }
  timeline.resize(std::max(timeline.size(), other.timeline.size()));
  for (std::size_t i = 0; i < other.timeline.size(); ++i) {
    timeline[i].offered += other.timeline[i].offered;
    timeline[i].answered_in_time += other.timeline[i].answered_in_time;
  }
  stray += other.stray;
  connections_opened += other.connections_opened;
  connections_most += other.connections_most;
  connections_turned_away += other.connections_turned_away;
  finished = finished && other.finished;
}

LoadCounts LoadResult::counts() const {
  LoadCounts total = stray;
  for (const StepResult& step : steps) {
    for (const ClassResult& result : step.classes) total += result.counts;
  }
  return total;
}

bool LoadResult::is_void() const { return std::ranges::any_of(steps, &StepResult::is_void); }

std::optional<std::chrono::milliseconds> LoadResult::time_to_share(std::size_t step, double share) const {
  std::chrono::milliseconds start{};
  for (std::size_t s = 0; s < step; ++s) start += steps[s].step.duration;
  const auto first = static_cast<std::size_t>(start / timeline_slice);
  const auto end = static_cast<std::size_t>((start + steps[step].step.duration) / timeline_slice);
  std::size_t from = first;
  for (std::size_t i = first; i < std::min(end, timeline.size()); ++i) {
    const TimelineSlice& slice = timeline[i];
    const bool served =
        static_cast<double>(slice.answered_in_time) >= share * static_cast<double>(slice.offered);
    if (!served) from = i + 1;
  }
  if (from >= end) return std::nullopt;
  return timeline_slice * static_cast<int>(from - first);
}

}  // namespace pearchute::lab
