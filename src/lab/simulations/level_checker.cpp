#include "lab/simulations/level_checker.h"

#include <algorithm>
#include <ranges>

namespace pearchute::lab {

using namespace fleet;

void LevelChecker::fault(std::uint64_t& count, TimePoint now, const std::string& what) {
  ++count;
  if (faults.size() < max_faults) faults.push_back(std::to_string(now.count() / 1000) + " ms: " + what);
}

void LevelChecker::stated(TimePoint now, const std::string& agent, ReportVersion version,
                          const std::map<std::string, StatusReport>& reports) {
  auto& history = statements_[agent];
  if (!history.empty() && !history.back().until) {
    if (history.back().version == version) return;
    history.back().until = now;
  }
  Statement& statement = history.emplace_back();
  statement.from = now;
  statement.version = version;
  for (const auto& [instance, report] : reports) statement.counts.add(report);
}

void LevelChecker::ended(TimePoint now, const std::string& agent) {
  auto& history = statements_[agent];
  if (!history.empty() && !history.back().until) history.back().until = now;
}

const LevelChecker::Statement* LevelChecker::find(const std::string& agent,
                                                  const ReportVersion& version) const {
  const auto history = statements_.find(agent);
  if (history == statements_.end()) return nullptr;
  for (const Statement& statement : history->second | std::views::reverse) {
    if (statement.version == version) return &statement;
  }
  return nullptr;
}

LevelChecker::Truth LevelChecker::truth_of_group(TimePoint now, Duration own_now, const LevelGossip& writer,
                                                 const Topology& topology) {
  Truth truth{{}, now};
  for (const std::string& member : topology.ranked_members(writer.placement().group)) {
    const GossipState::Known known = writer.group_state().known(own_now, member);
    if (known.freshness == Freshness::unknown) ++truth.counts.agents_unknown;
    if (known.freshness == Freshness::old) ++truth.counts.agents_old;
    if (known.freshness != Freshness::fresh) continue;
    ++truth.counts.agents_fresh;
    const Statement* statement = find(member, known.mark);
    if (!statement) {
      fault(never_said, now, writer.self() + " counts what " + member + " never said");
      continue;
    }
    truth.counts.add(statement->counts);
    truth.as_of = std::min(truth.as_of, statement->until.value_or(now));
  }
  return truth;
}

LevelChecker::Truth LevelChecker::truth_of_parts(TimePoint now, Duration own_now, const LevelGossip& writer,
                                                 const Unit& unit, const Topology& topology) {
  Truth truth{{}, now};
  for (const Unit& part : topology.children(unit)) {
    const auto best = writer.summaries().selected(own_now, part);
    if (!best || writer.summaries().freshness(own_now, part) != Freshness::fresh) {
      truth.counts.agents_unknown += static_cast<std::uint32_t>(topology.ranked_members(part).size());
      continue;
    }
    const auto known = truths_.find({part, best->summary->writer, best->summary->version});
    if (known == truths_.end()) {
      fault(never_said, now,
            writer.self() + " counts a summary of " + to_string(part) + " that was not written");
      continue;
    }
    truth.counts.add(known->second.counts);
    truth.as_of = std::min(truth.as_of, known->second.as_of);
  }
  return truth;
}

void LevelChecker::written(TimePoint now, Duration own_now, const LevelGossip& writer,
                           const Topology& topology, const std::vector<StatusSummary>& summaries) {
  for (const StatusSummary& summary : summaries) {
    const bool of_group = summary.unit.level == Level::group;
    Truth truth = of_group ? truth_of_group(now, own_now, writer, topology)
                           : truth_of_parts(now, own_now, writer, summary.unit, topology);
    ++written_count;
    // Nor for younger than its writer could prove when it wrote it.
    truth.as_of = std::min(truth.as_of, now - summary.age_when_made);
    if (truth.counts != summary.counts)
      fault(never_said, now, writer.self() + " writes of " + to_string(summary.unit) + " what was not said");
    if (!truths_.emplace(Key{summary.unit, summary.writer, summary.version}, truth).second)
      fault(never_said, now, writer.self() + " writes twice under one version");
    believed(now, own_now, writer, summary.unit);
  }
}

void LevelChecker::believed(TimePoint now, Duration own_now, const LevelGossip& reader, const Unit& unit) {
  const auto best = reader.summaries().selected(own_now, unit);
  if (!best) return;
  ++checks;
  const auto known = truths_.find({unit, best->summary->writer, best->summary->version});
  if (known == truths_.end() || known->second.counts != best->summary->counts) {
    fault(never_said, now, reader.self() + " has of " + to_string(unit) + " what was never written");
    return;
  }
  const Duration understated = (best->as_of + (now - own_now)) - known->second.as_of;
  if (understated <= Duration(0)) return;
  fault(stale_as_fresh, now,
        reader.self() + " takes " + to_string(unit) + " by " + best->summary->writer + " for younger by " +
            std::to_string(understated.count() / 1000) + " ms");
}

}  // namespace pearchute::lab
