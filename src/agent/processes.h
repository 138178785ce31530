// The processes of an agent's instances. Each process runs in a session of its own, so that it outlives the
// agent. After a restart the agent recognizes it by pid, start time and boot id. A pidfd refers to it, so
// that a signal never reaches another process to which the pid has been reassigned.
//
// Not thread-safe. start() blocks for the time of a fork.
#pragma once

#include <sys/resource.h>

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "store/store.h"
#include "system/file_descriptor.h"

namespace pearchute::agent {

// Holds at most one process for each instance. Destroying it leaves the processes running.
class Processes {
 public:
  // Raises this program's soft limit of file descriptors to the hard limit, since each instance uses two.
  // Throws SystemError if the machine's boot id can't be read, ResourceShortage if it temporarily can't.
  Processes();
  Processes(const Processes&) = delete;
  Processes& operator=(const Processes&) = delete;

  // Starts a shell command, whose output is appended to the file `log` (empty: discarded). The command runs
  // only after `persist` has returned true, so that every running process can be recognized after a restart.
  // Returns false and sets `error` if the process can't be created or persisted.
  bool start(const std::string& instance, const std::string& command, const std::string& log,
             const std::function<bool(const store::ProcessRecord&)>& persist, std::string& error);

  // Adopts a process that an earlier run of the agent started. Returns false if it has exited. Throws
  // ResourceShortage if that temporarily can't be determined.
  bool adopt(const std::string& instance, const store::ProcessRecord& process);

  // Whether the instance's process runs. A process that has exited is reaped and released.
  bool alive(const std::string& instance);
  // Returns false if the instance has no process or the signal can't be sent.
  bool signal(const std::string& instance, int signal);
  // Forgets the instance's process, which keeps running.
  void release(const std::string& instance);
  std::optional<store::ProcessRecord> process_of(const std::string& instance) const;

 private:
  // The pidfd refers to this process only, even if its pid is reassigned.
  struct Handle {
    FileDescriptor pidfd;
    store::ProcessRecord process;
  };
  std::optional<Handle> open_child(pid_t child, std::string& error) const;

  const std::string boot_id_;
  rlimit inherited_limit_{};  // of file descriptors, before it was raised; set again in each instance
  std::map<std::string, Handle> handles_;
};

// The start time of a process in clock ticks since the machine's boot; nullopt if there is no such process or
// it has exited. Throws ResourceShortage if that temporarily can't be determined.
std::optional<std::uint64_t> start_ticks_of(std::int64_t pid);

}  // namespace pearchute::agent
