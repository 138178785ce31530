// Summaries of the status of a unit (group, zone, region), and what one agent knows of them.
//
// A summary has one writer. Of one (unit, writer) the greatest version stands; summaries of the same unit by
// two writers are never added up: the reader selects one. Merging is idempotent, commutative and associative.
//
// The age of a summary is the age of the oldest report that was counted in it, not of its making. A summary
// carries when it was made by the writer's steady clock; a reader turns that into its own time by
// WriterClock, which no single reporter can deceive.
//
// Not thread-safe. It reads no clock and does no I/O.
#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/gossip_state.h"
#include "fleet/topology.h"
#include "fleet/writer_clock.h"

namespace pearchute::fleet {

// The number of values of InstanceState.
inline constexpr std::size_t instance_state_count = 8;

// Sums over instances and agents. Only agents whose status is fresh are counted in the instance figures;
// the others are counted as agents, so that nothing unknown passes for zero.
struct StatusCounts {
  std::array<std::uint32_t, instance_state_count> by_state{};
  double traffic = 0;       // requests answered per second
  double done_traffic = 0;  // those of them that succeeded
  std::uint64_t open = 0;   // requests in flight
  std::uint32_t agents_fresh = 0, agents_old = 0, agents_unknown = 0;
  void add(const StatusReport& report);
  void add(const StatusCounts& other);
  double share_done() const { return traffic > 0 ? done_traffic / traffic : 1; }
  std::uint32_t agents() const { return agents_fresh + agents_old + agents_unknown; }
  auto operator<=>(const StatusCounts&) const = default;
};

// The version of a summary among those of its writer. The incarnation is the writer's, durable before it is
// used.
struct SummaryVersion {
  std::uint64_t incarnation = 0, number = 0;
  auto operator<=>(const SummaryVersion&) const = default;
};

// The status of a unit, as one agent has summed it up.
struct StatusSummary {
  Unit unit;
  std::string writer;
  SummaryVersion version;
  TimePoint made_at{};       // by the writer's steady clock
  Duration age_when_made{};  // of the oldest report in it
  StatusCounts counts;
  bool operator==(const StatusSummary&) const = default;
};

// A summary as one agent passes it to another.
struct SummaryDelta {
  StatusSummary summary;
  Duration age{};  // of the oldest report in it now, by the clock of the agent that passes it on
};

// What the asker has selected for a unit: enough for the other to see whether it has a better summary.
struct SummaryMark {
  std::uint64_t unit = 0;  // id_of()
  Duration age{};
  std::uint32_t agents_fresh = 0;
};

// The encoded sizes in bytes, approximately.
std::size_t encoded_size(const SummaryDelta& delta);
std::size_t encoded_size(const SummaryMark& mark);

// The status of a unit as one agent knows it.
struct GroupStatus {
  StatusCounts counts;
  Duration age{};  // of the oldest report that is counted
};
// Sums up the reports of a group's members.
GroupStatus summarize_group(const GossipState& state, const std::vector<std::string>& members, TimePoint now);

// Limits for the age of a summary: up to `fresh` it is fresh, up to `old` it is old, beyond that unknown.
// Each level adds a round of exchanges and the writer's interval.
struct FreshnessLimits {
  Duration fresh, old;
};
FreshnessLimits freshness_limits(Level level);

// The summaries that one agent knows.
class SummaryStore {
 public:
  // Writers kept for each unit, of which two are expected. Those of whom nothing was received for longest go
  // first.
  static constexpr std::size_t max_writers = 4;
  // A summary has to be younger than the asker's by more than this to be sent.
  static constexpr Duration min_gain = std::chrono::milliseconds(1000);
  // Of the summaries that are older than the youngest by no more than this, the one that covers most agents
  // is selected: an agent that has just started, or is partitioned, writes a young summary of itself alone.
  static constexpr Duration coverage_window = std::chrono::seconds(2);

  // One writer's summary.
  struct Entry {
    StatusSummary summary;
    TimePoint received{};   // when this version was received first
    bool own = false;       // written by this agent
    bool disputed = false;  // two contents under one version: neither is read
  };
  // The summary that is used for a unit.
  struct Selected {
    const StatusSummary* summary = nullptr;  // valid until the store changes
    TimePoint as_of{};  // by this agent's clock: all that is counted was so then, or later
  };

  // Units outside the topology, and writers outside their unit, are not accepted.
  void set_topology(std::shared_ptr<const Topology> topology);
  // Adds a summary written by this agent.
  void publish(TimePoint now, const StatusSummary& own);
  // Merges what `reporter` answered to a question that left at `queried_at`. Returns true for a later
  // version.
  bool merge(TimePoint now, TimePoint queried_at, const std::string& reporter, const SummaryDelta& delta);
  // Drops what has not been received for so long that it is no longer passed on.
  void expire(TimePoint now);

  // The best summary of a unit; none where no summary's age can be proven.
  std::optional<Selected> selected(TimePoint now, const Unit& unit) const;
  Freshness freshness(TimePoint now, const Unit& unit) const;
  // The writers of the unit whose summary is fresh.
  std::vector<std::string> fresh_writers(TimePoint now, const Unit& unit) const;
  // All writers that are known, whatever the age of what they wrote.
  std::vector<std::string> writers(const Unit& unit) const;
  std::optional<SummaryVersion> version(const Unit& unit, const std::string& writer) const;
  std::optional<SummaryMark> mark(TimePoint now, const Unit& unit) const;
  // The selected summary where it is better than what the asker has.
  std::optional<SummaryDelta> answer(TimePoint now, const Unit& unit, const SummaryMark* theirs) const;
  // A summary by that writer under a later incarnation than its present one: it has lost its disk.
  std::optional<SummaryDelta> past_of(TimePoint now, const std::string& writer,
                                      std::uint64_t incarnation) const;
  // Sums over the selected fresh summaries of `parts`. The members of the other parts are counted as unknown.
  GroupStatus combine(TimePoint now, const std::vector<Unit>& parts) const;
  std::size_t size() const;  // summaries

 private:
  bool is_acceptable(const StatusSummary& summary) const;
  std::optional<TimePoint> as_of(TimePoint now, const Entry& entry) const;
  void drop_excess_writers(std::map<std::string, Entry>& writers, const std::string& keep);

  std::shared_ptr<const Topology> topology_ = std::make_shared<const Topology>();
  std::map<Unit, std::map<std::string, Entry>> units_;
  std::map<std::string, WriterClock> clocks_;
};

}  // namespace pearchute::fleet
