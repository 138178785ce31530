// Which peers are queried next in an anti-entropy exchange, and when.
//
// A few peers are queried in each round, those first that were not queried for longest. There is at most one
// query in flight to a peer, with a deadline, and a peer that does not answer is backed off from. So a slow
// or silent peer costs one open query and delays no other.
//
// Not thread-safe. It reads no clock and does no I/O.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/time.h"

namespace pearchute::fleet {

// The schedule of one agent's queries to its peers.
class AntiEntropyScheduler {
 public:
  // Several rounds fit within GossipState::fresh_for, so that one may be lost.
  static constexpr Duration round_interval = std::chrono::milliseconds(500);
  // Peers queried in a round: reports reach four times as many agents with each, a thousand in five.
  static constexpr std::size_t default_max_concurrent = 3;
  // When a query counts as missed.
  static constexpr Duration answer_timeout = std::chrono::milliseconds(1500);
  // The longest pause after queries that were missed: within it a peer that has come back is queried
  // directly.
  static constexpr Duration max_backoff = std::chrono::seconds(4);

  // `seed` should differ among agents. `max_concurrent` is the number of queries that a round begins.
  explicit AntiEntropyScheduler(std::uint64_t seed, std::size_t max_concurrent = default_max_concurrent)
      : random_(seed), max_concurrent_(max_concurrent) {}

  // Replaces the set of peers. A query in flight to a peer that is gone is still to be concluded.
  void set_peers(const std::set<std::string>& peers);
  // Begins a round: the peers to query now. Each query has to be concluded once, by answered() or missed().
  std::vector<std::string> due(TimePoint now);
  // When to begin the next round.
  TimePoint next(TimePoint now);
  void answered(TimePoint now, const std::string& peer);
  void missed(TimePoint now, const std::string& peer);
  std::size_t in_flight() const;

 private:
  // A peer, and how its queries went.
  struct Peer {
    bool in_flight = false;
    bool is_member = true;  // else it is dropped once its query is concluded
    int consecutive_failures = 0;
    TimePoint last_queried_at{-1}, not_before{};
    std::uint64_t tie_breaker = 0;  // random order among those last queried at the same time
  };
  Duration jittered(Duration duration);

  std::knuth_b random_;
  std::size_t max_concurrent_;
  std::map<std::string, Peer> peers_;
};

}  // namespace pearchute::fleet
