// Estimates the offset between the steady clock of another agent (the writer) and this agent's (the
// reader's). The estimate never makes a summary look younger than it is.
//
// Each reporter that passes on a summary of the writer states its age, which implies a lower bound of the
// offset. An honest reporter's bound is at most the true offset, since it never understates an age. The
// estimate is the writer's own bound or the second greatest bound of all other reporters, whichever is
// greater. A single reporter that understates ages, however often and by however much, does not raise the
// estimate above the true offset.
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
  // How long a bound is used. A clock that stood still, as on a paused machine, distorts the estimate for no
  // longer than this.
  static constexpr Duration bound_lifetime = std::chrono::seconds(60);
  static constexpr std::size_t max_bounds = 4;
  // Two steady clocks may drift apart by 1/5000 of the elapsed time: 200 parts per million.
  static constexpr Duration::rep drift_divisor = 5000;

  // Adds a bound of the offset, which is this agent's clock minus the writer's. A later incarnation of the
  // writer is another process with another clock: its first bound replaces those of the earlier one. Bounds
  // of an earlier incarnation are ignored while any bound of the later one is in use.
  void add_bound(TimePoint now, std::uint64_t incarnation, const std::string& reporter, bool is_writer,
                 Duration offset);
  // Returns the greatest offset that is proven for the incarnation; none if there are too few bounds.
  std::optional<Duration> offset(TimePoint now, std::uint64_t incarnation) const;

 private:
  // The bound that one reporter has implied.
  struct Bound {
    std::string reporter;
    bool is_writer = false;  // the reporter is the writer itself
    Duration offset{};
    TimePoint added_at{};
    // The bound at `now`, reduced by the possible drift of the clocks since it was added.
    Duration at(TimePoint now) const { return offset - (now - added_at) / drift_divisor; }
  };
  std::uint64_t incarnation_ = 0;
  std::vector<Bound> bounds_;
};

}  // namespace pearchute::fleet
