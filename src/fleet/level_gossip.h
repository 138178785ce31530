// One agent's part in the exchange of status by levels: group, zone, region.
//
// Within its group an agent exchanges the status of every instance (GossipState). Members that rank highest
// among those they know to be alive are aggregators: they write a summary of their group; the highest of
// these write one of their zone, and the highest of those one of their region. There is no election: each
// agent decides for itself, and too many writers cost bytes only. Summaries spread by anti-entropy: between
// the group's members, and from aggregators to some member of each sibling unit.
//
// Not thread-safe. It reads no clock and does no I/O.
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

// Asks another agent for what this one does not know.
struct LevelQuestion {
  std::string asker;
  std::uint64_t incarnation = 0;  // of the asker; the answer has its summary of a later one, if there is any
  // Absent: the asker does not want the status of instances.
  std::optional<std::map<std::string, ReportVersion>> status_versions;
  // Absent: the asker does not want summaries.
  std::optional<std::vector<SummaryMark>> summary_marks;
};

// What the asker did not know.
struct LevelAnswer {
  std::vector<ReportDelta> reports;
  std::vector<SummaryDelta> summaries;
};

// The purpose of a question.
struct QuestionId {
  std::string peer;             // to whom it goes
  std::optional<Unit> sibling;  // the unit for which it answers; none: a member of the own group
};

// A question to be sent.
struct OutgoingQuestion {
  QuestionId id;
  LevelQuestion question;
};

// The exchange of status by levels, at one agent.
class LevelGossip {
 public:
  // One may fail without a gap in the summaries.
  static constexpr std::size_t aggregators_per_unit = 2;
  // Members of the own group that are queried in a tick. A group is small, so each is queried every few
  // ticks.
  static constexpr std::size_t group_peers_at_once = 2;
  // Sibling groups and zones, which are many, are queried at every second tick; regions at each.
  static constexpr std::uint64_t ticks_per_sibling_round = 2;

  // `host` must outlive this. As for GossipState, `incarnation` is the last one that was persisted, and
  // `seed` has to differ at each start.
  LevelGossip(GossipState::Host& host, std::string self, std::uint64_t incarnation, std::uint64_t seed,
              std::shared_ptr<const Topology> topology);

  // Replaces the member list. What is known of units and members that are gone is dropped.
  void set_topology(std::shared_ptr<const Topology> topology);
  // Sets the own instances as they are now.
  void publish_instances(const std::vector<StatusReport>& reports);

  // What is to be done after a tick.
  struct TickResult {
    std::vector<OutgoingQuestion> questions;
    std::vector<StatusSummary> written;  // by this agent in this tick, the smallest unit first
    TimePoint next{};                    // when to call again
  };
  // Writes due summaries, and begins due queries.
  TickResult tick(TimePoint now);
  LevelAnswer answer(TimePoint now, const LevelQuestion& question);
  // Merges an answer to a question that left at `queried_at`. Each question has to be concluded once, by
  // completed() or missed(); an answer that comes after that is merged all the same.
  void merge(TimePoint now, TimePoint queried_at, const std::string& reporter, const LevelAnswer& answer);
  void completed(TimePoint now, const QuestionId& id);
  void missed(TimePoint now, const QuestionId& id);

  // Whether this agent takes itself for an aggregator of its unit at that level.
  bool aggregates(TimePoint now, Level level) const;
  // The summaries of all regions that are known here, combined.
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
  void go_beyond(TimePoint now, TimePoint queried_at, const SummaryVersion& past);
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
  // One for each level, so that many groups don't delay status of other regions. Its peers are units, by
  // to_string().
  std::array<AntiEntropyScheduler, level_count> sibling_schedulers_;
  std::map<Unit, std::size_t> contact_rotations_;
  std::uint64_t ticks_ = 0, summary_number_ = 0;
  bool has_reported_ = false;  // publish_instances() was called
};

}  // namespace pearchute::fleet
