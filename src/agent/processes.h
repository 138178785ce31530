// The processes of an agent's instances: started in sessions of their own, so that they outlive the agent,
// known again after its restart by number, start time and the machine's boot, and held by a pidfd, so that a
// signal never reaches another process that has the number by then. It decides nothing.
#pragma once

#include <sys/resource.h>

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "store/store.h"

namespace pearchute::agent {

class Processes {
 public:
  Processes();  // throws ResourceShortage
  ~Processes();
  Processes(const Processes&) = delete;
  Processes& operator=(const Processes&) = delete;

  // Starts a shell command. It begins only once `keep` has returned true: a process that nobody could know
  // again never is. False where it can't be started or kept, with the reason.
  bool start(const std::string& instance, const std::string& command, const std::string& log,
             const std::function<bool(const store::Process&)>& keep, std::string& fault);
  // True where that very process still runs; it is held from then on. Throws ResourceShortage where that
  // can't be told now.
  bool adopt(const std::string& instance, const store::Process& process);
  bool alive(const std::string& instance);  // lets it go where it has ended
  bool signal(const std::string& instance, int signal);
  void let_go(const std::string& instance);  // it runs on, and is not looked after any more
  std::optional<store::Process> process_of(const std::string& instance) const;

 private:
  struct Held {
    int pidfd = -1;
    store::Process process;
  };
  std::optional<Held> held_child(pid_t child, std::string& fault) const;

  const std::string boot_;
  rlimit given_{};  // of descriptors, as the agent was started; instances get the same
  std::map<std::string, Held> held_;
};

// In clock ticks since the boot; nothing where there is no such process. Throws ResourceShortage where that
// can't be told now.
std::optional<std::uint64_t> start_time_of(std::int64_t pid);

}  // namespace pearchute::agent
