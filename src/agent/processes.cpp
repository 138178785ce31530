#include "agent/processes.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <sstream>

#include "system/files.h"

namespace pearchute::agent {

namespace {

std::string read_boot() {
  const std::string text = read_file("/proc/sys/kernel/random/boot_id");
  return text.substr(0, text.find('\n'));
}

// Less than 0 where there is no such process.
int open_pidfd(std::int64_t pid) {
  const auto pidfd = static_cast<int>(::syscall(SYS_pidfd_open, static_cast<pid_t>(pid), 0));
  if (pidfd >= 0 || last_failure() == Failure::never) return pidfd;
  throw ResourceShortage("process " + std::to_string(pid) + " can't be held: " + text_of_last_error());
}

// Nothing where there is no such process: its file may also end while it is read.
std::optional<std::string> status_text_of(std::int64_t pid) {
  try {
    return read_file_if_there("/proc/" + std::to_string(pid) + "/stat");
  } catch (const ResourceShortage&) {
    throw;
  } catch (const SystemError&) {
    return std::nullopt;
  }
}

}  // namespace

std::optional<std::uint64_t> start_time_of(std::int64_t pid) {
  const std::optional<std::string> text = status_text_of(pid);
  if (!text) return std::nullopt;
  // The name, in brackets, may hold anything; the fields count from behind it. The start is the 22nd of all.
  const std::size_t name_end = text->rfind(')');
  if (name_end == std::string::npos) return std::nullopt;
  std::istringstream fields(text->substr(name_end + 1));
  std::string field;
  for (int number = 3; number <= 22 && fields >> field; ++number) {
    if (number == 3 && (field == "Z" || field == "X")) return std::nullopt;  // has ended
    if (number == 22) return std::stoull(field);
  }
  return std::nullopt;
}

// Each instance costs a descriptor here and one of its admin channel, so the agent takes all that it may
// have.
Processes::Processes() : boot_(read_boot()) {
  if (::getrlimit(RLIMIT_NOFILE, &given_) != 0) return;
  rlimit most = given_;
  most.rlim_cur = most.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &most);
}

Processes::~Processes() {
  for (const auto& [instance, held] : held_) ::close(held.pidfd);
}

bool Processes::start(const std::string& instance, const std::string& command, const std::string& log,
                      const std::function<bool(const store::Process&)>& keep, std::string& fault) {
  int go[2];
  if (::pipe2(go, O_CLOEXEC) != 0) return fault = "pipe: " + text_of_last_error(), false;
  const pid_t child = ::fork();
  if (child < 0) {
    fault = "fork: " + text_of_last_error();
    ::close(go[0]), ::close(go[1]);
    return false;
  }
  if (child == 0) {
    // Nothing but what a forked process may do. It waits for the word that it is kept: an agent that dies
    // before that closes the pipe, and this one ends.
    ::close(go[1]);
    char word = 0;
    if (::read(go[0], &word, 1) != 1) ::_exit(0);
    ::setsid();
    ::signal(SIGPIPE, SIG_DFL);
    const int in = ::open("/dev/null", O_RDONLY);
    const int out = ::open(log.empty() ? "/dev/null" : log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(in, 0), ::dup2(out, 1), ::dup2(out, 2);
    ::close_range(3, ~0U, 0);
    if (given_.rlim_max > 0) ::setrlimit(RLIMIT_NOFILE, &given_);
    ::execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
    ::_exit(127);
  }
  ::close(go[0]);
  const std::optional<Held> held = held_child(child, fault);
  const bool kept = held && keep(held->process);
  if (kept) {
    let_go(instance);
    held_[instance] = *held;
    [[maybe_unused]] const auto told = uninterrupted([&] { return ::write(go[1], "g", 1); });
  }
  ::close(go[1]);
  if (kept) return true;
  if (held) fault = "it can't be written down";
  uninterrupted([&] { return ::waitpid(child, nullptr, 0); });
  if (held) ::close(held->pidfd);
  return false;
}

// A process that waits for the word to begin.
std::optional<Processes::Held> Processes::held_child(pid_t child, std::string& fault) const {
  int pidfd = -1;
  try {
    pidfd = open_pidfd(child);
    const auto started = start_time_of(child);
    if (pidfd >= 0 && started) return Held{pidfd, {child, *started, boot_}};
    fault = "its process can't be held";
  } catch (const ResourceShortage& shortage) {
    fault = shortage.what();
  }
  if (pidfd >= 0) ::close(pidfd);
  return std::nullopt;
}

bool Processes::adopt(const std::string& instance, const store::Process& process) {
  if (process.boot != boot_) return false;
  // The pidfd first: what it holds can't become another one between the look and the signal.
  const int pidfd = open_pidfd(process.pid);
  if (pidfd < 0) return false;
  bool is_the_same = false;
  try {
    is_the_same = start_time_of(process.pid) == process.started;
  } catch (const ResourceShortage&) {
    ::close(pidfd);
    throw;
  }
  if (!is_the_same) {
    ::close(pidfd);
    return false;
  }
  let_go(instance);
  held_[instance] = {pidfd, process};
  return alive(instance);
}

bool Processes::alive(const std::string& instance) {
  const auto at = held_.find(instance);
  if (at == held_.end()) return false;
  pollfd ended{at->second.pidfd, POLLIN, 0};
  // Guards against a look that fails, by a signal or for want of memory, and is taken for the process's end.
  if (uninterrupted([&] { return ::poll(&ended, 1, 0); }) != 1) return true;
  siginfo_t status{};
  ::waitid(P_PIDFD, static_cast<id_t>(at->second.pidfd), &status, WEXITED | WNOHANG);  // where it is a child
  let_go(instance);
  return false;
}

bool Processes::signal(const std::string& instance, int signal) {
  const auto at = held_.find(instance);
  return at != held_.end() && ::syscall(SYS_pidfd_send_signal, at->second.pidfd, signal, nullptr, 0) == 0;
}

std::optional<store::Process> Processes::process_of(const std::string& instance) const {
  const auto at = held_.find(instance);
  if (at == held_.end()) return std::nullopt;
  return at->second.process;
}

void Processes::let_go(const std::string& instance) {
  const auto at = held_.find(instance);
  if (at == held_.end()) return;
  ::close(at->second.pidfd);
  held_.erase(at);
}

}  // namespace pearchute::agent
