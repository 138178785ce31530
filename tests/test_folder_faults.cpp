// Files in a folder where writes and syncs fail temporarily: what was reported as written can be read
// afterwards, a failed write leaves no partial data, and writes succeed again once the folder works. The
// program re-executes itself with the library that injects faults into system calls.
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

#include "admin/directives_file.h"
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

// Writes the numbers from `from` on, `count` of them. Returns the last one that was reported as written, and
// adds the failed writes to `failed`.
int write_numbers(store::Store& store, int from, int count, int& failed) {
  int last_written = from - 1;
  for (int i = from; i < from + count; ++i) {
    if (store.write_process("i", process_of(i))) last_written = i;
    else ++failed;
  }
  return last_written;
}

// Opens the store anew and reads the last number; 0 if there is none.
int number_in(const std::string& path) {
  store::Store store(path);
  std::string error;
  const auto status = store.open(error);
  if (status != store::OpenStatus::usable) std::fprintf(stderr, "%s\n", error.c_str());
  assert(status == store::OpenStatus::usable);
  const auto processes = store.processes();
  return processes.contains("i") ? static_cast<int>(processes.at("i").pid) : 0;
}

// The store holds the last successful write, and recovers from failed ones while it is open.
void test_store_writes(FaultInjection& faults, const std::string& folder) {
  int failed = 0;
  for (const double share : {0.02, 0.08, 0.2}) {
    for (const FaultKind kind : folder_kinds) {
      const std::string path = folder + "/state.db";
      int written = 0;
      {
        store::Store store(path);
        std::string error;
        assert(store.open(error) == store::OpenStatus::usable);
        written = write_numbers(store, 1, 3, failed);
        assert(written == 3);
        faults.set(kind, share);
        const int during = write_numbers(store, 4, 60, failed);
        faults.set_none();
        if (during > 3) written = during;
        // Writes succeed again without opening the store anew.
        const int after = write_numbers(store, 100, 2, failed);
        if (after != 101)
          std::fprintf(stderr, "%s at %g: %s\n", fault_kind_names[static_cast<std::size_t>(kind)].data(),
                       share, store.last_error().c_str());
        assert(after == 101);
        written = after;
      }
      assert(number_in(path) == written);
      std::filesystem::remove(path);
    }
  }
  std::fprintf(stderr, "%d writes failed\n", failed);
  assert(failed > 0);
}

// If the folder fails temporarily while the store is opened, the status is temporarily_unavailable instead of
// unusable or damaged, and a later attempt succeeds.
void test_store_open(FaultInjection& faults, const std::string& folder) {
  const std::string path = folder + "/opened.db";
  int unavailable_count = 0;
  for (int i = 0; i < 60; ++i) {
    faults.set(FaultKind::folder_write_fails, 0.2);
    faults.set(FaultKind::folder_sync_fails, 0.2);
    store::Store store(path);
    std::string error;
    auto status = store.open(error);
    if (status != store::OpenStatus::usable) {
      if (status != store::OpenStatus::temporarily_unavailable) std::fprintf(stderr, "%s\n", error.c_str());
      assert(status == store::OpenStatus::temporarily_unavailable);
      ++unavailable_count;
      faults.set_none();
      status = store.open(error);
    }
    assert(status == store::OpenStatus::usable);
    faults.set_none();
  }
  assert(unavailable_count > 0);
}

// A process is killed at a random moment while writes fail. What it reported as written before is in the
// store.
void test_store_after_kill(FaultInjection& faults, const std::string& folder) {
  const std::string path = folder + "/killed.db";
  std::knuth_b generator(7);
  for (int round = 0; round < 12; ++round) {
    int reports[2];  // the pipe by which the child reports each number that it has written
    assert(pipe(reports) == 0);
    const int before = std::filesystem::exists(path) ? number_in(path) : 0;
    const pid_t child = fork();
    if (child == 0) {
      store::Store store(path);
      std::string error;
      while (store.open(error) != store::OpenStatus::usable) usleep(1000);
      for (int i = before + 1;; ++i) {
        if (store.write_process("i", process_of(i)) && write(reports[1], &i, sizeof i) < 0) _exit(1);
      }
    }
    close(reports[1]);
    faults.set(FaultKind::folder_write_fails, 0.05);
    faults.set(FaultKind::folder_sync_fails, 0.05);
    std::this_thread::sleep_for(milliseconds(20 + generator() % 60));
    kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
    faults.set_none();
    int last_reported = before;
    for (int number = 0; read(reports[0], &number, sizeof number) == sizeof number;) last_reported = number;
    close(reports[0]);
    const int stored = number_in(path);
    if (stored < last_reported) std::fprintf(stderr, "reported %d, stored %d\n", last_reported, stored);
    assert(stored >= last_reported);
  }
}

// An orders file that temporarily can't be read is not reported as damaged, and is read in full later.
void test_orders_file_read(FaultInjection& faults, const std::string& folder) {
  const std::string path = folder + "/later";
  admin::DirectivesFile file(path);
  fleet::ActiveDirective held;
  held.order.id.assign("order"), held.order.subject.assign("engine"), held.order.holder.assign("holder");
  held.order.generation = 1, held.order.drains = true;
  held.until = std::chrono::seconds(60);
  std::string error;
  assert(file.write({held}, fleet::Duration(0), milliseconds(1000), error));
  faults.set(FaultKind::open_fails, 1);
  bool has_shortage = false;
  try {
    assert(!file.read(milliseconds(1000)).damaged);
  } catch (const ResourceShortage&) {
    has_shortage = true;
  }
  faults.set_none();
  assert(has_shortage && file.read(milliseconds(1000)).directives.size() == 1);
  assert(admin::DirectivesFile(folder + "/none").read(milliseconds(1000)).directives.empty());
}

// The orders file holds the orders of the last successful write.
void test_orders_file_writes(FaultInjection& faults, const std::string& folder) {
  const std::string path = folder + "/orders";
  int failed = 0;
  std::uint64_t last_written = 0;
  faults.set(FaultKind::folder_write_fails, 0.1);
  faults.set(FaultKind::folder_write_short, 0.3);
  faults.set(FaultKind::folder_sync_fails, 0.1);
  for (std::uint64_t generation = 1; generation <= 100; ++generation) {
    admin::DirectivesFile file(path);
    fleet::ActiveDirective held;
    held.order.id.assign("order"), held.order.subject.assign("engine"), held.order.holder.assign("holder");
    held.order.generation = generation, held.order.drains = true;
    held.until = std::chrono::seconds(60);
    std::string error;
    if (file.write({held}, fleet::Duration(0), milliseconds(1000), error)) last_written = generation;
    else ++failed, assert(!error.empty());
  }
  faults.set_none();
  admin::DirectivesFile file(path);
  const auto found = file.read(milliseconds(1000));
  std::fprintf(stderr, "%d of 100 writes of the orders file failed\n", failed);
  assert(failed > 0 && failed < 100 && !found.damaged && found.directives.size() == 1);
  assert(found.directives.front().directive.generation == last_written);
}

// Key and certificate files are complete although write() writes only a part of the bytes at a time. If it
// fails, the error states the reason.
void test_key_files(FaultInjection& faults, const std::string& folder) {
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
  std::string message;
  try {
    authority.issue("b", fleet::Role::agent, std::chrono::hours(1));
  } catch (const keys::Error& error) {
    message = error.what();
  }
  faults.set_none();
  std::fprintf(stderr, "%s\n", message.c_str());
  assert(message.find("No space left") != std::string::npos ||
         message.find("Input/output") != std::string::npos);
}

}  // namespace

int main(int, char** arguments) {
  const char* folder = std::getenv(fault_folder_variable);
  if (!folder) {
    char created[] = "/tmp/pearchute-folder-XXXXXX";
    assert(mkdtemp(created));
    FaultInjection faults(PEARCHUTE_FAULTS, std::string(created) + "-control", "test_folder_faults", 5);
    faults.set_folder(created);
    const pid_t child = fork();
    if (child == 0) {
      for (const auto& [name, value] : faults.environment()) setenv(name.c_str(), value.c_str(), 1);
      execv("/proc/self/exe", arguments);
      _exit(127);
    }
    int status = 0;
    waitpid(child, &status, 0);
    std::filesystem::remove_all(created);
    return WIFEXITED(status) ? WEXITSTATUS(status) : 1;
  }
  FaultInjection faults(PEARCHUTE_FAULTS, std::string(folder) + "-control", "test_folder_faults", 5);
  test_store_writes(faults, folder);
  test_store_open(faults, folder);
  test_store_after_kill(faults, folder);
  test_orders_file_writes(faults, folder);
  test_orders_file_read(faults, folder);
  test_key_files(faults, folder);
  for (const FaultKind kind : folder_kinds) assert(faults.struck(kind) > 0);
  return 0;
}
