#include "lab/measurements/slopes_operator.h"

#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>

#include "errors/error.h"
#include "lab/simulations/rollout_simulation.h"
#include "lab/stand_ins/admin_endpoints.h"
#include "net/event_loop_thread.h"

namespace pearchute::lab {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int instances_per_agent = 20;
constexpr int zones = 4;
constexpr int max_concurrent_steps = 20;

// Stand-in admin endpoints on one event loop. Their sockets and the fleet file that names them are in a
// temporary folder, which the destructor removes.
class StandInEndpoints {
 public:
  explicit StandInEndpoints(int number) {
    char folder[] = "/tmp/pearchute-lab-XXXXXX";
    if (!::mkdtemp(folder)) throw SystemError("can't create a folder for the laboratory's files", "/tmp");
    folder_ = folder;
    std::ofstream file(fleet_file());
    file << "[fleet]\ntimeout_ms = 5000\n";
    for (int i = 0; i < number; ++i) {
      const std::string name = "n" + std::to_string(i);
      const std::string path = folder_ + "/" + name;
      file << "[instance " << name << "]\nadmin = unix:" << path << "\n";
      thread_.on([&] { managers_.push_back(std::make_unique<StandInManager>(thread_.loop(), path, name)); });
    }
  }
  ~StandInEndpoints() {
    thread_.on([this] { managers_.clear(); });
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
  StandInEndpoints(const StandInEndpoints&) = delete;
  StandInEndpoints& operator=(const StandInEndpoints&) = delete;
  std::string fleet_file() const { return folder_ + "/fleet.ini"; }

 private:
  std::string folder_;
  net::EventLoopThread thread_;
  std::vector<std::unique_ptr<StandInManager>> managers_;
};

double status_milliseconds(const MeasurementOptions& options, int number, int repeats) {
  const StandInEndpoints endpoints(number);
  return median_of(repeats, [&] {
    const Ran result = run_program(options.programs + "/pearchutectl",
                                   {"--fleet", endpoints.fleet_file(), "--output", "json", "status"});
    const nlohmann::json rows = nlohmann::json::parse(result.out, nullptr, false);
    if (result.status != 0 || !rows.is_array() || rows.size() != static_cast<std::size_t>(number))
      throw TestClusterError("a status over " + std::to_string(number) +
                             " endpoints failed or has missing rows, exit status " +
                             std::to_string(result.status));
    return result.seconds * 1000;
  });
}

double rollout_seconds(const MeasurementOptions& options, int instances) {
  RolloutSimulation::Shape shape;
  shape.seed = options.seed;
  shape.agents = instances / instances_per_agent;
  shape.instances_each = instances_per_agent;
  shape.zones = zones;
  fleet::RolloutPlan plan;
  plan.id = "slope";
  plan.who = "lab";
  plan.max_concurrent = max_concurrent_steps;
  plan.gate = milliseconds(500);
  plan.warm = milliseconds(500);
  for (int zone = 0; zone < zones; ++zone)
    plan.min_serving["z" + std::to_string(zone)] = instances / zones * 4 / 5;
  const RolloutSimulation::Result result = RolloutSimulation(shape).play(plan);
  if (result.state != fleet::Rollout::State::done)
    throw TestClusterError("the simulated rollout over " + std::to_string(instances) +
                           " instances did not succeed");
  return std::chrono::duration<double>(result.lasted).count();
}

}  // namespace

std::vector<MeasuredSeries> measure_operator_slopes(const MeasurementOptions& options,
                                                    const OperatorPlan& plan) {
  SeriesSet series;
  series.declare({"operator.status_time.by_instances", "operator", "time of pearchutectl status", "ms",
                  "instances", "instances"},
                 "pearchutectl status over stand-in admin endpoints that all answer, on Unix sockets of one "
                 "loop; the program's start included; median");
  series.declare({"operator.rollout_time.by_instances", "operator", "time of a restart of all instances", "s",
                  "instances", "instances"},
                 "the rollout simulation, 20 instances at once of 20 for each agent, four zones, no gate "
                 "between batches, nothing goes wrong; simulated time");
  for (const int number : plan.endpoints)
    series.add("operator.status_time.by_instances", number,
               status_milliseconds(options, number, plan.repeats));
  for (const int number : plan.rollout_instances)
    series.add("operator.rollout_time.by_instances", number, rollout_seconds(options, number));
  return series.take();
}

}  // namespace pearchute::lab
