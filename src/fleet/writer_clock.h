// How far the steady clock of another agent (the writer) is from this agent's, estimated so that the reader
// never takes anything for younger than it is.
//
// Each reporter that passes on something of the writer's implies, by the age that it states, a bound on how
// far the clocks are apart. An honest reporter's bound is at most the true offset, since it never understates
// an age. The estimate is the writer's own bound, or the second greatest of all others: a single reporter
// that understates ages, however often and by however much, does not raise it above the truth.
//
// Not thread-safe.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fleet/time.h"

namespace pearchute::fleet {

// The estimated offset of one writer's clock.
class WriterClock {
 public:
  // How long a bound counts: a clock that stood still, as on a paused machine, misleads for no longer.
  static constexpr Duration bound_lifetime = std::chrono::seconds(60);
  static constexpr std::size_t max_bounds = 4;
  // Two steady clocks may drift apart by this part of the time that passes: 200 parts per million.
  static constexpr Duration::rep drift_divisor = 5000;

  // Adds a bound on the offset: this agent's clock less the writer's. A later incarnation of the writer is
  // another process with another clock; bounds of an earlier one are ignored.
  void add_bound(TimePoint now, std::uint64_t incarnation, const std::string& reporter, bool is_writer,
                 Duration offset);
  // The greatest offset that is proven for that incarnation; none where nothing is.
  std::optional<Duration> offset(TimePoint now, std::uint64_t incarnation) const;

 private:
  // What one reporter has shown about the offset.
  struct Bound {
    std::string reporter;
    bool is_writer = false;  // the reporter is the writer itself
    Duration offset{};
    TimePoint added_at{};
    // What it still proves, since the clocks may have drifted apart.
    Duration at(TimePoint now) const { return offset - (now - added_at) / drift_divisor; }
  };
  std::uint64_t incarnation_ = 0;
  std::vector<Bound> bounds_;
};

}  // namespace pearchute::fleet
