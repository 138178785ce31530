// pearchutectl: runs the command that the operator named, over the chosen instances, and ends with its
// status.
#include <algorithm>
#include <array>
#include <iostream>

#include "ctl/command_line.h"
#include "errors/error.h"
#include "net/log.h"

using namespace pearchute;
using namespace pearchute::ctl;

namespace {

// Errors of what the operator wrote, on the command line or in a file: nothing was tried.
constexpr std::array operator_errors = {ErrorKind::usage, ErrorKind::settings, ErrorKind::selector};

Fleet load_fleet(const CommonOptions& options) {
  Fleet fleet = read_fleet(options.fleet_file);
  if (options.timeout_ms > 0) fleet.answers_within = std::chrono::milliseconds(options.timeout_ms);
  if (options.parallel > 0) fleet.at_once = static_cast<std::size_t>(options.parallel);
  return fleet;
}

// Throws SelectorError, after it has shown the place in the selector.
Selector parse_selector(const std::string& text) {
  try {
    return selector_in(text);
  } catch (const SelectorError& error) {
    std::cerr << "  " << text << "\n  " << std::string(error.column - 1, ' ') << "^\n";
    throw;
  }
}

std::vector<const Instance*> choose_instances(const Fleet& fleet, const CommonOptions& options) {
  const Selector selector = parse_selector(options.selector);
  std::vector<const Instance*> chosen;
  for (const Instance& instance : fleet.instances) {
    if (selector(instance.facts)) chosen.push_back(&instance);
  }
  if (chosen.empty())
    throw UsageError("no instance is chosen", options.fleet_file, "see what --on picks: pearchutectl status");
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
    throw SettingsError("names no [agent NAME]", options.fleet_file,
                        "add one for each agent: docs/operating.md");
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
  spdlog::set_level(spdlog::level::off);  // what there is to say comes with the results
  try {
    return run(argc, argv);
  } catch (const std::exception& error) {
    print_error(std::cerr, "pearchutectl", error);
    return status_of(error);
  }
}
