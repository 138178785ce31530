// The daemon's entry. The platform's build takes the configuration's name from the environment and nothing
// else; other builds have a command line and an admin channel. What can't be started is said on standard
// error, what is wrong and what to do, with a status of 1.
#include <Poco/Exception.h>

#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <memory>

#include "daemon/program.h"
#include "errors/error.h"
#include "system/retries.h"

#ifdef PEARCHUTE_FLEET
#include <CLI/CLI.hpp>

#include "daemon/admin_binding.h"
#include "net/json_lines.h"
#endif

namespace {

using pearchute::net::Program;

// Guards against a start that ends for what this machine is short of for a moment. A place that others hold,
// or settings that can't be used, are told at once.
std::unique_ptr<Program> make_when_possible(const std::function<std::unique_ptr<Program>()>& make) {
  return pearchute::retry_while_short(make, [](const pearchute::ResourceShortage& shortage) {
    PEARCHUTE_LOG(spdlog::level::warn, "not started yet: {}", shortage.what());
  });
}

int start(int argc, char** argv) {
  const char* told = std::getenv("PROXY_CONFIG");
  std::string file = told ? told : "";
#ifdef PEARCHUTE_FLEET
  CLI::App app("pearchuted, the workload manager: takes clients' jobs and sends them to query engines");
  std::string check, admin;
  std::string log = "plain";
  app.add_option("--config", file, "the configuration, JSON (or PROXY_CONFIG names it)")->type_name("FILE");
  app.add_option("--admin", admin, "opens an admin channel by this INI file")->type_name("FILE");
  app.add_option("--log", log, "log lines: plain or json")
      ->type_name("FORM")
      ->check(CLI::IsMember({"plain", "json"}));
  app.add_option("--check", check, "checks this configuration (and --admin's file), starts nothing")
      ->type_name("FILE");
  app.set_version_flag("--version", "pearchuted " PEARCHUTE_VERSION);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  if (!check.empty()) {
    if (!admin.empty()) pearchute::admin::read_admin_config(admin);
    Program::check(check);
    std::cout << check << ": usable\n";
    return 0;
  }
  return make_when_possible([&] {
           Program::MakeAnnex annex;
           if (!admin.empty())
             annex = pearchute::daemon::governor_by(pearchute::admin::read_admin_config(admin), file);
           return std::make_unique<Program>(file, log == "json" ? pearchute::net::json_lines() : nullptr,
                                            annex);
         })
      ->run();
#else
  if (argc > 1)
    throw pearchute::UsageError(std::string("this build takes no arguments: ") + argv[1], "",
                                "set PROXY_CONFIG; a build with PEARCHUTE_FLEET=ON has a command line");
  return make_when_possible([&] { return std::make_unique<Program>(file); })->run();
#endif
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return start(argc, argv);
  } catch (const Poco::Exception& error) {
    pearchute::print_error(std::cerr, "pearchuted", pearchute::SystemError(error.displayText()));
  } catch (const std::exception& error) {
    pearchute::print_error(std::cerr, "pearchuted", error);
  }
  return 1;
}
