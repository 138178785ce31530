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
  static constexpr std::uint64_t beats_per_sibling_round = 2;

  // As for GossipState: the incarnation is the last one on disk, the seed another at each start.
  LevelGossip(GossipState::Host& host, std::string self, std::uint64_t incarnation, std::uint64_t seed,
              std::shared_ptr<const Topology> topology);

  // Replaces the member list. What is known of units and members that are gone is dropped.
  void set_topology(std::shared_ptr<const Topology> topology);
  // The own instances as they are now.
  void say(const std::vector<StatusReport>& reports);

  struct Beat {
    std::vector<OutgoingQuestion> questions;
    std::vector<StatusSummary> written;  // the summaries that this beat has made, smallest unit first
    Span next{};                         // when to call again
  };
  Beat beat(Span now);
  LevelAnswer answer(Span now, const LevelQuestion& question);
  // Every question is concluded once by completed() or missed(); answers that come late are merged all the
  // same, by merge().
  void merge(Span now, Span asked, const std::string& teller, const LevelAnswer& answer);
  void completed(Span now, const QuestionId& id);
  void missed(Span now, const QuestionId& id);

  // What this agent believes about its own duty: it writes the summary of its unit at that level.
  bool aggregates(Span now, Level level) const;
  // The summaries known here of all regions, combined; its age is that of the oldest report counted.
  GroupStatus fleet_status(Span now) const;
  const SummaryStore& summaries() const { return summaries_; }
  const GossipState& group_state() const { return state_; }
  const Placement& placement() const { return placement_; }
  const std::string& self() const { return self_; }

 private:
  std::vector<Unit> units_shared_with(const std::string& peer) const;
  std::uint64_t incarnation(Span now) const { return state_.known(now, self_).mark.incarnation; }
  void go_beyond(Span now, Span asked, const SummaryVersion& past);
  std::vector<SummaryMark> marks_for(Span now, const std::string& peer) const;
  std::vector<std::string> aggregator_candidates(Span now, Level level) const;
  std::vector<StatusSummary> publish(Span now);
  StatusSummary publish_unit(Span now, const Unit& unit, const GroupStatus& status);
  void ask_group(Span now, std::vector<OutgoingQuestion>& questions);
  void ask_siblings(Span now, Level level, std::vector<OutgoingQuestion>& questions);
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
  std::map<Unit, std::size_t> contact_turns_;
  std::uint64_t beats_ = 0, summary_number_ = 0;
  bool has_reported_ = false;
};

}  // namespace pearchute::fleet
