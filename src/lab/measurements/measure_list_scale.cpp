// One manager with the least resources that the platform gives, 256 descriptors and 32 MB, and a list of 80
// and of 1,024 engines: first in its configuration, then in one event, and changed again under load. How long
// until it serves, how much memory, descriptors, threads and processor time it takes, and whether every
// request gets its answer.
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

// A process's resources, as /proc reports them.
struct ProcessResources {
  std::uint64_t memory_kb = 0;  // the peak of the resident memory
  std::uint64_t descriptors = 0, threads = 0, cpu_ms = 0;
};

ProcessResources resources_of(pid_t process) {
  ProcessResources resources;
  const std::string folder = "/proc/" + std::to_string(process);
  std::ifstream status(folder + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmHWM:")) resources.memory_kb = std::stoull(line.substr(6));
    if (line.starts_with("Threads:")) resources.threads = std::stoull(line.substr(8));
  }
  std::ifstream stat(folder + "/stat");
  std::string stat_text{std::istreambuf_iterator<char>(stat), {}};
  // Starts at the third field; user and system time are fields 14 and 15, in clock ticks.
  std::istringstream fields(stat_text.substr(stat_text.rfind(')') + 2));
  std::string skipped;
  for (int n = 3; n < 14; ++n) fields >> skipped;
  std::uint64_t user = 0, system = 0;
  fields >> user >> system;
  resources.cpu_ms = (user + system) * 1000 / static_cast<std::uint64_t>(::sysconf(_SC_CLK_TCK));
  if (DIR* descriptors_folder = ::opendir((folder + "/fd").c_str())) {
    while (const dirent* entry = ::readdir(descriptors_folder))
      resources.descriptors += entry->d_name[0] != '.';
    ::closedir(descriptors_folder);
  }
  return resources;
}

}  // namespace

int measure_list_scale(const MeasurementOptions& options) {
  nlohmann::json report;
  bool passed = true;
  for (const int engines : {80, options.size > 0 ? options.size : 1024}) {
    ClusterSpec spec;
    spec.managers = 1, spec.engines = engines, spec.seed = options.seed, spec.cores = 2;
    spec.pearchuted = options.programs + "/pearchuted";
    spec.sockets = 256, spec.manager_memory_mb = 32, spec.knows_list = true;
    const Time started_at = steady_now();
    TestCluster cluster(spec);
    const Time cluster_started_at = steady_now();
    if (!cluster.until([&] { return cluster.crowd().up(0); }, milliseconds(10000)))
      throw TestClusterError("the manager did not serve within 10 s", cluster.folder());
    const Time serving_at = steady_now();
    cluster.must_serve(static_cast<std::uint64_t>(engines));
    std::vector<Ask> mix = {{"quick", "SELECT work=10 FROM a_1.t", milliseconds(2000), 0, 10, 8},
                            {"report", "SELECT work=80 FROM a_2.t", milliseconds(3500), 0, 80, 64}};
    cluster.on([&] { cluster.crowd().offer(300, mix); });
    ProcessResources peak;
    for (int i = 0; i < 60; ++i) {
      cluster.rest(milliseconds(50));
      // Once a second the channel sends the whole list in one event, with another tenth of the engines
      // leaving.
      if (i % 20 == 10) {
        cluster.on([&] {
          std::vector<StandInChannel::Member> list;
          for (int e = 0; e < engines; ++e)
            list.push_back(
                cluster.member(static_cast<std::size_t>(e), e % 10 == i / 20 ? "leaving" : "active"));
          cluster.channel().tell(list, true);
        });
      }
      const ProcessResources now = resources_of(cluster.managers()[0].process);
      peak.memory_kb = std::max(peak.memory_kb, now.memory_kb);
      peak.descriptors = std::max(peak.descriptors, now.descriptors);
      peak.threads = std::max(peak.threads, now.threads);
      peak.cpu_ms = now.cpu_ms;
    }
    const std::uint64_t engines_up_at_end = cluster.status(0).engines_up();
    cluster.on([&] { cluster.crowd().offer(0, {}); });
    cluster.quiet();
    const HistoryChecker::Verdict verdict = cluster.verdict();
    for (const std::string& fault : verdict.faults) std::cerr << fault << "\n";
    report[std::to_string(engines)] = {{"serves_after_ms", (serving_at - cluster_started_at).count() / 1000},
                                       {"laid_out_ms", (cluster_started_at - started_at).count() / 1000},
                                       {"memory_kb", peak.memory_kb},
                                       {"descriptors", peak.descriptors},
                                       {"threads", peak.threads},
                                       {"cpu_ms", peak.cpu_ms},
                                       {"up_at_last", engines_up_at_end},
                                       {"jobs", verdict.sent},
                                       {"done", verdict.done},
                                       {"refused", verdict.refused},
                                       {"lost", verdict.lost}};
    passed = passed && verdict.clean() && verdict.done + verdict.refused == verdict.sent &&
             peak.memory_kb < 32 * 1024 && peak.descriptors <= 256 && verdict.done > verdict.sent * 9 / 10;
  }
  std::cout << report.dump() << std::endl;
  return passed ? 0 : 1;
}

}  // namespace pearchute::lab
