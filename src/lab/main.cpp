// The command line of pearchute-lab: measurements, soak runs, the capacity page, and small clusters to try
// out.
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

volatile std::sig_atomic_t stop_requested = 0;

// Runs a small cluster under load for a number of seconds (0: until SIGINT or SIGTERM), to be tried out by
// hand. Returns the exit status: 1 where the clients' history breaks a rule.
int run_cluster(const MeasurementOptions& options, int managers, int engines, double rate, int seconds) {
  std::signal(SIGINT, [](int) { stop_requested = 1; });
  std::signal(SIGTERM, [](int) { stop_requested = 1; });
  ClusterSpec spec;
  spec.managers = managers, spec.engines = engines, spec.seed = options.seed;
  spec.pearchuted = options.programs + "/pearchuted";
  TestCluster cluster(spec);
  cluster.must_serve(static_cast<std::uint64_t>(engines));
  std::cout << "export PEARCHUTE_FLEET=" << cluster.write_fleet() << std::endl;
  for (auto& manager : cluster.managers())
    std::cerr << manager.name << " listens at " << manager.listen << "\n";
  cluster.on([&] {
    cluster.crowd().offer(
        rate, {{"quick", "SELECT work=10 FROM a_1.t", std::chrono::milliseconds(2000), 0, 10, 8},
               {"report", "SELECT work=60 FROM a_2.t", std::chrono::milliseconds(3500), 0, 60, 64}});
  });
  const Time end = steady_now() + std::chrono::seconds(seconds);
  while (!stop_requested && (seconds == 0 || steady_now() < end)) cluster.rest(std::chrono::milliseconds(50));
  cluster.on([&] { cluster.crowd().offer(0, {}); });
  cluster.quiet();
  const HistoryChecker::Verdict verdict = cluster.verdict();
  std::cerr << verdict.sent << " jobs: " << verdict.done << " done, " << verdict.refused << " throttled, "
            << verdict.failed << " failed, " << verdict.lost << " without an answer\n";
  for (const std::string& fault : verdict.faults) std::cerr << fault << "\n";
  return verdict.clean() ? 0 : 1;
}

// Shows the manager's main task: statements go in, answers come out, and an engine is drained meanwhile. Ends
// by itself after a few seconds. Returns the exit status: 1 where a rule is broken or 50 statements or fewer
// succeed.
int run_demo(const MeasurementOptions& options) {
  ClusterSpec spec;
  spec.managers = 2, spec.engines = 3, spec.seed = options.seed,
  spec.pearchuted = options.programs + "/pearchuted";
  TestCluster cluster(spec);
  cluster.must_serve(3);
  std::cout << "Two managers, three stand-in engines and a command channel are up on loopback.\n"
            << std::flush;
  const auto run_pearchutectl = [&](const std::vector<std::string>& command) {
    std::vector<std::string> arguments = {"--fleet", cluster.write_fleet()};
    std::cout << "\n$ pearchutectl";
    for (const std::string& argument : command) arguments.push_back(argument), std::cout << " " << argument;
    std::cout << "\n" << run_program(options.programs + "/pearchutectl", arguments).out << std::flush;
  };
  const std::vector<Ask> mix = {
      {"quick", "SELECT work=10 FROM a_1.t", std::chrono::milliseconds(2000), 0, 10, 8},
      {"report", "SELECT work=60 FROM a_2.t", std::chrono::milliseconds(3500), 0, 60, 64}};
  int answer_count = 0;
  for (int i = 0; i < 6; ++i) {
    cluster.on([&, i] {
      cluster.crowd().ask(i % 2, mix[static_cast<std::size_t>(i % 2)], [&, i](std::optional<Answer> answer) {
        std::cout << "job " << i + 1 << " (" << mix[static_cast<std::size_t>(i % 2)].type << ") at n"
                  << i % 2 + 1 << ": " << (answer == Answer::done ? "done" : "not done") << "\n";
        ++answer_count;
      });
    });
  }
  cluster.until([&] { return answer_count == 6; });
  cluster.on([&] { cluster.crowd().offer(200, mix); });
  cluster.rest(std::chrono::milliseconds(500));
  run_pearchutectl({"status"});
  run_pearchutectl({"engine", "drain", "e1", "--as", "demo", "--reason", "shown"});
  cluster.rest(std::chrono::milliseconds(300));
  run_pearchutectl({"engine", "list"});
  run_pearchutectl({"engine", "restore", "e1", "--as", "demo"});
  cluster.on([&] { cluster.crowd().offer(0, {}); });
  cluster.quiet();
  const HistoryChecker::Verdict verdict = cluster.verdict();
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
  MeasurementOptions options;
  options.programs = std::filesystem::read_symlink("/proc/self/exe").parent_path();
  const std::map<std::string, int (*)(const MeasurementOptions&)> measurements = {
      {"drain", measure_drain},         {"fleet-status", measure_fleet_status},
      {"rollout", measure_rollout},     {"managers", measure_managers},
      {"list", measure_list_scale},     {"word", measure_gossip},
      {"parts", measure_budget_leases}, {"overload", measure_overload},
      {"slopes", measure_slopes},       {"configuration", measure_configuration},
      {"levels", measure_levels},       {"scale", measure_scale}};
  std::string name;
  CLI::App* measure_command =
      app.add_subcommand("measure", "runs one measurement; its figures are one JSON object");
  std::vector<std::string> names;
  for (const auto& [known, run] : measurements) names.push_back(known);
  measure_command->add_option("name", name)->required()->check(CLI::IsMember(names));
  measure_command->add_option("--size", options.size, "how many, where not as documented");
  measure_command->add_option("--group", options.group, "of slopes: one group only");
  measure_command->add_option("--out", options.out, "of slopes: the file of slopes to write");
  measure_command->add_option("--faults", options.faults,
                              "of 'scale': ordinary,rack,zone,regions,third,primary,configuration");
  measure_command->add_option("--predicted", options.predicted, "of 'scale': predicted figures, JSON")
      ->type_name("FILE");
  app.add_option("--seed", options.seed);
  app.add_option("--programs", options.programs, "the folder of pearchuted and pearchutectl");
  int managers = 3, engines = 4, seconds = 0;
  double rate = 50;
  CLI::App* up_command =
      app.add_subcommand("up", "a small site on loopback until interrupted; prints how to reach it");
  up_command->add_option("--managers", managers)->check(CLI::Range(1, 1024));
  up_command->add_option("--engines", engines)->check(CLI::Range(1, 1024));
  up_command->add_option("--rate", rate, "jobs a second")->check(CLI::Range(0.0, 5000.0));
  up_command->add_option("--for", seconds, "0: until interrupted")->type_name("S");
  std::string hollow_spec;
  CLI::App* hollow_command =
      app.add_subcommand("hollow-hosts", "")->group("");  // started by 'measure scale' only
  hollow_command->add_option("--spec", hollow_spec)->required();
  CLI::App* demo_command = app.add_subcommand("demo", "shows the main job in a few seconds");
  capacity::CapacityCommand capacity_command;
  CLI::App* capacity_subcommand =
      app.add_subcommand("capacity", "works docs/CAPACITY.md out of measured slopes and the target");
  capacity_subcommand->add_option("--slopes", capacity_command.slopes)
      ->type_name("FILE")
      ->capture_default_str();
  capacity_subcommand->add_option("--target", capacity_command.target)
      ->type_name("FILE")
      ->capture_default_str();
  capacity_subcommand->add_option("--page", capacity_command.page, "without it the tables are printed")
      ->type_name("FILE");
  capacity_subcommand->add_flag("--write", capacity_command.write, "replaces the page's sections");
  capacity_subcommand->add_flag("--check", capacity_command.check,
                                "fails where the page says something else");
  capacity_subcommand
      ->add_option("--add", capacity_command.add,
                   "adds slopes from what measure levels or measure configuration printed")
      ->type_name("FILE");
  capacity::ScaleSize scale_size{630, 740, 630};
  bool predict = false, levels = false;
  capacity_subcommand->add_flag("--predict", predict, "prints what a scale run of that size should measure");
  capacity_subcommand->add_option("--managers", scale_size.managers)->check(CLI::PositiveNumber);
  capacity_subcommand->add_option("--engines", scale_size.engines)->check(CLI::PositiveNumber);
  capacity_subcommand->add_option("--agents", scale_size.agents)->check(CLI::PositiveNumber);
  capacity_subcommand->add_flag("--levels", levels, "status is spread by levels");
  SoakCommand soak;
  int soak_seconds = 20;
  CLI::App* soak_subcommand =
      app.add_subcommand("soak", "managers under overlapping troubles drawn from a seed");
  soak_subcommand->add_option("--seeds", soak.seeds, "how many, from --seed on")->check(CLI::Range(1, 10000));
  soak_subcommand->add_option("--managers", soak.spec.managers)
      ->check(CLI::Range(3, 100))
      ->capture_default_str();
  soak_subcommand->add_option("--engines", soak.spec.engines)
      ->check(CLI::Range(2, 100))
      ->capture_default_str();
  soak_subcommand->add_option("--rate", soak.spec.rate, "statements a second")
      ->check(CLI::Range(1.0, 5000.0));
  soak_subcommand->add_option("--for", soak_seconds, "each run's troubles")
      ->type_name("S")
      ->check(CLI::Range(1, 7200));
  soak_subcommand->add_option("--logs", soak.spec.logs, "keeps the managers' logs of runs that fail")
      ->type_name("FOLDER");
  soak_subcommand->add_flag("--every-kind", soak.every_kind,
                            "fails where a kind of trouble never came about");
  soak_subcommand->add_flag("--calls", soak.calls_only,
                            "failing system calls instead: each kind, and all together");
  soak_subcommand->add_flag("--together", soak.together, "of calls: all kinds together only");
  for (CLI::App* command : {measure_command, up_command, demo_command, capacity_subcommand, soak_subcommand})
    command->fallthrough();
  CLI11_PARSE(app, argc, argv);
  pearchute::net::start_log("lab");
  spdlog::set_level(spdlog::level::err);
  try {
    if (levels) scale_size.spreading = capacity::Spreading::levels;
    if (predict) capacity_command.predict = scale_size;
    if (capacity_subcommand->parsed()) return capacity::run(capacity_command, std::cout);
    if (demo_command->parsed()) return run_demo(options);
    if (hollow_command->parsed()) return run_hollow_hosts(hollow_spec);
    if (soak_subcommand->parsed()) {
      soak.spec.seed = options.seed, soak.spec.programs = options.programs;
      soak.spec.lasts = std::chrono::seconds(soak_seconds);
      return soak.run();
    }
    if (up_command->parsed()) return run_cluster(options, managers, engines, rate, seconds);
    return measurements.at(name)(options);
  } catch (const std::exception& error) {
    pearchute::print_error(std::cerr, "pearchute-lab", error);
    return 3;
  }
}
