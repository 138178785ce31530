// The store's schema and its migrations. A persisted format: columns are never renamed, and files of every
// older version can be opened. Where a column or a table has an older term (claim, word, speaker) than the
// code, the table's own file maps it.
#pragma once

namespace SQLite {
class Database;
}

namespace pearchute::store {

// Kept in SQLite's user_version.
inline constexpr int schema_version = 5;

// Brings a database of version `from` (0: empty) to schema_version. REQUIRES: within a transaction. Throws
// SQLite::Exception.
void migrate(SQLite::Database& database, int from);

}  // namespace pearchute::store
