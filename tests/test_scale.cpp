// Scale runs: the plan of hosts, racks, zones and regions; what is expected of agents' knowledge; the report;
// and a small run with two real managers under a real agent beside a dozen hollow hosts.
#include <unistd.h>

#include <cassert>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "errors/error.h"
#include "lab/scale/hollow_hosts.h"
#include "lab/scale/scale_faults.h"
#include "lab/scale/scale_plan.h"
#include "lab/scale/scale_report.h"
#include "lab/stand_ins/admin_endpoints.h"

using namespace pearchute;
using namespace pearchute::lab;

namespace {

template <class What>
bool refuses(What what) {
  try {
    what();
    return false;
  } catch (const Error&) {
    return true;
  }
}

void plan_at_target() {
  const ScalePlan plan(630, 7);
  assert(plan.real_managers() == 8 && plan.real_agents().size() == 4);
  assert(plan.engines() == 740 && plan.processes() <= ScalePlan::most_processes);
  std::size_t hosts = 0;
  std::set<std::string> zones;
  std::set<Region> regions;
  for (std::size_t r = 0; r < plan.racks().size(); ++r) {
    const PlannedRack& rack = plan.racks()[r];
    hosts += rack.hosts.size();
    zones.insert(rack.zone.name), regions.insert(rack.zone.region);
    for (const PlannedHost& host : rack.hosts) {
      assert(host.rack == r && host.zone.name == rack.zone.name);
      assert(plan.regions().at(host.agent) == rack.zone.region);
    }
  }
  assert(hosts == 622 && zones.size() == 7 && regions.size() == 2);
  assert(plan.agents() == hosts + 4);
}

void plan_by_seed() {
  const ScalePlan one(192, 5), same(192, 5), other(192, 6);
  assert(one.draw_third(1) == same.draw_third(1) && one.draw_zone(2) == same.draw_zone(2));
  assert(one.draw_hosts(8, 3)[0].agent == same.draw_hosts(8, 3)[0].agent);
  bool differs = false;
  for (std::uint64_t salt = 0; salt < 8; ++salt)
    differs |= one.draw_racks(1, salt) != other.draw_racks(1, salt);
  assert(differs);
  std::size_t third = 0;
  for (const std::size_t rack : one.draw_third(1)) third += one.racks()[rack].hosts.size();
  assert(third >= 184 / 3 && third < 184 / 3 + 30);
  assert(!one.racks_in_zone(one.draw_zone(2)).empty());
}

void plan_bounds() {
  assert(refuses([] { ScalePlan(ScalePlan::least_managers - 1, 1); }));
  assert(refuses([] { ScalePlan(ScalePlan::most_managers + 1, 1); }));
  assert(ScalePlan(ScalePlan::most_managers, 1).processes() <= ScalePlan::most_processes);
  assert(scale_faults_in("").size() == 7 && scale_faults_in("zone,third").size() == 2);
  assert(refuses([] { scale_faults_in("zone,flood"); }));
}

void hollow_spec_survives_json() {
  HollowHostsSpec spec;
  spec.folder = "/tmp/x", spec.seed = 9, spec.engine_connections = 3;
  spec.hosts = {{"h1", "m1", {"south-a", Region::second}, 0}};
  spec.regions = {{"h1", Region::second}, {"a1", Region::first}};
  spec.zones = {{"h1", "south-a"}, {"a1", "north-a"}};
  const HollowHostsSpec read = hollow_hosts_spec(to_json(spec));
  assert(read.folder == spec.folder && read.seed == 9 && read.engine_connections == 3);
  assert(read.regions == spec.regions && read.zones == spec.zones && read.hosts.size() == 1);
  assert(read.hosts[0].manager == "m1" && read.hosts[0].zone.region == Region::second);
}

void knowledge_against_expected() {
  const std::map<std::string, Region> regions = {
      {"a", Region::first}, {"b", Region::first}, {"c", Region::second}};
  const auto of = [&](const std::map<std::string, std::uint64_t>& fresh, const Expected& expected) {
    return compare(regions, "a", fresh, expected);
  };
  assert(of({{"b", 1}, {"c", 1}}, {}).not_fresh == 0);
  assert(of({{"b", 1}}, {}).not_fresh == 1);
  // An earlier life is not known for the present one.
  assert(of({{"b", 1}, {"c", 1}}, {{}, false, {{"c", 2}}}).not_fresh == 1);
  // What is down, or beyond a cut, may not be called fresh.
  assert(of({{"b", 1}, {"c", 1}}, {{"b"}, false, {}}).stale_as_fresh == 1);
  assert(of({{"b", 1}, {"c", 1}}, {{}, true, {}}).stale_as_fresh == 1);
  assert(of({{"b", 1}}, {{}, true, {}}).stale_as_fresh == 0);
}

void report() {
  ScaleResult result;
  result.control_bytes_per_s_mean = 10'000, result.control_bytes_per_s_max = 26'000;
  result.control_cpu_share_max = 0.01, result.control_memory_mb_max = 100;
  result.primary_change = std::chrono::milliseconds(500);
  result.recovered["zone"] = std::nullopt;
  const nlohmann::json told = to_json(result);
  assert(told["missed"]["control_bytes_per_s_max"] == 2.0);
  assert(!told["missed"].contains("control_cpu_share_max"));
  assert(told["missed"].contains("config_in_force_ms_max") && told["config_in_force_ms_max"].is_null());
  assert(told["recovered_ms"]["zone"].is_null() && told["cold_over_limit"].is_null());
  assert(rules_hold(result));  // a target that is missed is no broken rule
  for (auto* broken : {&result.lost, &result.doubled, &result.stale_as_fresh}) {
    *broken = 1;
    assert(!rules_hold(result));
    *broken = 0;
  }
  result.cold_over_limit = 1;
  assert(!rules_hold(result));

  const std::string file = "/tmp/test_scale_predicted." + std::to_string(::getpid());
  const auto predicted = [&](const std::string& text) {
    std::ofstream(file) << text;
    return predicted_error(file, result);
  };
  assert(predicted(R"({"control_bytes_per_s_mean": 12000, "control_memory_mb_max": 90})") == 0.2);
  assert(refuses([&] { predicted(R"({"control_bytes_per_s_mean": -1})"); }));
  assert(refuses([&] { predicted(R"({"other": 1})"); }));
  assert(refuses([&] { predicted("no json"); }));
  std::filesystem::remove(file);
  assert(refuses([&] { predicted_error(file, result); }));
}

void small_run() {
  const std::string lab = std::filesystem::path(PEARCHUTED).parent_path() / "pearchute-lab";
  const Ran ran =
      run_program(lab, {"measure", "scale", "--size", "14", "--faults", "third,regions,configuration"});
  std::cerr << ran.out << ran.seconds << " s\n";
  assert(ran.status == 0);
  const nlohmann::json told = nlohmann::json::parse(ran.out);
  assert(told["managers"] == 14 && told["agents"] == 13 && told["real_managers"] == 2);
  assert(told["all_fresh_at_start_ms"].is_number());
  assert(told["recovered_ms"]["third"].is_number() && told["recovered_ms"]["regions"].is_number());
  assert(told["lost"] == 0 && told["doubled"] == 0 && told["stale_as_fresh"] == 0);
  assert(told["config_in_force_ms_max"].is_number());
  assert(told["done"] > 100 && told["control_bytes_per_s_mean"] > 0);
  assert(told["memory_share"] < 0.5);
  assert(run_program(lab, {"measure", "scale", "--size", "3"}).status == 3);
}

}  // namespace

int main() {
  plan_at_target();
  plan_by_seed();
  plan_bounds();
  hollow_spec_survives_json();
  knowledge_against_expected();
  report();
  small_run();
  return 0;
}
