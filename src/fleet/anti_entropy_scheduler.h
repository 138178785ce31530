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
  static constexpr Span every = std::chrono::milliseconds(500);
  // Word by way of others spreads to four times as many agents with each round: five rounds reach a thousand.
  static constexpr std::size_t at_once = 3;
  static constexpr Span answers_within = std::chrono::milliseconds(1500);
  // So soon is one that has come back heard from directly; others that hear it tell of it sooner.
  static constexpr Span longest_pause = std::chrono::seconds(4);

  explicit AntiEntropyScheduler(std::uint64_t seed, std::size_t peers_at_once = at_once)
      : chance_(seed), peers_at_once_(peers_at_once) {}

  void charter(const std::set<std::string>& peers);
  // Whom to ask now, and when to look again.
  std::vector<std::string> due(Span now);
  Span next(Span now);
  // What became of a question; each is answered or missed once.
  void answered(Span now, const std::string& peer);
  void missed(Span now, const std::string& peer);
  std::size_t open() const;

 private:
  struct Peer {
    bool open = false, known = true;  // not known any more: goes once its question is over
    int misses = 0;
    Span asked{-1}, not_before{};
    std::uint64_t lot = 0;  // among those that were asked at the same time
  };
  Span about(Span span);  // three quarters to five quarters of it: agents that start together drift apart

  std::knuth_b chance_;
  std::size_t peers_at_once_;
  std::map<std::string, Peer> peers_;
};

}  // namespace pearchute::fleet
