// Measures slopes at small sizes: each group returns all its slopes, each with a unit, the measured sizes and
// plausible values, and both the JSON and the file of slopes contain every slope.
#include <algorithm>
#include <cassert>
#include <cstdio>
#include <filesystem>
#include <set>
#include <string>
#include <vector>

#include "lab/capacity/slopes_file.h"
#include "lab/measurements/measure_slopes.h"
#include "lab/measurements/slopes_agent.h"
#include "lab/measurements/slopes_channel_engine.h"
#include "lab/measurements/slopes_manager_control.h"
#include "lab/measurements/slopes_operator.h"
#include "net/log.h"

using namespace pearchute;
using namespace pearchute::lab;
using std::chrono::milliseconds;

namespace {

MeasurementOptions test_options() {
  MeasurementOptions options;
  options.programs = std::filesystem::path(PEARCHUTED).parent_path();
  return options;
}

// Slopes whose values may be 0 at a small size.
const std::set<std::string> may_be_zero = {"agent.disk_writes.by_instances",
                                           "manager.handshake_cpu.by_engines"};

void check_group(const std::vector<MeasuredSeries>& group, const std::set<std::string>& names,
                 std::size_t sizes) {
  std::set<std::string> found;
  for (const MeasuredSeries& series : group) {
    const std::string& name = series.description.name;
    found.insert(name);
    assert(!series.description.unit.empty() && !series.description.driver.empty());
    assert(!series.source.empty());
    std::printf("%s: %zu points\n", name.c_str(), series.points.size());
    assert(series.points.size() == sizes);
    for (const capacity::SlopePoint& point : series.points) {
      assert(point.driver > 0);
      assert(point.value > 0 || (may_be_zero.contains(name) && point.value == 0));
    }
  }
  assert(found == names);
}

// Extrapolates the first point linearly to four sizes, as many as a fit needs.
std::vector<capacity::Slope> fit_extrapolated(const std::vector<MeasuredSeries>& group) {
  std::vector<capacity::Slope> slopes;
  for (MeasuredSeries series : group) {
    const std::vector<capacity::SlopePoint> measured_points = series.points;
    series.points.clear();
    for (const double factor : {1.0, 2.0, 4.0, 8.0})
      series.points.push_back(
          {measured_points.front().driver * factor, measured_points.front().value * factor});
    slopes.push_back(fit_series(series));
  }
  return slopes;
}

void check_file_and_json(const std::vector<capacity::Slope>& slopes) {
  const std::string path = "test_slopes.ini";
  std::filesystem::remove(path);
  const std::vector<capacity::Slope> first(slopes.begin(), slopes.begin() + 1);
  write_measured_slopes(path, first);
  write_measured_slopes(path, slopes);
  const std::vector<capacity::Slope> read = capacity::read_slopes(path);
  assert(read == slopes);
  for (const capacity::Slope& slope : read) {
    const nlohmann::json report = slope_as_json(slope);
    assert(report.at("unit") == slope.description.unit && report.at("points").size() == slope.points.size());
    assert(report.contains("left_out") && report.contains("error") && report.contains("shape"));
  }
  std::filesystem::remove(path);
}

std::vector<MeasuredSeries> manager_control(const MeasurementOptions& options) {
  ManagerControlPlan plan;
  plan.engines = {4};
  plan.windows = 1;
  plan.rest_window = milliseconds(1200);
  plan.list_events = 10;  // with 2 events the machine's other load distorts the result
  plan.status_calls = 4;
  plan.start_window = milliseconds(400);
  plan.opening_statement = milliseconds(300);
  plan.waiting_statement = milliseconds(1900);
  std::vector<MeasuredSeries> group = measure_manager_control_slopes(options, plan);
  check_group(group,
              {"manager.control_cpu_at_rest.by_engines", "manager.control_bytes_at_rest.by_engines",
               "manager.list_event_cpu.by_engines", "manager.list_event_bytes.by_engines",
               "manager.list_change_cpu.by_engines", "manager.list_change_bytes.by_engines",
               "manager.heartbeat_bytes.by_engines_connected", "manager.status_call_cpu.by_engines",
               "manager.handshake_cpu.by_engines"},
              plan.engines.size());
  return group;
}

std::vector<MeasuredSeries> agent(const MeasurementOptions& options) {
  AgentPlan plan;
  plan.agents = {2};
  plan.instances = {1};
  plan.windows = 1;
  plan.warm_up = milliseconds(300);
  plan.window = milliseconds(1200);
  std::vector<MeasuredSeries> group = measure_agent_slopes(options, plan);
  for (MeasuredSeries& series : group) {
    assert(series.points.size() == 1);
    assert(series.source.find("simulat") == std::string::npos);
    series.points.resize(1);
  }
  check_group(group,
              {"agent.bytes_sent.by_agents", "agent.bytes_received.by_agents", "agent.cpu.by_agents",
               "agent.memory.by_agents", "agent.bytes_sent.by_instances", "agent.cpu.by_instances",
               "agent.memory.by_instances", "agent.disk_writes.by_instances"},
              1);
  return group;
}

std::vector<MeasuredSeries> channel_engine(const MeasurementOptions& options) {
  ChannelEnginePlan plan;
  plan.managers = {2};
  plan.statement = milliseconds(1900);
  plan.engines = 2;
  plan.windows = 1;
  plan.list_events = 2;
  std::vector<MeasuredSeries> group = measure_channel_engine_slopes(options, plan);
  check_group(group,
              {"channel.connections.by_managers", "channel.bytes.by_managers",
               "engine.connections.by_managers", "engine.probes.by_managers"},
              plan.managers.size());
  // One stream per manager.
  assert(group.front().points.front().value == 2);
  return group;
}

std::vector<MeasuredSeries> operators(const MeasurementOptions& options) {
  OperatorPlan plan;
  plan.endpoints = {4, 8};
  plan.repeats = 1;
  plan.rollout_instances = {40, 80};
  std::vector<MeasuredSeries> group = measure_operator_slopes(options, plan);
  check_group(group, {"operator.status_time.by_instances", "operator.rollout_time.by_instances"},
              plan.endpoints.size());
  return group;
}

}  // namespace

int main() {
  net::start_log("test");
  spdlog::set_level(spdlog::level::err);
  const MeasurementOptions options = test_options();
  std::vector<capacity::Slope> slopes;
  for (const auto measure : {operators, channel_engine, manager_control, agent}) {
    const std::vector<capacity::Slope> group = fit_extrapolated(measure(options));
    slopes.insert(slopes.end(), group.begin(), group.end());
  }
  check_file_and_json(slopes);
  assert(slope_groups().size() == 5);
}
