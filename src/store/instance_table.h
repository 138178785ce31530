// The tables `instance` and `process`: the state that an agent persists of each instance that it owns, and
// the process that it started for the instance.
//
// All functions throw SQLite::Exception. REQUIRES of all that write: within a transaction.
#pragma once

#include <map>
#include <string>

#include "fleet/lease_owner.h"
#include "store/records.h"

namespace SQLite {
class Database;
}

namespace pearchute::store {

void put_instance(SQLite::Database& database, const std::string& name,
                  const fleet::LeaseOwner::PersistedInstance& instance);
std::map<std::string, fleet::LeaseOwner::PersistedInstance> read_instances(SQLite::Database& database);
// Removes the instance's rows of both tables.
void erase_instance(SQLite::Database& database, const std::string& name);

void put_process(SQLite::Database& database, const std::string& instance, const ProcessRecord& process);
std::map<std::string, ProcessRecord> read_processes(SQLite::Database& database);
void erase_process(SQLite::Database& database, const std::string& instance);

}  // namespace pearchute::store
