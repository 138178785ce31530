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

constexpr int exit_status_not_executed = 127;

// Owns strings and provides the null-terminated array of pointers that exec needs.
class ExecStrings {
 public:
  void add(std::string string_value) { strings_.push_back(std::move(string_value)); }
  char** pointers() {
    pointers_.clear();
    for (std::string& string_value : strings_) pointers_.push_back(string_value.data());
    pointers_.push_back(nullptr);
    return pointers_.data();
  }

 private:
  std::vector<std::string> strings_;
  std::vector<char*> pointers_;
};

ExecStrings arguments_of(const ChildProcess& child) {
  ExecStrings strings;
  strings.add(child.program.substr(child.program.rfind('/') + 1));
  for (const std::string& argument : child.arguments) strings.add(argument);
  return strings;
}

ExecStrings environment_of(const ChildProcess& child) {
  ExecStrings strings;
  const auto is_named = [&](std::string_view entry) {
    const std::string_view name = entry.substr(0, entry.find('='));
    return std::ranges::any_of(child.environment, [&](const auto& one) { return one.first == name; });
  };
  for (char** entry = environ; *entry; ++entry) {
    if (!is_named(*entry)) strings.add(*entry);
  }
  for (const auto& [name, value] : child.environment) strings.add(name + "=" + value);
  return strings;
}

// Runs in the child, so it makes only system calls.
[[noreturn]] void execute(const ChildProcess& child, pid_t parent, char** arguments, char** environment) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // no child outlives the laboratory
  if (::getppid() != parent) ::_exit(exit_status_not_executed);
  if (!child.log.empty()) {
    const int log = ::open(child.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(log, STDOUT_FILENO), ::dup2(log, STDERR_FILENO);
  }
  if (child.input >= 0) ::dup2(child.input, STDIN_FILENO);
  if (child.output >= 0) ::dup2(child.output, STDOUT_FILENO);
  if (!child.inherits) ::close_range(STDERR_FILENO + 1, ~0U, 0);
  ::execve(child.program.c_str(), arguments, environment);
  ::_exit(exit_status_not_executed);
}

}  // namespace

pid_t start_child(const ChildProcess& child) {
  ExecStrings arguments = arguments_of(child), environment = environment_of(child);
  char** const argument_pointers = arguments.pointers();
  char** const environment_pointers = environment.pointers();
  const pid_t parent = ::getpid(), process = ::fork();
  if (process == 0) execute(child, parent, argument_pointers, environment_pointers);
  if (process < 0) throw SystemError("can't create a process: " + text_of_error(errno), child.program);
  return process;
}

}  // namespace pearchute::lab
