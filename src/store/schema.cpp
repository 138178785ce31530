#include "store/schema.h"

#include <SQLiteCpp/SQLiteCpp.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <string>

namespace pearchute::store {

namespace {

// The statements at index i migrate a file from version i to version i + 1.
constexpr std::array<const char*, schema_version> migrations = {
    "CREATE TABLE instance (name TEXT PRIMARY KEY, wanted INTEGER NOT NULL, version INTEGER NOT NULL,"
    " last_fence INTEGER NOT NULL, claim_operation TEXT, claim_who TEXT, claim_fence INTEGER,"
    " lease_us INTEGER NOT NULL, step TEXT, past TEXT);"
    "CREATE TABLE process (instance TEXT PRIMARY KEY, pid INTEGER NOT NULL, started INTEGER NOT NULL,"
    " boot TEXT NOT NULL);",

    "CREATE TABLE rollout (id TEXT PRIMARY KEY, plan TEXT NOT NULL, state INTEGER NOT NULL,"
    " stages TEXT NOT NULL, word TEXT NOT NULL, begun_unix_ms INTEGER NOT NULL);",

    "ALTER TABLE process ADD COLUMN version INTEGER NOT NULL DEFAULT 0;",

    "CREATE TABLE speaker (one INTEGER PRIMARY KEY, incarnation INTEGER NOT NULL);",

    "CREATE TABLE configuration (one INTEGER PRIMARY KEY, epoch INTEGER NOT NULL, number INTEGER NOT NULL,"
    " digest TEXT NOT NULL, author TEXT NOT NULL, ancestors TEXT NOT NULL, content BLOB NOT NULL);"
    "CREATE TABLE superseded_configuration (epoch INTEGER NOT NULL, number INTEGER NOT NULL,"
    " digest TEXT NOT NULL, by_epoch INTEGER NOT NULL, by_number INTEGER NOT NULL,"
    " by_digest TEXT NOT NULL, author TEXT NOT NULL, ancestors TEXT NOT NULL,"
    " PRIMARY KEY (epoch, number, digest));",
};

}  // namespace

void migrate(SQLite::Database& database, int from) {
  for (int version = std::max(from, 0); version < schema_version; ++version)
    database.exec(migrations[static_cast<std::size_t>(version)]);
  database.exec("PRAGMA user_version = " + std::to_string(schema_version));
}

}  // namespace pearchute::store
