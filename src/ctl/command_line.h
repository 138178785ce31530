// The operators' command line: its commands and options, and what each of them runs.
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

// What holds for all commands.
struct CommonOptions {
  std::string fleet_file;
  std::string selector;  // empty: all instances
  std::string output_format = "table";
  int timeout_ms = 0;  // of one answer; 0: as the fleet file says
  int parallel = 0;    // instances asked at once; the same
};

// Options of `rollout`, as they are written; plan_in() makes the plan of them.
struct RolloutOptions {
  fleet::RolloutPlan plan;  // the options that stand in it as they are
  std::string kind = "restart";
  std::string fallback = "serve_again";
  std::vector<std::string> least_serving;  // ZONE=N
  int batch = 0;
  int warm_s = 5;
  int gate_s = 10;
  int lease_s = 30;
  std::string coordinator;  // an agent's name; empty: the first
  std::string id;
  bool follow = false;
};

// Declares the commands, parses the arguments, and knows which command they name. Used once.
class CommandLine {
 public:
  // Each returns the exit status.
  using KeyAction = std::function<int(Output&)>;
  using AgentAction = std::function<int(AgentCommands&)>;
  using ManagerAction = std::function<int(Commands&)>;
  using Action = std::variant<KeyAction, AgentAction, ManagerAction>;

  CommandLine();
  CommandLine(const CommandLine&) = delete;
  CommandLine& operator=(const CommandLine&) = delete;

  // Throws CLI::ParseError, which exit_status() prints.
  void parse(int argc, const char* const* argv);
  int exit_status(const CLI::ParseError& error) { return app_.exit(error); }

  const CommonOptions& common() const { return common_; }
  bool completion_requested() const { return completion_->parsed(); }
  // A completion script for bash.
  std::string completion_script() const;
  // Of the command that was named; none for `completion`. It refers to this object.
  const Action* action() const;

 private:
  // A command and what it runs.
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
  int restarts_at_once_ = 1;
  std::vector<std::string> engines_;
  std::string log_level_;
  int max_jobs_ = 50;
  int top_interval_ms_ = 2000;
  int top_rounds_ = 0;
  int watch_ms_ = 0;
  RolloutOptions rollout_;
  KeyOptions key_;
  std::vector<Command> commands_;
  CLI::App* completion_ = nullptr;
};

}  // namespace pearchute::ctl
