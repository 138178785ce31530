#include "fleet/gossip_state.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace pearchute::fleet {

namespace {

// Traffic moves all the time; said anew for each tenth of it, a busy host would fill every answer.
bool moved(double before, double now, double least) {
  return std::abs(now - before) > std::max(least, 0.25 * std::max(before, now));
}

bool differs_enough(const StatusReport& said, const StatusReport& now) {
  return std::tie(said.zone, said.state, said.process_incarnation) !=
             std::tie(now.zone, now.state, now.process_incarnation) ||
         moved(said.traffic, now.traffic, 1) || moved(said.done, now.done, 0.05) ||
         moved(static_cast<double>(said.open), static_cast<double>(now.open), 4);
}

// Seeds that were drawn one after another give generators of this kind outputs in common; two lives of an
// agent must not draw the same.
std::knuth_b::result_type stirred(std::uint64_t seed) {
  seed = (seed ^ (seed >> 30)) * 0xBF58476D1CE4E5B9ULL;
  seed = (seed ^ (seed >> 27)) * 0x94D049BB133111EBULL;
  return static_cast<std::knuth_b::result_type>(seed ^ (seed >> 31));
}

// Any order over all words will do, so long as everybody has the same.
auto rank(const StatusReport& report) {
  return std::tie(report.instance, report.zone, report.state, report.process_incarnation, report.in_state_for,
                  report.traffic, report.done, report.open);
}
bool greater(const std::optional<StatusReport>& a, const std::optional<StatusReport>& b) {
  if (!a || !b) return a.has_value() && !b.has_value();
  return rank(*a) > rank(*b);
}

}  // namespace

std::string_view name_of(Freshness freshness) {
  constexpr std::string_view reports[] = {"unknown", "old", "fresh"};
  return reports[static_cast<int>(freshness)];
}

GossipState::GossipState(Host& host, std::string self, std::uint64_t incarnation, std::uint64_t seed,
                         std::size_t max_answer_bytes)
    : host_(host), random_(stirred(seed)), self_(std::move(self)), max_answer_bytes_(max_answer_bytes) {
  begin_incarnation(incarnation);
}

// Before a word is said under it, it is on disk: else the next start would speak under it again, with numbers
// from nothing, and be taken for a repeat.
void GossipState::begin_incarnation(std::uint64_t above) {
  own_ = {};
  own_.mark.incarnation = ((above >> 32) + 1) << 32 | (random_() & 0xffffffff);
  removed_ = 0, published_ = false;
  can_publish_ = host_.persist_incarnation(own_.mark.incarnation);
}

void GossipState::set_agents(const std::set<std::string>& agents) {
  std::erase_if(peers_, [&](const auto& one) { return !agents.contains(one.first); });
  for (const std::string& agent : agents) {
    if (agent != self_) peers_.try_emplace(agent);
  }
}

// ---- What this agent says

void GossipState::publish(const std::vector<StatusReport>& reports) {
  last_.clear();
  for (const StatusReport& report : reports) {
    if (last_.size() < max_instances) last_.emplace(report.instance, report);
  }
  instances_known_ = true;
  publish_changes();
}

void GossipState::publish_changes() {
  if (!can_publish_) {
    begin_incarnation(own_.mark.incarnation);  // the disk may be mended by now
    if (!can_publish_) return;
  }
  std::vector<std::string> gone;
  for (const auto& [instance, entry] : own_.by_instance) {
    if (entry.report && !last_.contains(instance)) gone.push_back(instance);
  }
  if (removed_ + gone.size() > max_removed_instances) {
    begin_incarnation(own_.mark.incarnation);
    if (!can_publish_) return;
    gone.clear();
  }
  for (const std::string& instance : gone) {
    put(own_, {++own_.mark.through, instance, std::nullopt});
    ++removed_;
  }
  for (const auto& [instance, report] : last_) {
    const auto at = own_.by_instance.find(instance);
    const bool stands = at != own_.by_instance.end() && at->second.report;
    if (stands && !differs_enough(*at->second.report, report)) continue;
    if (at != own_.by_instance.end() && !stands) --removed_;  // it is owned again
    put(own_, {++own_.mark.through, instance, report});
  }
  published_ = true;
}

// Somebody has heard this name with more than was said under it: its own past, where the disk was lost or an
// older copy of it put back, or another agent of the same name.
void GossipState::on_own_past_received(const ReportDelta& delta) {
  if (delta.upto.incarnation < own_.mark.incarnation) return;
  if (delta.upto.incarnation == own_.mark.incarnation && delta.upto.through <= own_.mark.through) return;
  host_.on_event(self_, "others have heard more under this agent's name; it begins another incarnation");
  begin_incarnation(delta.upto.incarnation);
  if (instances_known_) publish_changes();
}

// ---- What is merged

void GossipState::put(AgentRecord& record, const Entry& entry) {
  const auto [at, is_new] = record.by_instance.try_emplace(entry.instance, entry);
  if (!is_new) {
    Entry& held = at->second;
    if (held.number > entry.number) return;
    if (held.number == entry.number) {
      // One writer never says two things under one number: two speak under its name. All keep the same one.
      if (held != entry) record.disputed = true;
      if (greater(entry.report, held.report)) held.report = entry.report;
      return;
    }
    record.by_number.erase(held.number);
    held = entry;
  }
  const auto [slot, free] = record.by_number.try_emplace(entry.number, entry.instance);
  if (!free && slot->second != entry.instance) record.disputed = true;
}

bool GossipState::fits(const Entry& entry) {
  return entry.instance.size() <= max_name_bytes &&
         (!entry.report || entry.report->zone.size() <= max_name_bytes);
}

// False where it is of no use, or not yet.
bool GossipState::merge(AgentRecord& record, const ReportDelta& delta) {
  const ReportVersion& upto = delta.upto;
  if (upto.incarnation < record.mark.incarnation) return false;
  if (record.parts && record.parts->incarnation < upto.incarnation) record.parts.reset();
  // No agent of this kind says so much, or in such words: what it says stays unknown.
  const std::size_t held = record.parts ? record.parts->entries.size() : 0;
  if (held + delta.entries.size() > 2 * (max_instances + max_removed_instances) ||
      !std::ranges::all_of(delta.entries, fits))
    return false;
  const bool later = upto.incarnation > record.mark.incarnation;
  const std::uint64_t base = later ? 0 : record.mark.through;
  const bool last = delta.through >= upto.through;
  std::vector<Entry> staged;
  if (delta.since > base || !last) {
    const bool goes_on = record.parts && record.parts->incarnation == upto.incarnation &&
                         delta.since <= record.parts->resume && upto.through >= record.parts->target;
    // Entries above a number are of no use to one that does not know all below it.
    if (!goes_on && delta.since > base) return false;
    if (!goes_on) {
      // A first part does not put back one that is further on.
      if (record.parts && record.parts->resume >= delta.through) return false;
      record.parts = Parts{upto.incarnation, 0, 0, {}};
    }
    Parts& parts = *record.parts;
    parts.entries.insert(parts.entries.end(), delta.entries.begin(), delta.entries.end());
    parts.resume = std::max(parts.resume, delta.through), parts.target = std::max(parts.target, upto.through);
    if (!last) return false;
    staged = std::move(parts.entries);
  }
  if (later) {
    const Freshness on_event = record.on_event;
    record = {};
    record.on_event = on_event, record.mark.incarnation = upto.incarnation;
  }
  for (const Entry& entry : staged) put(record, entry);
  for (const Entry& entry : delta.entries) put(record, entry);
  record.mark.through = std::max(record.mark.through, upto.through);
  if (record.parts && record.parts->target <= record.mark.through) record.parts.reset();
  return true;
}

bool GossipState::receive(TimePoint now, TimePoint asked, const std::vector<ReportDelta>& all) {
  bool of_use = false;
  for (const ReportDelta& delta : all) {
    if (delta.agent == self_) {
      on_own_past_received(delta);
      continue;
    }
    const auto at = peers_.find(delta.agent);
    if (at == peers_.end()) continue;  // not in this charter, whatever the teller's says
    AgentRecord& record = at->second;
    if (!merge(record, delta)) continue;
    // That this was all it had said then is worth something now that all of it is here.
    if (delta.age_known && !record.disputed) {
      const TimePoint as_of = asked - std::max(delta.age, Duration(0));
      if (!record.as_of || as_of > *record.as_of) record.as_of = as_of;
    }
    of_use = true;
    report_freshness(now, delta.agent, record);
  }
  return of_use;
}

std::map<std::string, ReportVersion> GossipState::marks() const {
  std::map<std::string, ReportVersion> all;
  for (const auto& [agent, record] : peers_)
    all[agent] = record.parts ? ReportVersion{record.parts->incarnation, record.parts->resume} : record.mark;
  return all;
}

// The own word first, then the others' in turn, so that none is left out for ever by those before it.
std::vector<ReportDelta> GossipState::answer(TimePoint now,
                                             const std::map<std::string, ReportVersion>& marks) {
  std::vector<ReportDelta> all;
  std::size_t room = max_answer_bytes_;
  const auto add = [&](const std::string& agent, const AgentRecord& record, std::optional<TimePoint> as_of) {
    if (record.mark.incarnation == 0) return;
    const auto at = marks.find(agent);
    const ReportVersion theirs = at == marks.end() ? ReportVersion{} : at->second;
    if (theirs.incarnation > record.mark.incarnation) return;
    ReportDelta delta;
    delta.agent = agent, delta.upto = record.mark;
    if (theirs.incarnation == record.mark.incarnation) delta.since = theirs.through;
    delta.through = std::max(delta.since, record.mark.through);
    if (as_of) delta.age_known = true, delta.age = now - *as_of;
    for (auto one = record.by_number.upper_bound(delta.since);
         one != record.by_number.end() && one->first <= record.mark.through; ++one) {
      const Entry& entry = record.by_instance.at(one->second);
      const std::size_t size = bytes_of(entry);
      if (size > room) {
        delta.through = delta.entries.empty() ? delta.since : delta.entries.back().number;
        break;
      }
      room -= size;
      delta.entries.push_back(entry);
    }
    all.push_back(std::move(delta));
  };
  if (published_) add(self_, own_, now);  // to have said nothing yet is not to own nothing
  if (peers_.empty()) return all;
  const std::size_t first = next_first_++ % peers_.size();
  for (std::size_t n = 0; n < peers_.size(); ++n) {
    const auto at = std::next(peers_.begin(), static_cast<std::ptrdiff_t>((first + n) % peers_.size()));
    add(at->first, at->second, at->second.disputed ? std::nullopt : at->second.as_of);
  }
  return all;
}

// ---- What is known

Freshness GossipState::freshness_of(TimePoint now, const AgentRecord& record) const {
  if (!record.as_of || record.disputed || now - *record.as_of > old_for) return Freshness::unknown;
  return now - *record.as_of <= fresh_for ? Freshness::fresh : Freshness::old;
}

void GossipState::report_freshness(TimePoint now, const std::string& agent, AgentRecord& record) {
  const Freshness is = freshness_of(now, record);
  if (std::exchange(record.on_event, is) == is) return;
  host_.on_event(agent, record.disputed ? "two speak under its name" : name_of(is));
}

void GossipState::on_timer(TimePoint now) {
  for (auto& [agent, record] : peers_) report_freshness(now, agent, record);
}

GossipState::Known GossipState::known(TimePoint now, const std::string& agent) const {
  Known known;
  const auto at = peers_.find(agent);
  if (agent != self_ && at == peers_.end()) return known;
  const AgentRecord& record = agent == self_ ? own_ : at->second;
  known.mark = record.mark, known.disputed = record.disputed;
  known.instance_count = static_cast<std::uint64_t>(std::ranges::count_if(
      record.by_instance, [](const auto& one) { return one.second.report.has_value(); }));
  if (agent == self_) {
    if (can_publish_) known.age = Duration(0), known.freshness = Freshness::fresh;
    return known;
  }
  if (record.as_of) known.age = now - *record.as_of;
  known.freshness = freshness_of(now, record);
  return known;
}

std::map<std::string, StatusReport> GossipState::reports(const std::string& agent) const {
  std::map<std::string, StatusReport> all;
  if (agent == self_) return last_;  // of itself it knows more than it has said
  const auto at = peers_.find(agent);
  if (at == peers_.end()) return all;
  for (const auto& [instance, entry] : at->second.by_instance) {
    if (entry.report) all.emplace(instance, *entry.report);
  }
  return all;
}

std::set<std::string> GossipState::agents() const {
  std::set<std::string> all;
  for (const auto& [agent, record] : peers_) all.insert(agent);
  return all;
}

std::size_t GossipState::bytes_of(const Entry& entry) {
  // Numbers, and what surrounds a field of a message.
  return 48 + 2 * entry.instance.size() + (entry.report ? 48 + entry.report->zone.size() : 0);
}

std::size_t GossipState::bytes() const {
  std::size_t sum = 0;
  const auto add = [&](const AgentRecord& record) {
    for (const auto& [instance, entry] : record.by_instance) sum += bytes_of(entry);
    if (!record.parts) return;
    for (const Entry& entry : record.parts->entries) sum += bytes_of(entry);
  };
  add(own_);
  for (const auto& [agent, record] : peers_) add(record);
  return sum;
}

}  // namespace pearchute::fleet
