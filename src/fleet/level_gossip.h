// One agent's part in the exchange of status by levels: group, zone, region.
//
// Within its group an agent exchanges the status of every instance (GossipState). An agent that ranks among
// the first of the group members that it knows to be alive is an aggregator: it writes a summary of its
// group. The first-ranking aggregators of a zone's groups also write a summary of the zone, and the
// first-ranking ones of a region's zones a summary of the region. There is no election: each agent decides
// for itself, and too many writers only cost bytes. Summaries spread by anti-entropy exchanges among the
// members of a group, and between aggregators and a member of each sibling unit.
//
// Not thread-safe. The class reads no clock and does no I/O.
#pragma once

#include <array>
#include <cstddef>
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

// A question to another agent for the reports and summaries that the asker lacks.
struct LevelQuestion {
  std::string asker;
  // The asker's incarnation. If the other agent has a summary that the asker wrote in a later one, it returns
  // that summary, too.
  std::uint64_t incarnation = 0;
  // The versions of reports that the asker has. Absent: it requests no reports on instances.
  std::optional<std::map<std::string, ReportVersion>> status_versions;
  // The summaries that the asker has selected. Absent: it requests no summaries.
  std::optional<std::vector<SummaryMark>> summary_marks;
};

// The answer to a LevelQuestion.
struct LevelAnswer {
  std::vector<ReportDelta> reports;
  std::vector<SummaryDelta> summaries;
};

// Identifies a question by its receiver and purpose.
struct QuestionId {
  std::string peer;             // the agent that receives the question
  std::optional<Unit> sibling;  // the sibling unit that it asks for; none: `peer` is in this agent's group
};

// A question to be sent.
struct OutgoingQuestion {
  QuestionId id;
  LevelQuestion question;
};

// The exchange of status by levels, at one agent.
class LevelGossip {
 public:
  // With two aggregators, one may fail without a gap in the summaries.
  static constexpr std::size_t aggregators_per_unit = 2;
  // Number of members of the agent's own group that are queried in a tick. A group is small, so each member
  // is queried every few ticks.
  static constexpr std::size_t max_group_queries_per_tick = 2;
  // Sibling groups and zones are queried at every second tick, since there are many; regions at each tick.
  static constexpr std::uint64_t ticks_per_sibling_round = 2;

  // `host` must outlive the LevelGossip. As for GossipState, `incarnation` is the last one that was
  // persisted, and `seed` has to differ at each start.
  LevelGossip(GossipState::Host& host, std::string self, std::uint64_t incarnation, std::uint64_t seed,
              std::shared_ptr<const Topology> topology);

  // Replaces the member list. Reports and summaries of removed units and members are dropped.
  void set_topology(std::shared_ptr<const Topology> topology);
  // Sets the present state of all instances of this agent.
  void publish_instances(const std::vector<StatusReport>& reports);

  // The result of a tick.
  struct TickResult {
    std::vector<OutgoingQuestion> questions;  // to be sent now
    std::vector<StatusSummary> written;       // by this agent in this tick, the smallest unit first
    TimePoint next{};                         // time of the next tick
  };
  // Writes due summaries, and begins due queries.
  TickResult tick(TimePoint now);
  LevelAnswer answer(TimePoint now, const LevelQuestion& question);
  // Merges an answer to a question that was sent at `queried_at`. Each question has to be concluded exactly
  // once, by completed() or missed(); an answer that arrives later is merged all the same.
  void merge(TimePoint now, TimePoint queried_at, const std::string& reporter, const LevelAnswer& answer);
  void completed(TimePoint now, const QuestionId& id);
  void missed(TimePoint now, const QuestionId& id);

  // Returns whether this agent considers itself an aggregator of its unit at the level.
  bool aggregates(TimePoint now, Level level) const;
  // Returns the status of the fleet: the known summaries of all regions, combined.
  GroupStatus fleet_status(TimePoint now) const;
  const SummaryStore& summaries() const { return summaries_; }
  const GossipState& group_state() const { return state_; }
  const Placement& placement() const { return placement_; }
  const std::string& self() const { return self_; }

 private:
  static constexpr std::size_t level_count = 3;
  static std::array<AntiEntropyScheduler, level_count> schedulers_for(std::uint64_t seed);
  std::vector<Unit> units_shared_with(const std::string& peer) const;
  std::uint64_t incarnation(TimePoint now) const { return state_.known(now, self_).mark.incarnation; }
  void supersede_own_past(TimePoint now, TimePoint queried_at, const SummaryVersion& past);
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
  // One scheduler for each level, so that many groups do not delay the status of other regions. The peers of
  // these schedulers are units, named by to_string().
  std::array<AntiEntropyScheduler, level_count> sibling_schedulers_;
  std::map<Unit, std::size_t> contact_rotations_;
  std::uint64_t ticks_ = 0, summary_number_ = 0;
  bool has_reported_ = false;  // publish_instances() was called
};

}  // namespace pearchute::fleet
