// Characterization of the data on disk: an agent's store (SQLite) and a manager's file of operators' orders.
// The functions `write_store` and `write_orders` below wrote the files under data/characterization with the
// build of 2026-12-02 (commit 00483fc). This build has to read every field of them and to write the same
// contents.
//
// A change that only renames must not change the expected values or the files: a difference means that the
// rename loses data of existing installations.
#include <SQLiteCpp/SQLiteCpp.h>
#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "admin/directives_file.h"
#include "store/store.h"

namespace {

using namespace pearchute;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* store_written_before = CHARACTERIZATION_FOLDER "/agent_store_v5.db";
constexpr const char* orders_written_before = CHARACTERIZATION_FOLDER "/manager.orders";
constexpr milliseconds orders_written_at(1'700'000'000'000);  // Unix time

class PersistenceTest : public testing::Test {
 protected:
  PersistenceTest() {
    char name[] = "/tmp/pearchute-characterization-XXXXXX";
    folder_ = mkdtemp(name);
  }
  ~PersistenceTest() override { std::filesystem::remove_all(folder_); }
  // A copy, since opening a file may change it.
  std::string copy_of(const char* file) const {
    const std::string copy = folder_ + "/copy";
    std::filesystem::copy_file(file, copy);
    std::filesystem::permissions(copy, std::filesystem::perms::owner_all);
    return copy;
  }

  std::string folder_;
};

std::string bytes_of(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

// ---- The agent's store

fleet::Step change_step() {
  return {"op-1", 7, fleet::StepKind::change, fleet::Fallback::finish, 4, seconds(5), seconds(6)};
}

fleet::LeaseOwner::PersistedInstance claimed_instance() {
  fleet::LeaseOwner::PersistedInstance instance;
  instance.wanted = true, instance.version = 3, instance.last_fence = 7,
  instance.lease_duration = seconds(30);
  instance.lease = fleet::Lease{"op-1", "ann", 7, {}, {}};
  instance.step = change_step();
  fleet::InstanceLifecycle::CompletedStep& past = instance.last_step.emplace();
  past.step = {"op-0", 6, fleet::StepKind::drain, fleet::Fallback::serve_again, 0, seconds(2), seconds(3)};
  past.end = fleet::StepEnd::time_up, past.detail = "does not serve";
  return instance;
}

fleet::LeaseOwner::PersistedInstance stopped_instance() {
  fleet::LeaseOwner::PersistedInstance instance;
  instance.wanted = false;
  fleet::InstanceLifecycle::CompletedStep& past = instance.last_step.emplace();
  past.step = {"op-9", 2, fleet::StepKind::resume, fleet::Fallback::serve_again, 0, seconds(1), seconds(1)};
  past.end = fleet::StepEnd::fell_back;
  return instance;
}

store::RolloutRecord paused_rollout() {
  store::RolloutRecord rollout;
  rollout.plan.id = "r1", rollout.plan.who = "ann", rollout.plan.kind = fleet::StepKind::change;
  rollout.plan.fallback = fleet::Fallback::finish, rollout.plan.version = 4, rollout.plan.version_before = 3;
  rollout.plan.targets = {{"i1", "a1", "z1"}, {"i2", "a2", "z2"}};
  rollout.plan.max_concurrent = 2, rollout.plan.batch = 5, rollout.plan.min_serving = {{"z1", 2}, {"z2", 1}};
  rollout.plan.warm = seconds(7), rollout.plan.gate = seconds(8), rollout.plan.margin = 0.125;
  rollout.plan.failures = 1, rollout.plan.reverts = true, rollout.plan.take_over = true;
  rollout.plan.lease_duration = seconds(31), rollout.plan.drain_within = seconds(32);
  rollout.plan.up_within = seconds(33);
  rollout.state = fleet::Rollout::State::paused;
  rollout.stages = {{"i1", fleet::Rollout::Stage::warming}, {"i2", fleet::Rollout::Stage::waiting}};
  rollout.state_reason = "by an operator", rollout.started_unix_ms = 1'700'000'000'001;
  return rollout;
}

// A rollout in the given state; `number` sets its stage, so that each state and each stage is stored.
store::RolloutRecord rollout_in(fleet::Rollout::State state, int number) {
  store::RolloutRecord rollout;
  rollout.plan.id = "s" + std::to_string(number), rollout.plan.who = "ben", rollout.state = state;
  rollout.plan.targets = {{"i1", "a1", "z1"}};
  rollout.stages = {{"i1", static_cast<fleet::Rollout::Stage>(number % 6)}};
  rollout.started_unix_ms = 1'600'000'000'000 + number;
  return rollout;
}

constexpr fleet::Rollout::State all_states[] = {
    fleet::Rollout::State::planned, fleet::Rollout::State::acquiring_leases, fleet::Rollout::State::running,
    fleet::Rollout::State::gate,    fleet::Rollout::State::paused,           fleet::Rollout::State::aborting,
    fleet::Rollout::State::done,    fleet::Rollout::State::aborted,          fleet::Rollout::State::failed};

fleet::ConfigReplica::State configuration() {
  fleet::ConfigReplica::State state;
  fleet::ConfigDocument& current = state.current.emplace();
  current.mark.epoch = 2, current.mark.number = 5, current.author = "a1";
  current.ancestors = {"00112233445566778899aabbccddeeff", "ffeeddccbbaa99887766554433221100"};
  current.content = R"({"settings":{"limits":{"attemptsCap":3}}})";
  current.mark.digest = fleet::digest_of(current);
  state.superseded = {{{2, 4, "0123456789abcdef0123456789abcdef"},
                       {2, 5, "fedcba9876543210fedcba9876543210"},
                       "b1",
                       {"00112233445566778899aabbccddeeff"}}};
  return state;
}

void write_store(const std::string& file) {
  store::Store store(file);
  std::string fault;
  ASSERT_EQ(store.open(fault), store::OpenStatus::usable) << fault;
  ASSERT_TRUE(store.write_instances({{"i1", claimed_instance()}, {"i2", stopped_instance()}}));
  ASSERT_TRUE(store.write_process("i1", store::ProcessRecord{1234, 567890, "boot-id", 3}));
  int number = 0;
  for (const fleet::Rollout::State state : all_states)
    ASSERT_TRUE(store.write_rollout(rollout_in(state, number++)));
  ASSERT_TRUE(store.write_rollout(paused_rollout()));
  ASSERT_TRUE(store.write_incarnation(42));
  ASSERT_TRUE(store.write_config(configuration()));
}

// Every table with its columns and rows, as text, ordered by the names of the tables.
std::vector<std::string> contents_of(const std::string& file) {
  std::vector<std::string> lines;
  SQLite::Database database(file);
  lines.push_back("version " + database.execAndGet("PRAGMA user_version").getString());
  std::vector<std::string> tables;
  SQLite::Statement names(database, "SELECT name FROM sqlite_master WHERE type = 'table' ORDER BY name");
  while (names.executeStep()) tables.push_back(names.getColumn(0).getString());
  for (const std::string& table : tables) {
    SQLite::Statement rows(database, "SELECT * FROM " + table + " ORDER BY 1, 2");
    std::string head = table + ":";
    for (int i = 0; i < rows.getColumnCount(); ++i) head += std::string(" ") + rows.getColumnName(i);
    lines.push_back(head);
    while (rows.executeStep()) {
      std::string line;
      for (int i = 0; i < rows.getColumnCount(); ++i)
        line += " | " + (rows.getColumn(i).isNull() ? "(null)" : rows.getColumn(i).getString());
      lines.push_back(line);
    }
  }
  return lines;
}

const std::vector<std::string>& expected_contents() {
  static const std::vector<std::string> lines = {
#include "data/characterization/agent_store_v5.inc"
  };
  return lines;
}

TEST_F(PersistenceTest, StoreIsWrittenAsItWas) {
  const std::string file = folder_ + "/new.db";
  write_store(file);
  EXPECT_EQ(contents_of(file), expected_contents());
}

TEST_F(PersistenceTest, StoreWrittenBeforeHoldsWhatWasWritten) {
  EXPECT_EQ(contents_of(copy_of(store_written_before)), expected_contents());
}

TEST_F(PersistenceTest, StoreWrittenBeforeIsRead) {
  store::Store store(copy_of(store_written_before));
  std::string fault;
  ASSERT_EQ(store.open(fault), store::OpenStatus::usable) << fault;

  const auto instances = store.instances();
  ASSERT_EQ(instances.size(), 2u);
  const fleet::LeaseOwner::PersistedInstance& first = instances.at("i1");
  EXPECT_TRUE(first.wanted);
  EXPECT_EQ(first.version, 3);
  EXPECT_EQ(first.last_fence, 7u);
  EXPECT_EQ(first.lease_duration, seconds(30));
  ASSERT_TRUE(first.lease && first.step && first.last_step);
  EXPECT_EQ(first.lease->operation, "op-1");
  EXPECT_EQ(first.lease->who, "ann");
  EXPECT_EQ(first.lease->fence, 7u);
  EXPECT_EQ(first.step->operation, "op-1");
  EXPECT_EQ(first.step->fence, 7u);
  EXPECT_EQ(first.step->kind, fleet::StepKind::change);
  EXPECT_EQ(first.step->fallback, fleet::Fallback::finish);
  EXPECT_EQ(first.step->version, 4);
  EXPECT_EQ(first.step->drain_within, seconds(5));
  EXPECT_EQ(first.step->up_within, seconds(6));
  EXPECT_EQ(first.last_step->step.operation, "op-0");
  EXPECT_EQ(first.last_step->step.kind, fleet::StepKind::drain);
  EXPECT_EQ(first.last_step->step.fallback, fleet::Fallback::serve_again);
  EXPECT_EQ(first.last_step->end, fleet::StepEnd::time_up);
  EXPECT_EQ(first.last_step->detail, "does not serve");
  const fleet::LeaseOwner::PersistedInstance& second = instances.at("i2");
  EXPECT_FALSE(second.wanted || second.lease || second.step);
  ASSERT_TRUE(second.last_step);
  EXPECT_EQ(second.last_step->step.kind, fleet::StepKind::resume);
  EXPECT_EQ(second.last_step->end, fleet::StepEnd::fell_back);

  const auto processes = store.processes();
  ASSERT_EQ(processes.size(), 1u);
  EXPECT_EQ(processes.at("i1"), (store::ProcessRecord{1234, 567890, "boot-id", 3}));
  EXPECT_EQ(store.incarnation(), 42u);
}

TEST_F(PersistenceTest, RolloutsWrittenBeforeAreRead) {
  store::Store store(copy_of(store_written_before));
  std::string fault;
  ASSERT_EQ(store.open(fault), store::OpenStatus::usable) << fault;
  const auto rollouts = store.rollouts(100);
  ASSERT_EQ(rollouts.size(), 10u);
  const store::RolloutRecord& newest = rollouts[0];
  EXPECT_EQ(newest.plan.id, "r1");
  EXPECT_EQ(newest.plan.who, "ann");
  EXPECT_EQ(newest.plan.kind, fleet::StepKind::change);
  EXPECT_EQ(newest.plan.fallback, fleet::Fallback::finish);
  EXPECT_EQ(newest.plan.version, 4);
  EXPECT_EQ(newest.plan.version_before, 3);
  ASSERT_EQ(newest.plan.targets.size(), 2u);
  EXPECT_EQ(newest.plan.targets[1].instance, "i2");
  EXPECT_EQ(newest.plan.targets[1].agent, "a2");
  EXPECT_EQ(newest.plan.targets[1].zone, "z2");
  EXPECT_EQ(newest.plan.max_concurrent, 2);
  EXPECT_EQ(newest.plan.batch, 5);
  EXPECT_EQ(newest.plan.min_serving, (std::map<std::string, int>{{"z1", 2}, {"z2", 1}}));
  EXPECT_EQ(newest.plan.warm, seconds(7));
  EXPECT_EQ(newest.plan.gate, seconds(8));
  EXPECT_EQ(newest.plan.margin, 0.125);
  EXPECT_EQ(newest.plan.failures, 1);
  EXPECT_TRUE(newest.plan.reverts);
  EXPECT_TRUE(newest.plan.take_over);
  EXPECT_EQ(newest.plan.lease_duration, seconds(31));
  EXPECT_EQ(newest.plan.drain_within, seconds(32));
  EXPECT_EQ(newest.plan.up_within, seconds(33));
  EXPECT_EQ(newest.state, fleet::Rollout::State::paused);
  EXPECT_EQ(newest.state_reason, "by an operator");
  EXPECT_EQ(newest.started_unix_ms, 1'700'000'000'001);
  EXPECT_EQ(newest.stages.at("i1"), fleet::Rollout::Stage::warming);
  EXPECT_EQ(newest.stages.at("i2"), fleet::Rollout::Stage::waiting);
  for (std::size_t number = 0; number < std::size(all_states); ++number) {
    const store::RolloutRecord& one = rollouts[rollouts.size() - 1 - number];  // the newest is first
    EXPECT_EQ(one.plan.id, "s" + std::to_string(number));
    EXPECT_EQ(one.state, all_states[number]);
    EXPECT_EQ(one.stages.at("i1"), static_cast<fleet::Rollout::Stage>(number % 6));
  }
}

TEST_F(PersistenceTest, ConfigurationWrittenBeforeIsRead) {
  store::Store store(copy_of(store_written_before));
  std::string fault;
  ASSERT_EQ(store.open(fault), store::OpenStatus::usable) << fault;
  const fleet::ConfigReplica::State state = store.config();
  ASSERT_TRUE(state.current);
  EXPECT_EQ(state.current->mark.epoch, 2u);
  EXPECT_EQ(state.current->mark.number, 5u);
  EXPECT_EQ(state.current->mark.digest, "09911a7ff7c1d1fc0e41a708d914aad6");
  EXPECT_EQ(state.current->author, "a1");
  EXPECT_EQ(state.current->ancestors, (std::vector<std::string>{"00112233445566778899aabbccddeeff",
                                                                "ffeeddccbbaa99887766554433221100"}));
  EXPECT_EQ(state.current->content, R"({"settings":{"limits":{"attemptsCap":3}}})");
  ASSERT_EQ(state.superseded.size(), 1u);
  EXPECT_EQ(state.superseded[0].mark.number, 4u);
  EXPECT_EQ(state.superseded[0].by.digest, "fedcba9876543210fedcba9876543210");
  EXPECT_EQ(state.superseded[0].author, "b1");
  EXPECT_EQ(state.superseded[0].ancestors, (std::vector<std::string>{"00112233445566778899aabbccddeeff"}));
}

// ---- The manager's file of orders

std::vector<fleet::ActiveDirective> orders() {
  fleet::ActiveDirective engine, manager;
  engine.order = {"id-1", "s-1", "ann", 9, true, false, seconds(3600), "disk swap"};
  engine.since = seconds(100), engine.until = seconds(100) + hours(1);
  manager.order = {"id-2", "", "ben", 10, false, true, {}, ""};
  manager.since = seconds(101), manager.until = seconds(101) + hours(2);
  return {engine, manager};
}

void write_orders(const std::string& file) {
  std::string fault;
  ASSERT_TRUE(admin::DirectivesFile(file).write(orders(), seconds(200), orders_written_at, fault)) << fault;
}

TEST_F(PersistenceTest, OrdersAreWrittenAsTheyWere) {
  const std::string file = folder_ + "/new.orders";
  write_orders(file);
  const std::string written = bytes_of(file);
  EXPECT_TRUE(written.starts_with("pearchute orders 1\n"));
  EXPECT_EQ(written, bytes_of(orders_written_before));
}

TEST_F(PersistenceTest, OrdersWrittenBeforeAreRead) {
  const auto found = admin::DirectivesFile(copy_of(orders_written_before)).read(orders_written_at);
  EXPECT_FALSE(found.damaged) << found.error;
  ASSERT_EQ(found.directives.size(), 2u);
  const auto& [engine, engine_left] = found.directives[0];
  EXPECT_EQ(engine.id, "id-1");
  EXPECT_EQ(engine.subject, "s-1");
  EXPECT_EQ(engine.holder, "ann");
  EXPECT_EQ(engine.generation, 9u);
  EXPECT_TRUE(engine.drains);
  EXPECT_FALSE(engine.all_holders);
  EXPECT_EQ(engine.reason, "disk swap");
  EXPECT_EQ(engine_left, seconds(3500));
  const auto& [manager, manager_left] = found.directives[1];
  EXPECT_EQ(manager.id, "id-2");
  EXPECT_EQ(manager.subject, "");
  EXPECT_EQ(manager.holder, "ben");
  EXPECT_EQ(manager.generation, 10u);
  EXPECT_FALSE(manager.drains);
  EXPECT_TRUE(manager.all_holders);
  EXPECT_EQ(manager.reason, "");
  EXPECT_EQ(manager_left, seconds(7101));
}

}  // namespace
