#include "fleet/gossip_state.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "fleet/hash.h"

namespace pearchute::fleet {

namespace {

// Only significant changes of a figure are published. Traffic changes all the time: if every change by a
// tenth were published, the reports of a busy host would fill each answer. A change is significant if it
// exceeds both this share of the greater value and the figure's own minimum.
constexpr double significant_change_share = 0.25;
constexpr double min_traffic_change = 1;  // requests per second
constexpr double min_success_share_change = 0.05;
constexpr double min_open_change = 4;  // requests
// The upper 32 bits of an incarnation are a counter, the lower 32 bits are random.
constexpr int incarnation_counter_shift = 32;
constexpr std::uint64_t incarnation_random_mask = 0xffffffff;
// Maximum number of entries accepted for an agent: twice what its record can have, since a partial answer may
// repeat entries.
constexpr std::size_t max_entries = 2 * (GossipState::max_instances + GossipState::max_removed_instances);
// Approximate bytes of numbers and field tags in an encoded entry and in its report.
constexpr std::size_t entry_overhead_bytes = 48;
constexpr std::size_t report_overhead_bytes = 48;

bool is_significant(double before, double now, double min_change) {
  return std::abs(now - before) > std::max(min_change, significant_change_share * std::max(before, now));
}

bool differs_significantly(const StatusReport& published, const StatusReport& now) {
  return std::tie(published.zone, published.state, published.process_incarnation) !=
             std::tie(now.zone, now.state, now.process_incarnation) ||
         is_significant(published.traffic, now.traffic, min_traffic_change) ||
         is_significant(published.done, now.done, min_success_share_change) ||
         is_significant(static_cast<double>(published.open), static_cast<double>(now.open), min_open_change);
}

// std::knuth_b generators with consecutive seeds share outputs, but two incarnations of an agent must not
// draw the same random numbers. The seed is therefore mixed first.
std::knuth_b::result_type mixed_seed(std::uint64_t seed) {
  return static_cast<std::knuth_b::result_type>(mix_bits(seed));
}

// Returns a key for a total order of reports. Any order would do, provided that all agents use the same one.
auto rank(const StatusReport& report) {
  return std::tie(report.instance, report.zone, report.state, report.process_incarnation, report.in_state_for,
                  report.traffic, report.done, report.open);
}

bool is_greater(const std::optional<StatusReport>& a, const std::optional<StatusReport>& b) {
  if (!a || !b) return a.has_value() && !b.has_value();
  return rank(*a) > rank(*b);
}

bool is_within_bounds(const ReportEntry& entry) {
  return entry.instance.size() <= GossipState::max_name_bytes &&
         (!entry.report || entry.report->zone.size() <= GossipState::max_name_bytes);
}

}  // namespace

std::string_view name_of(Freshness freshness) {
  constexpr std::string_view names[] = {"unknown", "old", "fresh"};
  return names[static_cast<int>(freshness)];
}

GossipState::GossipState(Host& host, std::string self, std::uint64_t incarnation, std::uint64_t seed,
                         std::size_t max_answer_bytes)
    : host_(host), random_(mixed_seed(seed)), self_(std::move(self)), max_answer_bytes_(max_answer_bytes) {
  begin_incarnation(incarnation);
}

// Begins an incarnation greater than `above`. It has to be durable before anything is published under it:
// otherwise the next start would use it again, number its entries from 1, and peers would ignore them as
// repetitions.
void GossipState::begin_incarnation(std::uint64_t above) {
  own_ = {};
  const std::uint64_t counter = (above >> incarnation_counter_shift) + 1;
  own_.mark.incarnation = counter << incarnation_counter_shift | (random_() & incarnation_random_mask);
  removed_ = 0;
  published_ = false;
  can_publish_ = host_.persist_incarnation(own_.mark.incarnation);
}

void GossipState::set_agents(const std::set<std::string>& agents) {
  std::erase_if(peers_, [&](const auto& peer) { return !agents.contains(peer.first); });
  for (const std::string& agent : agents) {
    if (agent != self_) peers_.try_emplace(agent);
  }
}

// ---- Own reports

void GossipState::publish(const std::vector<StatusReport>& reports) {
  own_reports_.clear();
  for (const StatusReport& report : reports) {
    if (own_reports_.size() < max_instances) own_reports_.emplace(report.instance, report);
  }
  instances_known_ = true;
  publish_changes();
}

void GossipState::publish_changes() {
  if (!can_publish_) {
    begin_incarnation(own_.mark.incarnation);  // the disk may have recovered
    if (!can_publish_) return;
  }
  if (!publish_removals()) return;
  for (const auto& [instance, report] : own_reports_) {
    const auto found = own_.by_instance.find(instance);
    const bool is_new = found == own_.by_instance.end();
    const bool is_published = !is_new && found->second.report;
    if (is_published && !differs_significantly(*found->second.report, report)) continue;
    if (!is_new && !is_published) --removed_;  // the agent owns the instance again
    put(own_, {++own_.mark.through, instance, report});
  }
  published_ = true;
}

// Publishes that instances are no longer owned. Returns false if nothing can be published.
bool GossipState::publish_removals() {
  std::vector<std::string> removed;
  for (const auto& [instance, entry] : own_.by_instance) {
    if (entry.report && !own_reports_.contains(instance)) removed.push_back(instance);
  }
  if (removed_ + removed.size() > max_removed_instances) {
    begin_incarnation(own_.mark.incarnation);  // a new incarnation has no removed instances
    return can_publish_;
  }
  for (const std::string& instance : removed) {
    put(own_, {++own_.mark.through, instance, std::nullopt});
    ++removed_;
  }
  return true;
}

// Begins a new incarnation if another agent has later reports under this name than were published here. They
// are this agent's own past, if its disk was lost or replaced by an older copy, or come from another agent
// with the same name.
void GossipState::on_own_past_received(const ReportDelta& delta) {
  if (delta.upto.incarnation < own_.mark.incarnation) return;
  if (delta.upto.incarnation == own_.mark.incarnation && delta.upto.through <= own_.mark.through) return;
  host_.on_event(self_, "peers have later reports under this agent's name; starting a new incarnation");
  begin_incarnation(delta.upto.incarnation);
  if (instances_known_) publish_changes();
}

// ---- Merging

void GossipState::put(AgentRecord& record, const ReportEntry& entry) {
  const auto [known, is_new] = record.by_instance.try_emplace(entry.instance, entry);
  if (!is_new) {
    ReportEntry& present = known->second;
    if (present.number > entry.number) return;
    if (present.number == entry.number) {
      // An agent never publishes two contents under one number, so two processes publish under its name. All
      // readers keep the same one of the two contents.
      if (present != entry) record.disputed = true;
      if (is_greater(entry.report, present.report)) present.report = entry.report;
      return;
    }
    record.by_number.erase(present.number);
    present = entry;
  }
  const auto [slot, inserted] = record.by_number.try_emplace(entry.number, entry.instance);
  if (!inserted && slot->second != entry.instance) record.disputed = true;
}

// Returns whether the delta is within the bounds that every agent keeps when it publishes. A delta beyond
// them is ignored, so the status of such an agent stays unknown.
bool GossipState::is_acceptable(const AgentRecord& record, const ReportDelta& delta) {
  const std::size_t received = record.partial ? record.partial->entries.size() : 0;
  return received + delta.entries.size() <= max_entries &&
         std::ranges::all_of(delta.entries, is_within_bounds);
}

// Returns the entries that bring the record up to the delta's version, including those of earlier parts.
// Returns none if the delta begins beyond the known entries, or if further parts have to follow.
std::optional<std::vector<ReportEntry>> GossipState::complete_entries(AgentRecord& record,
                                                                      const ReportDelta& delta) {
  const ReportVersion& upto = delta.upto;
  const std::uint64_t known_through = upto.incarnation > record.mark.incarnation ? 0 : record.mark.through;
  const bool is_last_part = delta.through >= upto.through;
  if (delta.since <= known_through && is_last_part) return delta.entries;
  const std::optional<PartialDelta>& partial = record.partial;
  const bool continues = partial && partial->incarnation == upto.incarnation &&
                         delta.since <= partial->resume && upto.through >= partial->target;
  if (!continues) {
    // Entries are of no use without all entries of lower numbers.
    if (delta.since > known_through) return std::nullopt;
    // A first part does not replace stored parts that reach as far or further.
    if (partial && partial->resume >= delta.through) return std::nullopt;
    record.partial = PartialDelta{upto.incarnation, 0, 0, {}};
  }
  PartialDelta& parts = *record.partial;
  parts.entries.insert(parts.entries.end(), delta.entries.begin(), delta.entries.end());
  parts.resume = std::max(parts.resume, delta.through);
  parts.target = std::max(parts.target, upto.through);
  if (!is_last_part) return std::nullopt;
  return std::move(parts.entries);
}

// Returns false if the delta brings nothing that can be used now.
bool GossipState::merge(AgentRecord& record, const ReportDelta& delta) {
  const ReportVersion& upto = delta.upto;
  if (upto.incarnation < record.mark.incarnation) return false;
  if (record.partial && record.partial->incarnation < upto.incarnation) record.partial.reset();
  if (!is_acceptable(record, delta)) return false;
  const std::optional<std::vector<ReportEntry>> entries = complete_entries(record, delta);
  if (!entries) return false;
  if (upto.incarnation > record.mark.incarnation) {
    const Freshness logged = record.logged;
    record = {};
    record.logged = logged;
    record.mark.incarnation = upto.incarnation;
  }
  for (const ReportEntry& entry : *entries) put(record, entry);
  record.mark.through = std::max(record.mark.through, upto.through);
  if (record.partial && record.partial->target <= record.mark.through) record.partial.reset();
  return true;
}

bool GossipState::receive(TimePoint now, TimePoint queried_at, const std::vector<ReportDelta>& deltas) {
  bool any_merged = false;
  for (const ReportDelta& delta : deltas) {
    if (delta.agent == self_) {
      on_own_past_received(delta);
      continue;
    }
    const auto found = peers_.find(delta.agent);
    if (found == peers_.end()) continue;  // not configured at this agent, even if it is at the reporter
    AgentRecord& record = found->second;
    if (!merge(record, delta)) continue;
    // The delta's age applies only once all entries up to its version are merged.
    if (delta.age_known && !record.disputed) {
      const TimePoint as_of = queried_at - std::max(delta.age, Duration(0));
      if (!record.as_of || as_of > *record.as_of) record.as_of = as_of;
    }
    any_merged = true;
    log_freshness(now, delta.agent, record);
  }
  return any_merged;
}

// ---- Answers

std::map<std::string, ReportVersion> GossipState::marks() const {
  std::map<std::string, ReportVersion> marks;
  for (const auto& [agent, record] : peers_) {
    const auto& partial = record.partial;
    marks[agent] = partial ? ReportVersion{partial->incarnation, partial->resume} : record.mark;
  }
  return marks;
}

// The answer begins with this agent's own reports. Those about other agents follow, beginning with another
// agent in each answer, so that a full answer does not always leave out the same agents.
std::vector<ReportDelta> GossipState::answer(TimePoint now,
                                             const std::map<std::string, ReportVersion>& marks) {
  std::vector<ReportDelta> deltas;
  std::size_t bytes_left = max_answer_bytes_;
  const auto add = [&](const std::string& agent, const AgentRecord& record,
                       const std::optional<TimePoint>& as_of) {
    if (record.mark.incarnation == 0) return;
    const auto mark = marks.find(agent);
    const ReportVersion theirs = mark == marks.end() ? ReportVersion{} : mark->second;
    if (theirs.incarnation > record.mark.incarnation) return;
    deltas.push_back(delta_for(now, agent, record, as_of, theirs, bytes_left));
  };
  // Before the first publish() the agent's instances are unknown; an empty delta would mean that it has none.
  if (published_) add(self_, own_, now);
  if (peers_.empty()) return deltas;
  const std::size_t first = next_first_++ % peers_.size();
  for (std::size_t n = 0; n < peers_.size(); ++n) {
    const auto peer = std::next(peers_.begin(), static_cast<std::ptrdiff_t>((first + n) % peers_.size()));
    const AgentRecord& record = peer->second;
    add(peer->first, record, record.disputed ? std::nullopt : record.as_of);
  }
  return deltas;
}

// Returns the record's entries that the asker lacks, as far as they fit into `bytes_left`, which is reduced
// by their size.
ReportDelta GossipState::delta_for(TimePoint now, const std::string& agent, const AgentRecord& record,
                                   const std::optional<TimePoint>& as_of, const ReportVersion& theirs,
                                   std::size_t& bytes_left) const {
  ReportDelta delta;
  delta.agent = agent;
  delta.upto = record.mark;
  if (theirs.incarnation == record.mark.incarnation) delta.since = theirs.through;
  delta.through = std::max(delta.since, record.mark.through);
  if (as_of) {
    delta.age_known = true;
    delta.age = now - *as_of;
  }
  for (auto next = record.by_number.upper_bound(delta.since);
       next != record.by_number.end() && next->first <= record.mark.through; ++next) {
    const ReportEntry& entry = record.by_instance.at(next->second);
    const std::size_t size = bytes_of(entry);
    if (size > bytes_left) {
      delta.through = delta.entries.empty() ? delta.since : delta.entries.back().number;
      break;
    }
    bytes_left -= size;
    delta.entries.push_back(entry);
  }
  return delta;
}

// ---- Known reports

Freshness GossipState::freshness_of(TimePoint now, const AgentRecord& record) const {
  if (!record.as_of || record.disputed || now - *record.as_of > old_for) return Freshness::unknown;
  return now - *record.as_of <= fresh_for ? Freshness::fresh : Freshness::old;
}

void GossipState::log_freshness(TimePoint now, const std::string& agent, AgentRecord& record) {
  const Freshness freshness = freshness_of(now, record);
  if (std::exchange(record.logged, freshness) == freshness) return;
  host_.on_event(agent, record.disputed ? "two processes publish under its name" : name_of(freshness));
}

void GossipState::on_timer(TimePoint now) {
  for (auto& [agent, record] : peers_) log_freshness(now, agent, record);
}

GossipState::Known GossipState::known(TimePoint now, const std::string& agent) const {
  Known known;
  const auto found = peers_.find(agent);
  if (agent != self_ && found == peers_.end()) return known;
  const AgentRecord& record = agent == self_ ? own_ : found->second;
  known.mark = record.mark;
  known.disputed = record.disputed;
  known.instance_count = static_cast<std::uint64_t>(std::ranges::count_if(
      record.by_instance, [](const auto& entry) { return entry.second.report.has_value(); }));
  if (agent == self_) {
    if (!can_publish_) return known;
    known.age = Duration(0);
    known.freshness = Freshness::fresh;
    return known;
  }
  if (record.as_of) known.age = now - *record.as_of;
  known.freshness = freshness_of(now, record);
  return known;
}

std::map<std::string, StatusReport> GossipState::reports(const std::string& agent) const {
  if (agent == self_) return own_reports_;  // more recent than the published entries
  std::map<std::string, StatusReport> reports;
  const auto found = peers_.find(agent);
  if (found == peers_.end()) return reports;
  for (const auto& [instance, entry] : found->second.by_instance) {
    if (entry.report) reports.emplace(instance, *entry.report);
  }
  return reports;
}

std::set<std::string> GossipState::agents() const {
  std::set<std::string> agents;
  for (const auto& [agent, record] : peers_) agents.insert(agent);
  return agents;
}

std::size_t GossipState::bytes_of(const ReportEntry& entry) {
  const std::size_t report = entry.report ? report_overhead_bytes + entry.report->zone.size() : 0;
  return entry_overhead_bytes + 2 * entry.instance.size() + report;
}

std::size_t GossipState::bytes() const {
  std::size_t sum = 0;
  const auto add = [&](const AgentRecord& record) {
    for (const auto& [instance, entry] : record.by_instance) sum += bytes_of(entry);
    if (!record.partial) return;
    for (const ReportEntry& entry : record.partial->entries) sum += bytes_of(entry);
  };
  add(own_);
  for (const auto& [agent, record] : peers_) add(record);
  return sum;
}

}  // namespace pearchute::fleet
