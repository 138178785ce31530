#include "fleet/anti_entropy_scheduler.h"

#include <algorithm>

namespace pearchute::fleet {

void AntiEntropyScheduler::set_peers(const std::set<std::string>& peers) {
  for (auto& [name, peer] : peers_) peer.is_member = peers.contains(name);
  std::erase_if(peers_, [](const auto& one) { return !one.second.is_member && !one.second.in_flight; });
  for (const std::string& name : peers) {
    const auto [at, is_new] = peers_.try_emplace(name);
    if (is_new) at->second.tie_breaker = random_();
  }
}

Duration AntiEntropyScheduler::jittered(Duration span) {
  const Duration::rep whole = span.count();
  return Duration(whole * 3 / 4 +
                  static_cast<Duration::rep>(random_() % static_cast<std::uint64_t>(whole / 2 + 1)));
}

std::vector<std::string> AntiEntropyScheduler::due(TimePoint now) {
  std::vector<std::map<std::string, Peer>::iterator> ready;
  for (auto at = peers_.begin(); at != peers_.end(); ++at) {
    if (at->second.is_member && !at->second.in_flight && at->second.not_before <= now) ready.push_back(at);
  }
  std::ranges::sort(ready, {}, [](const auto& at) {
    return std::pair(at->second.last_queried_at, at->second.tie_breaker);
  });
  if (ready.size() > max_concurrent_) ready.resize(max_concurrent_);
  std::vector<std::string> names;
  for (const auto& at : ready) {
    at->second.in_flight = true, at->second.last_queried_at = now, at->second.tie_breaker = random_();
    names.push_back(at->first);
  }
  return names;
}

TimePoint AntiEntropyScheduler::next(TimePoint now) { return now + jittered(round_interval); }

void AntiEntropyScheduler::answered(TimePoint now, const std::string& name) {
  const auto at = peers_.find(name);
  if (at == peers_.end()) return;
  at->second.in_flight = false, at->second.consecutive_failures = 0, at->second.not_before = now;
  if (!at->second.is_member) peers_.erase(at);
}

void AntiEntropyScheduler::missed(TimePoint now, const std::string& name) {
  const auto at = peers_.find(name);
  if (at == peers_.end()) return;
  Peer& peer = at->second;
  peer.in_flight = false;
  Duration pause = round_interval;
  for (int n = 0; n < peer.consecutive_failures && pause < max_backoff; ++n) pause *= 2;
  ++peer.consecutive_failures;
  peer.not_before = now + jittered(std::min(pause, max_backoff));
  if (!peer.is_member) peers_.erase(at);
}

std::size_t AntiEntropyScheduler::in_flight() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(peers_, [](const auto& one) { return one.second.in_flight; }));
}

}  // namespace pearchute::fleet
