#include "store/rollout_table.h"

#include <SQLiteCpp/SQLiteCpp.h>

#include "store/json_codec.h"

namespace pearchute::store {

using nlohmann::json;

namespace {

// Number of rollouts kept for operators to look back on.
constexpr int max_stored_rollouts = 200;

void erase_oldest(SQLite::Database& database) {
  SQLite::Statement erase(database,
                          "DELETE FROM rollout WHERE id NOT IN (SELECT id FROM rollout ORDER BY begun_unix_ms"
                          " DESC LIMIT ?)");
  erase.bind(1, max_stored_rollouts);
  erase.exec();
}

}  // namespace

void put_rollout(SQLite::Database& database, const RolloutRecord& rollout) {
  SQLite::Statement put(database, "INSERT OR REPLACE INTO rollout VALUES (?,?,?,?,?,?)");
  put.bind(1, rollout.plan.id);
  put.bind(2, encode_plan(rollout.plan).dump());
  put.bind(3, static_cast<int>(rollout.state));
  put.bind(4, encode_stages(rollout.stages).dump());
  put.bind(5, rollout.state_reason);
  put.bind(6, rollout.started_unix_ms);
  put.exec();
  erase_oldest(database);
}

std::vector<RolloutRecord> read_rollouts(SQLite::Database& database, std::size_t limit) {
  std::vector<RolloutRecord> rollouts;
  SQLite::Statement row(database, "SELECT * FROM rollout ORDER BY begun_unix_ms DESC LIMIT ?");
  row.bind(1, static_cast<std::int64_t>(limit));
  while (row.executeStep()) {
    RolloutRecord& rollout = rollouts.emplace_back();
    rollout.plan = decode_plan(row.getColumn(0).getString(), json::parse(row.getColumn(1).getString()));
    rollout.state = static_cast<fleet::Rollout::State>(row.getColumn(2).getInt());
    rollout.stages = decode_stages(json::parse(row.getColumn(3).getString()));
    rollout.state_reason = row.getColumn(4).getString();
    rollout.started_unix_ms = row.getColumn(5).getInt64();
  }
  return rollouts;
}

}  // namespace pearchute::store
