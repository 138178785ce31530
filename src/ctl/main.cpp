// The entry point of pearchutectl: parses the command line, runs the command for the chosen instances, and
// exits with its status.
#include <algorithm>
#include <array>
#include <iostream>

#include "ctl/command_line.h"
#include "errors/error.h"
#include "net/log.h"

using namespace pearchute;
using namespace pearchute::ctl;

namespace {

// Errors in the command line or in a file that the operator wrote. They exit with the status for usage
// errors, since nothing was attempted.
constexpr std::array operator_errors = {ErrorKind::usage, ErrorKind::settings, ErrorKind::selector};

Fleet load_fleet(const CommonOptions& options) {
  Fleet fleet = read_fleet(options.fleet_file);
  if (options.timeout_ms > 0) fleet.call_timeout = std::chrono::milliseconds(options.timeout_ms);
  if (options.parallel > 0) fleet.max_parallel_calls = static_cast<std::size_t>(options.parallel);
  return fleet;
}

// Throws SelectorError after printing the selector with a marker at the faulty column.
Selector parse_selector_option(const std::string& text) {
  try {
    return parse_selector(text);
  } catch (const SelectorError& error) {
    std::cerr << "  " << text << "\n  " << std::string(error.column - 1, ' ') << "^\n";
    throw;
  }
}

std::vector<const Instance*> choose_instances(const Fleet& fleet, const CommonOptions& options) {
  const Selector selector = parse_selector_option(options.selector);
  std::vector<const Instance*> chosen;
  for (const Instance& instance : fleet.instances) {
    if (selector(instance.facts)) chosen.push_back(&instance);
  }
  if (chosen.empty())
    throw UsageError("--on selects no instance", options.fleet_file,
                     "run pearchutectl status without --on to list all instances");
  return chosen;
}

int run_fleet_command(const CommandLine& command_line, const CommandLine::Action& action, Output& output) {
  const CommonOptions& options = command_line.common();
  const Fleet fleet = load_fleet(options);
  const std::vector<const Instance*> chosen = choose_instances(fleet, options);
  if (const auto* on_managers = std::get_if<CommandLine::ManagerAction>(&action)) {
    Commands managers(fleet, chosen, output);
    return (*on_managers)(managers);
  }
  if (fleet.agents.empty())
    throw SettingsError("the file has no [agent NAME], which this command requires", options.fleet_file,
                        "add a section for each agent: docs/operating.md");
  AgentCommands agents(fleet, chosen, output);
  return std::get<CommandLine::AgentAction>(action)(agents);
}

int run(int argc, char** argv) {
  CommandLine command_line;
  try {
    command_line.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return command_line.exit_status(error) == 0 ? 0 : fleet::usage;
  }
  if (command_line.completion_requested()) {
    std::cout << command_line.completion_script();
    return 0;
  }
  const CommandLine::Action* action = command_line.action();
  if (!action) return fleet::usage;
  Output output(command_line.common().output_format == "json");
  if (const auto* on_keys = std::get_if<CommandLine::KeyAction>(action)) return (*on_keys)(output);
  return run_fleet_command(command_line, *action, output);
}

int status_of(const std::exception& error) {
  const auto* known = dynamic_cast<const Error*>(&error);
  const bool by_operator =
      known && std::ranges::find(operator_errors, known->kind()) != operator_errors.end();
  return by_operator ? fleet::usage : 1;
}

}  // namespace

int main(int argc, char** argv) {
  net::start_log("pearchutectl");
  spdlog::set_level(spdlog::level::off);  // results and errors are printed directly
  try {
    return run(argc, argv);
  } catch (const std::exception& error) {
    print_error(std::cerr, "pearchutectl", error);
    return status_of(error);
  }
}
