// What lasts in a folder while writes and syncs to it fail for a while: what was told as kept is still there,
// what was not told as kept is not half there, and once the folder is sound again so is what is kept in it.
// The program runs itself again under the library of failing calls.
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cassert>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <random>
#include <thread>

#include "admin/orders_file.h"
#include "keys/authority.h"
#include "lab/faults/fault_injection.h"
#include "store/store.h"
#include "system/failures.h"

using namespace pearchute;
using namespace pearchute::lab;
using std::chrono::milliseconds;

namespace {

constexpr FaultKind folder_kinds[] = {FaultKind::folder_write_fails, FaultKind::folder_write_short,
                                      FaultKind::folder_sync_fails};

store::ProcessRecord process_of(int number) {
  return {number, static_cast<std::uint64_t>(number), "boot", number};
}

// As many writes as are asked for, each of the next number; the last that was told as kept.
int write_on(store::Store& store, int from, int count, int& refused) {
  int kept = from - 1;
  for (int i = from; i < from + count; ++i) {
    if (store.write_process("i", process_of(i))) kept = i;
    else ++refused;
  }
  return kept;
}

int kept_in(const std::string& path) {
  store::Store store(path);
  std::string fault;
  const auto opened = store.open(fault);
  if (opened != store::OpenStatus::usable) std::fprintf(stderr, "%s\n", fault.c_str());
  assert(opened == store::OpenStatus::usable);
  const auto all = store.processes();
  return all.contains("i") ? static_cast<int>(all.at("i").pid) : 0;
}

void store_keeps(FaultInjection& faults, const std::string& folder) {
  int refused = 0;
  for (const double share : {0.02, 0.08, 0.2}) {
    for (const FaultKind kind : folder_kinds) {
      const std::string path = folder + "/state.db";
      int kept = 0;
      {
        store::Store store(path);
        std::string fault;
        assert(store.open(fault) == store::OpenStatus::usable);
        kept = write_on(store, 1, 3, refused);
        assert(kept == 3);
        faults.set(kind, share);
        const int during = write_on(store, 4, 60, refused);
        faults.set_none();
        if (during > 3) kept = during;
        // Sound again, without a new start.
        const int after = write_on(store, 100, 2, refused);
        if (after != 101)
          std::fprintf(stderr, "%s at %g: %s\n", fault_kind_names[static_cast<std::size_t>(kind)].data(),
                       share, store.last_error().c_str());
        assert(after == 101);
        kept = after;
      }
      assert(kept_in(path) == kept);
      std::filesystem::remove(path);
    }
  }
  std::fprintf(stderr, "%d writes were refused\n", refused);
  assert(refused > 0);
}

// A folder that fails for a moment as the store is opened: that is told apart from one that is of no use.
void store_opens_later(FaultInjection& faults, const std::string& folder) {
  const std::string path = folder + "/opened.db";
  int not_now = 0;
  for (int i = 0; i < 60; ++i) {
    faults.set(FaultKind::folder_write_fails, 0.2);
    faults.set(FaultKind::folder_sync_fails, 0.2);
    store::Store store(path);
    std::string fault;
    auto opened = store.open(fault);
    if (opened != store::OpenStatus::usable) {
      if (opened != store::OpenStatus::temporarily_unavailable) std::fprintf(stderr, "%s\n", fault.c_str());
      assert(opened == store::OpenStatus::temporarily_unavailable);
      ++not_now;
      faults.set_none();
      opened = store.open(fault);
    }
    assert(opened == store::OpenStatus::usable);
    faults.set_none();
  }
  assert(not_now > 0);
}

// A kill at any moment, while writes fail: what the child told as kept before is there afterwards.
void store_keeps_over_kills(FaultInjection& faults, const std::string& folder) {
  const std::string path = folder + "/killed.db";
  std::knuth_b chance(7);
  for (int round = 0; round < 12; ++round) {
    int told[2];
    assert(pipe(told) == 0);
    const int before = std::filesystem::exists(path) ? kept_in(path) : 0;
    const pid_t child = fork();
    if (child == 0) {
      store::Store store(path);
      std::string fault;
      while (store.open(fault) != store::OpenStatus::usable) usleep(1000);
      for (int i = before + 1;; ++i) {
        if (store.write_process("i", process_of(i)) && write(told[1], &i, sizeof i) < 0) _exit(1);
      }
    }
    close(told[1]);
    faults.set(FaultKind::folder_write_fails, 0.05);
    faults.set(FaultKind::folder_sync_fails, 0.05);
    std::this_thread::sleep_for(milliseconds(20 + chance() % 60));
    kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
    faults.set_none();
    int last = before;
    for (int one = 0; read(told[0], &one, sizeof one) == sizeof one;) last = one;
    close(told[0]);
    const int kept = kept_in(path);
    if (kept < last) std::fprintf(stderr, "told %d, kept %d\n", last, kept);
    assert(kept >= last);
  }
}

// Orders that can't be read for a moment are not taken for damaged: they are still owed.
void orders_are_read_later(FaultInjection& faults, const std::string& folder) {
  const std::string path = folder + "/later";
  admin::OrdersFile file(path);
  fleet::ActiveDirective held;
  held.order.id.assign("order"), held.order.subject.assign("engine"), held.order.holder.assign("holder");
  held.order.generation = 1, held.order.drains = true;
  held.until = std::chrono::seconds(60);
  std::string fault;
  assert(file.write({held}, fleet::Duration(0), milliseconds(1000), fault));
  faults.set(FaultKind::open_fails, 1);
  bool is_short = false;
  try {
    assert(!file.read(milliseconds(1000)).damaged);
  } catch (const ResourceShortage&) {
    is_short = true;
  }
  faults.set_none();
  assert(is_short && file.read(milliseconds(1000)).orders.size() == 1);
  assert(admin::OrdersFile(folder + "/none").read(milliseconds(1000)).orders.empty());
}

void orders_keep(FaultInjection& faults, const std::string& folder) {
  const std::string path = folder + "/orders";
  int refused = 0;
  std::uint64_t kept = 0;
  faults.set(FaultKind::folder_write_fails, 0.1);
  faults.set(FaultKind::folder_write_short, 0.3);
  faults.set(FaultKind::folder_sync_fails, 0.1);
  for (std::uint64_t generation = 1; generation <= 100; ++generation) {
    admin::OrdersFile file(path);
    fleet::ActiveDirective held;
    held.order.id.assign("order"), held.order.subject.assign("engine"), held.order.holder.assign("holder");
    held.order.generation = generation, held.order.drains = true;
    held.until = std::chrono::seconds(60);
    std::string fault;
    if (file.write({held}, fleet::Duration(0), milliseconds(1000), fault)) kept = generation;
    else ++refused, assert(!fault.empty());
  }
  faults.set_none();
  admin::OrdersFile file(path);
  const auto found = file.read(milliseconds(1000));
  std::fprintf(stderr, "%d of 100 orders files were refused\n", refused);
  assert(refused > 0 && refused < 100 && !found.damaged && found.orders.size() == 1);
  assert(found.orders.front().first.generation == kept);
}

// Writes that take fewer bytes than they were given are gone on with, and what fails says why.
void keys_are_written_whole(FaultInjection& faults, const std::string& folder) {
  faults.set(FaultKind::folder_write_short, 0.8);
  keys::Authority authority(folder + "/keys");
  authority.init("site", std::chrono::hours(1));
  for (int i = 0; i < 10; ++i)
    authority.issue("a" + std::to_string(i), fleet::Role::agent, std::chrono::hours(1));
  faults.set_none();
  for (int i = 0; i < 10; ++i)
    assert(keys::read_certificate(authority.path("a" + std::to_string(i) + ".pem")).name ==
           "a" + std::to_string(i));
  faults.set(FaultKind::folder_write_fails, 1);
  std::string told;
  try {
    authority.issue("b", fleet::Role::agent, std::chrono::hours(1));
  } catch (const keys::Error& error) {
    told = error.what();
  }
  faults.set_none();
  std::fprintf(stderr, "%s\n", told.c_str());
  assert(told.find("No space left") != std::string::npos || told.find("Input/output") != std::string::npos);
}

}  // namespace

int main(int, char** words) {
  const char* folder = std::getenv(fault_folder_variable);
  if (!folder) {
    char made[] = "/tmp/pearchute-folder-XXXXXX";
    assert(mkdtemp(made));
    FaultInjection faults(PEARCHUTE_FAULTS, std::string(made) + "-control", "test_folder_faults", 5);
    faults.set_folder(made);
    const pid_t child = fork();
    if (child == 0) {
      for (const auto& [name, value] : faults.environment()) setenv(name.c_str(), value.c_str(), 1);
      execv("/proc/self/exe", words);
      _exit(127);
    }
    int status = 0;
    waitpid(child, &status, 0);
    std::filesystem::remove_all(made);
    return WIFEXITED(status) ? WEXITSTATUS(status) : 1;
  }
  FaultInjection faults(PEARCHUTE_FAULTS, std::string(folder) + "-control", "test_folder_faults", 5);
  store_keeps(faults, folder);
  store_opens_later(faults, folder);
  store_keeps_over_kills(faults, folder);
  orders_keep(faults, folder);
  orders_are_read_later(faults, folder);
  keys_are_written_whole(faults, folder);
  for (const FaultKind kind : folder_kinds) assert(faults.struck(kind) > 0);
  return 0;
}
