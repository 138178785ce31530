// Decides which peers an agent queries next in its anti-entropy exchange, and when.
//
// Each round queries a few peers, least recently queried first. Each peer has at most one query in flight,
// with a deadline, and a peer that does not answer is queried again only after an exponential backoff. A slow
// or silent peer therefore costs one open query and delays no other peer.
//
// Not thread-safe. The class reads no clock and does no I/O.
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
  // Time between two rounds. Several rounds fit into GossipState::fresh_for, so reports stay fresh when one
  // round is lost.
  static constexpr Duration round_interval = std::chrono::milliseconds(500);
  // Number of peers queried in a round. With 3, each round multiplies the number of agents that have a report
  // by four: 5 rounds reach 1,000 agents.
  static constexpr std::size_t default_max_concurrent = 3;
  // Time after which an unanswered query counts as missed.
  static constexpr Duration answer_timeout = std::chrono::milliseconds(1500);
  // Longest pause after missed queries (before jitter). It bounds how long a recovered peer waits for the
  // next direct query.
  static constexpr Duration max_backoff = std::chrono::seconds(4);

  // `seed` should differ among agents. `max_concurrent` is the maximum number of queries that a round begins.
  explicit AntiEntropyScheduler(std::uint64_t seed, std::size_t max_concurrent = default_max_concurrent)
      : random_(seed), max_concurrent_(max_concurrent) {}

  // Replaces the set of peers. A query in flight to a removed peer still has to be concluded.
  void set_peers(const std::set<std::string>& peers);
  // Begins a round and returns the peers to query now. Each query has to be concluded exactly once, by
  // answered() or missed().
  std::vector<std::string> due(TimePoint now);
  // Returns the time at which to begin the next round; each call draws a new jitter.
  TimePoint next(TimePoint now);
  void answered(TimePoint now, const std::string& peer);
  void missed(TimePoint now, const std::string& peer);
  std::size_t in_flight() const;

 private:
  // A peer and the state of the queries to it.
  struct Peer {
    bool in_flight = false;
    bool is_member = true;  // false: removed by set_peers(); dropped once the query in flight is concluded
    int consecutive_failures = 0;
    TimePoint last_queried_at{-1}, not_before{};
    std::uint64_t tie_breaker = 0;  // random order among peers last queried at the same time
  };
  Duration jittered(Duration duration);

  std::knuth_b random_;
  std::size_t max_concurrent_;
  std::map<std::string, Peer> peers_;
};

}  // namespace pearchute::fleet
