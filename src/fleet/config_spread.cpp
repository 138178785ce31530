#include "fleet/config_spread.h"

#include <algorithm>

namespace pearchute::fleet {

namespace {

constexpr int max_failed_pushes = 3;
constexpr std::size_t max_reason_length = 200;

// FNV-1a: the same on every machine and at every start.
class Hash {
 public:
  void add(std::string_view text) {
    for (const char byte : text) add_byte(static_cast<unsigned char>(byte));
    add_byte(0);
  }
  void add_byte(unsigned char byte) { value_ = (value_ ^ byte) * 1099511628211ULL; }
  std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 14695981039346656037ULL;
};

std::uint64_t hash_of(const ConfigAcknowledgements& acknowledgements) {
  Hash hash;
  for (const AgentAcknowledgement& one : acknowledgements) {
    for (int shift = 0; shift < 32; shift += 8)
      hash.add_byte(static_cast<unsigned char>(one.revision >> shift & 255));
    hash.add_byte(one.in_force ? 1 : 0);
  }
  return hash.value();
}

std::uint64_t hash_of(const std::vector<SupersededConfig>& records) {
  Hash hash;
  for (const SupersededConfig& one : records) {
    hash.add(one.mark.digest);
    hash.add(one.by.digest);
  }
  return hash.value();
}

}  // namespace

// As protobuf would encode it, about.
std::size_t bytes_of(const ConfigMessage& message) {
  constexpr std::size_t digest = 34, hash = 9, number = 6;
  std::size_t sum = message.from.size() + 2 + 2 * number + digest + 3 * hash;
  if (message.document) {
    const ConfigDocument& document = *message.document;
    sum += document.content.size() + document.author.size() + 16 + digest * (document.ancestors.size() + 1);
  }
  if (message.acknowledgements) {
    for (const AgentAcknowledgement& one : *message.acknowledgements) {
      sum += one.revision < 64 ? 1 : 3;
      for (const ConfigObstacle& obstacle : one.obstacles)
        sum += obstacle.instance.size() + obstacle.reason.size() + 8;
    }
  }
  for (const SupersededConfig& one : message.superseded)
    sum += one.author.size() + 2 * (digest + 2 * number) + digest * one.ancestors.size();
  return sum;
}

ConfigSpread::ConfigSpread(ConfigReplica::Host& host, std::string self, ConfigLocation place,
                           std::uint64_t seed, ConfigReplica::State on_disk)
    : replica_(host, self, std::move(on_disk)),
      self_(std::move(self)),
      place_(std::move(place)),
      random_(static_cast<std::knuth_b::result_type>(seed)) {
  if (replica_.current()) shared_ = std::make_shared<const ConfigDocument>(*replica_.current());
  set_peers({}, {});
}

void ConfigSpread::set_peers(TimePoint now, const std::map<std::string, ConfigLocation>& peers) {
  std::erase_if(peers_, [&](const auto& one) {
    if (peers.contains(one.first)) return false;
    open_ -= one.second.open;
    pushes_.erase(one.first);
    return true;
  });
  for (const auto& [name, place] : peers) peers_[name].place = place;
  const std::vector<std::string> before = std::move(members_);
  members_.assign(1, self_);
  for (const auto& [name, place] : peers) members_.push_back(name);
  std::ranges::sort(members_);
  Hash hash;
  for (const std::string& name : members_) hash.add(name);
  members_hash_ = hash.value();
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
    peer.open = true;
    ++open_;
    begun.push_back(name);
  };
  for (const std::string& name : pushes_) {
    Peer& peer = peers_.at(name);
    if (!peer.open && open_ < max_open_exchanges) begin(name, peer);
  }
  if (now < next_exchange_ || peers_.empty()) return begun;
  const Duration interval = active(now) || !verified() ? active_interval : idle_interval;
  // Three quarters to five quarters of it: agents that start together drift apart.
  const auto quarter = interval.count() / 4;
  next_exchange_ = now + Duration(3 * quarter + static_cast<Duration::rep>(random_()) % (2 * quarter));
  const auto chosen = std::next(peers_.begin(), static_cast<std::ptrdiff_t>(random_() % peers_.size()));
  if (!chosen->second.open && open_ < max_open_exchanges) begin(chosen->first, chosen->second);
  return begun;
}

TimePoint ConfigSpread::next(TimePoint now) const {
  const bool pushes =
      open_ < max_open_exchanges &&
      std::ranges::any_of(pushes_, [this](const std::string& name) { return !peers_.at(name).open; });
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
  if (pushes_.contains(peer)) message.document = shared_;
  if (active(now) && shared_) message.acknowledgements = acknowledgements_to_send();
  return message;
}

ConfigMessage ConfigSpread::receive(TimePoint now, const ConfigMessage& question) {
  merge(now, question);
  ConfigMessage answer = marks();
  if (answer.mark > question.mark) answer.document = shared_;
  const bool same_version = answer.mark == question.mark && answer.members == question.members;
  if (same_version && shared_ && answer.acknowledged != question.acknowledged)
    answer.acknowledgements = acknowledgements_to_send();
  if (answer.superseded_hash != question.superseded_hash) answer.superseded = replica_.state().superseded;
  return answer;
}

void ConfigSpread::answered(TimePoint now, const std::string& peer, const ConfigMessage& answer) {
  const auto at = peers_.find(peer);
  if (at == peers_.end() || !at->second.open) return;
  at->second.open = false;
  --open_;
  merge(now, answer);
  verified_peers_.insert(peer);
  const bool behind = shared_ && answer.mark < replica_.mark();
  // An answer that carries an older mark than was pushed comes from a peer that could not write it.
  const bool refused = behind && pushes_.contains(peer);
  if (refused) ++at->second.failed_pushes;
  else at->second.failed_pushes = 0;
  if (behind && at->second.failed_pushes < max_failed_pushes) pushes_.insert(peer);
  else pushes_.erase(peer);
  if (shared_ && answer.mark == replica_.mark()) copies_.insert(peer);
  const ConfigMessage own = marks();
  const bool lacks =
      answer.mark == own.mark && answer.members == own.members &&
      (answer.acknowledged != own.acknowledged || answer.superseded_hash != own.superseded_hash);
  if (lacks) changed(now);
}

void ConfigSpread::missed(TimePoint now, const std::string& peer) {
  const auto at = peers_.find(peer);
  if (at == peers_.end() || !at->second.open) return;
  at->second.open = false;
  --open_;
  if (!pushes_.contains(peer) || ++at->second.failed_pushes < max_failed_pushes) return;
  pushes_.erase(peer);
  // Somebody else in that zone may be reached.
  at->second.failed_pushes = 0;
  if (active(now)) push_to_some(peers_in(at->second.place.zone, true), 1);
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
      const bool from_before = theirs.revision > ours.revision ||
                               (theirs.revision == ours.revision && theirs.in_force != ours.in_force);
      if (from_before) own_revision_received_ = std::max(own_revision_received_, theirs.revision);
      continue;
    }
    // Of two under one revision, from before and after a restart, the one that promises less.
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
  shared_ = std::make_shared<const ConfigDocument>(*replica_.current());
  copies_.clear();
  acknowledgements_.assign(members_.size(), {});
  acknowledgements_hash_ = hash_of(acknowledgements_);
  own_revision_received_ = 0;
  acknowledge(now);
  changed(now);
  pushes_.clear();
  for (auto& [name, peer] : peers_) peer.failed_pushes = 0;
  push_to_some(peers_in(place_.zone, true), pushes_in_zone);
  if (!author) return push_to_some(peers_in(place_.zone, false), pushes_elsewhere);
  std::set<std::string> zones;
  for (const auto& [name, peer] : peers_) zones.insert(peer.place.zone);
  zones.erase(place_.zone);
  for (const std::string& zone : zones) push_to_some(peers_in(zone, true), 1);
}

std::vector<std::string> ConfigSpread::peers_in(const std::string& zone, bool inside) const {
  std::vector<std::string> names;
  for (const auto& [name, peer] : peers_) {
    if ((peer.place.zone == zone) == inside) names.push_back(name);
  }
  return names;
}

void ConfigSpread::push_to_some(const std::vector<std::string>& candidates, std::size_t number) {
  for (std::size_t i = 0; i < number && !candidates.empty(); ++i)
    pushes_.insert(candidates[random_() % candidates.size()]);
}

void ConfigSpread::acknowledge(TimePoint now) {
  if (!shared_ || !instances_known_) return;
  AgentAcknowledgement next;
  next.in_force = true;
  for (const InstanceConfig& one : instances_) {
    if (one.in_force == replica_.mark()) continue;
    next.in_force = false;
    if (!one.not_in_force_reason.empty() && next.obstacles.size() < AgentAcknowledgement::max_obstacles)
      next.obstacles.push_back({one.instance, one.not_in_force_reason.substr(0, max_reason_length)});
  }
  AgentAcknowledgement& own = acknowledgements_[index_of(self_)];
  const bool nothing_to_say =
      own.revision == 0 && own_revision_received_ == 0 && next == AgentAcknowledgement();
  next.revision = own.revision;
  if (nothing_to_say || (next == own && own_revision_received_ < own.revision)) return;
  next.revision = std::max(own.revision, own_revision_received_) + 1;
  own_revision_received_ = 0;
  own = next;
  acknowledgements_hash_ = hash_of(acknowledgements_);
  changed(now);
}

// ---- What is known

std::size_t ConfigSpread::index_of(const std::string& agent) const {
  const auto at = std::ranges::lower_bound(members_, agent);
  const bool found = at != members_.end() && *at == agent;
  return found ? static_cast<std::size_t>(at - members_.begin()) : members_.size();
}

bool ConfigSpread::verified() const {
  return verified_peers_.size() >= std::min(verifying_peers, peers_.size());
}

bool ConfigSpread::confirmed() const {
  return shared_ && copies_.size() + 1 >= std::min(confirming_copies, members_.size());
}

std::optional<ConfigDocument> ConfigSpread::to_apply() const {
  if (!verified()) return std::nullopt;
  return replica_.current();
}

bool ConfigSpread::reported_in_force(const std::string& agent) const {
  const std::size_t index = index_of(agent);
  return shared_ && index < members_.size() && acknowledgements_[index].in_force;
}

ConfigReport ConfigSpread::report() const {
  ConfigReport report;
  report.mark = replica_.mark();
  report.verified = verified();
  report.copies = shared_ ? copies_.size() + 1 : 0;
  report.superseded = replica_.state().superseded;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    const std::string& name = members_[i];
    ConfigReport::Zone& zone = report.zones[name == self_ ? place_.zone : peers_.at(name).place.zone];
    ++zone.agents;
    const AgentAcknowledgement& known = acknowledgements_[i];
    if (shared_ && known.in_force) {
      ++zone.in_force;
      continue;
    }
    ++report.not_in_force;
    if (report.names.size() >= ConfigReport::max_listed_names) continue;
    if (known.obstacles.empty())
      report.names.push_back(name + (known.revision == 0 ? ": unknown" : ": not in force"));
    for (const ConfigObstacle& one : known.obstacles)
      report.names.push_back(name + "/" + one.instance + ": " + one.reason);
  }
  return report;
}

}  // namespace pearchute::fleet
