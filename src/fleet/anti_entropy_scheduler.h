// Whom an agent asks for the bulletin, and when. A few at a time, those first that were not asked for
// longest; one question at a time to each, with a deadline, and with growing pauses to one that does not
// answer. So a peer that is slow or silent costs one open question and delays nobody else. It knows no socket
// or clock.
#pragma once

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/instance_lifecycle.h"

namespace pearchute::fleet {

class AntiEntropyScheduler {
 public:
  // Four rounds within the time for which word stays fresh, one of them lost.
  static constexpr Duration round_interval = std::chrono::milliseconds(500);
  // Word by way of others spreads to four times as many agents with each round: five rounds reach a thousand.
  static constexpr std::size_t default_max_concurrent = 3;
  static constexpr Duration answer_timeout = std::chrono::milliseconds(1500);
  // So soon is one that has come back heard from directly; others that hear it tell of it sooner.
  static constexpr Duration max_backoff = std::chrono::seconds(4);

  explicit AntiEntropyScheduler(std::uint64_t seed, std::size_t max_concurrent = default_max_concurrent)
      : random_(seed), max_concurrent_(max_concurrent) {}

  void set_peers(const std::set<std::string>& peers);
  // Whom to ask now, and when to look again.
  std::vector<std::string> due(TimePoint now);
  TimePoint next(TimePoint now);
  // What became of a question; each is answered or missed once.
  void answered(TimePoint now, const std::string& peer);
  void missed(TimePoint now, const std::string& peer);
  std::size_t in_flight() const;

 private:
  struct Peer {
    bool in_flight = false, is_member = true;  // not known any more: goes once its question is over
    int consecutive_failures = 0;
    TimePoint last_queried_at{-1}, not_before{};
    std::uint64_t tie_breaker = 0;  // among those that were asked at the same time
  };
  Duration jittered(
      Duration span);  // three quarters to five quarters of it: agents that start together drift apart

  std::knuth_b random_;
  std::size_t max_concurrent_;
  std::map<std::string, Peer> peers_;
};

}  // namespace pearchute::fleet
