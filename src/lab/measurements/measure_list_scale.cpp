// One manager with as little as the platform gives, 256 descriptors and 32 MB, and a list of a thousand
// engines: in its configuration, in one event, and changed again under load. How long until it serves, what
// it holds, and whether every job gets its answer.
#include <dirent.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <sstream>

#include "errors/error.h"
#include "lab/measurements/measurements.h"
#include "lab/stand_ins/test_cluster.h"

namespace pearchute::lab {

using std::chrono::milliseconds;

namespace {

// As the system counts them.
struct Holds {
  std::uint64_t memory_kb = 0, descriptors = 0, threads = 0, cpu_ms = 0;
};

Holds held_by(pid_t process) {
  Holds holds;
  const std::string folder = "/proc/" + std::to_string(process);
  std::ifstream status(folder + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmHWM:")) holds.memory_kb = std::stoull(line.substr(6));
    if (line.starts_with("Threads:")) holds.threads = std::stoull(line.substr(8));
  }
  std::ifstream stat(folder + "/stat");
  std::string text{std::istreambuf_iterator<char>(stat), {}};
  std::istringstream fields(
      text.substr(text.rfind(')') + 2));  // from the third on; user and system time are 14, 15
  std::string skipped;
  for (int n = 3; n < 14; ++n) fields >> skipped;
  std::uint64_t user = 0, system = 0;
  fields >> user >> system;
  holds.cpu_ms = (user + system) * 1000 / static_cast<std::uint64_t>(::sysconf(_SC_CLK_TCK));
  if (DIR* all = ::opendir((folder + "/fd").c_str())) {
    while (const dirent* one = ::readdir(all)) holds.descriptors += one->d_name[0] != '.';
    ::closedir(all);
  }
  return holds;
}

}  // namespace

int measure_list(const Bench& bench) {
  nlohmann::json told;
  bool well = true;
  for (const int engines : {80, bench.size > 0 ? bench.size : 1024}) {
    ClusterSpec site;
    site.managers = 1, site.engines = engines, site.seed = bench.seed, site.cores = 2;
    site.pearchuted = bench.programs + "/pearchuted";
    site.sockets = 256, site.manager_memory_mb = 32, site.knows_list = true;
    const Time from = steady_now();
    TestCluster world(site);
    const Time begun = steady_now();
    if (!world.until([&] { return world.crowd().up(0); }, milliseconds(10000)))
      throw TestClusterError("the manager does not serve", world.folder());
    const Time up = steady_now();
    world.must_serve(static_cast<std::uint64_t>(engines));
    std::vector<Ask> mix = {{"quick", "SELECT work=10 FROM a_1.t", milliseconds(2000), 0, 10, 8},
                            {"report", "SELECT work=80 FROM a_2.t", milliseconds(3500), 0, 80, 64}};
    world.on([&] { world.crowd().offer(300, mix); });
    Holds most;
    for (int i = 0; i < 60; ++i) {
      world.rest(milliseconds(50));
      // Every second the whole list comes again in one event, each tenth engine draining in turn.
      if (i % 20 == 10) {
        world.on([&] {
          std::vector<StandInChannel::Member> list;
          for (int e = 0; e < engines; ++e)
            list.push_back(
                world.member(static_cast<std::size_t>(e), e % 10 == i / 20 ? "leaving" : "active"));
          world.channel().tell(list, true);
        });
      }
      const Holds now = held_by(world.managers()[0].process);
      most.memory_kb = std::max(most.memory_kb, now.memory_kb);
      most.descriptors = std::max(most.descriptors, now.descriptors);
      most.threads = std::max(most.threads, now.threads);
      most.cpu_ms = now.cpu_ms;
    }
    const std::uint64_t up_at_last = world.status(0).engines_up();
    world.on([&] { world.crowd().offer(0, {}); });
    world.quiet();
    const HistoryChecker::Verdict verdict = world.verdict();
    for (const std::string& fault : verdict.faults) std::cerr << fault << "\n";
    told[std::to_string(engines)] = {{"serves_after_ms", (up - begun).count() / 1000},
                                     {"laid_out_ms", (begun - from).count() / 1000},
                                     {"memory_kb", most.memory_kb},
                                     {"descriptors", most.descriptors},
                                     {"threads", most.threads},
                                     {"cpu_ms", most.cpu_ms},
                                     {"up_at_last", up_at_last},
                                     {"jobs", verdict.sent},
                                     {"done", verdict.done},
                                     {"refused", verdict.refused},
                                     {"lost", verdict.lost}};
    well = well && verdict.clean() && verdict.done + verdict.refused == verdict.sent &&
           most.memory_kb < 32 * 1024 && most.descriptors <= 256 && verdict.done > verdict.sent * 9 / 10;
  }
  std::cout << told.dump() << std::endl;
  return well ? 0 : 1;
}

}  // namespace pearchute::lab
