// Checks the status summaries of a simulated fleet against what the agents really published and when. A
// summary has to be the sum of published states, and no reader may take it for younger than the time until
// which all of these states were current.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "fleet/level_gossip.h"

namespace pearchute::lab {

class LevelChecker {
 public:
  // Records the state that an agent publishes from now on, until it publishes another version or ends.
  void on_published(fleet::TimePoint now, const std::string& agent, fleet::ReportVersion version,
                    const std::map<std::string, fleet::StatusReport>& reports);
  // Records that an agent was killed.
  void on_ended(fleet::TimePoint now, const std::string& agent);
  // Checks the summaries that an agent has just written, smallest unit first. `own_now` is the agent's own
  // clock.
  void on_written(fleet::TimePoint now, fleet::Duration own_now, const fleet::LevelGossip& writer,
                  const fleet::Topology& topology, const std::vector<fleet::StatusSummary>& summaries);
  // Checks the summary of a unit that a reader relies on. `own_now` is the reader's own clock.
  void check_reader(fleet::TimePoint now, fleet::Duration own_now, const fleet::LevelGossip& reader,
                    const fleet::Unit& unit);

  // Violations: summaries with counts, agents or versions that were never published or written, and summaries
  // that a reader takes for younger than they are.
  std::uint64_t unfounded_count = 0, stale_as_fresh_count = 0;
  std::uint64_t check_count = 0;        // calls of check_reader() for a known summary
  std::uint64_t written_count = 0;      // summaries written
  std::vector<std::string> violations;  // the first few, as text

 private:
  struct PublishedState {
    fleet::TimePoint from{};
    std::optional<fleet::TimePoint> until;  // none: still current
    fleet::ReportVersion version;
    fleet::StatusCounts counts;
  };
  // What a summary has to contain.
  struct Expected {
    fleet::StatusCounts counts;
    fleet::TimePoint as_of{};  // everything counted was current at least until then
  };
  using Key = std::tuple<fleet::Unit, std::string, fleet::SummaryVersion>;
  static constexpr std::size_t max_violations = 5;

  void add_violation(std::uint64_t& count, fleet::TimePoint now, const std::string& text);
  const PublishedState* find(const std::string& agent, const fleet::ReportVersion& version) const;
  Expected expected_of_group(fleet::TimePoint now, fleet::Duration own_now, const fleet::LevelGossip& writer,
                             const fleet::Topology& topology);
  Expected expected_of_parts(fleet::TimePoint now, fleet::Duration own_now, const fleet::LevelGossip& writer,
                             const fleet::Unit& unit, const fleet::Topology& topology);

  std::map<std::string, std::vector<PublishedState>> published_;  // by agent, the oldest first
  std::map<Key, Expected> expected_;
};

}  // namespace pearchute::lab
