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
  Condition condition = Condition::unseen;
  std::uint64_t life = 0;  // which of its processes this is; another one is another life
  Span lived{};        // how long it has been in this condition, when this was said: at least so long since
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
  std::optional<StatusReport> word;  // none: the agent owns it no more
  bool operator==(const Entry&) const = default;
};

// Of one agent, as any agent tells it to another that asked.
struct ReportDelta {
  std::string agent;
  ReportVersion upto;      // the teller knows all up to here
  Span age{};              // so long ago at most, by the teller's clock, this was all that the agent had said
  bool age_known = false;  // else the teller can't say
  std::uint64_t since = 0;    // the entries are all those above this number,
  std::uint64_t through = 0;  // up to this one; less than `upto` where an answer could hold no more
  std::vector<Entry> entries;
};

enum class Freshness { unknown, old, fresh };
std::string_view word_for(Freshness freshness);

class GossipState {
 public:
  class Host {
   public:
    virtual ~Host() = default;
    // On disk when it returns true; false, and nothing is said until it can be.
    virtual bool keep_incarnation(std::uint64_t incarnation) = 0;
    // For the log: who is heard again, falls behind, speaks under this agent's name.
    virtual void told(const std::string& agent, std::string_view what) = 0;
  };
  // Two rounds of asking by way of a third agent and the slowest answer that is waited for: less would call
  // a sound agent old at one lost answer.
  static constexpr Span fresh_for = std::chrono::seconds(3);
  // Beyond it nothing is left that a decision should lean on; five times, as of leases that were not renewed.
  static constexpr Span old_for = std::chrono::seconds(15);
  // A message of a call holds a mebibyte; a fleet's first answer comes in parts.
  static constexpr std::size_t answer_bytes = 256 * 1024;
  // Instances that an agent has let go are named until so many have; then it starts another incarnation.
  static constexpr std::size_t most_gone = 256;
  static constexpr std::size_t most_instances = 1024,
                               longest_name = 128;  // of an agent, as its charter holds

  // `incarnation` is the last that this agent kept on disk; 0: none. The seed has to be another at each
  // start: the upper half of an incarnation counts, the lower is drawn, so that one after a lost disk, which
  // counts from the beginning again, is never taken for the one before.
  GossipState(Host& host, std::string self, std::uint64_t incarnation, std::uint64_t seed,
              std::size_t most_in_answer = answer_bytes);
  GossipState(const GossipState&) = delete;
  GossipState& operator=(const GossipState&) = delete;

  // The agents by the charter: whoever is not named is not listened to, and what it said goes.
  void charter(const std::set<std::string>& agents);
  // The own instances as they are now. Only what has changed enough to matter is said anew.
  void say(const std::vector<StatusReport>& words);

  std::map<std::string, ReportVersion> marks() const;  // of all others, for a question
  // To whoever asks with its marks, itself included as far as it is known.
  std::vector<ReportDelta> answer(Span now, const std::map<std::string, ReportVersion>& marks);
  // What `asked` at that time has brought. False where it was of no use at all.
  bool heard(Span now, Span asked, const std::vector<ReportDelta>& all);
  void woken(Span now);  // tells whose word has grown old since

  struct Known {
    ReportVersion mark;
    std::uint64_t stated = 0;  // as many as stand, at present
    std::optional<Span> age;   // none: never, or it can't be said
    Freshness freshness = Freshness::unknown;
    bool disputed = false;  // two have spoken under its name
  };
  Known known(Span now, const std::string& agent) const;
  // By instance; empty of one that nobody knows.
  std::map<std::string, StatusReport> words(const std::string& agent) const;
  std::set<std::string> agents() const;  // the others of the charter
  const std::string& self() const { return self_; }
  bool speaks() const { return speaks_; }
  std::size_t bytes() const;  // of all that is kept, about

 private:
  // Parts of an answer that was too large for one, until the last of them is here: a part by itself is no
  // state that its agent ever was in, and is neither shown nor passed on.
  struct Parts {
    std::uint64_t incarnation = 0, resume = 0,
                  target = 0;  // has what lies up to `resume` of what was then `target`
    std::vector<Entry> entries;
  };
  struct Board {
    ReportVersion mark;  // all that its agent had stated at this number stands here, and nothing else
    std::map<std::string, Entry> by_instance;
    std::map<std::uint64_t, std::string> by_number;
    std::optional<Parts> parts;
    std::optional<Span> as_of;  // by this clock: all that it had said then is known
    Freshness told = Freshness::unknown;
    bool disputed = false;
  };
  static void put(Board& board, const Entry& entry);
  static bool fits(const Entry& entry);
  static bool merge(Board& board, const ReportDelta& news);
  static std::size_t bytes_of(const Entry& entry);
  void begin_incarnation(std::uint64_t above);
  void state();
  void overruled(const ReportDelta& news);
  void tell(Span now, const std::string& agent, Board& board);
  Freshness freshness_of(Span now, const Board& board) const;

  Host& host_;
  std::knuth_b chance_;
  const std::string self_;
  Board own_;
  std::map<std::string, Board> others_;
  std::map<std::string, StatusReport> last_;  // the own instances, as last looked at
  const std::size_t most_in_answer_;
  std::size_t gone_ = 0, turn_ = 0;
  bool speaks_ = false;  // its incarnation is on disk,
  bool looked_ = false;  // the own instances are known,
  bool said_ = false;    // and stated under this incarnation
};

}  // namespace pearchute::fleet
