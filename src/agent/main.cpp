// pearchute-agent: reads the agent's configuration, supervises the instances of one host, and serves RPCs
// until it receives SIGTERM or SIGINT. SIGHUP reloads the configuration. The instances keep running when the
// agent exits.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <string>

#include "agent/agent_config.h"
#include "agent/agent_host.h"
#include "agent/start_retries.h"
#include "errors/error.h"
#include "net/json_lines.h"
#include "net/log.h"

using namespace pearchute;
using namespace pearchute::agent;

namespace {

constexpr useconds_t signal_check_interval_us = 50'000;

volatile std::sig_atomic_t end_requested = 0;
volatile std::sig_atomic_t reload_requested = 0;

struct Options {
  std::string config_file;
  std::string log_format = "plain";
  bool check_only = false;
};

void install_signal_handlers() {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, [](int) { end_requested = 1; });
  std::signal(SIGINT, [](int) { end_requested = 1; });
  std::signal(SIGHUP, [](int) { reload_requested = 1; });
}

void run(const std::string& config_file, const AgentConfig& config) {
  install_signal_handlers();
  {
    AgentHost host(config, PEARCHUTE_VERSION);
    spdlog::info("agent {} listening at {}, {} instances", config.name, config.control.text,
                 config.instances.size());
    while (!end_requested) {
      ::usleep(signal_check_interval_us);
      if (!reload_requested) continue;
      reload_requested = 0;
      host.reload(config_file);
    }
  }
  spdlog::info("agent {} stopped; its instances keep running", config.name);
}

int run_with(const Options& options) {
  try {
    const AgentConfig config = retry_start([&] { return read_agent_config(options.config_file); });
    if (options.check_only) {
      std::cout << options.config_file << ": usable\n";
      return 0;
    }
    net::start_log(config.name, options.log_format == "json" ? net::json_lines() : nullptr);
    run(options.config_file, config);
    return 0;
  } catch (const std::exception& error) {
    print_error(std::cerr, "pearchute-agent", error);
    return 1;
  }
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  CLI::App app("pearchute-agent: looks after the instances of one host");
  app.add_option("--charter", options.config_file, "who it is and what it owns, INI")
      ->required()
      ->type_name("FILE");
  app.add_option("--log", options.log_format, "log lines: plain or json")
      ->check(CLI::IsMember({"plain", "json"}));
  app.add_flag("--check", options.check_only, "checks the charter and starts nothing");
  app.set_version_flag("--version", "pearchute-agent " PEARCHUTE_VERSION);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    constexpr int usage_error_status = 2;
    return app.exit(error) == 0 ? 0 : usage_error_status;
  }
  return run_with(options);
}
