// Where an engine's told start lies on the manager's own steady clock. Starts are told as Unix times; this
// machine's wall clock may be off by an hour when the manager starts, so what the list itself shows counts
// for more: a told start lies in the past, and one that is new has come since the list was last known to be
// current. No I/O, no clock.
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

  // Something has come from the list's source; `is_current`: nothing that it has to tell is left out by then.
  void heard(TimePoint now, bool is_current) {
    current_until_ = last_current_;
    if (is_current) last_current_ = now;
    now_ = now;
  }

  // The start of an engine that the list tells as `unix_time`. The same time told again gives the same start.
  TimePoint start_of(EngineId engine, std::chrono::milliseconds unix_time) {
    const auto known = starts_.find(engine);
    if (known != starts_.end() && known->second.unix_time == unix_time) return known->second.start;
    // Where the clock was behind when the manager started, the start would lie ahead.
    if (now_ && unix_time - unix_start_ > now_->time_since_epoch() + clocks_differ)
      unix_start_ = unix_time - std::chrono::floor<std::chrono::milliseconds>(now_->time_since_epoch());
    TimePoint start(unix_time - unix_start_);
    // Where it was ahead, the start would lie before what the list can have left out. Only then is it moved:
    // managers whose clocks are right go by the same start.
    if (current_until_ && start < *current_until_ - told_within) start = *now_;
    starts_[engine] = {unix_time, start};
    return start;
  }
  // An engine that comes back with the same start is known again, as long as there is room.
  void forget(EngineId engine) {
    if (starts_.size() > most_remembered) starts_.erase(engine);
  }

 private:
  // By the protocol, what the list has to tell counts as told then at the latest.
  static constexpr std::chrono::seconds told_within{7};
  static constexpr std::size_t most_remembered = 4096;
  // Clocks that nobody has stepped lie closer together.
  static constexpr std::chrono::seconds clocks_differ{2};
  struct Start {
    std::chrono::milliseconds unix_time{};
    TimePoint start{};
  };
  std::chrono::milliseconds unix_start_;
  std::optional<TimePoint> now_, last_current_;
  std::optional<TimePoint> current_until_;  // before the last sign
  std::map<EngineId, Start> starts_;
};

}  // namespace pearchute::net
