// An agent's durable state in one SQLite file: for each instance the persisted state of its lifecycle and
// lease and the process that was started for it, the rollouts that the agent coordinates, the agent's gossip
// incarnation, and the versions of the fleet's configuration.
//
// Each write is one transaction that is on disk when the call returns; a write that fails changes nothing.
// open() checks the whole file and reports faults instead of repairing them or guessing. The tables and their
// columns are a persisted format: see schema.h.
//
// Not thread-safe: all calls come from the agent's event loop, and they block it while they access the disk.
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

// The result of open().
enum class OpenStatus {
  temporarily_unavailable,  // the device is full or fails, or the file is locked: open() may succeed later
  usable,
  damaged,  // an integrity check failed, or a record can't be parsed
  too_new,  // written by a newer program
  unusable  // the folder does not exist, the right to write is missing, or another error
};

// The stages of a write transaction, in order. Tests kill the process at each of them.
enum class TransactionStage { begun, executed, committed };
inline constexpr std::array all_transaction_stages = {TransactionStage::begun, TransactionStage::executed,
                                                      TransactionStage::committed};

// The store of one agent. Destroying it closes the file; no write is ever pending.
class Store {
 public:
  using StageObserver = std::function<void(TransactionStage)>;

  // Does not open the file yet. `observe_stage` is called whenever a transaction reaches a stage; for tests.
  explicit Store(std::string path, StageObserver observe_stage = {});
  ~Store();

  // Creates the file, or migrates an older one to the current schema. `error` is empty if and only if the
  // status is `usable`; otherwise the file is left as it is, and open() may be called again.
  OpenStatus open(std::string& error);

  // The functions that write return false if nothing could be written; last_error() has the reason.

  // Replaces the records of the given instances; all others stay.
  bool write_instances(const std::map<std::string, fleet::LeaseOwner::PersistedInstance>& instances);
  // Replaces the process record of an instance; without `process` the record is removed.
  bool write_process(const std::string& instance, const std::optional<ProcessRecord>& process);
  // Removes the records of the instance and its process.
  bool erase_instance(const std::string& instance);
  // Replaces the rollout with this id, and deletes the oldest ones beyond a fixed number.
  bool write_rollout(const RolloutRecord& rollout);
  bool write_incarnation(std::uint64_t incarnation);
  // Replaces the current version and the records of superseded ones.
  bool write_config(const fleet::ConfigReplica::State& state);

  // The reason why the last write failed; empty after a write that succeeded.
  const std::string& last_error() const { return last_error_; }

  // The functions that read. REQUIRES: open() has returned `usable`. They throw SQLite::Exception if the file
  // can't be read, and nlohmann::json::exception if a record can't be parsed.

  // By instance.
  std::map<std::string, fleet::LeaseOwner::PersistedInstance> instances() const;
  // By instance.
  std::map<std::string, ProcessRecord> processes() const;
  // Returns the incarnation that was written last; 0: none.
  std::uint64_t incarnation() const;
  // Returns at most `limit` rollouts, the newest first.
  std::vector<RolloutRecord> rollouts(std::size_t limit) const;
  // Throws SystemError if a document does not match its digest.
  fleet::ConfigReplica::State config() const;

 private:
  // `retryable`: nothing was changed, and the cause of the failure may end at once.
  enum class WriteResult { written, retryable, failed };

  bool in_transaction(const std::function<void()>& statements);
  WriteResult try_transaction(const std::function<void()>& statements);
  void notify_stage(TransactionStage stage) const;
  OpenStatus open_database(std::string& error);
  OpenStatus check_and_migrate(std::string& error);
  void check_records() const;

  const std::string path_;
  const StageObserver observe_stage_;
  std::unique_ptr<SQLite::Database> database_;  // none until open() has succeeded
  std::string last_error_;
};

}  // namespace pearchute::store
