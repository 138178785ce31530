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

// Positions of fields in /proc/PID/stat, counted from 1; see proc(5).
constexpr int state_field = 3;
constexpr int start_time_field = 22;

constexpr mode_t log_file_mode = 0600;
constexpr int command_not_run_status = 127;  // the exit status of a shell that finds no such command

std::string read_boot_id() {
  const std::string text = read_file("/proc/sys/kernel/random/boot_id");
  return text.substr(0, text.find('\n'));
}

// Returns a descriptor that is not open if there is no such process. Throws ResourceShortage.
FileDescriptor open_pidfd(std::int64_t pid) {
  FileDescriptor pidfd(static_cast<int>(::syscall(SYS_pidfd_open, static_cast<pid_t>(pid), 0)));
  if (pidfd.is_open() || last_failure() == Failure::never) return pidfd;
  throw ResourceShortage("can't open a pidfd of process " + std::to_string(pid) + ": " +
                         text_of_last_error());
}

// Returns nullopt if there is no such process. Reading the file also fails if the process exits meanwhile.
std::optional<std::string> read_stat(std::int64_t pid) {
  try {
    return read_file_if_there("/proc/" + std::to_string(pid) + "/stat");
  } catch (const ResourceShortage&) {
    throw;
  } catch (const SystemError&) {
    return std::nullopt;
  }
}

// The pipe by which the agent lets a forked child run its command. If the pipe is closed without a byte, the
// child exits.
struct StartPipe {
  FileDescriptor read_end;
  FileDescriptor write_end;
};

bool open_pipe(StartPipe& pipe) {
  int ends[2];
  if (::pipe2(ends, O_CLOEXEC) != 0) return false;
  pipe.read_end = FileDescriptor(ends[0]);
  pipe.write_end = FileDescriptor(ends[1]);
  return true;
}

void redirect_standard_streams(const char* output) {
  const int in = ::open("/dev/null", O_RDONLY);
  const int out = ::open(output, O_WRONLY | O_CREAT | O_APPEND, log_file_mode);
  ::dup2(in, STDIN_FILENO);
  ::dup2(out, STDOUT_FILENO);
  ::dup2(out, STDERR_FILENO);
  ::close_range(STDERR_FILENO + 1, ~0U, 0);
}

// Runs in the forked child. Makes only async-signal-safe calls, since other threads of the agent may have
// held locks at the fork. Waits until the process's record is persisted; if the agent dies before that, the
// pipe is closed.
[[noreturn]] void run_child(StartPipe& pipe, const char* command, const char* output,
                            const rlimit& descriptor_limit) {
  pipe.write_end.reset();
  char begin = 0;
  if (::read(pipe.read_end.get(), &begin, 1) != 1) ::_exit(0);
  ::setsid();
  ::signal(SIGPIPE, SIG_DFL);
  redirect_standard_streams(output);
  if (descriptor_limit.rlim_max > 0) ::setrlimit(RLIMIT_NOFILE, &descriptor_limit);
  ::execl("/bin/sh", "sh", "-c", command, static_cast<char*>(nullptr));
  ::_exit(command_not_run_status);
}

}  // namespace

std::optional<std::uint64_t> start_ticks_of(std::int64_t pid) {
  const std::optional<std::string> stat = read_stat(pid);
  if (!stat) return std::nullopt;
  // The second field, the command's name in parentheses, may contain any character. The other fields follow
  // its last closing parenthesis.
  const std::size_t name_end = stat->rfind(')');
  if (name_end == std::string::npos) return std::nullopt;
  std::istringstream fields(stat->substr(name_end + 1));
  std::string field;
  for (int number = state_field; number <= start_time_field && fields >> field; ++number) {
    const bool has_ended = number == state_field && (field == "Z" || field == "X");
    if (has_ended) return std::nullopt;
    if (number == start_time_field) return std::stoull(field);
  }
  return std::nullopt;
}

Processes::Processes() : boot_id_(read_boot_id()) {
  if (::getrlimit(RLIMIT_NOFILE, &inherited_limit_) != 0) return;
  rlimit raised = inherited_limit_;
  raised.rlim_cur = raised.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &raised);
}

bool Processes::start(const std::string& instance, const std::string& command, const std::string& log,
                      const std::function<bool(const store::ProcessRecord&)>& persist, std::string& error) {
  StartPipe pipe;
  if (!open_pipe(pipe)) {
    error = "pipe: " + text_of_last_error();
    return false;
  }
  const char* output = log.empty() ? "/dev/null" : log.c_str();
  const pid_t child = ::fork();
  if (child < 0) {
    error = "fork: " + text_of_last_error();
    return false;
  }
  if (child == 0) run_child(pipe, command.c_str(), output, inherited_limit_);
  pipe.read_end.reset();
  std::optional<Handle> handle = open_child(child, error);
  if (handle && persist(handle->process)) {
    handles_.insert_or_assign(instance, std::move(*handle));
    [[maybe_unused]] const auto written =
        uninterrupted([&] { return ::write(pipe.write_end.get(), "g", 1); });
    return true;
  }
  if (handle) error = "its process record can't be persisted";
  pipe.write_end.reset();  // lets the child exit; waitpid reaps it
  uninterrupted([&] { return ::waitpid(child, nullptr, 0); });
  return false;
}

// Opens a handle to a child that waits at its start pipe. Returns nullopt and sets `error` if that fails.
std::optional<Processes::Handle> Processes::open_child(pid_t child, std::string& error) const {
  try {
    FileDescriptor pidfd = open_pidfd(child);
    const std::optional<std::uint64_t> start_ticks = start_ticks_of(child);
    if (pidfd.is_open() && start_ticks) {
      store::ProcessRecord process;
      process.pid = child;
      process.start_ticks = *start_ticks;
      process.boot_id = boot_id_;
      return Handle{std::move(pidfd), process};
    }
    error = "its process exited before it ran the command";
  } catch (const ResourceShortage& shortage) {
    error = shortage.what();
  }
  return std::nullopt;
}

bool Processes::adopt(const std::string& instance, const store::ProcessRecord& process) {
  if (process.boot_id != boot_id_) return false;
  // Opens the pidfd before it checks the start time: from then on the pidfd refers to the process that is
  // checked.
  FileDescriptor pidfd = open_pidfd(process.pid);
  if (!pidfd.is_open() || start_ticks_of(process.pid) != process.start_ticks) return false;
  handles_.insert_or_assign(instance, Handle{std::move(pidfd), process});
  return alive(instance);
}

bool Processes::alive(const std::string& instance) {
  const auto at = handles_.find(instance);
  if (at == handles_.end()) return false;
  const int pidfd = at->second.pidfd.get();
  pollfd exit_event{pidfd, POLLIN, 0};
  // A poll that fails, because of a signal or a shortage of memory, doesn't mean that the process has exited.
  if (uninterrupted([&] { return ::poll(&exit_event, 1, 0); }) != 1) return true;
  siginfo_t status{};
  ::waitid(P_PIDFD, static_cast<id_t>(pidfd), &status, WEXITED | WNOHANG);  // reaps a child
  release(instance);
  return false;
}

bool Processes::signal(const std::string& instance, int signal) {
  const auto at = handles_.find(instance);
  if (at == handles_.end()) return false;
  return ::syscall(SYS_pidfd_send_signal, at->second.pidfd.get(), signal, nullptr, 0) == 0;
}

void Processes::release(const std::string& instance) { handles_.erase(instance); }

std::optional<store::ProcessRecord> Processes::process_of(const std::string& instance) const {
  const auto at = handles_.find(instance);
  if (at == handles_.end()) return std::nullopt;
  return at->second.process;
}

}  // namespace pearchute::agent
