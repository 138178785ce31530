#include "lab/scale/hollow_rack.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <nlohmann/json.hpp>

#include "errors/error.h"
#include "lab/checkers/history_checker.h"
#include "lab/stand_ins/child_process.h"

namespace pearchute::lab {

namespace {

// The thirty agents of a rack write thirty databases at the start, on a disk that others use as well.
constexpr std::chrono::seconds answer_timeout(60);
constexpr std::uint64_t seeds_per_start = 7919;

}  // namespace

HollowRack::HollowRack(std::string program, HollowHostsSpec spec, std::size_t number)
    : program_(std::move(program)),
      file_(spec.folder + "/rack" + std::to_string(number) + ".json"),
      log_(spec.folder + "/rack" + std::to_string(number) + ".log"),
      spec_(std::move(spec)) {}

HollowRack::~HollowRack() { kill(); }

void HollowRack::start() {
  spec_.seed += seeds_per_start * starts_++;
  std::ofstream(file_) << to_json(spec_).dump() << "\n";
  int input[2], output[2];
  if (::pipe2(input, O_CLOEXEC) != 0) throw SystemError("can't create a pipe to a process of hollow hosts");
  if (::pipe2(output, O_CLOEXEC) != 0) {
    ::close(input[0]), ::close(input[1]);
    throw SystemError("can't create a pipe to a process of hollow hosts");
  }
  input_ = input[1], output_ = output[0];
  try {
    process_ = start_child({.program = program_,
                            .arguments = {"hollow-hosts", "--spec", file_},
                            .environment = {},
                            .log = log_,
                            .input = input[0],
                            .output = output[1]});
  } catch (const SystemError&) {
    ::close(input[0]), ::close(output[1]);
    close_pipes();
    throw;
  }
  ::close(input[0]), ::close(output[1]);
}

void HollowRack::close_pipes() {
  if (input_ >= 0) ::close(input_);
  if (output_ >= 0) ::close(output_);
  input_ = output_ = -1;
  read_ahead_.clear();
}

void HollowRack::kill() {
  if (process_ <= 0) return;
  ::kill(process_, SIGKILL);
  ::waitpid(process_, nullptr, 0);
  process_ = -1;
  close_pipes();
}

void HollowRack::send(const nlohmann::json& command) {
  const std::string line = command.dump() + "\n";
  std::string_view rest = line;
  while (!rest.empty()) {
    const ssize_t written = ::write(input_, rest.data(), rest.size());
    if (written <= 0) throw TestClusterError("can't write a command to a process of hollow hosts", log_);
    rest.remove_prefix(static_cast<std::size_t>(written));
  }
}

nlohmann::json HollowRack::receive() {
  const Time end = steady_now() + answer_timeout;
  std::size_t line_end;
  while ((line_end = read_ahead_.find('\n')) == std::string::npos) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - steady_now()).count();
    pollfd descriptor{output_, POLLIN, 0};
    if (left <= 0 || ::poll(&descriptor, 1, static_cast<int>(left)) <= 0)
      throw TestClusterError("a process of hollow hosts did not answer within 60 s", log_);
    char buffer[16384];
    const ssize_t length = ::read(output_, buffer, sizeof buffer);
    if (length <= 0) throw TestClusterError("a process of hollow hosts has exited", log_);
    read_ahead_.append(buffer, static_cast<std::size_t>(length));
  }
  const std::string line = read_ahead_.substr(0, line_end);
  read_ahead_.erase(0, line_end + 1);
  return nlohmann::json::parse(line);
}

}  // namespace pearchute::lab
