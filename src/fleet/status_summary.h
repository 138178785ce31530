// Summaries of the status of a unit (group, zone, region), and the store of the summaries that one agent has.
//
// A summary has one writer. Of each (unit, writer) the summary with the greatest version is kept. Summaries
// of the same unit by two writers are never added up: the reader selects one of them. Merging is idempotent,
// commutative and associative.
//
// The age of a summary is the age of the oldest report that it counts, not the time since it was made. A
// summary has the time at which it was made, by the writer's steady clock. A reader converts that into its
// own time with WriterClock, which no single reporter can deceive.
//
// Not thread-safe. The classes read no clock and do no I/O.
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

// Sums over instances and agents. The figures of instances cover only the agents whose status is fresh. Other
// agents are counted by their freshness, so that unknown figures are not mistaken for zero.
struct StatusCounts {
  std::array<std::uint32_t, instance_state_count> by_state{};
  double traffic = 0;             // requests answered per second
  double successful_traffic = 0;  // requests per second that succeeded
  std::uint64_t open = 0;         // requests in flight
  std::uint32_t agents_fresh = 0, agents_old = 0, agents_unknown = 0;
  void add(const StatusReport& report);
  void add(const StatusCounts& other);
  double share_done() const { return traffic > 0 ? successful_traffic / traffic : 1; }
  std::uint32_t agents() const { return agents_fresh + agents_old + agents_unknown; }
  auto operator<=>(const StatusCounts&) const = default;
};

// The version of a summary. It orders the summaries of one writer. The incarnation is the writer's, which is
// durable before it is used.
struct SummaryVersion {
  std::uint64_t incarnation = 0, number = 0;
  auto operator<=>(const SummaryVersion&) const = default;
};

// The status of a unit, summed up by one agent.
struct StatusSummary {
  Unit unit;
  std::string writer;
  SummaryVersion version;
  TimePoint made_at{};       // by the writer's steady clock
  Duration age_when_made{};  // age of the oldest report in it when the summary was made
  StatusCounts counts;
  bool operator==(const StatusSummary&) const = default;
};

// A summary as one agent passes it to another.
struct SummaryDelta {
  StatusSummary summary;
  Duration age{};  // present age of the oldest report in it, by the clock of the agent that passes it on
};

// Describes the summary that the asker has selected for a unit, so that the other agent can tell whether it
// has a better one.
struct SummaryMark {
  std::uint64_t unit = 0;  // id_of()
  Duration age{};
  std::uint32_t agents_fresh = 0;
};

// Return approximate encoded sizes in bytes.
std::size_t encoded_size(const SummaryDelta& delta);
std::size_t encoded_size(const SummaryMark& mark);

// The status of one or more units as one agent knows it.
struct GroupStatus {
  StatusCounts counts;
  Duration age{};  // of the oldest report that is counted
};
// Sums up the fresh reports of a group's members.
GroupStatus summarize_group(const GossipState& state, const std::vector<std::string>& members, TimePoint now);

// Limits for the age of a summary: up to `fresh` it is fresh, up to `old` it is old, beyond that unknown. The
// limits grow with the level, since each level adds a round of exchanges and the writer's interval.
struct FreshnessLimits {
  Duration fresh, old;
};
FreshnessLimits freshness_limits(Level level);

// The summaries that one agent has.
class SummaryStore {
 public:
  // Maximum number of writers kept for each unit; two are expected. Beyond it, the writer whose summary was
  // received longest ago is dropped.
  static constexpr std::size_t max_writers = 4;
  // A summary is sent only if it is younger than the asker's by more than this, or covers more agents.
  static constexpr Duration min_gain = std::chrono::milliseconds(1000);
  // Among the summaries that are at most this much older than the youngest, the one that covers most agents
  // is selected: an agent that has just started, or is partitioned, writes a young summary of itself alone.
  static constexpr Duration coverage_window = std::chrono::seconds(2);

  // One writer's summary.
  struct Entry {
    StatusSummary summary;
    TimePoint received{};   // when this version was first received
    bool own = false;       // written by this agent
    bool disputed = false;  // two contents were received under one version; neither is used
  };
  // The summary that is used for a unit.
  struct Selected {
    const StatusSummary* summary = nullptr;  // valid until the store changes
    TimePoint as_of{};  // by this agent's clock: all counted reports were valid then, or later
  };

  // Replaces the topology. Summaries of units outside it, and by writers outside their unit, are dropped and
  // not accepted.
  void set_topology(std::shared_ptr<const Topology> topology);
  // Adds a summary written by this agent.
  void publish(TimePoint now, const StatusSummary& own);
  // Merges a summary from an answer of `reporter` to a question that was sent at `queried_at`. Returns true
  // if the summary is of a new writer or a later version.
  bool merge(TimePoint now, TimePoint queried_at, const std::string& reporter, const SummaryDelta& delta);
  // Drops the summaries that were received longer ago than FreshnessLimits::old: they are no longer passed
  // on.
  void expire(TimePoint now);

  // Returns the best summary of a unit; none if no summary's age can be proven.
  std::optional<Selected> selected(TimePoint now, const Unit& unit) const;
  Freshness freshness(TimePoint now, const Unit& unit) const;
  // Returns the writers of the unit whose summaries are fresh.
  std::vector<std::string> fresh_writers(TimePoint now, const Unit& unit) const;
  // Returns all known writers of the unit, whatever the age of their summaries.
  std::vector<std::string> writers(const Unit& unit) const;
  std::optional<SummaryVersion> version(const Unit& unit, const std::string& writer) const;
  std::optional<SummaryMark> mark(TimePoint now, const Unit& unit) const;
  // Returns the selected summary if it is better than the asker's. `theirs` is null if the asker has none.
  std::optional<SummaryDelta> answer(TimePoint now, const Unit& unit, const SummaryMark* theirs) const;
  // Returns a summary that the writer wrote under a later incarnation than `incarnation`, its present one; it
  // has lost its disk then. None if there is no such summary.
  std::optional<SummaryDelta> past_of(TimePoint now, const std::string& writer,
                                      std::uint64_t incarnation) const;
  // Adds up the selected fresh summaries of `parts`. The members of the other parts are counted as unknown.
  GroupStatus combine(TimePoint now, const std::vector<Unit>& parts) const;
  std::size_t size() const;  // number of summaries

 private:
  bool is_acceptable(const StatusSummary& summary) const;
  std::optional<TimePoint> as_of(TimePoint now, const Entry& entry) const;
  void drop_excess_writers(std::map<std::string, Entry>& writers, const std::string& keep);

  std::shared_ptr<const Topology> topology_ = std::make_shared<const Topology>();
  std::map<Unit, std::map<std::string, Entry>> units_;
  std::map<std::string, WriterClock> clocks_;
};

}  // namespace pearchute::fleet
