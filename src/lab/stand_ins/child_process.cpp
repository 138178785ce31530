#include "lab/stand_ins/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <string_view>

#include "errors/error.h"
#include "system/failures.h"

namespace pearchute::lab {

namespace {

constexpr int status_not_run = 127;

// Strings as exec wants them; they live as long as this does.
class Words {
 public:
  void add(std::string word) { words_.push_back(std::move(word)); }
  char** pointers() {
    pointers_.clear();
    for (std::string& word : words_) pointers_.push_back(word.data());
    pointers_.push_back(nullptr);
    return pointers_.data();
  }

 private:
  std::vector<std::string> words_;
  std::vector<char*> pointers_;
};

Words arguments_of(const ChildProcess& child) {
  Words words;
  words.add(child.program.substr(child.program.rfind('/') + 1));
  for (const std::string& argument : child.arguments) words.add(argument);
  return words;
}

Words environment_of(const ChildProcess& child) {
  Words words;
  const auto is_named = [&](std::string_view entry) {
    const std::string_view name = entry.substr(0, entry.find('='));
    return std::ranges::any_of(child.environment, [&](const auto& one) { return one.first == name; });
  };
  for (char** entry = environ; *entry; ++entry) {
    if (!is_named(*entry)) words.add(*entry);
  }
  for (const auto& [name, value] : child.environment) words.add(name + "=" + value);
  return words;
}

// Only system calls from here on.
[[noreturn]] void become(const ChildProcess& child, pid_t parent, char** arguments, char** environment) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // a laboratory that dies leaves nothing running
  if (::getppid() != parent) ::_exit(status_not_run);
  if (!child.log.empty()) {
    const int log = ::open(child.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(log, STDOUT_FILENO), ::dup2(log, STDERR_FILENO);
  }
  if (child.input >= 0) ::dup2(child.input, STDIN_FILENO);
  if (child.output >= 0) ::dup2(child.output, STDOUT_FILENO);
  if (!child.inherits) ::close_range(STDERR_FILENO + 1, ~0U, 0);
  ::execve(child.program.c_str(), arguments, environment);
  ::_exit(status_not_run);
}

}  // namespace

pid_t start_child(const ChildProcess& child) {
  Words arguments = arguments_of(child), environment = environment_of(child);
  char** const argument_pointers = arguments.pointers();
  char** const environment_pointers = environment.pointers();
  const pid_t parent = ::getpid(), process = ::fork();
  if (process == 0) become(child, parent, argument_pointers, environment_pointers);
  if (process < 0) throw SystemError("no process: " + text_of_error(errno), child.program);
  return process;
}

}  // namespace pearchute::lab
