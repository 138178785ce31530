// Checks what became of each statement of a load, at a cost for a statement that doesn't grow with how many
// there are: tables by id, closed as statements end and never walked as a whole. The rules and the slack are
// those of HistoryChecker. Time is passed in.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace pearchute::lab {

using StatementId = std::uint64_t;
using CheckTime = std::chrono::microseconds;

// An answer may take so long on its way back where the machine is busy.
inline constexpr std::chrono::milliseconds late_slack{50};
// A statement without an answer so long after its deadline is lost.
inline constexpr std::chrono::milliseconds lost_slack{500};
// For how long a closed statement is remembered, to tell a second answer to it.
inline constexpr std::chrono::seconds remembered_for{10};

enum class StatementAnswer { done, rejected_with_advice, rejected_without_advice, failed };

struct LoadCounts {
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;  // with a result; late ones are counted here and under late
  std::uint64_t rejected_with_advice = 0;
  std::uint64_t rejected_without_advice = 0;
  std::uint64_t failed = 0;
  std::uint64_t unreached = 0;     // no connection came about: the statement came to nobody
  std::uint64_t lost = 0;          // no answer, by the end of its connection or of its time and the slack
  std::uint64_t doubled = 0;       // a second answer, or one to no statement
  std::uint64_t late = 0;          // an answer after its deadline and the slack
  std::uint64_t misdelivered = 0;  // an answer that carries another statement's result
  LoadCounts& operator+=(const LoadCounts& other);
  bool keeps_rules() const { return lost + doubled + late + misdelivered == 0; }
  bool keeps_rules_but_for_lateness() const { return lost + doubled + misdelivered == 0; }
};

// The clients' side. One for each thread of the generator; not for use by several at once.
class LoadChecker {
 public:
  // Statements are counted by group, such as a step of the load and a class; numbers from 0.
  explicit LoadChecker(std::size_t groups);
  void sent(StatementId id, std::size_t group, CheckTime deadline);
  // True where this is the statement's first answer, and it is in time.
  bool answered(StatementId id, StatementAnswer answer, CheckTime now);
  void answered_nobody();  // an answer that no statement waits for
  void misdelivered(StatementId id);
  void connection_ended(StatementId id, CheckTime now);  // without an answer
  void unreached(StatementId id, CheckTime now);
  // Takes for lost what has had no answer for too long. To be called now and then, and at the end.
  void expire(CheckTime now);

  std::size_t open() const { return open_; }
  const LoadCounts& counts(std::size_t group) const { return counts_[group]; }
  // The last group counts what belongs to no statement.
  std::size_t groups() const { return counts_.size(); }
  std::uint64_t operations() const { return operations_; }  // on tables, to show that the cost is flat

 private:
  struct Statement {
    std::size_t group = 0;
    CheckTime deadline{};
    bool closed = false;
  };
  using Table = std::unordered_map<StatementId, Statement>;
  std::size_t slot_of(CheckTime time) const;
  void close(Table::iterator at, CheckTime now);
  void forget_old(CheckTime now);
  void check_slot(std::vector<StatementId>& slot, CheckTime now);

  Table statements_;
  std::vector<std::vector<StatementId>> deadline_wheel_;
  CheckTime wheel_at_{};  // slots before it have been looked at
  bool wheel_started_ = false;
  std::deque<std::pair<CheckTime, StatementId>> closed_;  // the oldest first
  std::vector<LoadCounts> counts_;
  std::size_t open_ = 0;
  std::uint64_t operations_ = 0;
};

struct ExecutionCounts {
  std::uint64_t begun = 0;
  std::uint64_t twice_run = 0;  // of those that must run once: begun again though the first had run
  std::uint64_t overlaps = 0;   // begun while it was out elsewhere
  bool keeps_rules() const { return twice_run + overlaps == 0; }
};

// The engines' side, for all threads at once: the table is in parts, each with a lock of its own.
class ExecutionChecker {
 public:
  ExecutionChecker() : shards_(shard_count) {}
  void begun(StatementId id, std::uint32_t engine, bool once, CheckTime now);
  // `turned_away`: the engine had not begun with it.
  void ended(StatementId id, std::uint32_t engine, bool turned_away, CheckTime now);
  ExecutionCounts counts() const;
  std::uint64_t operations() const;

 private:
  static constexpr std::size_t shard_count = 64;
  struct Statement {
    std::vector<std::uint32_t> out_at;
    std::uint32_t runs_over = 0;  // those turned away aside
    CheckTime last{};
  };
  struct Shard {
    mutable std::mutex mutex;
    std::unordered_map<StatementId, Statement> statements;
    std::deque<std::pair<CheckTime, StatementId>> over;  // the oldest first
    ExecutionCounts counts;
    std::uint64_t operations = 0;
  };
  Shard& shard_of(StatementId id) { return shards_[id % shard_count]; }
  static void forget_old(Shard& shard, CheckTime now);

  std::vector<Shard> shards_;
};

}  // namespace pearchute::lab
