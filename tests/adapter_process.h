// The simulator adapter (pearchute_drill) as a child process: exchanges batches of events for replies. Not
// thread-safe.
#pragma once

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>
#include <string>
#include <string_view>

namespace pearchute::test {

class AdapterProcess {
 public:
  explicit AdapterProcess(const char* program) {
    std::signal(SIGPIPE, SIG_IGN);
    int to_child[2], from_child[2];
    // O_CLOEXEC, so that no other child keeps the input open: the adapter exits when its input is closed.
    if (pipe2(to_child, O_CLOEXEC) != 0 || pipe2(from_child, O_CLOEXEC) != 0)
      throw std::runtime_error("cannot create pipes");
    child_ = fork();
    if (child_ < 0) throw std::runtime_error("cannot fork");
    if (child_ == 0) {
      dup2(to_child[0], STDIN_FILENO);
      dup2(from_child[1], STDOUT_FILENO);
      execl(program, program, static_cast<char*>(nullptr));
      _exit(127);
    }
    close(to_child[0]);
    close(from_child[1]);
    input_ = to_child[1];
    output_ = from_child[0];
  }
  ~AdapterProcess() {
    if (input_ >= 0) finish();
  }
  AdapterProcess(const AdapterProcess&) = delete;
  AdapterProcess& operator=(const AdapterProcess&) = delete;

  // Writes the whole batch, then reads the reply up to and including its last line. Throws std::runtime_error
  // where the adapter has ended.
  std::string exchange(std::string_view batch) {
    while (!batch.empty()) {
      const ssize_t written = write(input_, batch.data(), batch.size());
      if (written <= 0) throw std::runtime_error("cannot write to the adapter");
      batch.remove_prefix(static_cast<std::size_t>(written));
    }
    std::string reply;
    while (!reply.ends_with("ACK\n")) {
      char buffer[16384];
      const ssize_t count = read(output_, buffer, sizeof buffer);
      if (count <= 0) throw std::runtime_error("the adapter ended before its reply was complete");
      reply.append(buffer, static_cast<std::size_t>(count));
    }
    return reply;
  }

  // Closes the input and waits for the child. Returns its exit status, or -1 where it was killed by a signal.
  int finish() {
    close(input_);
    close(output_);
    input_ = output_ = -1;
    int status = 0;
    if (waitpid(child_, &status, 0) != child_ || !WIFEXITED(status)) return -1;
    return WEXITSTATUS(status);
  }

 private:
  pid_t child_ = -1;
  int input_ = -1, output_ = -1;
};

}  // namespace pearchute::test
