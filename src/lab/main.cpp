// The laboratory's command line.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <exception>
#include <filesystem>
#include <iostream>
#include <map>

#include "errors/error.h"
#include "lab/capacity/capacity_command.h"
#include "lab/measurements/measurements.h"
#include "lab/scale/hollow_hosts.h"
#include "lab/soak/soak_command.h"
#include "lab/stand_ins/admin_endpoints.h"
#include "lab/stand_ins/test_cluster.h"
#include "net/log.h"

using namespace pearchute::lab;

namespace {

volatile std::sig_atomic_t asked_to_end = 0;

// A small site that stays up until it is interrupted, for trying things out by hand.
int up(const Bench& bench, int managers, int engines, double rate, int seconds) {
  std::signal(SIGINT, [](int) { asked_to_end = 1; });
  std::signal(SIGTERM, [](int) { asked_to_end = 1; });
  ClusterSpec site;
  site.managers = managers, site.engines = engines, site.seed = bench.seed;
  site.pearchuted = bench.programs + "/pearchuted";
  TestCluster world(site);
  world.must_serve(static_cast<std::uint64_t>(engines));
  std::cout << "export PEARCHUTE_FLEET=" << world.write_fleet() << std::endl;
  for (auto& manager : world.managers())
    std::cerr << manager.name << " listens at " << manager.listen << "\n";
  world.on([&] {
    world.crowd().offer(
        rate, {{"quick", "SELECT work=10 FROM a_1.t", std::chrono::milliseconds(2000), 0, 10, 8},
               {"report", "SELECT work=60 FROM a_2.t", std::chrono::milliseconds(3500), 0, 60, 64}});
  });
  const Time end = steady_now() + std::chrono::seconds(seconds);
  while (!asked_to_end && (seconds == 0 || steady_now() < end)) world.rest(std::chrono::milliseconds(50));
  world.on([&] { world.crowd().offer(0, {}); });
  world.quiet();
  const HistoryChecker::Verdict verdict = world.verdict();
  std::cerr << verdict.sent << " jobs: " << verdict.done << " done, " << verdict.refused << " throttled, "
            << verdict.failed << " failed, " << verdict.lost << " without an answer\n";
  for (const std::string& fault : verdict.faults) std::cerr << fault << "\n";
  return verdict.clean() ? 0 : 1;
}

// Shows the main job to a newcomer: jobs in, answers out, an engine drained meanwhile. Ends by itself.
int demo(const Bench& bench) {
  ClusterSpec site;
  site.managers = 2, site.engines = 3, site.seed = bench.seed,
  site.pearchuted = bench.programs + "/pearchuted";
  TestCluster world(site);
  world.must_serve(3);
  std::cout << "Two managers, three stand-in engines and a command channel are up on loopback.\n"
            << std::flush;
  const auto show = [&](const std::vector<std::string>& words) {
    std::vector<std::string> arguments = {"--fleet", world.write_fleet()};
    std::cout << "\n$ pearchutectl";
    for (const std::string& word : words) arguments.push_back(word), std::cout << " " << word;
    std::cout << "\n" << run_program(bench.programs + "/pearchutectl", arguments).out << std::flush;
  };
  const std::vector<Ask> mix = {
      {"quick", "SELECT work=10 FROM a_1.t", std::chrono::milliseconds(2000), 0, 10, 8},
      {"report", "SELECT work=60 FROM a_2.t", std::chrono::milliseconds(3500), 0, 60, 64}};
  int answers = 0;
  for (int i = 0; i < 6; ++i) {
    world.on([&, i] {
      world.crowd().ask(i % 2, mix[static_cast<std::size_t>(i % 2)], [&, i](std::optional<Answer> answer) {
        std::cout << "job " << i + 1 << " (" << mix[static_cast<std::size_t>(i % 2)].type << ") at n"
                  << i % 2 + 1 << ": " << (answer == Answer::done ? "done" : "not done") << "\n";
        ++answers;
      });
    });
  }
  world.until([&] { return answers == 6; });
  world.on([&] { world.crowd().offer(200, mix); });
  world.rest(std::chrono::milliseconds(500));
  show({"status"});
  show({"engine", "drain", "e1", "--as", "demo", "--reason", "shown"});
  world.rest(std::chrono::milliseconds(300));
  show({"engine", "list"});
  show({"engine", "restore", "e1", "--as", "demo"});
  world.on([&] { world.crowd().offer(0, {}); });
  world.quiet();
  const HistoryChecker::Verdict verdict = world.verdict();
  std::cout << "\n"
            << verdict.sent << " jobs sent: " << verdict.done << " done, " << verdict.refused
            << " throttled, " << verdict.failed << " failed, " << verdict.lost << " without an answer, "
            << verdict.doubled << " answered twice.\n";
  return verdict.clean() && verdict.done > 50 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("pearchute-lab: stand-ins and measurements. Loopback only; what it starts it ends.");
  app.require_subcommand(1);
  Bench bench;
  bench.programs = std::filesystem::read_symlink("/proc/self/exe").parent_path();
  const std::map<std::string, int (*)(const Bench&)> measurements = {
      {"drain", measure_drain},     {"fleet-status", measure_fleet_status},
      {"rollout", measure_rollout}, {"managers", measure_managers},
      {"list", measure_list},       {"word", measure_word},
      {"parts", measure_parts},     {"overload", measure_overload},
      {"slopes", measure_slopes},   {"configuration", measure_configuration},
      {"levels", measure_levels},   {"scale", measure_scale}};
  std::string name;
  CLI::App* measure = app.add_subcommand("measure", "runs one measurement; its figures are one JSON object");
  std::vector<std::string> names;
  for (const auto& [known, run] : measurements) names.push_back(known);
  measure->add_option("name", name)->required()->check(CLI::IsMember(names));
  measure->add_option("--size", bench.size, "how many, where not as documented");
  measure->add_option("--group", bench.group, "of slopes: one group only");
  measure->add_option("--out", bench.out, "of slopes: the file of slopes to write");
  measure->add_option("--faults", bench.faults,
                      "of 'scale': ordinary,rack,zone,regions,third,primary,configuration");
  measure->add_option("--predicted", bench.predicted, "of 'scale': predicted figures, JSON")
      ->type_name("FILE");
  app.add_option("--seed", bench.seed);
  app.add_option("--programs", bench.programs, "the folder of pearchuted and pearchutectl");
  int managers = 3, engines = 4, seconds = 0;
  double rate = 50;
  CLI::App* site =
      app.add_subcommand("up", "a small site on loopback until interrupted; prints how to reach it");
  site->add_option("--managers", managers)->check(CLI::Range(1, 1024));
  site->add_option("--engines", engines)->check(CLI::Range(1, 1024));
  site->add_option("--rate", rate, "jobs a second")->check(CLI::Range(0.0, 5000.0));
  site->add_option("--for", seconds, "0: until interrupted")->type_name("S");
  std::string hollow_spec;
  CLI::App* hollow = app.add_subcommand("hollow-hosts", "")->group("");  // started by 'measure scale' only
  hollow->add_option("--spec", hollow_spec)->required();
  CLI::App* shown = app.add_subcommand("demo", "shows the main job in a few seconds");
  capacity::CapacityCommand capacity_command;
  CLI::App* capacity_app =
      app.add_subcommand("capacity", "works docs/CAPACITY.md out of measured slopes and the target");
  capacity_app->add_option("--slopes", capacity_command.slopes)->type_name("FILE")->capture_default_str();
  capacity_app->add_option("--target", capacity_command.target)->type_name("FILE")->capture_default_str();
  capacity_app->add_option("--page", capacity_command.page, "without it the tables are printed")
      ->type_name("FILE");
  capacity_app->add_flag("--write", capacity_command.write, "replaces the page's sections");
  capacity_app->add_flag("--check", capacity_command.check, "fails where the page says something else");
  capacity_app
      ->add_option("--add", capacity_command.add,
                   "adds slopes from what measure levels or measure configuration printed")
      ->type_name("FILE");
  capacity::ScaleSize scale_size{630, 740, 630};
  bool predict = false, levels = false;
  capacity_app->add_flag("--predict", predict, "prints what a scale run of that size should measure");
  capacity_app->add_option("--managers", scale_size.managers)->check(CLI::PositiveNumber);
  capacity_app->add_option("--engines", scale_size.engines)->check(CLI::PositiveNumber);
  capacity_app->add_option("--agents", scale_size.agents)->check(CLI::PositiveNumber);
  capacity_app->add_flag("--levels", levels, "status is spread by levels");
  SoakCommand soak;
  int soak_seconds = 20;
  CLI::App* soak_app = app.add_subcommand("soak", "managers under overlapping troubles drawn from a seed");
  soak_app->add_option("--seeds", soak.seeds, "how many, from --seed on")->check(CLI::Range(1, 10000));
  soak_app->add_option("--managers", soak.spec.managers)->check(CLI::Range(3, 100))->capture_default_str();
  soak_app->add_option("--engines", soak.spec.engines)->check(CLI::Range(2, 100))->capture_default_str();
  soak_app->add_option("--rate", soak.spec.rate, "statements a second")->check(CLI::Range(1.0, 5000.0));
  soak_app->add_option("--for", soak_seconds, "each run's troubles")
      ->type_name("S")
      ->check(CLI::Range(1, 7200));
  soak_app->add_option("--logs", soak.spec.logs, "keeps the managers' logs of runs that fail")
      ->type_name("FOLDER");
  soak_app->add_flag("--every-kind", soak.every_kind, "fails where a kind of trouble never came about");
  soak_app->add_flag("--calls", soak.calls_only, "failing system calls instead: each kind, and all together");
  soak_app->add_flag("--together", soak.together, "of calls: all kinds together only");
  for (CLI::App* one : {measure, site, shown, capacity_app, soak_app}) one->fallthrough();
  CLI11_PARSE(app, argc, argv);
  pearchute::net::start_log("lab");
  spdlog::set_level(spdlog::level::err);
  try {
    if (levels) scale_size.spreading = capacity::Spreading::levels;
    if (predict) capacity_command.predict = scale_size;
    if (capacity_app->parsed()) return capacity::run(capacity_command, std::cout);
    if (shown->parsed()) return demo(bench);
    if (hollow->parsed()) return run_hollow_hosts(hollow_spec);
    if (soak_app->parsed()) {
      soak.spec.seed = bench.seed, soak.spec.programs = bench.programs;
      soak.spec.lasts = std::chrono::seconds(soak_seconds);
      return soak.run();
    }
    if (site->parsed()) return up(bench, managers, engines, rate, seconds);
    return measurements.at(name)(bench);
  } catch (const std::exception& error) {
    pearchute::print_error(std::cerr, "pearchute-lab", error);
    return 3;
  }
}
