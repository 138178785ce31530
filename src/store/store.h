// An agent's durable state, one SQLite file: per instance the persisted state of its lease owner and the
// process that was started for it, the rollouts that the agent coordinates, its gossip incarnation, and the
// versions of the fleet's configuration.
//
// Each write is one transaction, which is on disk when the call returns; a write that fails changes nothing.
// open() checks the whole file and reports what is wrong instead of repairing or guessing. The tables and
// their columns are a persisted format: see schema.h.
//
// Not thread-safe: all calls come from the agent's event loop, and they block it for the time of the disk.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/config_version.h"
#include "fleet/lease_owner.h"
#include "store/records.h"

namespace SQLite {
class Database;
}

namespace pearchute::store {

// What open() found.
enum class OpenStatus {
  temporarily_unavailable,  // the device is full or fails, or the file is locked: worth another attempt
  usable,
  damaged,  // an integrity check failed, or a record can't be parsed
  too_new,  // written by a newer program
  unusable  // there is no such folder, or no right to write there
};

// The stages of a write transaction, in their order. Tests end the process at each of them.
enum class TransactionStage { begun, executed, committed };
inline constexpr std::array all_transaction_stages = {TransactionStage::begun, TransactionStage::executed,
                                                      TransactionStage::committed};

// The open file. Destroying it closes the file; nothing is pending then.
class Store {
 public:
  using StageObserver = std::function<void(TransactionStage)>;

  // Opens nothing yet. `observe_stage` is called as each transaction reaches a stage; for tests.
  explicit Store(std::string path, StageObserver observe_stage = {});
  ~Store();

  // Creates the file, or migrates an older one to the current schema. `error` is empty exactly where the
  // status is `usable`; otherwise the file is left as it is, and open() may be called again.
  OpenStatus open(std::string& error);

  // Writes: false where nothing could be written; last_error() says why.

  // Replaces the records of the named instances; the others stay.
  bool write_instances(const std::map<std::string, fleet::LeaseOwner::PersistedInstance>& instances);
  // Without a process the instance's record is removed.
  bool write_process(const std::string& instance, const std::optional<ProcessRecord>& process);
  // Removes the instance and its process.
  bool erase_instance(const std::string& instance);
  // Replaces the rollout of that id, and drops the oldest ones beyond a fixed number.
  bool write_rollout(const RolloutRecord& rollout);
  bool write_incarnation(std::uint64_t incarnation);
  // Replaces the current version and the records of superseded ones.
  bool write_config(const fleet::ConfigReplica::State& state);

  // Why the last write failed; empty after one that succeeded.
  const std::string& last_error() const { return last_error_; }

  // Reads. REQUIRES: open() has returned `usable`. They throw SQLite::Exception where the file can't be read,
  // and nlohmann::json::exception where a record can't be parsed.

  std::map<std::string, fleet::LeaseOwner::PersistedInstance> instances() const;
  std::map<std::string, ProcessRecord> processes() const;
  // The incarnation that was written last; 0: none.
  std::uint64_t incarnation() const;
  // `limit` of them at most, the newest first.
  std::vector<RolloutRecord> rollouts(std::size_t limit) const;
  // Throws SystemError where a document does not match its digest.
  fleet::ConfigReplica::State config() const;

 private:
  enum class WriteResult { written, retryable, failed };

  bool in_transaction(const std::function<void()>& statements);
  WriteResult try_transaction(const std::function<void()>& statements);
  void reach_stage(TransactionStage stage) const;
  OpenStatus open_database(std::string& error);
  OpenStatus check_and_migrate(std::string& error);
  void check_records() const;

  const std::string path_;
  const StageObserver observe_stage_;
  std::unique_ptr<SQLite::Database> database_;  // none until open() has succeeded
  std::string last_error_;
};

}  // namespace pearchute::store
