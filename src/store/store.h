// An agent's durable state in SQLite: of each instance what its keeper keeps and which process was started
// for it, and the rollouts that it coordinates. Every write is one transaction, on disk when it returns. It
// checks what it finds at the start, and says what is wrong instead of guessing; it decides nothing.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/config_version.h"
#include "fleet/lease_owner.h"
#include "fleet/rollout.h"

namespace SQLite {
class Database;
}

namespace pearchute::store {

// A process of this machine, so that never another one that has its number now is taken for it.
struct Process {
  std::int64_t pid = 0;
  std::uint64_t started = 0;  // clock ticks since the machine's boot
  std::string boot;           // the machine's boot id
  int version = 0;            // of the command by which it was started
  bool operator==(const Process&) const = default;
};

struct KeptRollout {
  fleet::RolloutPlan plan;
  fleet::Rollout::State state = fleet::Rollout::State::planned;
  std::map<std::string, fleet::Rollout::Stage> stages;
  std::string word;
  std::int64_t begun_unix_ms = 0;
};

class Store {
 public:
  enum class Opened {
    not_now,  // the device is full or fails, or the file is held: it may be opened a moment later
    usable,
    damaged,
    too_new,
    unusable
  };
  // `passes` hears the name of each point at which a kill is to be thought of; for tests.
  explicit Store(std::string path, std::function<void(const char*)> passes = {});
  ~Store();
  // Creates the file, or brings an older one to this version. `fault` says what is wrong where it is not
  // usable; the file is left as it is.
  Opened open(std::string& fault);
  static constexpr int version = 5;
  static const std::vector<const char*>& points();

  // False where it can't be written (see fault()): nothing of it is, then.
  bool write(const std::map<std::string, fleet::LeaseOwner::PersistedInstance>& kept);
  bool write_process(const std::string& instance, const std::optional<Process>& process);
  bool forget(const std::string& instance);
  bool write_rollout(const KeptRollout& rollout);
  bool write_incarnation(std::uint64_t incarnation);  // under which this agent speaks
  // The current version of the configuration and the records of superseded ones, in one transaction.
  bool write_config(const fleet::ConfigReplica::State& state);
  const std::string& fault() const { return fault_; }

  std::map<std::string, fleet::LeaseOwner::PersistedInstance> instances() const;
  std::map<std::string, Process> processes() const;
  std::uint64_t incarnation() const;                          // the last that was written; 0: none
  std::vector<KeptRollout> rollouts(std::size_t most) const;  // the newest first
  // Throws std::runtime_error where a document is not what its digest says.
  fleet::ConfigReplica::State config() const;

 private:
  enum class Written { whole, not_now, failed };
  bool transact(const std::function<void()>& what);
  Written try_to_write(const std::function<void()>& what);
  void migrate(int from);

  const std::string path_;
  const std::function<void(const char*)> passes_;
  std::unique_ptr<SQLite::Database> database_;
  std::string fault_;
};

}  // namespace pearchute::store
