// Scale runs: the plan of hosts, racks, zones and regions; the comparison of gossip with the expected state;
// the report; and a small run with two real managers under a real agent and a dozen hollow hosts.
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

template <class Function>
bool throws_error(Function function) {
  try {
    function();
    return false;
  } catch (const Error&) {
    return true;
  }
}

void plan_at_target() {
  const ScalePlan plan(630, 7);
  assert(plan.real_managers() == 8 && plan.real_agents().size() == 4);
  assert(plan.engines() == 740 && plan.processes() <= ScalePlan::max_processes);
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
  assert(throws_error([] { ScalePlan(ScalePlan::min_managers - 1, 1); }));
  assert(throws_error([] { ScalePlan(ScalePlan::max_managers + 1, 1); }));
  assert(ScalePlan(ScalePlan::max_managers, 1).processes() <= ScalePlan::max_processes);
  assert(scale_faults_in("").size() == 7 && scale_faults_in("zone,third").size() == 2);
  assert(throws_error([] { scale_faults_in("zone,flood"); }));
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

void gossip_against_expected_state() {
  const std::map<std::string, Region> regions = {
      {"a", Region::first}, {"b", Region::first}, {"c", Region::second}};
  const auto of = [&](const std::map<std::string, std::uint64_t>& fresh, const ExpectedGossip& expected) {
    return compare_gossip(regions, "a", fresh, expected);
  };
  assert(of({{"b", 1}, {"c", 1}}, {}).not_fresh == 0);
  assert(of({{"b", 1}}, {}).not_fresh == 1);
  // Gossip of an earlier incarnation is not fresh.
  assert(of({{"b", 1}, {"c", 1}}, {{}, false, {{"c", 2}}}).not_fresh == 1);
  // Gossip of an agent that is down or cut off must not be marked fresh.
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
  const nlohmann::json report_json = to_json(result);
  assert(report_json["missed"]["control_bytes_per_s_max"] == 2.0);
  assert(!report_json["missed"].contains("control_cpu_share_max"));
  assert(report_json["missed"].contains("config_in_force_ms_max") &&
         report_json["config_in_force_ms_max"].is_null());
  assert(report_json["recovered_ms"]["zone"].is_null() && report_json["cold_over_limit"].is_null());
  assert(rules_hold(result));  // a missed target does not break a rule
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
  assert(throws_error([&] { predicted(R"({"control_bytes_per_s_mean": -1})"); }));
  assert(throws_error([&] { predicted(R"({"other": 1})"); }));
  assert(throws_error([&] { predicted("no json"); }));
  std::filesystem::remove(file);
  assert(throws_error([&] { predicted_error(file, result); }));
}

void small_run() {
  const std::string lab = std::filesystem::path(PEARCHUTED).parent_path() / "pearchute-lab";
  const Ran ran =
      run_program(lab, {"measure", "scale", "--size", "14", "--faults", "third,regions,configuration"});
  std::cerr << ran.out << ran.seconds << " s\n";
  assert(ran.status == 0);
  const nlohmann::json report_json = nlohmann::json::parse(ran.out);
  assert(report_json["managers"] == 14 && report_json["agents"] == 13 && report_json["real_managers"] == 2);
  assert(report_json["all_fresh_at_start_ms"].is_number());
  assert(report_json["recovered_ms"]["third"].is_number() &&
         report_json["recovered_ms"]["regions"].is_number());
  assert(report_json["lost"] == 0 && report_json["doubled"] == 0 && report_json["stale_as_fresh"] == 0);
  assert(report_json["config_in_force_ms_max"].is_number());
  assert(report_json["done"] > 100 && report_json["control_bytes_per_s_mean"] > 0);
  assert(report_json["memory_share"] < 0.5);
  assert(run_program(lab, {"measure", "scale", "--size", "3"}).status == 3);
}

}  // namespace

int main() {
  plan_at_target();
  plan_by_seed();
  plan_bounds();
  hollow_spec_survives_json();
  gossip_against_expected_state();
  report();
  small_run();
  return 0;
}
