#include "store/store.h"

#include <SQLiteCpp/SQLiteCpp.h>
#include <sqlite3.h>
#include <unistd.h>

#include <filesystem>

#include "store/instance_table.h"
#include "store/replica_tables.h"
#include "store/rollout_table.h"
#include "store/schema.h"

namespace pearchute::store {

namespace {

// How long SQLite waits for a lock on the file that another process holds.
constexpr int lock_timeout_ms = 200;

// Returns whether the access rights allow writing to the file. Checks only the rights, because opening the
// file would need a descriptor, and a shortage of descriptors may be the reason for this check.
bool may_be_written(const std::string& path) {
  const std::filesystem::path folder = std::filesystem::path(path).parent_path();
  if (::access(folder.empty() ? "." : folder.c_str(), W_OK | X_OK) != 0) return false;
  return ::access(path.c_str(), F_OK) != 0 || ::access(path.c_str(), R_OK | W_OK) == 0;
}

OpenStatus open_status_of(int sqlite_code, const std::string& path) {
  switch (sqlite_code) {
    case SQLITE_CORRUPT:
    case SQLITE_NOTADB:
      return OpenStatus::damaged;
    case SQLITE_BUSY:
    case SQLITE_NOMEM:
    case SQLITE_IOERR:
    case SQLITE_FULL:
      return OpenStatus::temporarily_unavailable;
    // A shortage of descriptors causes these codes, too: SQLite opens a file for reading if it can't open it
    // for writing.
    case SQLITE_READONLY:
    case SQLITE_CANTOPEN:
      return may_be_written(path) ? OpenStatus::temporarily_unavailable : OpenStatus::unusable;
    default:
      return OpenStatus::unusable;
  }
}

// Throws SQLite::Exception if the file can't be written. A read-only store is of no use, since an intent that
// can't be persisted must not be acted on.
void check_writable(SQLite::Database& database) {
  SQLite::Transaction transaction(database);
  database.exec("CREATE TABLE IF NOT EXISTS probe (x); DROP TABLE probe;");
  transaction.commit();
}

}  // namespace

Store::Store(std::string path, StageObserver observe_stage)
    : path_(std::move(path)), observe_stage_(std::move(observe_stage)) {}

Store::~Store() = default;

OpenStatus Store::open(std::string& error) {
  error.clear();
  const OpenStatus status = open_database(error);
  if (status != OpenStatus::usable) database_.reset();
  return status;
}

OpenStatus Store::open_database(std::string& error) {
  try {
    database_ = std::make_unique<SQLite::Database>(path_, SQLite::OPEN_READWRITE | SQLite::OPEN_CREATE,
                                                   lock_timeout_ms);
    // With these settings a committed transaction survives a crash of the process or the system, and a power
    // failure.
    database_->exec("PRAGMA journal_mode=DELETE; PRAGMA synchronous=FULL;");
    return check_and_migrate(error);
  } catch (const SQLite::Exception& failure) {
    const OpenStatus status = open_status_of(failure.getErrorCode(), path_);
    const bool damaged = status == OpenStatus::damaged;
    error = path_ + (damaged ? " is damaged: " : " can't be used: ") + failure.what();
    return status;
  } catch (const std::exception& failure) {
    error = path_ + " holds what can't be read: " + failure.what();
    return OpenStatus::damaged;
  }
}

OpenStatus Store::check_and_migrate(std::string& error) {
  const std::string integrity = database_->execAndGet("PRAGMA integrity_check(1)").getString();
  if (integrity != "ok") {
    error = path_ + " is damaged: " + integrity;
    return OpenStatus::damaged;
  }
  const int found_version = database_->execAndGet("PRAGMA user_version").getInt();
  if (found_version > schema_version) {
    error = path_ + " is of version " + std::to_string(found_version) + ", newer than this program's " +
            std::to_string(schema_version);
    return OpenStatus::too_new;
  }
  SQLite::Transaction transaction(*database_);
  migrate(*database_, found_version);
  transaction.commit();
  check_writable(*database_);
  check_records();
  return OpenStatus::usable;
}

// Reads all records once (of the rollouts only the newest one), so that a record that can't be parsed is
// found when the store is opened and not later.
void Store::check_records() const {
  instances();
  processes();
  rollouts(1);
  incarnation();
  config();
}

// Runs the statements in one transaction. SQLite opens its journal again for each transaction. If that fails
// for lack of a descriptor, nothing has been changed yet and the shortage may end at once, so the transaction
// is tried again. A full or failing device recovers less quickly and is reported without another attempt.
bool Store::in_transaction(const std::function<void()>& statements) {
  if (!database_) {
    last_error_ = "the store is not open";
    return false;
  }
  constexpr int max_attempts = 8;
  WriteResult result = WriteResult::retryable;
  for (int attempt = 0; attempt < max_attempts && result == WriteResult::retryable; ++attempt)
    result = try_transaction(statements);
  return result == WriteResult::written;
}

Store::WriteResult Store::try_transaction(const std::function<void()>& statements) {
  try {
    SQLite::Transaction transaction(*database_);
    notify_stage(TransactionStage::begun);
    statements();
    notify_stage(TransactionStage::executed);
    transaction.commit();
    notify_stage(TransactionStage::committed);
    last_error_.clear();
    return WriteResult::written;
  } catch (const SQLite::Exception& failure) {
    last_error_ = path_ + ": " + failure.what();
    return failure.getErrorCode() == SQLITE_CANTOPEN ? WriteResult::retryable : WriteResult::failed;
  }
}

void Store::notify_stage(TransactionStage stage) const {
  if (observe_stage_) observe_stage_(stage);
}

bool Store::write_instances(const std::map<std::string, fleet::LeaseOwner::PersistedInstance>& instances) {
  return in_transaction([&] {
    for (const auto& [name, instance] : instances) put_instance(*database_, name, instance);
  });
}

bool Store::write_process(const std::string& instance, const std::optional<ProcessRecord>& process) {
  return in_transaction([&] {
    if (process) put_process(*database_, instance, *process);
    else erase_process(*database_, instance);
  });
}

bool Store::erase_instance(const std::string& instance) {
  return in_transaction([&] { store::erase_instance(*database_, instance); });
}

bool Store::write_rollout(const RolloutRecord& rollout) {
  return in_transaction([&] { put_rollout(*database_, rollout); });
}

bool Store::write_incarnation(std::uint64_t incarnation) {
  return in_transaction([&] { put_incarnation(*database_, incarnation); });
}

bool Store::write_config(const fleet::ConfigReplica::State& state) {
  return in_transaction([&] { put_config(*database_, state); });
}

std::map<std::string, fleet::LeaseOwner::PersistedInstance> Store::instances() const {
  return read_instances(*database_);
}

std::map<std::string, ProcessRecord> Store::processes() const { return read_processes(*database_); }

std::uint64_t Store::incarnation() const { return read_incarnation(*database_); }

std::vector<RolloutRecord> Store::rollouts(std::size_t limit) const {
  return read_rollouts(*database_, limit);
}

fleet::ConfigReplica::State Store::config() const { return read_config(*database_, path_); }

}  // namespace pearchute::store
