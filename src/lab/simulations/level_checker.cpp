#include "lab/simulations/level_checker.h"

#include <algorithm>
#include <ranges>

namespace pearchute::lab {

using namespace fleet;

void LevelChecker::add_violation(std::uint64_t& count, TimePoint now, const std::string& text) {
  ++count;
  if (violations.size() < max_violations)
    violations.push_back(std::to_string(now.count() / 1000) + " ms: " + text);
}

void LevelChecker::on_published(TimePoint now, const std::string& agent, ReportVersion version,
                                const std::map<std::string, StatusReport>& reports) {
  auto& history = published_[agent];
  if (!history.empty() && !history.back().until) {
    if (history.back().version == version) return;
    history.back().until = now;
  }
  PublishedState& state = history.emplace_back();
  state.from = now;
  state.version = version;
  for (const auto& [instance, report] : reports) state.counts.add(report);
}

void LevelChecker::on_ended(TimePoint now, const std::string& agent) {
  auto& history = published_[agent];
  if (!history.empty() && !history.back().until) history.back().until = now;
}

const LevelChecker::PublishedState* LevelChecker::find(const std::string& agent,
                                                       const ReportVersion& version) const {
  const auto history = published_.find(agent);
  if (history == published_.end()) return nullptr;
  for (const PublishedState& state : history->second | std::views::reverse) {
    if (state.version == version) return &state;
  }
  return nullptr;
}

LevelChecker::Expected LevelChecker::expected_of_group(TimePoint now, Duration own_now,
                                                       const LevelGossip& writer, const Topology& topology) {
  Expected expected{{}, now};
  for (const std::string& member : topology.ranked_members(writer.placement().group)) {
    const GossipState::Known known = writer.group_state().known(own_now, member);
    if (known.freshness == Freshness::unknown) ++expected.counts.agents_unknown;
    if (known.freshness == Freshness::old) ++expected.counts.agents_old;
    if (known.freshness != Freshness::fresh) continue;
    ++expected.counts.agents_fresh;
    const PublishedState* state = find(member, known.mark);
    if (!state) {
      add_violation(unfounded_count, now, writer.self() + " counts what " + member + " never said");
      continue;
    }
    expected.counts.add(state->counts);
    expected.as_of = std::min(expected.as_of, state->until.value_or(now));
  }
  return expected;
}

LevelChecker::Expected LevelChecker::expected_of_parts(TimePoint now, Duration own_now,
                                                       const LevelGossip& writer, const Unit& unit,
                                                       const Topology& topology) {
  Expected expected{{}, now};
  for (const Unit& part : topology.children(unit)) {
    const auto best = writer.summaries().selected(own_now, part);
    if (!best || writer.summaries().freshness(own_now, part) != Freshness::fresh) {
      expected.counts.agents_unknown += static_cast<std::uint32_t>(topology.ranked_members(part).size());
      continue;
    }
    const auto known = expected_.find({part, best->summary->writer, best->summary->version});
    if (known == expected_.end()) {
      add_violation(unfounded_count, now,
                    writer.self() + " counts a summary of " + to_string(part) + " that was not written");
      continue;
    }
    expected.counts.add(known->second.counts);
    expected.as_of = std::min(expected.as_of, known->second.as_of);
  }
  return expected;
}

void LevelChecker::on_written(TimePoint now, Duration own_now, const LevelGossip& writer,
                              const Topology& topology, const std::vector<StatusSummary>& summaries) {
  for (const StatusSummary& summary : summaries) {
    const bool of_group = summary.unit.level == Level::group;
    Expected expected = of_group ? expected_of_group(now, own_now, writer, topology)
                                 : expected_of_parts(now, own_now, writer, summary.unit, topology);
    ++written_count;
    // The writer proves only this age when it writes the summary, so it can't be taken for younger either.
    expected.as_of = std::min(expected.as_of, now - summary.age_when_made);
    if (expected.counts != summary.counts)
      add_violation(unfounded_count, now,
                    writer.self() + " writes of " + to_string(summary.unit) + " what was not said");
    if (!expected_.emplace(Key{summary.unit, summary.writer, summary.version}, expected).second)
      add_violation(unfounded_count, now, writer.self() + " writes twice under one version");
    check_reader(now, own_now, writer, summary.unit);
  }
}

void LevelChecker::check_reader(TimePoint now, Duration own_now, const LevelGossip& reader,
                                const Unit& unit) {
  const auto best = reader.summaries().selected(own_now, unit);
  if (!best) return;
  ++check_count;
  const auto known = expected_.find({unit, best->summary->writer, best->summary->version});
  if (known == expected_.end() || known->second.counts != best->summary->counts) {
    add_violation(unfounded_count, now,
                  reader.self() + " has of " + to_string(unit) + " what was never written");
    return;
  }
  const Duration understated = (best->as_of + (now - own_now)) - known->second.as_of;
  if (understated <= Duration(0)) return;
  add_violation(stale_as_fresh_count, now,
                reader.self() + " takes " + to_string(unit) + " by " + best->summary->writer +
                    " for younger by " + std::to_string(understated.count() / 1000) + " ms");
}

}  // namespace pearchute::lab
