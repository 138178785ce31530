// The reports on the instances of all agents that one agent has, exchanged by anti-entropy gossip.
//
// Only the owning agent writes reports about its instances; other agents merge them and pass them on
// unaltered. An entry is identified by (agent, incarnation, number). A greater incarnation of an agent
// replaces all entries of a lesser one; within an incarnation, the entry with the greatest number of each
// instance is kept. Merging is therefore idempotent, commutative and associative: loss, repetition,
// reordering and detours through third agents change nothing.
//
// An incarnation is durable before anything is published under it. An agent that receives reports under its
// own name with a later incarnation begins a greater one, so peers never prefer a restarted agent's past
// reports to its present ones, even if its disk was lost.
//
// The reader counts the age of a report by its own steady clock from the time at which it sent the question:
// the content of an answer was valid then, or later. A report that arrives through a third agent is older by
// the time that this agent has had it, which that agent measures by its own steady clock.
//
// Not thread-safe. The class reads no clock, does no I/O and decides nothing about instances.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/instance_lifecycle.h"
#include "fleet/time.h"

namespace pearchute::fleet {

// An agent's report on one of its instances.
struct StatusReport {
  std::string instance, zone;
  InstanceState state = InstanceState::unseen;
  std::uint64_t process_incarnation = 0;  // identifies the instance's process; changes when it is restarted
  Duration in_state_for{};                // minimum time in this state when the report was published
  double traffic = 0;                     // requests answered per second
  double done = 1;                        // share of the answered requests that succeeded, 0 to 1
  std::uint64_t open = 0;                 // requests in flight
  bool operator==(const StatusReport&) const = default;
};

// A version of an agent's reports: all entries of the incarnation up to the number `through`.
struct ReportVersion {
  std::uint64_t incarnation = 0, through = 0;
  bool operator==(const ReportVersion&) const = default;
};

// One numbered change of an agent's reports.
struct ReportEntry {
  std::uint64_t number = 0;
  std::string instance;
  std::optional<StatusReport> report;  // none: the agent no longer owns the instance
  bool operator==(const ReportEntry&) const = default;
};

// The reports on `agent` that one agent (the reporter) sends to another (the asker) that lacks them.
struct ReportDelta {
  std::string agent;
  ReportVersion upto;         // the version that the reporter has
  Duration age{};             // by the reporter's clock, `upto` was the latest version at most this long ago
  bool age_known = false;     // false: the reporter can't tell the age
  std::uint64_t since = 0;    // `entries` are all those above this number
  std::uint64_t through = 0;  // and up to this one; less than `upto` if the answer is full
  std::vector<ReportEntry> entries;
};

// Whether reports are recent enough for decisions. `old` reports are known but too old.
enum class Freshness { unknown, old, fresh };
std::string_view name_of(Freshness freshness);

// All reports that one agent has, its own included.
class GossipState {
 public:
  // Persists incarnations and logs events. Must outlive the GossipState.
  class Host {
   public:
    virtual ~Host() = default;
    // Returns true once the incarnation is durable. On false, GossipState publishes nothing until a later
    // attempt has succeeded.
    virtual bool persist_incarnation(std::uint64_t incarnation) = 0;
    // Called, for the log, when an agent's freshness has changed or two processes publish under its name.
    virtual void on_event(const std::string& agent, std::string_view event) = 0;
  };

  // Maximum age of fresh reports: two rounds through a third agent plus the longest wait for an answer. With
  // a shorter time, one lost answer would make the reports of a healthy agent old.
  static constexpr Duration fresh_for = std::chrono::seconds(3);
  // Maximum age of old reports, five times fresh_for. Beyond it no decision should rely on a report, as with
  // a lease that was not renewed.
  static constexpr Duration old_for = std::chrono::seconds(15);
  // A message can have 1 MiB. A large fleet's first answer is sent in several parts.
  static constexpr std::size_t default_max_answer_bytes = 256 * 1024;
  // Maximum number of removed instances that are reported as removed; beyond it a new incarnation begins.
  static constexpr std::size_t max_removed_instances = 256;
  static constexpr std::size_t max_instances = 1024;  // of an agent; publish() ignores further ones
  static constexpr std::size_t max_name_bytes = 128;  // of an instance or zone

  // `incarnation` is the last one that was persisted; 0: none. `seed` has to differ at each start, since the
  // lower half of an incarnation is random. The upper half is a counter, which begins again after the disk
  // was lost; the random half distinguishes such an incarnation from an earlier one with the same count.
  GossipState(Host& host, std::string self, std::uint64_t incarnation, std::uint64_t seed,
              std::size_t max_answer_bytes = default_max_answer_bytes);
  GossipState(const GossipState&) = delete;
  GossipState& operator=(const GossipState&) = delete;

  // Sets the agents of the fleet. Reports on any other agent are dropped and no longer accepted.
  void set_agents(const std::set<std::string>& agents);
  // Sets the present state of all instances of this agent. Only significant changes become entries.
  void publish(const std::vector<StatusReport>& reports);
  // Passes changes of freshness that come with time to Host::on_event(). Call about twice a second.
  void on_timer(TimePoint now);

  // Returns the versions that this agent has of the other agents' reports, for a question to a peer.
  std::map<std::string, ReportVersion> marks() const;
  // Returns the reports that an agent with these marks lacks.
  std::vector<ReportDelta> answer(TimePoint now, const std::map<std::string, ReportVersion>& marks);
  // Merges the answer to a question that was sent at `queried_at`. Returns false if no delta in it was used.
  bool receive(TimePoint now, TimePoint queried_at, const std::vector<ReportDelta>& deltas);

  // The state of the reports on one agent.
  struct Known {
    ReportVersion mark;
    std::uint64_t instance_count = 0;
    std::optional<Duration> age;  // of the reports; none: never received, or the age is unknown
    Freshness freshness = Freshness::unknown;
    bool disputed = false;  // two processes publish under the agent's name
  };
  Known known(TimePoint now, const std::string& agent) const;
  // Returns the reports on an agent's instances, by instance; empty if the agent is unknown.
  std::map<std::string, StatusReport> reports(const std::string& agent) const;
  std::set<std::string> agents() const;  // all except this one
  const std::string& self() const { return self_; }
  bool can_publish() const { return can_publish_; }  // whether this agent's incarnation is durable
  std::size_t bytes() const;                         // approximate size of all reports and partial answers

 private:
  // The parts received of a delta that was too large for one message. They are neither returned by reports()
  // nor passed on until the last part is received: a single part is not a state that the agent ever had.
  struct PartialDelta {
    std::uint64_t incarnation = 0;
    std::uint64_t resume = 0;  // all entries up to this number are received
    std::uint64_t target = 0;  // the number up to which entries are needed
    std::vector<ReportEntry> entries;
  };
  // The reports on one agent.
  struct AgentRecord {
    ReportVersion mark;  // `by_instance` is exactly what the agent had published up to this version
    std::map<std::string, ReportEntry> by_instance;
    std::map<std::uint64_t, std::string> by_number;
    std::optional<PartialDelta> partial;
    std::optional<TimePoint> as_of;  // the record has everything that the agent had published by this time
    Freshness logged = Freshness::unknown;  // passed to Host::on_event() last
    bool disputed = false;
  };
  static void put(AgentRecord& record, const ReportEntry& entry);
  static bool is_acceptable(const AgentRecord& record, const ReportDelta& delta);
  static std::optional<std::vector<ReportEntry>> complete_entries(AgentRecord& record,
                                                                  const ReportDelta& delta);
  static bool merge(AgentRecord& record, const ReportDelta& delta);
  static std::size_t bytes_of(const ReportEntry& entry);
  void begin_incarnation(std::uint64_t above);
  void publish_changes();
  bool publish_removals();
  void on_own_past_received(const ReportDelta& delta);
  ReportDelta delta_for(TimePoint now, const std::string& agent, const AgentRecord& record,
                        const std::optional<TimePoint>& as_of, const ReportVersion& theirs,
                        std::size_t& bytes_left) const;
  void log_freshness(TimePoint now, const std::string& agent, AgentRecord& record);
  Freshness freshness_of(TimePoint now, const AgentRecord& record) const;

  Host& host_;
  std::knuth_b random_;
  const std::string self_;
  AgentRecord own_;
  std::map<std::string, AgentRecord> peers_;
  std::map<std::string, StatusReport> own_reports_;  // from the last publish(), significant change or not
  const std::size_t max_answer_bytes_;
  std::size_t removed_ = 0;     // number of own instances that are reported as removed
  std::size_t next_first_ = 0;  // index of the peer with which the next answer begins
  bool can_publish_ = false;
  bool instances_known_ = false;  // publish() was called
  bool published_ = false;        // the reports are published under the present incarnation
};

}  // namespace pearchute::fleet
