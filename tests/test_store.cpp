// Tests of an agent's store: records are written and read back; kills at each stage of a transaction; files
// of older and newer versions; damaged files; a device that is full; and a shortage of descriptors.
#include <SQLiteCpp/SQLiteCpp.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cassert>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "store/store.h"

using namespace pearchute;
using namespace pearchute::store;
using std::chrono::seconds;

std::string folder;

fleet::LeaseOwner::PersistedInstance instance_with(std::uint64_t fence) {
  fleet::LeaseOwner::PersistedInstance one;
  one.version = 3, one.last_fence = fence, one.lease_duration = seconds(30);
  one.lease = fleet::Lease{"op", "ann", fence, {}, {}};
  one.step =
      fleet::Step{"op", fence, fleet::StepKind::change, fleet::Fallback::finish, 4, seconds(5), seconds(6)};
  one.last_step =
      fleet::InstanceLifecycle::CompletedStep{*one.step, fleet::StepEnd::time_up, "does not serve"};
  return one;
}

OpenStatus open(Store& store) {
  std::string error;
  const OpenStatus status = store.open(error);
  if (!error.empty()) std::fprintf(stderr, "%s\n", error.c_str());
  assert((status == OpenStatus::usable) == error.empty());
  return status;
}

void written_and_read_back() {
  const std::string path = folder + "/a.db";
  RolloutRecord rollout;
  rollout.plan.id = "r1", rollout.plan.who = "ann", rollout.plan.targets = {{"i1", "a1", "z1"}};
  rollout.plan.min_serving = {{"z1", 2}}, rollout.plan.warm = seconds(7), rollout.plan.take_over = true;
  rollout.state = fleet::Rollout::State::paused, rollout.stages = {{"i1", fleet::Rollout::Stage::requested}};
  rollout.state_reason = "by an operator", rollout.started_unix_ms = 5;
  {
    Store store(path);
    assert(open(store) == OpenStatus::usable && store.instances().empty());
    assert(store.write_instances({{"i1", instance_with(7)}, {"i2", {}}}) &&
           store.write_process("i1", ProcessRecord{12, 34, "b", 3}));
    assert(store.write_process("i2", ProcessRecord{13, 35, "b", 1}) &&
           store.write_process("i2", std::nullopt));
    assert(store.write_rollout(rollout));
  }
  Store store(path);
  assert(open(store) == OpenStatus::usable);
  const auto one = store.instances().at("i1");
  assert(one.last_fence == 7 && one.lease->who == "ann" && one.step->version == 4 &&
         one.step->up_within == seconds(6) && one.step->fallback == fleet::Fallback::finish &&
         one.last_step->end == fleet::StepEnd::time_up && one.last_step->detail == "does not serve" &&
         one.lease_duration == seconds(30));
  assert(!store.instances().at("i2").step && store.processes().size() == 1 &&
         (store.processes().at("i1") == ProcessRecord{12, 34, "b", 3}));
  const auto back = store.rollouts(10);
  assert(back.size() == 1 && back[0].plan.targets[0].agent == "a1" &&
         back[0].plan.min_serving.at("z1") == 2 && back[0].plan.warm == seconds(7) &&
         back[0].plan.take_over && back[0].stages == rollout.stages && back[0].state == rollout.state);
  for (int i = 0; i < 250; ++i) {
    rollout.plan.id = "x" + std::to_string(i), rollout.started_unix_ms = 10 + i;
    if (i < 2 || i > 240) assert(store.write_rollout(rollout));
  }
  assert(store.rollouts(3)[0].plan.id == "x249" && store.rollouts(1000).size() <= 200);
}

// The database file is lost, but SQLite's journal beside it is not: a process was killed during a write and
// the database file was removed afterwards. A new, empty store can then be opened and written.
void database_lost_but_not_its_journal() {
  const std::string path = folder + "/lost.db";
  int with_journal = 0;
  for (int i = 0; i < 60; ++i) {
    const pid_t child = fork();
    if (child == 0) {
      Store store(path);
      std::string error;
      if (store.open(error) != OpenStatus::usable) _exit(1);
      for (std::uint64_t fence = 1;; ++fence)
        store.write_instances({{"i1", instance_with(fence)}, {"i2", instance_with(fence)}});
    }
    usleep(static_cast<useconds_t>(8000 + 331 * i));
    kill(child, SIGKILL);
    int status = 0;
    waitpid(child, &status, 0);
    assert(WIFSIGNALED(status));
    with_journal += std::filesystem::exists(path + "-journal");
    std::filesystem::remove(path);
    Store store(path);
    assert(open(store) == OpenStatus::usable && store.write_instances({{"i1", instance_with(1)}}));
  }
  std::fprintf(stderr, "%d of 60 left a journal\n", with_journal);
  assert(with_journal > 0);
}

// After a kill at any stage of a write that changes two instances, either both are unchanged or both changed.
void kills() {
  const std::string path = folder + "/k.db";
  for (const TransactionStage stage : all_transaction_stages) {
    std::filesystem::remove(path);
    {
      Store store(path);
      assert(open(store) == OpenStatus::usable &&
             store.write_instances({{"i1", instance_with(1)}, {"i2", instance_with(1)}}));
    }
    const pid_t child = fork();
    if (child == 0) {
      Store store(path, [&](TransactionStage reached) {
        if (reached == stage) raise(SIGKILL);
      });
      open(store);
      store.write_instances({{"i1", instance_with(2)}, {"i2", instance_with(2)}});
      _exit(0);
    }
    int status = 0;
    waitpid(child, &status, 0);
    assert(WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL);
    Store store(path);
    assert(open(store) == OpenStatus::usable);
    const std::uint64_t fence = store.instances().at("i1").last_fence;
    assert(fence == store.instances().at("i2").last_fence);
    assert(fence == (stage == TransactionStage::committed ? 2u : 1u));
  }
}

void older_and_newer_files() {
  const std::string path = folder + "/v.db";
  {  // A file of version 1 has no table of rollouts.
    SQLite::Database old(path, SQLite::OPEN_READWRITE | SQLite::OPEN_CREATE);
    old.exec(
        "CREATE TABLE instance (name TEXT PRIMARY KEY, wanted INTEGER NOT NULL, version INTEGER NOT NULL,"
        " last_fence INTEGER NOT NULL, claim_operation TEXT, claim_who TEXT, claim_fence INTEGER,"
        " lease_us INTEGER NOT NULL, step TEXT, past TEXT);"
        "CREATE TABLE process (instance TEXT PRIMARY KEY, pid INTEGER NOT NULL, started INTEGER NOT NULL,"
        " boot TEXT NOT NULL);"
        "INSERT INTO instance VALUES ('i1', 1, 2, 9, NULL, NULL, NULL, 0, NULL, NULL); PRAGMA user_version = "
        "1;");
  }
  {
    Store store(path);
    assert(open(store) == OpenStatus::usable && store.instances().at("i1").last_fence == 9);
    assert(store.rollouts(5).empty());
  }
  SQLite::Database(path, SQLite::OPEN_READWRITE).exec("PRAGMA user_version = 99;");
  Store store(path);
  assert(open(store) == OpenStatus::too_new);
  // The file is left as it is.
  assert(SQLite::Database(path).execAndGet("PRAGMA user_version").getInt() == 99);
}

// ---- Versions of the configuration

fleet::ConfigReplica::State config_state(const std::string& content, std::uint64_t number) {
  fleet::ConfigDocument document;
  document.mark.epoch = 1, document.mark.number = number;
  document.author = "a1", document.content = content;
  document.ancestors = {std::string(32, 'a'), std::string(32, 'b')};
  document.mark.digest = fleet::digest_of(document);
  fleet::SupersededConfig record;
  record.mark = {1, number - 1, std::string(32, 'c')}, record.by = document.mark, record.author = "a2";
  record.ancestors = {std::string(32, 'd')};
  return {document, {record}};
}

void configuration() {
  const std::string path = folder + "/c.db";
  const auto first = config_state(std::string("any \0 byte \xff", 12), 4), second = config_state("", 5);
  {  // A file of version 4 has no tables for the configuration.
    Store store(path);
    assert(open(store) == OpenStatus::usable);
    SQLite::Database(path, SQLite::OPEN_READWRITE)
        .exec("DROP TABLE configuration; DROP TABLE superseded_configuration; PRAGMA user_version = 4;");
  }
  {
    Store store(path);
    assert(open(store) == OpenStatus::usable && !store.config().current);
    assert(store.write_config(first) && store.config() == first);
  }
  // After a kill at any stage, either both the version and the records are unchanged or both changed.
  for (const TransactionStage stage : all_transaction_stages) {
    const pid_t child = fork();
    if (child == 0) {
      Store store(path, [&](TransactionStage reached) {
        if (reached == stage) raise(SIGKILL);
      });
      open(store);
      store.write_config(second);
      _exit(0);
    }
    int status = 0;
    waitpid(child, &status, 0);
    assert(WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL);
    Store store(path);
    assert(open(store) == OpenStatus::usable);
    assert(store.config() == (stage == TransactionStage::committed ? second : first));
  }
  // A document that does not match its digest is reported as damage.
  SQLite::Database(path, SQLite::OPEN_READWRITE).exec("UPDATE configuration SET content = 'other';");
  Store store(path);
  assert(open(store) == OpenStatus::damaged);
}

void damage() {
  const std::string path = folder + "/d.db";
  {
    Store store(path);
    open(store);
    for (int i = 0; i < 200; ++i) store.write_instances({{"i" + std::to_string(i), instance_with(1)}});
  }
  const auto size = std::filesystem::file_size(path);
  int reported = 0;
  for (std::uint64_t at = 0; at < size; at += 4096) {  // overwrites one page at a time
    const std::string broken = folder + "/broken.db";
    std::filesystem::copy_file(path, broken, std::filesystem::copy_options::overwrite_existing);
    {
      std::fstream file(broken, std::ios::in | std::ios::out | std::ios::binary);
      file.seekp(static_cast<std::streamoff>(at));
      file << std::string(4096, '\x5a');
    }
    Store store(broken);
    const OpenStatus status = open(store);
    assert(status == OpenStatus::damaged || status == OpenStatus::unusable);
    ++reported;
  }
  assert(reported > 5);
  // If the folder does not exist, or the file can't grow, the whole write fails with an error.
  Store nowhere(folder + "/none/x.db");
  assert(open(nowhere) == OpenStatus::unusable && !nowhere.write_instances({{"i", instance_with(1)}}));
  const pid_t child = fork();
  if (child == 0) {
    Store store(path);
    open(store);
    std::signal(SIGXFSZ, SIG_IGN);
    const rlimit limit{size, size};
    setrlimit(RLIMIT_FSIZE, &limit);
    std::map<std::string, fleet::LeaseOwner::PersistedInstance> many;
    for (int i = 0; i < 2000; ++i) many["j" + std::to_string(i)] = instance_with(2);
    const bool written = store.write_instances(many);
    _exit(!written && !store.last_error().empty() ? 0 : 1);
  }
  int status = 0;
  waitpid(child, &status, 0);
  assert(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  Store after(path);
  assert(open(after) == OpenStatus::usable && after.instances().size() == 200);
}

// A write succeeds even if no descriptor is free when it begins, provided that the shortage ends at once.
void short_of_descriptors() {
  const std::string path = folder + "/short.db";
  rlimit usual{};
  assert(getrlimit(RLIMIT_NOFILE, &usual) == 0);
  int attempts = 0, failing_attempts = 0;
  Store store(path, [&](TransactionStage stage) {
    if (stage != TransactionStage::begun) return;
    rlimit limit = usual;
    if (attempts++ < failing_attempts) limit.rlim_cur = 0;  // open descriptors stay open
    assert(setrlimit(RLIMIT_NOFILE, &limit) == 0);
  });
  assert(open(store) == OpenStatus::usable);
  for (failing_attempts = 1; failing_attempts <= 3; ++failing_attempts) {
    attempts = 0;
    const auto fence = static_cast<std::uint64_t>(failing_attempts);
    const bool written = store.write_instances({{"i1", instance_with(fence)}});
    assert(setrlimit(RLIMIT_NOFILE, &usual) == 0);
    assert(written && attempts == failing_attempts + 1 && store.last_error().empty());
    assert(store.instances().at("i1").last_fence == fence);
  }
  // A shortage that does not end is reported.
  attempts = 0, failing_attempts = 1000;
  const bool written = store.write_instances({{"i1", instance_with(9)}});
  assert(setrlimit(RLIMIT_NOFILE, &usual) == 0);
  assert(!written && !store.last_error().empty() && attempts < 20);
  assert(store.instances().at("i1").last_fence == 3);
}

int main() {
  char name[] = "/tmp/pearchute-store-XXXXXX";
  assert(mkdtemp(name));
  folder = name;
  written_and_read_back();
  kills();
  database_lost_but_not_its_journal();
  older_and_newer_files();
  configuration();
  damage();
  short_of_descriptors();
  std::filesystem::remove_all(folder);
}
