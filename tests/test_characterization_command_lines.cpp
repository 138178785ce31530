// Characterization of the command lines: the --help text of each program and subcommand, the format of
// --version, and the exit statuses of invalid uses. Error messages on standard error are not compared. The
// expected output is in data/characterization/command_lines.txt, recorded from the build of 2026-12-02.
//
// A renaming must not change the expected values: a difference means that operators' scripts see a change.
// The actual output is written to characterization_command_lines.seen in the working directory, for
// comparison.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <iterator>
#include <regex>
#include <string>
#include <vector>

namespace {

using Arguments = std::vector<std::string>;

struct Result {
  int status = -1;
  std::string output;  // from standard output
};

// Runs the program to its end, with its bare name as argv[0] and a fixed environment, so that the output
// doesn't depend on the machine.
Result run(const std::string& program, const Arguments& arguments) {
  std::string name = program.substr(program.rfind('/') + 1);
  std::vector<char*> argument_pointers = {name.data()};
  std::vector<std::string> copies = arguments;
  for (std::string& argument : copies) argument_pointers.push_back(argument.data());
  argument_pointers.push_back(nullptr);
  std::string path = "PATH=/usr/bin:/bin";
  char* environment[] = {path.data(), nullptr};
  int pipe_ends[2];
  Result result;
  if (pipe2(pipe_ends, O_CLOEXEC) != 0) return result;
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDOUT_FILENO);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, "/dev/null", O_WRONLY, 0);
  pid_t child = -1;
  const int failure =
      posix_spawn(&child, program.c_str(), &actions, nullptr, argument_pointers.data(), environment);
  posix_spawn_file_actions_destroy(&actions);
  close(pipe_ends[1]);
  char buffer[4096];
  for (ssize_t count; failure == 0 && (count = read(pipe_ends[0], buffer, sizeof buffer)) > 0;)
    result.output.append(buffer, static_cast<std::size_t>(count));
  close(pipe_ends[0]);
  int status = 0;
  if (failure == 0 && waitpid(child, &status, 0) == child && WIFEXITED(status))
    result.status = WEXITSTATUS(status);
  return result;
}

std::string joined(const Arguments& arguments) {
  std::string text;
  for (const std::string& argument : arguments) text += " " + argument;
  return text;
}

const std::vector<std::pair<std::string, std::vector<Arguments>>>& uses() {
  static const std::vector<std::pair<std::string, std::vector<Arguments>>> all = {
      {PEARCHUTED,
       {{"--help"},
        {"--config", "/nowhere/config.json"},
        {"--check", "/nowhere/config.json"},
        {"--admin", "/nowhere/admin.ini", "--config", "/nowhere/config.json"},
        {"--log", "loud"},
        {"--unknown"},
        {"surplus"},
        {}}},
      {PEARCHUTECTL,
       {{"--help"},
        {"status", "--help"},
        {"engines", "--help"},
        {"jobs", "--help"},
        {"top", "--help"},
        {"watch", "--help"},
        {"orders", "--help"},
        {"drain", "--help"},
        {"resume", "--help"},
        {"restart", "--help"},
        {"engine", "--help"},
        {"engine", "drain", "--help"},
        {"engine", "restore", "--help"},
        {"engine", "list", "--help"},
        {"log-level", "--help"},
        {"check", "--help"},
        {"agents", "--help"},
        {"claims", "--help"},
        {"rollout", "--help"},
        {"rollout", "plan", "--help"},
        {"rollout", "start", "--help"},
        {"rollout", "list", "--help"},
        {"rollout", "history", "--help"},
        {"rollout", "status", "--help"},
        {"rollout", "pause", "--help"},
        {"rollout", "resume", "--help"},
        {"rollout", "abort", "--help"},
        {"rollout", "back", "--help"},
        {"keys", "--help"},
        {"keys", "init", "--help"},
        {"keys", "issue", "--help"},
        {"keys", "revoke", "--help"},
        {"keys", "show", "--help"},
        {"completion", "--help"},
        {"completion"},
        {},
        {"unknown"},
        {"status", "--unknown"},
        {"status", "--output", "xml"},
        {"engine"},
        {"engine", "drain"},
        {"rollout", "start", "--kind", "repaint"},
        {"keys", "issue", "n1", "--role", "king"},
        {"status", "--fleet", "/nowhere/fleet.ini"},
        {"status", "--fleet", FLEET_FILE, "--on", "zone = nowhere"},
        {"status", "--fleet", FLEET_FILE, "--on", "zone ="},
        {"agents", "--fleet", FLEET_FILE},
        {"rollout", "plan", "--fleet", FLEET_FILE}}},
      {PEARCHUTE_AGENT,
       {{"--help"},
        {},
        {"--charter", "/nowhere/charter.ini"},
        {"--charter", "/nowhere/charter.ini", "--log", "loud"},
        {"--unknown"}}},
  };
  return all;
}

std::string text_of(const std::string& file) {
  std::ifstream in(file);
  return {std::istreambuf_iterator<char>(in), {}};
}

// Replaces the path of the test data by a fixed name, so that the output doesn't depend on the source path.
std::string without_folder(std::string text) {
  const std::string folder = std::string(CHARACTERIZATION_FOLDER) + "/";
  for (std::size_t at; (at = text.find(folder)) != std::string::npos;)
    text.replace(at, folder.size(), "DATA/");
  return text;
}

TEST(CommandLines, HelpAndExitStatusesAreUnchanged) {
  std::string seen;
  for (const auto& [program, all] : uses()) {
    for (const Arguments& arguments : all) {
      const Result result = run(program, arguments);
      const std::string name = program.substr(program.rfind('/') + 1);
      seen += "$ " + name + joined(arguments) + "\n" + result.output + "=> " + std::to_string(result.status) +
              "\n\n";
    }
  }
  seen = without_folder(seen);
  std::ofstream("characterization_command_lines.seen") << seen;
  EXPECT_EQ(seen, text_of(CHARACTERIZATION_FOLDER "/command_lines.txt"));
}

TEST(CommandLines, VersionHasItsFormat) {
  for (const auto& [program, all] : uses()) {
    const std::string name = program.substr(program.rfind('/') + 1);
    const Result result = run(program, {"--version"});
    EXPECT_EQ(result.status, 0);
    EXPECT_TRUE(std::regex_match(result.output, std::regex(name + R"( \d+\.\d+\.\d+\n)"))) << result.output;
  }
}

}  // namespace
