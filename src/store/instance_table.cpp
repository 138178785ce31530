#include "store/instance_table.h"

#include <SQLiteCpp/SQLiteCpp.h>

#include "store/json_codec.h"

namespace pearchute::store {

using fleet::Duration;
using fleet::Lease;
using fleet::LeaseOwner;
using nlohmann::json;

namespace {

void erase_row(SQLite::Database& database, const char* statement, const std::string& key) {
  SQLite::Statement erase(database, statement);
  erase.bind(1, key);
  erase.exec();
}

LeaseOwner::PersistedInstance instance_in(SQLite::Statement& row) {
  LeaseOwner::PersistedInstance instance;
  instance.wanted = row.getColumn(1).getInt() != 0;
  instance.version = row.getColumn(2).getInt();
  instance.last_fence = static_cast<std::uint64_t>(row.getColumn(3).getInt64());
  instance.lease_duration = Duration(row.getColumn(7).getInt64());
  if (!row.getColumn(4).isNull()) {
    Lease lease;
    lease.operation = row.getColumn(4).getString();
    lease.who = row.getColumn(5).getString();
    lease.fence = static_cast<std::uint64_t>(row.getColumn(6).getInt64());
    instance.lease = lease;
  }
  if (!row.getColumn(8).isNull()) instance.step = decode_step(json::parse(row.getColumn(8).getString()));
  if (!row.getColumn(9).isNull())
    instance.last_step = decode_step_outcome(json::parse(row.getColumn(9).getString()));
  return instance;
}

}  // namespace

void put_instance(SQLite::Database& database, const std::string& name,
                  const LeaseOwner::PersistedInstance& instance) {
  SQLite::Statement put(database, "INSERT OR REPLACE INTO instance VALUES (?,?,?,?,?,?,?,?,?,?)");
  put.bind(1, name);
  put.bind(2, instance.wanted);
  put.bind(3, instance.version);
  put.bind(4, static_cast<std::int64_t>(instance.last_fence));
  if (instance.lease) {
    put.bind(5, instance.lease->operation);
    put.bind(6, instance.lease->who);
    put.bind(7, static_cast<std::int64_t>(instance.lease->fence));
  }
  put.bind(8, static_cast<std::int64_t>(instance.lease_duration.count()));
  if (instance.step) put.bind(9, encode_step(*instance.step).dump());
  if (instance.last_step) put.bind(10, encode_step_outcome(*instance.last_step).dump());
  put.exec();
}

std::map<std::string, LeaseOwner::PersistedInstance> read_instances(SQLite::Database& database) {
  std::map<std::string, LeaseOwner::PersistedInstance> instances;
  SQLite::Statement row(database, "SELECT * FROM instance");
  while (row.executeStep()) instances[row.getColumn(0).getString()] = instance_in(row);
  return instances;
}

void erase_instance(SQLite::Database& database, const std::string& name) {
  erase_row(database, "DELETE FROM instance WHERE name = ?", name);
  erase_process(database, name);
}

void put_process(SQLite::Database& database, const std::string& instance, const ProcessRecord& process) {
  SQLite::Statement put(database, "INSERT OR REPLACE INTO process VALUES (?,?,?,?,?)");
  put.bind(1, instance);
  put.bind(2, process.pid);
  put.bind(3, static_cast<std::int64_t>(process.start_ticks));
  put.bind(4, process.boot_id);
  put.bind(5, process.command_version);
  put.exec();
}

std::map<std::string, ProcessRecord> read_processes(SQLite::Database& database) {
  std::map<std::string, ProcessRecord> processes;
  SQLite::Statement row(database, "SELECT * FROM process");
  while (row.executeStep()) {
    ProcessRecord& process = processes[row.getColumn(0).getString()];
    process.pid = row.getColumn(1).getInt64();
    process.start_ticks = static_cast<std::uint64_t>(row.getColumn(2).getInt64());
    process.boot_id = row.getColumn(3).getString();
    process.command_version = row.getColumn(4).getInt();
  }
  return processes;
}

void erase_process(SQLite::Database& database, const std::string& instance) {
  erase_row(database, "DELETE FROM process WHERE instance = ?", instance);
}

}  // namespace pearchute::store
