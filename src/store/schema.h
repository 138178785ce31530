// The store's schema and its migrations. This is a persisted format: columns are never renamed, and files of
// every older version can be opened. Some tables and columns have older terms (claim, word, speaker) than the
// code; the file of each table maps them.
#pragma once

namespace SQLite {
class Database;
}

namespace pearchute::store {

// The version of the schema, stored in SQLite's user_version.
inline constexpr int schema_version = 5;

// Migrates a database from version `from` (0: empty) to schema_version. REQUIRES: within a transaction.
// Throws SQLite::Exception.
void migrate(SQLite::Database& database, int from);

}  // namespace pearchute::store
