// Converts the start times of engines, which the endpoint list gives as Unix times, to the manager's steady
// clock. This machine's wall clock may be off by an hour when the manager starts, so the evidence of the list
// itself takes precedence: a listed start lies in the past, and a start that is new in the list happened
// after the list was last known to be current. No I/O, no clock.
#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>

#include "core/types.h"

namespace pearchute::net {

class StartTimes {
 public:
  // `unix_start` is this machine's Unix time at the manager's start.
  explicit StartTimes(std::chrono::milliseconds unix_start) : unix_start_(unix_start) {}

  // Records that the source of the list has sent data at `now`; `is_current` means that by then everything
  // that it has to report has been received.
  void heard(TimePoint now, bool is_current) {
    current_until_ = last_current_;
    if (is_current) last_current_ = now;
    now_ = now;
  }

  // Returns the start of an engine that the list gives as `unix_time`. The same engine and time always give
  // the same start.
  TimePoint start_of(EngineId engine, std::chrono::milliseconds unix_time) {
    const auto known = starts_.find(engine);
    if (known != starts_.end() && known->second.unix_time == unix_time) return known->second.start;
    // Corrects a wall clock that was behind when the manager started: the start would lie in the future.
    if (now_ && unix_time - unix_start_ > now_->time_since_epoch() + max_clock_difference)
      unix_start_ = unix_time - std::chrono::floor<std::chrono::milliseconds>(now_->time_since_epoch());
    TimePoint start(unix_time - unix_start_);
    // Corrects a wall clock that was ahead: the start would lie before the time up to which the list was
    // complete. A start is moved only then, so that managers whose clocks are right use the same start.
    if (current_until_ && start < *current_until_ - max_report_delay) start = *now_;
    starts_[engine] = {unix_time, start};
    return start;
  }
  // An engine that is listed again with the same start is still recognized while fewer than
  // `max_remembered` starts are stored.
  void forget(EngineId engine) {
    if (starts_.size() > max_remembered) starts_.erase(engine);
  }

 private:
  // The protocol counts a change as reported after this time at the latest.
  static constexpr std::chrono::seconds max_report_delay{7};
  static constexpr std::size_t max_remembered = 4096;
  // Clocks that were not stepped differ by less.
  static constexpr std::chrono::seconds max_clock_difference{2};
  struct Start {
    std::chrono::milliseconds unix_time{};
    TimePoint start{};
  };
  std::chrono::milliseconds unix_start_;
  std::optional<TimePoint> now_, last_current_;
  std::optional<TimePoint> current_until_;  // `last_current_` as it was before the latest data
  std::map<EngineId, Start> starts_;
};

}  // namespace pearchute::net
