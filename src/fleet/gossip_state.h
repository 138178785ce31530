// What one agent knows of the instances of all agents, exchanged by anti-entropy gossip.
//
// Each agent alone writes reports about its own instances; what is received about others is merged and passed
// on unaltered. An entry is identified by (agent, incarnation, number). Of one agent the greater incarnation
// replaces everything of a lesser one; within an incarnation the greater number of each instance stands. So
// merging is idempotent, commutative and associative: loss, repetition, reordering and detours through third
// agents change nothing.
//
// An incarnation is durable before anything is published under it. An agent that receives its own name with a
// later incarnation begins one beyond that, so a restarted agent is never overruled by its own past, even
// where its disk was lost.
//
// Age is counted by the reader's steady clock from when it asked: what an answer says was so when the
// question left, or later. A report that comes by way of a third agent is older by as long as that agent has
// had it, by its own steady clock.
//
// Not thread-safe. It reads no clock and does no I/O, and decides nothing about instances.
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

// What an agent reports of one of its instances.
struct StatusReport {
  std::string instance, zone;
  InstanceState state = InstanceState::unseen;
  std::uint64_t process_incarnation = 0;  // identifies its process; another process has another one
  Duration in_state_for{};  // when this was published: it has been in the state for at least this
  double traffic = 0;       // requests answered per second
  double done = 1;          // the share of them that succeeded
  std::uint64_t open = 0;   // requests in flight
  bool operator==(const StatusReport&) const = default;
};

// How much is known of an agent's reports: all of that incarnation, up to that number.
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

// What one agent (the reporter) tells another about an agent: what the other did not know.
struct ReportDelta {
  std::string agent;
  ReportVersion upto;         // the reporter knows everything up to here
  Duration age{};             // at most so long ago, by the reporter's clock, that was all there was
  bool age_known = false;     // else the reporter can't say
  std::uint64_t since = 0;    // the entries are all those above this number
  std::uint64_t through = 0;  // and up to this one; less than `upto` where the answer is full
  std::vector<ReportEntry> entries;
};

// Whether reports are recent enough to decide by.
enum class Freshness { unknown, old, fresh };
std::string_view name_of(Freshness freshness);

// All reports that one agent knows, its own included.
class GossipState {
 public:
  // Must outlive the GossipState.
  class Host {
   public:
    virtual ~Host() = default;
    // Returns true once the incarnation is durable. On false nothing is published until a later attempt.
    virtual bool persist_incarnation(std::uint64_t incarnation) = 0;
    // For the log: an agent's freshness has changed, or its name is disputed.
    virtual void on_event(const std::string& agent, std::string_view what) = 0;
  };

  // Two rounds by way of a third agent and the slowest answer that is waited for. With less, one lost answer
  // would make a sound agent old.
  static constexpr Duration fresh_for = std::chrono::seconds(3);
  // Five times as long: beyond it, as with leases that were not renewed, nothing should be decided by a
  // report.
  static constexpr Duration old_for = std::chrono::seconds(15);
  // A message can hold a mebibyte. A large fleet's first answer comes in parts.
  static constexpr std::size_t default_max_answer_bytes = 256 * 1024;
  // Removed instances are reported as such until there are so many; then another incarnation begins.
  static constexpr std::size_t max_removed_instances = 256;
  static constexpr std::size_t max_instances = 1024;  // of an agent
  static constexpr std::size_t max_name_bytes = 128;  // of an instance or zone

  // `incarnation` is the last one that was persisted; 0: none. `seed` has to differ at each start: the upper
  // half of an incarnation is a counter, the lower half is random, so that an incarnation after a lost disk,
  // which counts from the beginning again, is never taken for an earlier one.
  GossipState(Host& host, std::string self, std::uint64_t incarnation, std::uint64_t seed,
              std::size_t max_answer_bytes = default_max_answer_bytes);
  GossipState(const GossipState&) = delete;
  GossipState& operator=(const GossipState&) = delete;

  // Sets the agents of the fleet. What is known of any other agent is dropped, and nothing more accepted.
  void set_agents(const std::set<std::string>& agents);
  // Sets the own instances as they are now. Only significant changes become entries.
  void publish(const std::vector<StatusReport>& reports);
  // Reports agents whose freshness has changed with time. Call about twice a second.
  void on_timer(TimePoint now);

  // What is known of the other agents, for a question.
  std::map<std::string, ReportVersion> marks() const;
  // What an agent with these marks does not know yet.
  std::vector<ReportDelta> answer(TimePoint now, const std::map<std::string, ReportVersion>& marks);
  // Merges the answer to a question that left at `queried_at`. Returns false where nothing in it was of use.
  bool receive(TimePoint now, TimePoint queried_at, const std::vector<ReportDelta>& deltas);

  // How well one agent is known.
  struct Known {
    ReportVersion mark;
    std::uint64_t instance_count = 0;
    std::optional<Duration> age;  // of its reports; none: never received, or it can't be said
    Freshness freshness = Freshness::unknown;
    bool disputed = false;  // two processes publish under its name
  };
  Known known(TimePoint now, const std::string& agent) const;
  // By instance; empty for an agent that is not known.
  std::map<std::string, StatusReport> reports(const std::string& agent) const;
  std::set<std::string> agents() const;  // the others
  const std::string& self() const { return self_; }
  bool can_publish() const { return can_publish_; }  // its incarnation is durable
  std::size_t bytes() const;                         // of all that is kept, approximately

 private:
  // The parts received of an answer that was too large for one message. They are neither shown nor passed on
  // until the last one is here: a part by itself is no state that its agent ever was in.
  struct PartialDelta {
    std::uint64_t incarnation = 0;
    std::uint64_t resume = 0;  // everything up to this number is here
    std::uint64_t target = 0;  // of everything up to this one
    std::vector<ReportEntry> entries;
  };
  // What is known of one agent.
  struct AgentRecord {
    ReportVersion mark;  // exactly what the agent had published up to this version is in `by_instance`
    std::map<std::string, ReportEntry> by_instance;
    std::map<std::uint64_t, std::string> by_number;
    std::optional<PartialDelta> partial;
    std::optional<TimePoint> as_of;  // everything that the agent had published by then is known
    Freshness logged = Freshness::unknown;
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
  std::map<std::string, StatusReport> own_reports_;  // as last set, whether published or not
  const std::size_t max_answer_bytes_;
  std::size_t removed_ = 0;     // own instances that are reported as removed
  std::size_t next_first_ = 0;  // peer with which the next answer begins
  bool can_publish_ = false;
  bool instances_known_ = false;  // publish() was called,
  bool published_ = false;        // and that under this incarnation
};

}  // namespace pearchute::fleet
