// Checks the outcome of each statement of a load. The cost of a statement doesn't grow with their number:
// statements are looked up by id, are removed some time after their end, and the tables are never traversed.
// The rules and tolerances are those of HistoryChecker. The caller passes the time.
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

// An answer may arrive this much after its deadline, since a busy machine delays its way back.
inline constexpr std::chrono::milliseconds late_slack{50};
// A statement is lost if it has no answer this long after its deadline.
inline constexpr std::chrono::milliseconds lost_slack{500};
// A closed statement is kept for this time, so that a second answer to it is recognized.
inline constexpr std::chrono::seconds closed_retention{10};

enum class StatementAnswer { done, rejected_with_advice, rejected_without_advice, failed };

struct LoadCounts {
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;  // with a result; late ones count here and in `late`
  std::uint64_t rejected_with_advice = 0;
  std::uint64_t rejected_without_advice = 0;
  std::uint64_t failed = 0;
  std::uint64_t unreached = 0;  // no connection could be opened, so the statement did not reach the manager
  std::uint64_t lost = 0;     // no answer until its connection ended, or until lost_slack after its deadline
  std::uint64_t doubled = 0;  // a second answer, or an answer to an unknown statement
  std::uint64_t late = 0;     // an answer more than late_slack after its deadline
  std::uint64_t misdelivered = 0;  // an answer with the result of another statement
  LoadCounts& operator+=(const LoadCounts& other);
  bool keeps_rules() const { return lost + doubled + late + misdelivered == 0; }
  bool keeps_rules_but_for_lateness() const { return lost + doubled + misdelivered == 0; }
};

// Checks the answers that clients get. Not thread-safe: each thread of the generator has its own.
class LoadChecker {
 public:
  // Statements are counted by group, numbered from 0, such as one for each step and class.
  explicit LoadChecker(std::size_t groups);
  void on_sent(StatementId id, std::size_t group, CheckTime deadline);
  // Returns true if this is the first answer to the statement, and in time.
  bool on_answered(StatementId id, StatementAnswer answer, CheckTime now);
  void on_unmatched_answer();  // an answer without an open statement
  void on_misdelivered(StatementId id);
  void on_connection_ended(StatementId id, CheckTime now);  // before an answer
  void on_unreached(StatementId id, CheckTime now);
  // Counts statements as lost whose deadline passed more than lost_slack ago. Must be called regularly during
  // a run, and at its end.
  void expire(CheckTime now);

  std::size_t open() const { return open_; }
  const LoadCounts& counts(std::size_t group) const { return counts_[group]; }
  // The last group counts the answers to unknown statements.
  std::size_t groups() const { return counts_.size(); }
  // The number of operations on the tables, which shows that the cost of a statement is constant.
  std::uint64_t operations() const { return operations_; }

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
  std::vector<std::vector<StatementId>> deadline_wheel_;  // slots by the time at which statements are lost
  CheckTime wheel_position_{};                            // slots before it are already checked
  bool wheel_started_ = false;
  std::deque<std::pair<CheckTime, StatementId>> closed_;  // oldest first
  std::vector<LoadCounts> counts_;
  std::size_t open_ = 0;
  std::uint64_t operations_ = 0;
};

struct ExecutionCounts {
  std::uint64_t begun = 0;
  std::uint64_t twice_run = 0;  // non-idempotent statements that began again after a run had ended
  std::uint64_t overlaps = 0;   // began while the same statement was running
  bool keeps_rules() const { return twice_run + overlaps == 0; }
};

// Checks the runs of statements on engines. Thread-safe: the table is sharded, and each shard has a mutex.
class ExecutionChecker {
 public:
  ExecutionChecker() : shards_(shard_count) {}
  // `once`: the statement is not idempotent.
  void on_begun(StatementId id, std::uint32_t engine, bool once, CheckTime now);
  // `rejected`: the engine never started to run the statement.
  void on_ended(StatementId id, std::uint32_t engine, bool rejected, CheckTime now);
  ExecutionCounts counts() const;
  std::uint64_t operations() const;

 private:
  static constexpr std::size_t shard_count = 64;
  struct Statement {
    std::vector<std::uint32_t> running_on;
    std::uint32_t completed_runs = 0;  // ended, except those that were rejected
    CheckTime last{};                  // begin or end of a run
  };
  struct Shard {
    mutable std::mutex mutex;
    std::unordered_map<StatementId, Statement> statements;
    std::deque<std::pair<CheckTime, StatementId>> over;  // oldest first
    ExecutionCounts counts;
    std::uint64_t operations = 0;
  };
  Shard& shard_of(StatementId id) { return shards_[id % shard_count]; }
  static void forget_old(Shard& shard, CheckTime now);

  std::vector<Shard> shards_;
};

}  // namespace pearchute::lab
