#include "fleet/level_gossip.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace pearchute::fleet {

namespace {

// Distance between the seeds of one agent's schedulers, which must not draw the same random numbers.
constexpr std::uint64_t sibling_seed_offset = 0x9E3779B97F4A7C15ULL;

}  // namespace

LevelGossip::LevelGossip(GossipState::Host& host, std::string self, std::uint64_t incarnation,
                         std::uint64_t seed, std::shared_ptr<const Topology> topology)
    : self_(std::move(self)),
      state_(host, self_, incarnation, seed),
      group_scheduler_(seed, max_group_queries_per_tick),
      sibling_schedulers_(schedulers_for(seed)) {
  set_topology(std::move(topology));
}

std::array<AntiEntropyScheduler, LevelGossip::level_count> LevelGossip::schedulers_for(std::uint64_t seed) {
  const std::uint64_t group_seed = seed + sibling_seed_offset;
  const std::uint64_t zone_seed = group_seed + sibling_seed_offset;
  const std::uint64_t region_seed = zone_seed + sibling_seed_offset;
  return {AntiEntropyScheduler(group_seed), AntiEntropyScheduler(zone_seed),
          AntiEntropyScheduler(region_seed)};
}

void LevelGossip::set_topology(std::shared_ptr<const Topology> topology) {
  topology_ = std::move(topology);
  placement_ = topology_->placement(self_).value_or(Placement{});
  const std::vector<std::string>& members = topology_->ranked_members(placement_.group);
  std::set<std::string> peers(members.begin(), members.end());
  peers.erase(self_);
  state_.set_agents(peers);
  group_scheduler_.set_peers(peers);
  summaries_.set_topology(topology_);
  std::erase_if(contact_rotations_,
                [&](const auto& rotation) { return !topology_->contains(rotation.first); });
}

void LevelGossip::publish_instances(const std::vector<StatusReport>& reports) {
  state_.publish(reports);
  has_reported_ = true;
}

// ---- Aggregators

std::vector<std::string> LevelGossip::aggregator_candidates(TimePoint now, Level level) const {
  std::set<std::string> alive;
  if (level == Level::group) {
    for (const std::string& member : topology_->ranked_members(placement_.group)) {
      if (state_.known(now, member).freshness == Freshness::fresh) alive.insert(member);
    }
  } else {
    for (const Unit& child : topology_->children(placement_.at(level))) {
      for (const std::string& writer : summaries_.fresh_writers(now, child)) alive.insert(writer);
    }
  }
  alive.insert(self_);
  std::vector<std::string> result;
  for (const std::string& member : topology_->ranked_members(placement_.at(level))) {
    if (result.size() < aggregators_per_unit && alive.contains(member)) result.push_back(member);
  }
  return result;
}

bool LevelGossip::aggregates(TimePoint now, Level level) const {
  if (!has_reported_ || !state_.can_publish() || !topology_->contains(self_)) return false;
  for (const Level below : {Level::group, Level::zone, Level::region}) {
    if (below > level) break;
    const std::vector<std::string> candidates = aggregator_candidates(now, below);
    if (std::ranges::find(candidates, self_) == candidates.end()) return false;
  }
  return true;
}

StatusSummary LevelGossip::publish_unit(TimePoint now, const Unit& unit, const GroupStatus& status) {
  StatusSummary summary;
  summary.unit = unit;
  summary.writer = self_;
  summary.version = {incarnation(now), ++summary_number_};
  summary.made_at = now;
  summary.age_when_made = status.age;
  summary.counts = status.counts;
  summaries_.publish(now, summary);
  return summary;
}

std::vector<StatusSummary> LevelGossip::publish(TimePoint now) {
  std::vector<StatusSummary> written;
  if (!aggregates(now, Level::group)) return written;
  const Unit& group = placement_.group;
  const std::vector<std::string>& members = topology_->ranked_members(group);
  written.push_back(publish_unit(now, group, summarize_group(state_, members, now)));
  for (const Level level : {Level::zone, Level::region}) {
    if (!aggregates(now, level)) break;
    const Unit& unit = placement_.at(level);
    written.push_back(publish_unit(now, unit, summaries_.combine(now, topology_->children(unit))));
  }
  return written;
}

// ---- Queries

LevelGossip::TickResult LevelGossip::tick(TimePoint now) {
  TickResult result;
  state_.on_timer(now);
  summaries_.expire(now);
  result.written = publish(now);
  query_group(now, result.questions);
  if (ticks_++ % ticks_per_sibling_round == 0) {
    query_siblings(now, Level::group, result.questions);
    query_siblings(now, Level::zone, result.questions);
  }
  query_siblings(now, Level::region, result.questions);
  result.next = group_scheduler_.next(now);
  return result;
}

void LevelGossip::query_group(TimePoint now, std::vector<OutgoingQuestion>& questions) {
  for (const std::string& peer : group_scheduler_.due(now))
    questions.push_back(
        {{peer, std::nullopt}, {self_, incarnation(now), state_.marks(), marks_for(now, peer)}});
}

AntiEntropyScheduler& LevelGossip::siblings_at(Level level) {
  return sibling_schedulers_[static_cast<std::size_t>(level)];
}

void LevelGossip::query_siblings(TimePoint now, Level level, std::vector<OutgoingQuestion>& questions) {
  std::map<std::string, Unit> siblings;
  if (aggregates(now, level)) {
    for (const Unit& sibling : topology_->siblings(placement_.at(level)))
      siblings.emplace(to_string(sibling), sibling);
  }
  std::set<std::string> names;
  for (const auto& [name, sibling] : siblings) names.insert(name);
  siblings_at(level).set_peers(names);
  for (const std::string& name : siblings_at(level).due(now)) {
    const Unit& sibling = siblings.at(name);
    const std::string contact = contact_of(sibling);
    LevelQuestion question{self_, incarnation(now), std::nullopt, marks_for(now, contact)};
    questions.push_back({{contact, sibling}, std::move(question)});
  }
}

// Returns the agent to query for a sibling unit: a known writer of the unit's summary first, then its members
// by rank. After a query that brought no fresh summary, the next candidate is queried.
std::string LevelGossip::contact_of(const Unit& sibling) const {
  std::vector<std::string> candidates = summaries_.writers(sibling);
  // The order of writers differs between agents, so that they do not all begin with the same writer.
  std::ranges::sort(candidates, std::greater<>(),
                    [&](const std::string& writer) { return rendezvous_weight(self_, writer); });
  std::ranges::copy(topology_->ranked_members(sibling), std::back_inserter(candidates));
  const auto rotation = contact_rotations_.find(sibling);
  return candidates[(rotation == contact_rotations_.end() ? 0 : rotation->second) % candidates.size()];
}

// Returns the units whose summaries this agent and the peer exchange. Both sides compute the same units, so
// neither sends summaries that the other does not need.
std::vector<Unit> LevelGossip::units_shared_with(const std::string& peer) const {
  const std::optional<Placement> theirs = topology_->placement(peer);
  if (!theirs) return {};
  std::vector<Unit> result = topology_->siblings(placement_.region);
  result.push_back(placement_.region);
  const auto add = [&](const std::vector<Unit>& units) {
    std::ranges::copy(units, std::back_inserter(result));
  };
  if (theirs->region == placement_.region) add(topology_->children(placement_.region));
  if (theirs->group == placement_.group) result.push_back(placement_.group);
  else if (theirs->zone == placement_.zone) add(topology_->children(placement_.zone));
  return result;
}

std::vector<SummaryMark> LevelGossip::marks_for(TimePoint now, const std::string& peer) const {
  std::vector<SummaryMark> marks;
  for (const Unit& unit : units_shared_with(peer)) {
    if (const auto mark = summaries_.mark(now, unit)) marks.push_back(*mark);
  }
  return marks;
}

// ---- Answers

LevelAnswer LevelGossip::answer(TimePoint now, const LevelQuestion& question) {
  LevelAnswer result;
  const std::optional<Placement> theirs = topology_->placement(question.asker);
  if (!theirs) return result;
  if (question.status_versions && theirs->group == placement_.group)
    result.reports = state_.answer(now, *question.status_versions);
  if (!question.summary_marks) return result;
  std::map<std::uint64_t, const SummaryMark*> marks;
  for (const SummaryMark& mark : *question.summary_marks) marks[mark.unit] = &mark;
  for (const Unit& unit : units_shared_with(question.asker)) {
    const auto mark = marks.find(id_of(unit));
    auto delta = summaries_.answer(now, unit, mark == marks.end() ? nullptr : mark->second);
    if (delta) result.summaries.push_back(std::move(*delta));
  }
  auto past = summaries_.past_of(now, question.asker, question.incarnation);
  if (past) result.summaries.push_back(std::move(*past));
  return result;
}

void LevelGossip::merge(TimePoint now, TimePoint queried_at, const std::string& reporter,
                        const LevelAnswer& answer) {
  state_.receive(now, queried_at, answer.reports);
  for (const SummaryDelta& delta : answer.summaries) {
    if (delta.summary.writer == self_) supersede_own_past(now, queried_at, delta.summary.version);
    else summaries_.merge(now, queried_at, reporter, delta);
  }
}

// Begins a greater incarnation if a summary that this agent wrote in the past has a later one than its
// present incarnation. Otherwise peers would keep the past summary and ignore present ones.
void LevelGossip::supersede_own_past(TimePoint now, TimePoint queried_at, const SummaryVersion& past) {
  if (past.incarnation <= incarnation(now)) return;
  ReportDelta own_past;
  own_past.agent = self_;
  own_past.upto.incarnation = past.incarnation;
  state_.receive(now, queried_at, {own_past});
}

void LevelGossip::completed(TimePoint now, const QuestionId& id) {
  if (!id.sibling) return group_scheduler_.answered(now, id.peer);
  siblings_at(id.sibling->level).answered(now, to_string(*id.sibling));
  const bool is_fresh = summaries_.freshness(now, *id.sibling) == Freshness::fresh;
  const std::size_t writers = summaries_.writers(*id.sibling).size();
  std::size_t& rotation = contact_rotations_[*id.sibling];
  ++rotation;
  // While the summary is fresh, its writers are queried in rotation; a member that is not a writer is queried
  // again.
  if (is_fresh && rotation <= writers) rotation %= writers;
  else if (is_fresh) --rotation;
}

void LevelGossip::missed(TimePoint now, const QuestionId& id) {
  if (!id.sibling) return group_scheduler_.missed(now, id.peer);
  siblings_at(id.sibling->level).missed(now, to_string(*id.sibling));
  ++contact_rotations_[*id.sibling];
}

GroupStatus LevelGossip::fleet_status(TimePoint now) const {
  std::vector<Unit> regions = topology_->siblings(placement_.region);
  regions.push_back(placement_.region);
  return summaries_.combine(now, regions);
}

}  // namespace pearchute::fleet
