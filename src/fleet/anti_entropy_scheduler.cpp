#include "fleet/anti_entropy_scheduler.h"

#include <algorithm>

namespace pearchute::fleet {

void AntiEntropyScheduler::charter(const std::set<std::string>& peers) {
  for (auto& [name, peer] : peers_) peer.known = peers.contains(name);
  std::erase_if(peers_, [](const auto& one) { return !one.second.known && !one.second.open; });
  for (const std::string& name : peers) {
    const auto [at, is_new] = peers_.try_emplace(name);
    if (is_new) at->second.lot = chance_();
  }
}

Span AntiEntropyScheduler::about(Span span) {
  const Span::rep whole = span.count();
  return Span(whole * 3 / 4 + static_cast<Span::rep>(chance_() % static_cast<std::uint64_t>(whole / 2 + 1)));
}

std::vector<std::string> AntiEntropyScheduler::due(Span now) {
  std::vector<std::map<std::string, Peer>::iterator> ready;
  for (auto at = peers_.begin(); at != peers_.end(); ++at) {
    if (at->second.known && !at->second.open && at->second.not_before <= now) ready.push_back(at);
  }
  std::ranges::sort(ready, {}, [](const auto& at) { return std::pair(at->second.asked, at->second.lot); });
  if (ready.size() > peers_at_once_) ready.resize(peers_at_once_);
  std::vector<std::string> names;
  for (const auto& at : ready) {
    at->second.open = true, at->second.asked = now, at->second.lot = chance_();
    names.push_back(at->first);
  }
  return names;
}

Span AntiEntropyScheduler::next(Span now) { return now + about(every); }

void AntiEntropyScheduler::answered(Span now, const std::string& name) {
  const auto at = peers_.find(name);
  if (at == peers_.end()) return;
  at->second.open = false, at->second.misses = 0, at->second.not_before = now;
  if (!at->second.known) peers_.erase(at);
}

void AntiEntropyScheduler::missed(Span now, const std::string& name) {
  const auto at = peers_.find(name);
  if (at == peers_.end()) return;
  Peer& peer = at->second;
  peer.open = false;
  Span pause = every;
  for (int n = 0; n < peer.misses && pause < longest_pause; ++n) pause *= 2;
  ++peer.misses;
  peer.not_before = now + about(std::min(pause, longest_pause));
  if (!peer.known) peers_.erase(at);
}

std::size_t AntiEntropyScheduler::open() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(peers_, [](const auto& one) { return one.second.open; }));
}

}  // namespace pearchute::fleet
