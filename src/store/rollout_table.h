// The table `rollout`: the rollouts that this agent coordinates or has coordinated.
//
// Both functions throw SQLite::Exception.
#pragma once

#include <cstddef>
#include <vector>

#include "store/records.h"

namespace SQLite {
class Database;
}

namespace pearchute::store {

// Replaces the rollout with this id, and deletes the oldest ones beyond a fixed number. REQUIRES: within a
// transaction.
void put_rollout(SQLite::Database& database, const RolloutRecord& rollout);

// Returns at most `limit` rollouts, the newest first. Throws nlohmann::json::exception if one can't be
// parsed.
std::vector<RolloutRecord> read_rollouts(SQLite::Database& database, std::size_t limit);

}  // namespace pearchute::store
