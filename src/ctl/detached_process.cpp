#include "ctl/detached_process.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "system/failures.h"

namespace pearchute::ctl {

namespace {

constexpr int fork_failed_status = 1;
constexpr int command_not_run_status = 127;  // as in shells

// Runs in the forked child. It forks again and exits, so that the grandchild, which runs the command, is not
// a child of the calling process.
[[noreturn]] void become_detached(const char* command) {
  ::setsid();
  const pid_t grandchild = ::fork();
  if (grandchild != 0) ::_exit(grandchild > 0 ? 0 : fork_failed_status);
  const int null_device = ::open("/dev/null", O_RDWR);
  ::dup2(null_device, STDIN_FILENO);
  ::dup2(null_device, STDOUT_FILENO);
  ::dup2(null_device, STDERR_FILENO);
  ::close_range(STDERR_FILENO + 1, ~0U, 0);
  ::execl("/bin/sh", "sh", "-c", command, static_cast<char*>(nullptr));
  ::_exit(command_not_run_status);
}

}  // namespace

void start_detached(const std::string& command) {
  const pid_t child = ::fork();
  if (child == 0) become_detached(command.c_str());
  if (child < 0) throw ResourceShortage("cannot fork: " + text_of_last_error());
  int status = 0;
  uninterrupted([&] { return ::waitpid(child, &status, 0); });
  if (!WIFEXITED(status) || WEXITSTATUS(status) != 0)
    throw ResourceShortage("cannot fork a detached process");
}

}  // namespace pearchute::ctl
