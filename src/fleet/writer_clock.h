// What a reader knows of the steady clock of another agent: how far the two are apart, estimated so that the
// reader never takes anything for younger than it is.
//
// Each teller that passes on something of the writer's claims by the age it tells how far the clocks are
// apart. An honest teller's claim is at most the true offset, since it never understates an age. The estimate
// is the writer's own claim, or the second greatest of all others: one teller that understates ages, however
// often and by however much, does not raise it above the truth.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fleet/time.h"

namespace pearchute::fleet {

class WriterClock {
 public:
  // So long a claim counts: a clock that stood still, as in a paused machine, misleads for no longer.
  static constexpr Duration claim_lifetime = std::chrono::seconds(60);
  static constexpr std::size_t max_claims = 4;
  // The difference that two steady clocks may gather: 200 parts per million.
  static constexpr Duration::rep drift_divisor = 5000;

  // A later incarnation is another process, with another clock; claims of an earlier one are ignored.
  void claim(TimePoint now, std::uint64_t incarnation, const std::string& teller, bool is_writer,
             Duration offset);
  // This agent's clock less the writer's, at most; none while nothing is proven.
  std::optional<Duration> offset(TimePoint now, std::uint64_t incarnation) const;

 private:
  struct Claim {
    std::string teller;
    bool is_writer = false;
    Duration offset{};
    TimePoint made{};
    Duration at(TimePoint now) const { return offset - (now - made) / drift_divisor; }
  };
  std::uint64_t incarnation_ = 0;
  std::vector<Claim> claims_;
};

}  // namespace pearchute::fleet
