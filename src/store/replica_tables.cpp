#include "store/replica_tables.h"

#include <SQLiteCpp/SQLiteCpp.h>

#include <iterator>
#include <sstream>
#include <vector>

#include "errors/error.h"

namespace pearchute::store {

namespace {

std::string join_digests(const std::vector<std::string>& digests) {
  std::string text;
  for (const std::string& digest : digests) text += (text.empty() ? "" : " ") + digest;
  return text;
}

std::vector<std::string> split_digests(const std::string& text) {
  std::istringstream digests(text);
  return {std::istream_iterator<std::string>(digests), {}};
}

// A mark takes three columns, beginning with `first`. SQLite numbers parameters from 1, columns of a row
// from 0.
void bind_mark(SQLite::Statement& statement, int first, const fleet::ConfigMark& mark) {
  statement.bind(first, static_cast<std::int64_t>(mark.epoch));
  statement.bind(first + 1, static_cast<std::int64_t>(mark.number));
  statement.bind(first + 2, mark.digest);
}

fleet::ConfigMark mark_at(SQLite::Statement& row, int first) {
  fleet::ConfigMark mark;
  mark.epoch = static_cast<std::uint64_t>(row.getColumn(first).getInt64());
  mark.number = static_cast<std::uint64_t>(row.getColumn(first + 1).getInt64());
  mark.digest = row.getColumn(first + 2).getString();
  return mark;
}

void put_superseded(SQLite::Database& database, const fleet::SupersededConfig& record) {
  SQLite::Statement put(database, "INSERT INTO superseded_configuration VALUES (?,?,?,?,?,?,?,?)");
  bind_mark(put, 1, record.mark);
  bind_mark(put, 4, record.by);
  put.bind(7, record.author);
  put.bind(8, join_digests(record.ancestors));
  put.exec();
}

void put_current(SQLite::Database& database, const fleet::ConfigDocument& current) {
  SQLite::Statement put(database, "INSERT INTO configuration VALUES (1,?,?,?,?,?,?)");
  bind_mark(put, 1, current.mark);
  put.bind(4, current.author);
  put.bind(5, join_digests(current.ancestors));
  put.bind(6, current.content.data(), static_cast<int>(current.content.size()));
  put.exec();
}

std::vector<fleet::SupersededConfig> read_superseded(SQLite::Database& database) {
  std::vector<fleet::SupersededConfig> records;
  SQLite::Statement row(database, "SELECT * FROM superseded_configuration ORDER BY epoch, number, digest");
  while (row.executeStep()) {
    fleet::SupersededConfig& record = records.emplace_back();
    record.mark = mark_at(row, 0);
    record.by = mark_at(row, 3);
    record.author = row.getColumn(6).getString();
    record.ancestors = split_digests(row.getColumn(7).getString());
  }
  return records;
}

std::optional<fleet::ConfigDocument> read_current(SQLite::Database& database) {
  SQLite::Statement row(database, "SELECT * FROM configuration WHERE one = 1");
  if (!row.executeStep()) return std::nullopt;
  fleet::ConfigDocument current;
  current.mark = mark_at(row, 1);
  current.author = row.getColumn(4).getString();
  current.ancestors = split_digests(row.getColumn(5).getString());
  const SQLite::Column content = row.getColumn(6);
  current.content.assign(static_cast<const char*>(content.getBlob()),
                         static_cast<std::size_t>(content.getBytes()));
  return current;
}

}  // namespace

void put_config(SQLite::Database& database, const fleet::ConfigReplica::State& state) {
  database.exec("DELETE FROM configuration; DELETE FROM superseded_configuration;");
  for (const fleet::SupersededConfig& record : state.superseded) put_superseded(database, record);
  if (state.current) put_current(database, *state.current);
}

fleet::ConfigReplica::State read_config(SQLite::Database& database, const std::string& path) {
  fleet::ConfigReplica::State state;
  state.superseded = read_superseded(database);
  state.current = read_current(database);
  if (state.current && !fleet::is_intact(*state.current))
    throw SystemError("the configuration version is not what its digest says", path);
  return state;
}

void put_incarnation(SQLite::Database& database, std::uint64_t incarnation) {
  SQLite::Statement put(database, "INSERT OR REPLACE INTO speaker VALUES (1, ?)");
  put.bind(1, static_cast<std::int64_t>(incarnation));
  put.exec();
}

std::uint64_t read_incarnation(SQLite::Database& database) {
  SQLite::Statement row(database, "SELECT incarnation FROM speaker WHERE one = 1");
  return row.executeStep() ? static_cast<std::uint64_t>(row.getColumn(0).getInt64()) : 0;
}

}  // namespace pearchute::store
