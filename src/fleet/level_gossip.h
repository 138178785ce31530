// One agent's part in the exchange of status by levels: group, zone, region.
//
// Within its group an agent exchanges the status of every instance (GossipState). Members that rank highest
// among those they know to be alive write a summary of their group; the highest of these write one of their
// zone, and the highest of those one of their region. There is no election: each agent decides for itself,
// and too many writers cost bytes only. Summaries spread by anti-entropy: between the group's members, and
// from aggregators to some member of each sibling unit. It knows no socket, file, clock or thread.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/anti_entropy_scheduler.h"
#include "fleet/gossip_state.h"
#include "fleet/status_summary.h"
#include "fleet/topology.h"

namespace pearchute::fleet {

struct LevelQuestion {
  std::string asker;
  std::uint64_t incarnation = 0;  // of the asker; it is told if it has spoken under a later one
  // Absent: the asker does not want the status of instances.
  std::optional<std::map<std::string, ReportVersion>> status_versions;
  // Absent: the asker does not want summaries.
  std::optional<std::vector<SummaryMark>> summary_marks;
};

struct LevelAnswer {
  std::vector<ReportDelta> reports;
  std::vector<SummaryDelta> summaries;
};

// What a question was asked for: a member of the own group, or whoever answers for a sibling unit.
struct QuestionId {
  std::string peer;
  std::optional<Unit> sibling;
};
struct OutgoingQuestion {
  QuestionId id;
  LevelQuestion question;
};

class LevelGossip {
 public:
  // One may fail without a gap in the summaries.
  static constexpr std::size_t aggregators_per_unit = 2;
  // A group is small: each peer is asked every few beats even so.
  static constexpr std::size_t group_peers_at_once = 2;
  // Sibling groups and zones, which are many, are asked at every second beat; regions at each.
  static constexpr std::uint64_t ticks_per_sibling_round = 2;

  // As for GossipState: the incarnation is the last one on disk, the seed another at each start.
  LevelGossip(GossipState::Host& host, std::string self, std::uint64_t incarnation, std::uint64_t seed,
              std::shared_ptr<const Topology> topology);

  // Replaces the member list. What is known of units and members that are gone is dropped.
  void set_topology(std::shared_ptr<const Topology> topology);
  // The own instances as they are now.
  void publish_instances(const std::vector<StatusReport>& reports);

  struct TickResult {
    std::vector<OutgoingQuestion> questions;
    std::vector<StatusSummary> written;  // the summaries that this beat has made, smallest unit first
    TimePoint next{};                    // when to call again
  };
  TickResult tick(TimePoint now);
  LevelAnswer answer(TimePoint now, const LevelQuestion& question);
  // Every question is concluded once by completed() or missed(); answers that come late are merged all the
  // same, by merge().
  void merge(TimePoint now, TimePoint asked, const std::string& reporter, const LevelAnswer& answer);
  void completed(TimePoint now, const QuestionId& id);
  void missed(TimePoint now, const QuestionId& id);

  // What this agent believes about its own duty: it writes the summary of its unit at that level.
  bool aggregates(TimePoint now, Level level) const;
  // The summaries known here of all regions, combined; its age is that of the oldest report counted.
  GroupStatus fleet_status(TimePoint now) const;
  const SummaryStore& summaries() const { return summaries_; }
  const GossipState& group_state() const { return state_; }
  const Placement& placement() const { return placement_; }
  const std::string& self() const { return self_; }

 private:
  std::vector<Unit> units_shared_with(const std::string& peer) const;
  std::uint64_t incarnation(TimePoint now) const { return state_.known(now, self_).mark.incarnation; }
  void go_beyond(TimePoint now, TimePoint asked, const SummaryVersion& past);
  std::vector<SummaryMark> marks_for(TimePoint now, const std::string& peer) const;
  std::vector<std::string> aggregator_candidates(TimePoint now, Level level) const;
  std::vector<StatusSummary> publish(TimePoint now);
  StatusSummary publish_unit(TimePoint now, const Unit& unit, const GroupStatus& status);
  void query_group(TimePoint now, std::vector<OutgoingQuestion>& questions);
  void query_siblings(TimePoint now, Level level, std::vector<OutgoingQuestion>& questions);
  AntiEntropyScheduler& siblings_at(Level level);
  std::string contact_of(const Unit& sibling) const;

  const std::string self_;
  std::shared_ptr<const Topology> topology_;
  Placement placement_;
  GossipState state_;
  SummaryStore summaries_;
  AntiEntropyScheduler group_scheduler_;
  // One for each level, so that many groups don't delay word of other regions. Units go by to_string().
  std::array<AntiEntropyScheduler, 3> sibling_schedulers_;
  std::map<Unit, std::size_t> contact_rotations_;
  std::uint64_t ticks_ = 0, summary_number_ = 0;
  bool has_reported_ = false;
};

}  // namespace pearchute::fleet
