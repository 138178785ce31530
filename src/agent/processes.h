// The processes of an agent's instances. Each is started in a session of its own, so that it outlives the
// agent; it is recognized after the agent's restart by pid, start time and boot id; and it is referred to by
// a pidfd, so that a signal never reaches another process that has the pid by then.
//
// Not thread-safe. Blocks for the time of a fork.
#pragma once

#include <sys/resource.h>

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "store/store.h"
#include "system/file_descriptor.h"

namespace pearchute::agent {

// By instance. Destroying it leaves the processes running.
class Processes {
 public:
  // Raises this program's own limit of descriptors to its maximum: each instance costs two. Throws
  // ResourceShortage, or SystemError where the machine's boot id can't be read.
  Processes();
  Processes(const Processes&) = delete;
  Processes& operator=(const Processes&) = delete;

  // Starts a shell command, whose output is appended to the file `log` (empty: dropped). The command begins
  // only once `persist` has returned true, so that no process runs which could not be recognized later. False
  // where it can't be started or persisted; `error` says why.
  bool start(const std::string& instance, const std::string& command, const std::string& log,
             const std::function<bool(const store::ProcessRecord&)>& persist, std::string& error);

  // Takes over a process that an earlier run of the agent started. False where it has ended. Throws
  // ResourceShortage where that can't be determined now.
  bool adopt(const std::string& instance, const store::ProcessRecord& process);

  // Whether the instance's process runs. One that has ended is reaped and released.
  bool alive(const std::string& instance);
  // False where there is no process that can get it.
  bool signal(const std::string& instance, int signal);
  // Stops referring to the process, which runs on.
  void release(const std::string& instance);
  std::optional<store::ProcessRecord> process_of(const std::string& instance) const;

 private:
  struct Handle {
    FileDescriptor pidfd;
    store::ProcessRecord process;
  };
  std::optional<Handle> open_child(pid_t child, std::string& error) const;

  const std::string boot_id_;
  rlimit inherited_limit_{};  // of descriptors, as the agent was started; instances get the same
  std::map<std::string, Handle> handles_;
};

// A process's start, in clock ticks since the machine's boot; nothing where there is no such process or it
// has ended. Throws ResourceShortage where that can't be determined now.
std::optional<std::uint64_t> start_ticks_of(std::int64_t pid);

}  // namespace pearchute::agent
