#include "store/store.h"

#include <SQLiteCpp/SQLiteCpp.h>
#include <unistd.h>

#include <filesystem>
#include <iterator>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "errors/error.h"

namespace pearchute::store {

using fleet::Duration;
using fleet::InstanceLifecycle;
using fleet::Lease;
using fleet::LeaseOwner;
using fleet::RolloutPlan;
using fleet::Step;
using nlohmann::json;

namespace {

json to_json(const Step& step) {
  return {{"operation", step.operation},
          {"fence", step.fence},
          {"kind", static_cast<int>(step.kind)},
          {"fallback", static_cast<int>(step.fallback)},
          {"version", step.version},
          {"drain_within_us", step.drain_within.count()},
          {"up_within_us", step.up_within.count()}};
}

Step step_in(const json& from) {
  Step step;
  step.operation = from.at("operation"), step.fence = from.at("fence");
  step.kind = static_cast<fleet::StepKind>(from.at("kind").get<int>());
  step.fallback = static_cast<fleet::Fallback>(from.at("fallback").get<int>());
  step.version = from.at("version");
  step.drain_within = Duration(from.at("drain_within_us").get<Duration::rep>());
  step.up_within = Duration(from.at("up_within_us").get<Duration::rep>());
  return step;
}

json to_json(const RolloutPlan& plan) {
  json targets = json::array();
  for (const fleet::Target& target : plan.targets)
    targets.push_back({target.instance, target.agent, target.zone});
  return {{"who", plan.who},
          {"kind", static_cast<int>(plan.kind)},
          {"fallback", static_cast<int>(plan.fallback)},
          {"version", plan.version},
          {"version_before", plan.version_before},
          {"targets", targets},
          {"at_once", plan.max_concurrent},
          {"batch", plan.batch},
          {"least_serving", plan.min_serving},
          {"warm_us", plan.warm.count()},
          {"gate_us", plan.gate.count()},
          {"margin", plan.margin},
          {"failures", plan.failures},
          {"reverts", plan.reverts},
          {"take_over", plan.take_over},
          {"lease_us", plan.lease_duration.count()},
          {"drain_within_us", plan.drain_within.count()},
          {"up_within_us", plan.up_within.count()}};
}

RolloutPlan plan_in(const std::string& id, const json& from) {
  RolloutPlan plan;
  plan.id = id, plan.who = from.at("who");
  plan.kind = static_cast<fleet::StepKind>(from.at("kind").get<int>());
  plan.fallback = static_cast<fleet::Fallback>(from.at("fallback").get<int>());
  plan.version = from.at("version"), plan.version_before = from.at("version_before");
  for (const json& target : from.at("targets"))
    plan.targets.push_back({target.at(0), target.at(1), target.at(2)});
  plan.max_concurrent = from.at("at_once"), plan.batch = from.at("batch");
  plan.min_serving = from.at("least_serving").get<std::map<std::string, int>>();
  plan.warm = Duration(from.at("warm_us").get<Duration::rep>()),
  plan.gate = Duration(from.at("gate_us").get<Duration::rep>());
  plan.margin = from.at("margin"), plan.failures = from.at("failures"),
  plan.reverts = from.value("reverts", false), plan.take_over = from.at("take_over");
  plan.lease_duration = Duration(from.at("lease_us").get<Duration::rep>());
  plan.drain_within = Duration(from.at("drain_within_us").get<Duration::rep>());
  plan.up_within = Duration(from.at("up_within_us").get<Duration::rep>());
  return plan;
}

std::string joined(const std::vector<std::string>& digests) {
  std::string text;
  for (const std::string& one : digests) text += (text.empty() ? "" : " ") + one;
  return text;
}

std::vector<std::string> split(const std::string& text) {
  std::istringstream words(text);
  return {std::istream_iterator<std::string>(words), {}};
}

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

// Asks without opening it, which takes a descriptor.
bool may_be_written(const std::string& path) {
  const std::filesystem::path folder = std::filesystem::path(path).parent_path();
  if (::access(folder.empty() ? "." : folder.c_str(), W_OK | X_OK) != 0) return false;
  return ::access(path.c_str(), F_OK) != 0 || ::access(path.c_str(), R_OK | W_OK) == 0;
}

// By SQLite's primary codes.
Store::Opened opened_after(int code, const std::string& path) {
  switch (code) {
    case 11:  // SQLITE_CORRUPT
    case 26:  // SQLITE_NOTADB
      return Store::Opened::damaged;
    case 5:   // SQLITE_BUSY
    case 7:   // SQLITE_NOMEM
    case 10:  // SQLITE_IOERR
    case 13:  // SQLITE_FULL
      return Store::Opened::not_now;
    // Also where only descriptors ran short: a file that can't be opened for writing is opened for reading.
    case 8:   // SQLITE_READONLY
    case 14:  // SQLITE_CANTOPEN
      return may_be_written(path) ? Store::Opened::not_now : Store::Opened::unusable;
    default:
      return Store::Opened::unusable;
  }
}

}  // namespace

Store::Store(std::string path, std::function<void(const char*)> passes)
    : path_(std::move(path)), passes_(std::move(passes)) {}

Store::~Store() = default;

const std::vector<const char*>& Store::points() {
  static const std::vector<const char*> all = {"begun", "put", "committed"};
  return all;
}

Store::Opened Store::open(std::string& fault) {
  fault.clear();
  try {
    database_ = std::make_unique<SQLite::Database>(path_, SQLite::OPEN_READWRITE | SQLite::OPEN_CREATE, 200);
    // A transaction is on the disk itself when it is over, whatever falls: the process, the system, the
    // power.
    database_->exec("PRAGMA journal_mode=DELETE; PRAGMA synchronous=FULL;");
    const std::string sound = database_->execAndGet("PRAGMA integrity_check(1)").getString();
    if (sound != "ok") {
      fault = path_ + " is damaged: " + sound;
      database_.reset();
      return Opened::damaged;
    }
    const int from = database_->execAndGet("PRAGMA user_version").getInt();
    if (from > version) {
      fault = path_ + " is of version " + std::to_string(from) + ", newer than this program's " +
              std::to_string(version);
      database_.reset();
      return Opened::too_new;
    }
    SQLite::Transaction transaction(*database_);
    migrate(from);
    database_->exec("PRAGMA user_version = " + std::to_string(version));
    transaction.commit();
    // What can be read only is of no use: an intent that can't be written must not be acted on.
    SQLite::Transaction probe(*database_);
    database_->exec("CREATE TABLE IF NOT EXISTS probe (x); DROP TABLE probe;");
    probe.commit();
    instances(), processes(), rollouts(1), incarnation(), config();
    return Opened::usable;
  } catch (const SQLite::Exception& error) {
    const Opened opened = opened_after(error.getErrorCode(), path_);
    const bool damaged = opened == Opened::damaged;
    fault = path_ + (damaged ? " is damaged: " : " can't be used: ") + error.what();
    database_.reset();
    return opened;
  } catch (const std::exception& error) {
    fault = path_ + " holds what can't be read: " + error.what();
    database_.reset();
    return Opened::damaged;
  }
}

// Each step brings a file to the next version.
void Store::migrate(int from) {
  if (from < 1) {
    database_->exec(
        "CREATE TABLE instance (name TEXT PRIMARY KEY, wanted INTEGER NOT NULL, version INTEGER NOT NULL,"
        " last_fence INTEGER NOT NULL, claim_operation TEXT, claim_who TEXT, claim_fence INTEGER,"
        " lease_us INTEGER NOT NULL, step TEXT, past TEXT);"
        "CREATE TABLE process (instance TEXT PRIMARY KEY, pid INTEGER NOT NULL, started INTEGER NOT NULL,"
        " boot TEXT NOT NULL);");
  }
  if (from < 2) {
    database_->exec(
        "CREATE TABLE rollout (id TEXT PRIMARY KEY, plan TEXT NOT NULL, state INTEGER NOT NULL,"
        " stages TEXT NOT NULL, word TEXT NOT NULL, begun_unix_ms INTEGER NOT NULL);");
  }
  if (from < 3) database_->exec("ALTER TABLE process ADD COLUMN version INTEGER NOT NULL DEFAULT 0;");
  if (from < 4)
    database_->exec("CREATE TABLE speaker (one INTEGER PRIMARY KEY, incarnation INTEGER NOT NULL);");
  if (from < 5) {
    database_->exec(
        "CREATE TABLE configuration (one INTEGER PRIMARY KEY, epoch INTEGER NOT NULL, number INTEGER NOT "
        "NULL,"
        " digest TEXT NOT NULL, author TEXT NOT NULL, ancestors TEXT NOT NULL, content BLOB NOT NULL);"
        "CREATE TABLE superseded_configuration (epoch INTEGER NOT NULL, number INTEGER NOT NULL,"
        " digest TEXT NOT NULL, by_epoch INTEGER NOT NULL, by_number INTEGER NOT NULL,"
        " by_digest TEXT NOT NULL, author TEXT NOT NULL, ancestors TEXT NOT NULL,"
        " PRIMARY KEY (epoch, number, digest));");
  }
}

// Guards against a write that is refused for good because its journal could not be opened just then: nothing
// of it has been done, so it is made again at once, some times. A device that is full or fails stays so for
// longer, and is told.
bool Store::transact(const std::function<void()>& what) {
  if (!database_) return fault_ = "the store is not open", false;
  constexpr int most_attempts = 8;
  Written written = Written::not_now;
  for (int attempt = 0; attempt < most_attempts && written == Written::not_now; ++attempt)
    written = try_to_write(what);
  return written == Written::whole;
}

Store::Written Store::try_to_write(const std::function<void()>& what) {
  const auto pass = [&](const char* point) {
    if (passes_) passes_(point);
  };
  try {
    SQLite::Transaction transaction(*database_);
    pass("begun");
    what();
    pass("put");
    transaction.commit();
    pass("committed");
    fault_.clear();
    return Written::whole;
  } catch (const SQLite::Exception& error) {
    fault_ = path_ + ": " + error.what();
    constexpr int can_not_open = 14;  // SQLITE_CANTOPEN
    return error.getErrorCode() == can_not_open ? Written::not_now : Written::failed;
  }
}

bool Store::write(const std::map<std::string, LeaseOwner::PersistedInstance>& kept) {
  return transact([&] {
    for (const auto& [name, one] : kept) {
      SQLite::Statement put(*database_, "INSERT OR REPLACE INTO instance VALUES (?,?,?,?,?,?,?,?,?,?)");
      put.bind(1, name), put.bind(2, one.wanted), put.bind(3, one.version);
      put.bind(4, static_cast<std::int64_t>(one.last_fence));
      if (one.lease) {
        put.bind(5, one.lease->operation), put.bind(6, one.lease->who);
        put.bind(7, static_cast<std::int64_t>(one.lease->fence));
      }
      put.bind(8, static_cast<std::int64_t>(one.lease_duration.count()));
      if (one.step) put.bind(9, to_json(*one.step).dump());
      if (one.last_step) {
        json past = {{"step", to_json(one.last_step->step)},
                     {"end", static_cast<int>(one.last_step->end)},
                     {"word", one.last_step->detail}};
        put.bind(10, past.dump());
      }
      put.exec();
    }
  });
}

bool Store::write_process(const std::string& instance, const std::optional<Process>& process) {
  return transact([&] {
    if (!process) {
      SQLite::Statement remove(*database_, "DELETE FROM process WHERE instance = ?");
      remove.bind(1, instance);
      remove.exec();
      return;
    }
    SQLite::Statement put(*database_, "INSERT OR REPLACE INTO process VALUES (?,?,?,?,?)");
    put.bind(1, instance), put.bind(2, process->pid);
    put.bind(3, static_cast<std::int64_t>(process->started)), put.bind(4, process->boot);
    put.bind(5, process->version);
    put.exec();
  });
}

bool Store::forget(const std::string& instance) {
  return transact([&] {
    for (const char* table :
         {"DELETE FROM instance WHERE name = ?", "DELETE FROM process WHERE instance = ?"}) {
      SQLite::Statement remove(*database_, table);
      remove.bind(1, instance);
      remove.exec();
    }
  });
}

bool Store::write_rollout(const KeptRollout& rollout) {
  // Of the past ones as many are kept as an operator looks back on.
  constexpr int most = 200;
  return transact([&] {
    json stages = json::object();
    for (const auto& [instance, stage] : rollout.stages) stages[instance] = static_cast<int>(stage);
    SQLite::Statement put(*database_, "INSERT OR REPLACE INTO rollout VALUES (?,?,?,?,?,?)");
    put.bind(1, rollout.plan.id), put.bind(2, to_json(rollout.plan).dump());
    put.bind(3, static_cast<int>(rollout.state)), put.bind(4, stages.dump());
    put.bind(5, rollout.word), put.bind(6, rollout.begun_unix_ms);
    put.exec();
    SQLite::Statement prune(
        *database_,
        "DELETE FROM rollout WHERE id NOT IN (SELECT id FROM rollout ORDER BY begun_unix_ms"
        " DESC LIMIT ?)");
    prune.bind(1, most);
    prune.exec();
  });
}

bool Store::write_incarnation(std::uint64_t incarnation) {
  return transact([&] {
    SQLite::Statement put(*database_, "INSERT OR REPLACE INTO speaker VALUES (1, ?)");
    put.bind(1, static_cast<std::int64_t>(incarnation));
    put.exec();
  });
}

bool Store::write_config(const fleet::ConfigReplica::State& state) {
  return transact([&] {
    database_->exec("DELETE FROM configuration; DELETE FROM superseded_configuration;");
    for (const fleet::SupersededConfig& record : state.superseded) {
      SQLite::Statement put(*database_, "INSERT INTO superseded_configuration VALUES (?,?,?,?,?,?,?,?)");
      bind_mark(put, 1, record.mark);
      bind_mark(put, 4, record.by);
      put.bind(7, record.author);
      put.bind(8, joined(record.ancestors));
      put.exec();
    }
    if (!state.current) return;
    const fleet::ConfigDocument& current = *state.current;
    SQLite::Statement put(*database_, "INSERT INTO configuration VALUES (1,?,?,?,?,?,?)");
    bind_mark(put, 1, current.mark);
    put.bind(4, current.author);
    put.bind(5, joined(current.ancestors));
    put.bind(6, current.content.data(), static_cast<int>(current.content.size()));
    put.exec();
  });
}

fleet::ConfigReplica::State Store::config() const {
  fleet::ConfigReplica::State state;
  SQLite::Statement records(*database_,
                            "SELECT * FROM superseded_configuration ORDER BY epoch, number, digest");
  while (records.executeStep()) {
    fleet::SupersededConfig& record = state.superseded.emplace_back();
    record.mark = mark_at(records, 0);
    record.by = mark_at(records, 3);
    record.author = records.getColumn(6).getString();
    record.ancestors = split(records.getColumn(7).getString());
  }
  SQLite::Statement row(*database_, "SELECT * FROM configuration WHERE one = 1");
  if (!row.executeStep()) return state;
  fleet::ConfigDocument current;
  current.mark = mark_at(row, 1);
  current.author = row.getColumn(4).getString();
  current.ancestors = split(row.getColumn(5).getString());
  const SQLite::Column content = row.getColumn(6);
  current.content.assign(static_cast<const char*>(content.getBlob()),
                         static_cast<std::size_t>(content.getBytes()));
  if (!fleet::is_intact(current))
    throw SystemError("the configuration version is not what its digest says", path_);
  state.current = std::move(current);
  return state;
}

std::uint64_t Store::incarnation() const {
  SQLite::Statement get(*database_, "SELECT incarnation FROM speaker WHERE one = 1");
  return get.executeStep() ? static_cast<std::uint64_t>(get.getColumn(0).getInt64()) : 0;
}

std::map<std::string, LeaseOwner::PersistedInstance> Store::instances() const {
  std::map<std::string, LeaseOwner::PersistedInstance> all;
  SQLite::Statement get(*database_, "SELECT * FROM instance");
  while (get.executeStep()) {
    LeaseOwner::PersistedInstance& one = all[get.getColumn(0).getString()];
    one.wanted = get.getColumn(1).getInt() != 0, one.version = get.getColumn(2).getInt();
    one.last_fence = static_cast<std::uint64_t>(get.getColumn(3).getInt64());
    one.lease_duration = Duration(get.getColumn(7).getInt64());
    if (!get.getColumn(4).isNull()) {
      one.lease = Lease{get.getColumn(4).getString(),
                        get.getColumn(5).getString(),
                        static_cast<std::uint64_t>(get.getColumn(6).getInt64()),
                        {},
                        {}};
    }
    if (!get.getColumn(8).isNull()) one.step = step_in(json::parse(get.getColumn(8).getString()));
    if (!get.getColumn(9).isNull()) {
      const json past = json::parse(get.getColumn(9).getString());
      one.last_step = InstanceLifecycle::CompletedStep{
          step_in(past.at("step")), static_cast<fleet::StepEnd>(past.at("end").get<int>()), past.at("word")};
    }
  }
  return all;
}

std::map<std::string, Process> Store::processes() const {
  std::map<std::string, Process> all;
  SQLite::Statement get(*database_, "SELECT * FROM process");
  while (get.executeStep()) {
    all[get.getColumn(0).getString()] = {get.getColumn(1).getInt64(),
                                         static_cast<std::uint64_t>(get.getColumn(2).getInt64()),
                                         get.getColumn(3).getString(), get.getColumn(4).getInt()};
  }
  return all;
}

std::vector<KeptRollout> Store::rollouts(std::size_t most) const {
  std::vector<KeptRollout> all;
  SQLite::Statement get(*database_, "SELECT * FROM rollout ORDER BY begun_unix_ms DESC LIMIT ?");
  get.bind(1, static_cast<std::int64_t>(most));
  while (get.executeStep()) {
    KeptRollout& one = all.emplace_back();
    one.plan = plan_in(get.getColumn(0).getString(), json::parse(get.getColumn(1).getString()));
    one.state = static_cast<fleet::Rollout::State>(get.getColumn(2).getInt());
    const json stages = json::parse(get.getColumn(3).getString());
    for (const auto& [instance, stage] : stages.items())
      one.stages[instance] = static_cast<fleet::Rollout::Stage>(stage.get<int>());
    one.word = get.getColumn(4).getString(), one.begun_unix_ms = get.getColumn(5).getInt64();
  }
  return all;
}

}  // namespace pearchute::store
