#include "lab/stand_ins/admin_endpoints.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstring>
#include <stdexcept>

#include "errors/error.h"
#include "lab/stand_ins/child_process.h"

namespace pearchute::lab {

SilentPlace::SilentPlace(const std::string& path) : path_(path) {
  socket_ = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_un at{};
  at.sun_family = AF_UNIX;
  std::strncpy(at.sun_path, path.c_str(), sizeof at.sun_path - 1);
  if (::bind(socket_, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || ::listen(socket_, 16) != 0)
    throw ListeningError("can't listen", path);
}

SilentPlace::~SilentPlace() {
  ::close(socket_);
  ::unlink(path_.c_str());
}

Ran run_program(const std::string& program, const std::vector<std::string>& arguments,
                const std::vector<std::pair<std::string, std::string>>& environment) {
  int pipe[2];
  if (::pipe2(pipe, O_CLOEXEC) != 0)
    throw SystemError("can't create a pipe for the output of a program", program);
  const int null_device = ::open("/dev/null", O_RDWR | O_CLOEXEC);
  const auto started_at = std::chrono::steady_clock::now();
  const pid_t child = start_child({.program = program,
                                   .arguments = arguments,
                                   .environment = environment,
                                   .log = {},
                                   .input = null_device,
                                   .output = pipe[1],
                                   .inherits = true});
  ::close(null_device);
  ::close(pipe[1]);
  Ran ran;
  char buffer[4096];
  for (ssize_t got; (got = ::read(pipe[0], buffer, sizeof buffer)) > 0;)
    ran.out.append(buffer, static_cast<std::size_t>(got));
  ::close(pipe[0]);
  int status = 0;
  ::waitpid(child, &status, 0);
  ran.seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - started_at).count();
  if (WIFEXITED(status)) ran.status = WEXITSTATUS(status);
  return ran;
}

}  // namespace pearchute::lab
