#include "fleet/anti_entropy_scheduler.h"

#include <algorithm>

namespace pearchute::fleet {

void AntiEntropyScheduler::set_peers(const std::set<std::string>& peers) {
  for (auto& [name, peer] : peers_) peer.is_member = peers.contains(name);
  std::erase_if(peers_, [](const auto& peer) { return !peer.second.is_member && !peer.second.in_flight; });
  for (const std::string& name : peers) {
    const auto [peer, is_new] = peers_.try_emplace(name);
    if (is_new) peer->second.tie_breaker = random_();
  }
}

// Returns a random duration from 3/4 to 5/4 of `duration`, so that agents that start together drift apart.
Duration AntiEntropyScheduler::jittered(Duration duration) {
  const Duration min_duration = duration * 3 / 4;
  const Duration range = duration / 2;
  return min_duration +
         Duration(static_cast<Duration::rep>(random_() % static_cast<std::uint64_t>(range.count() + 1)));
}

std::vector<std::string> AntiEntropyScheduler::due(TimePoint now) {
  std::vector<std::map<std::string, Peer>::iterator> ready;
  for (auto peer = peers_.begin(); peer != peers_.end(); ++peer) {
    if (peer->second.is_member && !peer->second.in_flight && peer->second.not_before <= now)
      ready.push_back(peer);
  }
  std::ranges::sort(ready, {}, [](const auto& peer) {
    return std::pair(peer->second.last_queried_at, peer->second.tie_breaker);
  });
  if (ready.size() > max_concurrent_) ready.resize(max_concurrent_);
  std::vector<std::string> names;
  for (const auto& found : ready) {
    Peer& peer = found->second;
    peer.in_flight = true;
    peer.last_queried_at = now;
    peer.tie_breaker = random_();
    names.push_back(found->first);
  }
  return names;
}

TimePoint AntiEntropyScheduler::next(TimePoint now) { return now + jittered(round_interval); }

void AntiEntropyScheduler::answered(TimePoint now, const std::string& name) {
  const auto found = peers_.find(name);
  if (found == peers_.end()) return;
  Peer& peer = found->second;
  peer.in_flight = false;
  peer.consecutive_failures = 0;
  peer.not_before = now;
  if (!peer.is_member) peers_.erase(found);
}

void AntiEntropyScheduler::missed(TimePoint now, const std::string& name) {
  const auto found = peers_.find(name);
  if (found == peers_.end()) return;
  Peer& peer = found->second;
  peer.in_flight = false;
  Duration backoff = round_interval;
  for (int n = 0; n < peer.consecutive_failures && backoff < max_backoff; ++n) backoff *= 2;
  ++peer.consecutive_failures;
  peer.not_before = now + jittered(std::min(backoff, max_backoff));
  if (!peer.is_member) peers_.erase(found);
}

std::size_t AntiEntropyScheduler::in_flight() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(peers_, [](const auto& peer) { return peer.second.in_flight; }));
}

}  // namespace pearchute::fleet
