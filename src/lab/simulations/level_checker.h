// Checks summaries from outside: what each agent really said and when, and what each summary was really made
// of. A summary has to be the sum of statements that were made, and nobody may take it for younger than the
// time until which all of them still stood.
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
  // What an agent has stated from now on, until it states something else or ends.
  void stated(fleet::TimePoint now, const std::string& agent, fleet::ReportVersion version,
              const std::map<std::string, fleet::StatusReport>& reports);
  void ended(fleet::TimePoint now, const std::string& agent);
  // The summaries that an agent has just written, smallest unit first. `own_now` is by its own clock.
  void written(fleet::TimePoint now, fleet::Duration own_now, const fleet::LevelGossip& writer,
               const fleet::Topology& topology, const std::vector<fleet::StatusSummary>& summaries);
  // What a reader believes of a unit. `own_now` is by the reader's own clock.
  void believed(fleet::TimePoint now, fleet::Duration own_now, const fleet::LevelGossip& reader,
                const fleet::Unit& unit);

  std::uint64_t never_said = 0, stale_as_fresh = 0, checks = 0, written_count = 0;
  std::vector<std::string> faults;

 private:
  struct Statement {
    fleet::TimePoint from{};
    std::optional<fleet::TimePoint> until;  // none: it still stands
    fleet::ReportVersion version;
    fleet::StatusCounts counts;
  };
  struct Truth {
    fleet::StatusCounts counts;
    fleet::TimePoint as_of{};  // all that is counted stood until then at least
  };
  using Key = std::tuple<fleet::Unit, std::string, fleet::SummaryVersion>;
  static constexpr std::size_t max_faults = 5;

  void fault(std::uint64_t& count, fleet::TimePoint now, const std::string& what);
  const Statement* find(const std::string& agent, const fleet::ReportVersion& version) const;
  Truth truth_of_group(fleet::TimePoint now, fleet::Duration own_now, const fleet::LevelGossip& writer,
                       const fleet::Topology& topology);
  Truth truth_of_parts(fleet::TimePoint now, fleet::Duration own_now, const fleet::LevelGossip& writer,
                       const fleet::Unit& unit, const fleet::Topology& topology);

  std::map<std::string, std::vector<Statement>> statements_;
  std::map<Key, Truth> truths_;
};

}  // namespace pearchute::lab
