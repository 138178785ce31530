// The tables of the data that an agent replicates with its peers: `configuration` and
// `superseded_configuration` have the versions of the fleet's configuration, `speaker` the incarnation of the
// agent's status reports.
//
// All functions throw SQLite::Exception. REQUIRES of all that write: within a transaction.
#pragma once

#include <cstdint>
#include <string>

#include "fleet/config_version.h"

namespace SQLite {
class Database;
}

namespace pearchute::store {

// Replaces the contents of both tables of configuration versions.
void put_config(SQLite::Database& database, const fleet::ConfigReplica::State& state);
// Throws SystemError, which names `path`, if the document does not match its digest.
fleet::ConfigReplica::State read_config(SQLite::Database& database, const std::string& path);

void put_incarnation(SQLite::Database& database, std::uint64_t incarnation);
// Returns 0 if no incarnation was written.
std::uint64_t read_incarnation(SQLite::Database& database);

}  // namespace pearchute::store
