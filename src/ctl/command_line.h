// The command line of pearchutectl: its commands, their options, and the action of each command.
#pragma once

#include <CLI/CLI.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "ctl/agents.h"
#include "ctl/commands.h"
#include "ctl/keys.h"
#include "ctl/output.h"

namespace pearchute::ctl {

// Options of all commands.
struct CommonOptions {
  std::string fleet_file;
  std::string selector;  // empty: all instances
  std::string output_format = "table";
  int timeout_ms = 0;  // of one call; 0: the value of the fleet file
  int parallel = 0;    // calls in flight at a time; 0: the value of the fleet file
};

// Options of `rollout` as parsed; CommandLine::rollout_plan() converts them to a plan.
struct RolloutOptions {
  fleet::RolloutPlan plan;  // options that need no conversion
  std::string kind = "restart";
  std::string fallback = "serve_again";
  std::vector<std::string> min_serving;  // ZONE=N
  int batch = 0;
  int warm_s = 5;
  int gate_s = 10;
  int lease_s = 30;
  std::string coordinator;  // an agent's name; empty: the first
  std::string id;
  bool follow = false;
};

// Declares the commands, parses the arguments once, and returns the action of the parsed command.
class CommandLine {
 public:
  // Actions return the exit status.
  using KeyAction = std::function<int(Output&)>;
  using AgentAction = std::function<int(AgentCommands&)>;
  using ManagerAction = std::function<int(Commands&)>;
  using Action = std::variant<KeyAction, AgentAction, ManagerAction>;

  CommandLine();
  CommandLine(const CommandLine&) = delete;
  CommandLine& operator=(const CommandLine&) = delete;

  // Throws CLI::ParseError, also for --help and --version. exit_status() prints it and returns the status.
  void parse(int argc, const char* const* argv);
  int exit_status(const CLI::ParseError& error) { return app_.exit(error); }

  const CommonOptions& common() const { return common_; }
  bool completion_requested() const { return completion_->parsed(); }
  // A completion script for bash.
  std::string completion_script() const;
  // The action of the parsed command; null for `completion`. It refers to this object.
  const Action* action() const;

 private:
  // A command and its action.
  struct Command {
    const CLI::App* parser;
    Action action;
  };
  CLI::App* add(CLI::App& group, const std::string& name, const std::string& description, Action action);
  void add_common_options();
  void add_change_options(CLI::App& command);
  void add_drain_options(CLI::App& command);
  void add_restore_options(CLI::App& command);
  void add_queries();
  void add_manager_changes();
  void add_engine_commands();
  void add_agent_commands();
  void add_rollout_commands();
  void add_rollout_limits(CLI::App& command);
  void add_rollout_times(CLI::App& command);
  void add_rollout_control(CLI::App& rollout);
  void add_key_commands();
  ChangeOptions change_options() const;
  fleet::RolloutPlan rollout_plan() const;

  CLI::App app_;
  CommonOptions common_;
  ChangeOptions change_;
  int order_lease_s_ = 3600;
  int drain_timeout_s_ = 30;
  int start_timeout_s_ = 30;
  int max_concurrent_restarts_ = 1;
  std::vector<std::string> engines_;
  std::string log_level_;
  int max_requests_ = 50;
  int top_interval_ms_ = 2000;
  int top_rounds_ = 0;
  int watch_ms_ = 0;
  RolloutOptions rollout_;
  KeyOptions key_;
  std::vector<Command> commands_;
  CLI::App* completion_ = nullptr;
};

}  // namespace pearchute::ctl
