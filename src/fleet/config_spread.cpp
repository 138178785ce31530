#include "fleet/config_spread.h"

#include <algorithm>
#include <iterator>

#include "fleet/hash.h"

namespace pearchute::fleet {

namespace {

// Failed pushes of one version after which a peer that can't be reached, or can't persist it, is pushed to no
// more.
constexpr int max_failed_pushes = 3;
// Bytes of an obstacle's reason that are sent to other agents; the rest is cut off.
constexpr std::size_t max_reason_length = 200;

// Approximate sizes of the parts of an encoded message, in bytes.
constexpr std::size_t digest_size = 34, hash_size = 9, number_size = 6;
constexpr std::size_t hashes_in_message = 3;
constexpr std::size_t name_overhead = 2, obstacle_overhead = 8, document_overhead = 16;
constexpr std::uint32_t short_revision_limit = 64;  // smaller revisions take short_revision_size
constexpr std::size_t short_revision_size = 1, long_revision_size = 3;

void add_number(Fnv1a& hash, std::uint32_t number) {
  constexpr int bits = 32, byte_bits = 8;
  constexpr std::uint32_t byte_mask = 255;
  for (int shift = 0; shift < bits; shift += byte_bits)
    hash.add_byte(static_cast<unsigned char>(number >> shift & byte_mask));
}

// A zero byte separates texts, so that the hashes of "ab", "c" and "a", "bc" differ.
void add_text(Fnv1a& hash, std::string_view text) {
  hash.add(text);
  hash.add_byte(0);
}

std::uint64_t hash_of(const ConfigAcknowledgements& acknowledgements) {
  Fnv1a hash;
  for (const AgentAcknowledgement& acknowledgement : acknowledgements) {
    add_number(hash, acknowledgement.revision);
    hash.add_byte(acknowledgement.in_force ? 1 : 0);
  }
  return hash.value();
}

std::uint64_t hash_of(const std::vector<SupersededConfig>& records) {
  Fnv1a hash;
  for (const SupersededConfig& record : records) {
    add_text(hash, record.mark.digest);
    add_text(hash, record.by.digest);
  }
  return hash.value();
}

std::uint64_t hash_of(const std::vector<std::string>& names) {
  Fnv1a hash;
  for (const std::string& name : names) add_text(hash, name);
  return hash.value();
}

}  // namespace

std::size_t bytes_of(const ConfigMessage& message) {
  std::size_t sum =
      message.from.size() + name_overhead + 2 * number_size + digest_size + hashes_in_message * hash_size;
  if (message.document) {
    const ConfigDocument& document = *message.document;
    sum += document.content.size() + document.author.size() + document_overhead +
           digest_size * (document.ancestors.size() + 1);
  }
  if (message.acknowledgements) {
    for (const AgentAcknowledgement& acknowledgement : *message.acknowledgements) {
      sum += acknowledgement.revision < short_revision_limit ? short_revision_size : long_revision_size;
      for (const ConfigObstacle& obstacle : acknowledgement.obstacles)
        sum += obstacle.instance.size() + obstacle.reason.size() + obstacle_overhead;
    }
  }
  for (const SupersededConfig& record : message.superseded) {
    sum += record.author.size() + 2 * (digest_size + 2 * number_size);
    sum += digest_size * record.ancestors.size();
  }
  return sum;
}

ConfigSpread::ConfigSpread(ConfigReplica::Host& host, std::string self, ConfigLocation location,
                           std::uint64_t seed, ConfigReplica::State on_disk)
    : replica_(host, self, std::move(on_disk)),
      self_(std::move(self)),
      location_(std::move(location)),
      random_(static_cast<std::knuth_b::result_type>(seed)) {
  if (replica_.current()) current_ = std::make_shared<const ConfigDocument>(*replica_.current());
  set_peers({}, {});
}

void ConfigSpread::set_peers(TimePoint now, const std::map<std::string, ConfigLocation>& peers) {
  std::erase_if(peers_, [&](const auto& one) {
    if (peers.contains(one.first)) return false;
    exchanges_in_flight_ -= one.second.in_flight;
    pending_pushes_.erase(one.first);
    return true;
  });
  for (const auto& [name, location] : peers) peers_[name].location = location;
  const std::vector<std::string> before = std::move(members_);
  members_.assign(1, self_);
  for (const auto& [name, location] : peers) members_.push_back(name);
  std::ranges::sort(members_);
  members_hash_ = hash_of(members_);
  if (members_ == before) return;
  acknowledgements_.assign(members_.size(), {});
  acknowledgements_hash_ = hash_of(acknowledgements_);
  std::erase_if(verified_peers_, [&](const std::string& name) { return !peers_.contains(name); });
  acknowledge(now);
}

PublishResult ConfigSpread::publish(TimePoint now, const PublishRequest& request) {
  if (!verified()) return PublishResult::unverified;
  const PublishResult result = replica_.publish(request);
  if (result == PublishResult::accepted) version_changed(now, true);
  return result;
}

void ConfigSpread::set_instances(TimePoint now, const std::vector<InstanceConfig>& instances) {
  instances_ = instances;
  instances_known_ = true;
  acknowledge(now);
}

// ---- Exchanges

std::vector<std::string> ConfigSpread::due(TimePoint now) {
  std::vector<std::string> begun;
  const auto begin = [&](const std::string& name, Peer& peer) {
    peer.in_flight = true;
    ++exchanges_in_flight_;
    begun.push_back(name);
  };
  for (const std::string& name : pending_pushes_) {
    Peer& peer = peers_.at(name);
    if (!peer.in_flight && exchanges_in_flight_ < max_open_exchanges) begin(name, peer);
  }
  if (now < next_exchange_ || peers_.empty()) return begun;
  const Duration interval = active(now) || !verified() ? active_interval : idle_interval;
  // The next exchange follows after 3/4 to 5/4 of the interval, so that agents that start together drift
  // apart.
  const Duration quarter = interval / 4;
  const Duration range = 2 * quarter;
  next_exchange_ = now + 3 * quarter + Duration(static_cast<Duration::rep>(random_()) % range.count());
  const auto chosen = std::next(peers_.begin(), static_cast<std::ptrdiff_t>(random_() % peers_.size()));
  if (!chosen->second.in_flight && exchanges_in_flight_ < max_open_exchanges)
    begin(chosen->first, chosen->second);
  return begun;
}

TimePoint ConfigSpread::next(TimePoint now) const {
  const bool pushes = exchanges_in_flight_ < max_open_exchanges &&
                      std::ranges::any_of(pending_pushes_, [this](const std::string& name) {
                        return !peers_.at(name).in_flight;
                      });
  return pushes ? now : std::max(now, next_exchange_);
}

ConfigMessage ConfigSpread::marks() const {
  ConfigMessage message;
  message.from = self_;
  message.mark = replica_.mark();
  message.members = members_hash_;
  message.acknowledged = acknowledgements_hash_;
  message.superseded_hash = hash_of(replica_.state().superseded);
  return message;
}

ConfigAcknowledgements ConfigSpread::acknowledgements_to_send() const {
  ConfigAcknowledgements all = acknowledgements_;
  std::size_t with_obstacles = 0;
  for (AgentAcknowledgement& one : all) {
    if (!one.obstacles.empty() && ++with_obstacles > max_agents_with_obstacles) one.obstacles.clear();
  }
  return all;
}

ConfigMessage ConfigSpread::question(TimePoint now, const std::string& peer) const {
  ConfigMessage message = marks();
  if (pending_pushes_.contains(peer)) message.document = current_;
  if (active(now) && current_) message.acknowledgements = acknowledgements_to_send();
  return message;
}

ConfigMessage ConfigSpread::receive(TimePoint now, const ConfigMessage& question) {
  merge(now, question);
  ConfigMessage answer = marks();
  if (answer.mark > question.mark) answer.document = current_;
  const bool same_version = answer.mark == question.mark && answer.members == question.members;
  if (same_version && current_ && answer.acknowledged != question.acknowledged)
    answer.acknowledgements = acknowledgements_to_send();
  if (answer.superseded_hash != question.superseded_hash) answer.superseded = replica_.state().superseded;
  return answer;
}

void ConfigSpread::answered(TimePoint now, const std::string& peer, const ConfigMessage& answer) {
  const auto found = peers_.find(peer);
  if (found == peers_.end() || !found->second.in_flight) return;
  found->second.in_flight = false;
  --exchanges_in_flight_;
  merge(now, answer);
  verified_peers_.insert(peer);
  const bool behind = current_ && answer.mark < replica_.mark();
  // An answer with an older mark than the pushed version comes from a peer that could not persist it.
  const bool push_failed = behind && pending_pushes_.contains(peer);
  int& failed_pushes = found->second.failed_pushes;
  failed_pushes = push_failed ? failed_pushes + 1 : 0;
  if (behind && failed_pushes < max_failed_pushes) pending_pushes_.insert(peer);
  else pending_pushes_.erase(peer);
  if (current_ && answer.mark == replica_.mark()) peers_with_copy_.insert(peer);
  const ConfigMessage own = marks();
  const bool peer_lacks_records =
      answer.mark == own.mark && answer.members == own.members &&
      (answer.acknowledged != own.acknowledged || answer.superseded_hash != own.superseded_hash);
  if (peer_lacks_records) changed(now);
}

void ConfigSpread::missed(TimePoint now, const std::string& peer) {
  const auto at = peers_.find(peer);
  if (at == peers_.end() || !at->second.in_flight) return;
  at->second.in_flight = false;
  --exchanges_in_flight_;
  if (!pending_pushes_.contains(peer) || ++at->second.failed_pushes < max_failed_pushes) return;
  pending_pushes_.erase(peer);
  // The push of this version to the peer has failed: another peer of its zone may be reachable.
  at->second.failed_pushes = 0;
  if (active(now)) push_to_some(peers_in(at->second.location.zone, true), 1);
}

void ConfigSpread::merge(TimePoint now, const ConfigMessage& message) {
  if (message.document && replica_.receive(*message.document)) version_changed(now, false);
  if (!message.superseded.empty() && replica_.receive_superseded(message.superseded)) changed(now);
  const bool comparable = message.acknowledgements && message.mark == replica_.mark() &&
                          message.members == members_hash_ &&
                          message.acknowledgements->size() == members_.size();
  if (comparable) merge_acknowledgements(now, *message.acknowledgements);
}

void ConfigSpread::merge_acknowledgements(TimePoint now, const ConfigAcknowledgements& acknowledgements) {
  bool changed_any = false;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    const AgentAcknowledgement& theirs = acknowledgements[i];
    AgentAcknowledgement& ours = acknowledgements_[i];
    if (theirs.obstacles.size() > AgentAcknowledgement::max_obstacles) continue;
    if (members_[i] == self_) {
      const bool from_before_restart = theirs.revision > ours.revision ||
                                       (theirs.revision == ours.revision && theirs.in_force != ours.in_force);
      if (from_before_restart) own_revision_received_ = std::max(own_revision_received_, theirs.revision);
      continue;
    }
    // Two acknowledgements with the same revision come from before and after a restart of the agent. The one
    // that is not in force wins, since it promises less.
    const bool newer = theirs.revision > ours.revision ||
                       (theirs.revision == ours.revision && ours.in_force && !theirs.in_force);
    if (!newer) continue;
    ours = theirs;
    changed_any = true;
  }
  acknowledge(now);
  if (!changed_any) return;
  acknowledgements_hash_ = hash_of(acknowledgements_);
  changed(now);
}

// ---- Changes

void ConfigSpread::changed(TimePoint now) {
  active_until_ = now + active_for;
  next_exchange_ = std::min(next_exchange_, now + active_interval);
}

void ConfigSpread::version_changed(TimePoint now, bool author) {
  current_ = std::make_shared<const ConfigDocument>(*replica_.current());
  peers_with_copy_.clear();
  acknowledgements_.assign(members_.size(), {});
  acknowledgements_hash_ = hash_of(acknowledgements_);
  own_revision_received_ = 0;
  acknowledge(now);
  changed(now);
  pending_pushes_.clear();
  for (auto& [name, peer] : peers_) peer.failed_pushes = 0;
  push_to_some(peers_in(location_.zone, true), pushes_in_zone);
  if (!author) return push_to_some(peers_in(location_.zone, false), pushes_elsewhere);
  std::set<std::string> zones;
  for (const auto& [name, peer] : peers_) zones.insert(peer.location.zone);
  zones.erase(location_.zone);
  for (const std::string& zone : zones) push_to_some(peers_in(zone, true), 1);
}

std::vector<std::string> ConfigSpread::peers_in(const std::string& zone, bool inside) const {
  std::vector<std::string> names;
  for (const auto& [name, peer] : peers_) {
    if ((peer.location.zone == zone) == inside) names.push_back(name);
  }
  return names;
}

void ConfigSpread::push_to_some(const std::vector<std::string>& candidates, std::size_t number) {
  for (std::size_t i = 0; i < number && !candidates.empty(); ++i)
    pending_pushes_.insert(candidates[random_() % candidates.size()]);
}

void ConfigSpread::acknowledge(TimePoint now) {
  if (!current_ || !instances_known_) return;
  AgentAcknowledgement next;
  next.in_force = true;
  for (const InstanceConfig& one : instances_) {
    if (one.in_force == replica_.mark()) continue;
    next.in_force = false;
    if (!one.not_in_force_reason.empty() && next.obstacles.size() < AgentAcknowledgement::max_obstacles)
      next.obstacles.push_back({one.instance, one.not_in_force_reason.substr(0, max_reason_length)});
  }
  AgentAcknowledgement& own = acknowledgements_[index_of(self_)];
  const bool is_unknown = own.revision == 0 && own_revision_received_ == 0 && next == AgentAcknowledgement();
  next.revision = own.revision;
  if (is_unknown || (next == own && own_revision_received_ < own.revision)) return;
  next.revision = std::max(own.revision, own_revision_received_) + 1;
  own_revision_received_ = 0;
  own = next;
  acknowledgements_hash_ = hash_of(acknowledgements_);
  changed(now);
}

// ---- State

std::size_t ConfigSpread::index_of(const std::string& agent) const {
  const auto at = std::ranges::lower_bound(members_, agent);
  const bool found = at != members_.end() && *at == agent;
  return found ? static_cast<std::size_t>(at - members_.begin()) : members_.size();
}

bool ConfigSpread::verified() const {
  return verified_peers_.size() >= std::min(verifying_peers, peers_.size());
}

bool ConfigSpread::confirmed() const {
  return current_ && peers_with_copy_.size() + 1 >= std::min(confirming_copies, members_.size());
}

std::optional<ConfigDocument> ConfigSpread::to_apply() const {
  if (!verified()) return std::nullopt;
  return replica_.current();
}

bool ConfigSpread::reported_in_force(const std::string& agent) const {
  const std::size_t index = index_of(agent);
  return current_ && index < members_.size() && acknowledgements_[index].in_force;
}

ConfigReport ConfigSpread::report() const {
  ConfigReport report;
  report.mark = replica_.mark();
  report.verified = verified();
  report.copies = current_ ? peers_with_copy_.size() + 1 : 0;
  report.superseded = replica_.state().superseded;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    const std::string& name = members_[i];
    ConfigReport::Zone& zone = report.zones[name == self_ ? location_.zone : peers_.at(name).location.zone];
    ++zone.agents;
    if (current_ && acknowledgements_[i].in_force) {
      ++zone.in_force;
      continue;
    }
    ++report.not_in_force;
    if (report.names.size() < ConfigReport::max_listed_names)
      list_obstacles(name, acknowledgements_[i], report.names);
  }
  return report;
}

void ConfigSpread::list_obstacles(const std::string& agent, const AgentAcknowledgement& acknowledgement,
                                  std::vector<std::string>& lines) {
  if (acknowledgement.obstacles.empty())
    lines.push_back(agent + (acknowledgement.revision == 0 ? ": unknown" : ": not in force"));
  for (const ConfigObstacle& obstacle : acknowledgement.obstacles)
    lines.push_back(agent + "/" + obstacle.instance + ": " + obstacle.reason);
}

}  // namespace pearchute::fleet
