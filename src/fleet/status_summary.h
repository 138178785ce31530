// Summaries of the status of a unit (group, zone, region) and what one agent knows of them.
//
// A summary has one writer. Of one (unit, writer) the greatest version stands; two writers of the same unit
// are never added up: the reader selects one of them. Merging is idempotent, commutative and associative.
//
// The age of a summary is the age of the oldest report that was counted in it, not of its making. A summary
// carries when it was made by the writer's steady clock; a reader turns that into its own time by
// WriterClock, which no single teller can deceive.
#pragma once

#include <array>
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
  double traffic = 0;       // queries answered per second
  double done_traffic = 0;  // those of them that were done
  std::uint64_t open = 0;   // queries in flight
  std::uint32_t agents_fresh = 0, agents_old = 0, agents_unknown = 0;
  void add(const StatusReport& report);
  void add(const StatusCounts& other);
  double share_done() const { return traffic > 0 ? done_traffic / traffic : 1; }
  std::uint32_t agents() const { return agents_fresh + agents_old + agents_unknown; }
  auto operator<=>(const StatusCounts&) const = default;
};

// The incarnation is the writer's own, on disk before it is used.
struct SummaryVersion {
  std::uint64_t incarnation = 0, number = 0;
  auto operator<=>(const SummaryVersion&) const = default;
};

struct StatusSummary {
  Unit unit;
  std::string writer;
  SummaryVersion version;
  TimePoint made_at{};       // by the writer's steady clock
  Duration age_when_made{};  // of the oldest report in it
  StatusCounts counts;
  bool operator==(const StatusSummary&) const = default;
};

// A summary as one agent tells it to another: it was true this long ago, by the teller's clock.
struct SummaryDelta {
  StatusSummary summary;
  Duration age{};
};

// What the asker selected for a unit: enough for the other to see whether it has something better.
struct SummaryMark {
  std::uint64_t unit = 0;  // id_of()
  Duration age{};
  std::uint32_t agents_fresh = 0;
};

// An estimate of the encoded sizes in a protobuf message.
std::size_t encoded_size(const SummaryDelta& delta);
std::size_t encoded_size(const SummaryMark& mark);

// The status of a group as one member knows it.
struct GroupStatus {
  StatusCounts counts;
  Duration age{};  // of the oldest report that is counted
};
GroupStatus summarize_group(const GossipState& state, const std::vector<std::string>& members, TimePoint now);

// Limits for the age of a summary. Each level adds a round of exchanges and the writer's interval.
struct FreshnessLimits {
  Duration fresh, old;
};
FreshnessLimits freshness_limits(Level level);

class SummaryStore {
 public:
  // Two are expected to write; more than these are dropped, the oldest first.
  static constexpr std::size_t max_writers = 4;
  // A summary that is younger by less than this is not worth an answer.
  static constexpr Duration min_gain = std::chrono::milliseconds(1000);
  // Within this much of the youngest the one that covers more agents is selected: an agent that has just
  // started, or is cut off, writes a young summary of itself alone.
  static constexpr Duration coverage_window = std::chrono::seconds(2);

  struct Entry {
    StatusSummary summary;
    TimePoint received{};   // when this version was first here
    bool own = false;       // written by this agent
    bool disputed = false;  // two contents under one version: neither is read
  };
  struct Selected {
    const StatusSummary* summary = nullptr;
    TimePoint as_of{};  // by this agent's clock: all that is counted was so then, or later
  };

  // Units outside the topology, and writers outside their unit, are not accepted.
  void set_topology(std::shared_ptr<const Topology> topology);
  void publish(TimePoint now, const StatusSummary& own);
  // What `teller` was asked for at `asked` and that arrived at `now`. True if it is a later version.
  bool merge(TimePoint now, TimePoint asked, const std::string& reporter, const SummaryDelta& delta);
  void expire(TimePoint now);

  // None: there is no summary whose age can be proven.
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
  // What its writer has written under a later incarnation than it has now, having lost its disk.
  std::optional<SummaryDelta> past_of(TimePoint now, const std::string& writer,
                                      std::uint64_t incarnation) const;
  // Sums over the selected fresh summaries of `parts`; the members of the others are counted as unknown.
  GroupStatus combine(TimePoint now, const std::vector<Unit>& parts) const;
  std::size_t size() const;

 private:
  bool acceptable(const StatusSummary& summary) const;
  std::optional<TimePoint> as_of(TimePoint now, const Entry& entry) const;
  void drop_excess_writers(std::map<std::string, Entry>& writers, const std::string& keep);

  std::shared_ptr<const Topology> topology_ = std::make_shared<const Topology>();
  std::map<Unit, std::map<std::string, Entry>> units_;
  std::map<std::string, WriterClock> clocks_;
};

}  // namespace pearchute::fleet
