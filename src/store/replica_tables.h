// The tables of what this agent replicates with its peers: `configuration` and `superseded_configuration`,
// the versions of the fleet's configuration, and `speaker`, the incarnation of its status reports.
//
// All functions throw SQLite::Exception; the writers are to be called within a transaction.
#pragma once

#include <cstdint>
#include <string>

#include "fleet/config_version.h"

namespace SQLite {
class Database;
}

namespace pearchute::store {

// Replaces all that both tables hold.
void put_config(SQLite::Database& database, const fleet::ConfigReplica::State& state);
// Throws SystemError, which names `path`, where the document does not match its digest.
fleet::ConfigReplica::State read_config(SQLite::Database& database, const std::string& path);

void put_incarnation(SQLite::Database& database, std::uint64_t incarnation);
// 0: none was written.
std::uint64_t read_incarnation(SQLite::Database& database);

}  // namespace pearchute::store
