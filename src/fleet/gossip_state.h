// What one agent knows of the instances of all agents. Each agent alone writes about its own; what others say
// is merged and never altered. It knows no socket, file or clock, and decides nothing about instances: it
// says what is known, and how long ago that was so.
//
// A statement has (agent, incarnation, number). Of one agent the greater incarnation replaces all of the
// lesser one; within an incarnation the greater number of each instance stands. Merging so is idempotent,
// commutative and associative: loss, repeats, another order and a way round through third agents change
// nothing. An incarnation is on disk before a word is said under it, and one that hears its own name with a
// later one goes beyond that: a restarted agent is never overruled by its own past, even where its disk was
// lost.
//
// Age counts by this agent's steady clock from when it asked: what an answer says was so when the question
// left, or later. StatusReport by a third agent is older by as long as that one, by its own steady clock, has
// had it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/instance_lifecycle.h"

namespace pearchute::fleet {

// What an agent says of one of its instances.
struct StatusReport {
  std::string instance, zone;
  InstanceState state = InstanceState::unseen;
  std::uint64_t process_incarnation = 0;  // which of its processes this is; another one is another life
  Duration
      in_state_for{};  // how long it has been in this condition, when this was said: at least so long since
  double traffic = 0;  // jobs answered a second
  double done = 1;     // the share of them that was done
  std::uint64_t open = 0;  // jobs that wait for their answer
  bool operator==(const StatusReport&) const = default;
};

// How far somebody knows an agent's word: all of it up to a number.
struct ReportVersion {
  std::uint64_t incarnation = 0, through = 0;
  bool operator==(const ReportVersion&) const = default;
};

struct Entry {
  std::uint64_t number = 0;
  std::string instance;
  std::optional<StatusReport> report;  // none: the agent owns it no more
  bool operator==(const Entry&) const = default;
};

// Of one agent, as any agent tells it to another that asked.
struct ReportDelta {
  std::string agent;
  ReportVersion upto;      // the teller knows all up to here
  Duration age{};          // so long ago at most, by the teller's clock, this was all that the agent had said
  bool age_known = false;  // else the teller can't say
  std::uint64_t since = 0;    // the entries are all those above this number,
  std::uint64_t through = 0;  // up to this one; less than `upto` where an answer could hold no more
  std::vector<Entry> entries;
};

enum class Freshness { unknown, old, fresh };
std::string_view name_of(Freshness freshness);

class GossipState {
 public:
  class Host {
   public:
    virtual ~Host() = default;
    // On disk when it returns true; false, and nothing is said until it can be.
    virtual bool persist_incarnation(std::uint64_t incarnation) = 0;
    // For the log: who is heard again, falls behind, speaks under this agent's name.
    virtual void on_event(const std::string& agent, std::string_view what) = 0;
  };
  // Two rounds of asking by way of a third agent and the slowest answer that is waited for: less would call
  // a sound agent old at one lost answer.
  static constexpr Duration fresh_for = std::chrono::seconds(3);
  // Beyond it nothing is left that a decision should lean on; five times, as of leases that were not renewed.
  static constexpr Duration old_for = std::chrono::seconds(15);
  // A message of a call holds a mebibyte; a fleet's first answer comes in parts.
  static constexpr std::size_t default_max_answer_bytes = 256 * 1024;
  // Instances that an agent has let go are named until so many have; then it starts another incarnation.
  static constexpr std::size_t max_removed_instances = 256;
  static constexpr std::size_t max_instances = 1024,
                               max_name_bytes = 128;  // of an agent, as its charter holds

  // `incarnation` is the last that this agent kept on disk; 0: none. The seed has to be another at each
  // start: the upper half of an incarnation counts, the lower is drawn, so that one after a lost disk, which
  // counts from the beginning again, is never taken for the one before.
  GossipState(Host& host, std::string self, std::uint64_t incarnation, std::uint64_t seed,
              std::size_t max_answer_bytes = default_max_answer_bytes);
  GossipState(const GossipState&) = delete;
  GossipState& operator=(const GossipState&) = delete;

  // The agents by the charter: whoever is not named is not listened to, and what it said goes.
  void set_agents(const std::set<std::string>& agents);
  // The own instances as they are now. Only what has changed enough to matter is said anew.
  void publish(const std::vector<StatusReport>& reports);

  std::map<std::string, ReportVersion> marks() const;  // of all others, for a question
  // To whoever asks with its marks, itself included as far as it is known.
  std::vector<ReportDelta> answer(TimePoint now, const std::map<std::string, ReportVersion>& marks);
  // What `asked` at that time has brought. False where it was of no use at all.
  bool receive(TimePoint now, TimePoint asked, const std::vector<ReportDelta>& all);
  void on_timer(TimePoint now);  // tells whose word has grown old since

  struct Known {
    ReportVersion mark;
    std::uint64_t instance_count = 0;  // as many as stand, at present
    std::optional<Duration> age;       // none: never, or it can't be said
    Freshness freshness = Freshness::unknown;
    bool disputed = false;  // two have spoken under its name
  };
  Known known(TimePoint now, const std::string& agent) const;
  // By instance; empty of one that nobody knows.
  std::map<std::string, StatusReport> reports(const std::string& agent) const;
  std::set<std::string> agents() const;  // the others of the charter
  const std::string& self() const { return self_; }
  bool can_publish() const { return can_publish_; }
  std::size_t bytes() const;  // of all that is kept, about

 private:
  // Parts of an answer that was too large for one, until the last of them is here: a part by itself is no
  // state that its agent ever was in, and is neither shown nor passed on.
  struct Parts {
    std::uint64_t incarnation = 0, resume = 0,
                  target = 0;  // has what lies up to `resume` of what was then `target`
    std::vector<Entry> entries;
  };
  struct AgentRecord {
    ReportVersion mark;  // all that its agent had stated at this number stands here, and nothing else
    std::map<std::string, Entry> by_instance;
    std::map<std::uint64_t, std::string> by_number;
    std::optional<Parts> parts;
    std::optional<TimePoint> as_of;  // by this clock: all that it had said then is known
    Freshness on_event = Freshness::unknown;
    bool disputed = false;
  };
  static void put(AgentRecord& record, const Entry& entry);
  static bool fits(const Entry& entry);
  static bool merge(AgentRecord& record, const ReportDelta& delta);
  static std::size_t bytes_of(const Entry& entry);
  void begin_incarnation(std::uint64_t above);
  void publish_changes();
  void on_own_past_received(const ReportDelta& delta);
  void report_freshness(TimePoint now, const std::string& agent, AgentRecord& record);
  Freshness freshness_of(TimePoint now, const AgentRecord& record) const;

  Host& host_;
  std::knuth_b random_;
  const std::string self_;
  AgentRecord own_;
  std::map<std::string, AgentRecord> peers_;
  std::map<std::string, StatusReport> last_;  // the own instances, as last looked at
  const std::size_t max_answer_bytes_;
  std::size_t removed_ = 0, next_first_ = 0;
  bool can_publish_ = false;      // its incarnation is on disk,
  bool instances_known_ = false;  // the own instances are known,
  bool published_ = false;        // and stated under this incarnation
};

}  // namespace pearchute::fleet
