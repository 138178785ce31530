// The entry point of pearchuted. A build without PEARCHUTE_FLEET takes the path of the configuration from the
// environment and nothing else; other builds have a command line and an admin channel. A failed start writes
// the error and its remedy to standard error and exits with status 1, an invalid command line with status 2.
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

// Retries a start that fails since the machine lacks a resource for a moment. An address in use or an invalid
// configuration ends it at once.
std::unique_ptr<Program> make_with_retries(const std::function<std::unique_ptr<Program>()>& make) {
  return pearchute::retry_while_short(make, [](const pearchute::ResourceShortage& shortage) {
    PEARCHUTE_LOG(spdlog::level::warn, "start failed, retrying: {}", shortage.what());
  });
}

int start(int argc, char** argv) {
  const char* environment_file = std::getenv("PROXY_CONFIG");
  std::string file = environment_file ? environment_file : "";
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
  return make_with_retries([&] {
           Program::MakeExtension extension;
           if (!admin.empty())
             extension = pearchute::daemon::admin_extension(pearchute::admin::read_admin_config(admin), file);
           return std::make_unique<Program>(file, log == "json" ? pearchute::net::json_lines() : nullptr,
                                            extension);
         })
      ->run();
#else
  if (argc > 1)
    throw pearchute::UsageError(std::string("this build takes no arguments: ") + argv[1], "",
                                "set PROXY_CONFIG; a build with PEARCHUTE_FLEET=ON has a command line");
  return make_with_retries([&] { return std::make_unique<Program>(file); })->run();
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
