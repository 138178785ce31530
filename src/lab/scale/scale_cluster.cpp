#include "lab/scale/scale_cluster.h"

#include <grpcpp/grpcpp.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "errors/error.h"

namespace pearchute::lab {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

// All zero if there is no such process.
ProcessUsage usage_of(pid_t process) { return read_process_usage(process).value_or(ProcessUsage{}); }

ClusterSpec cluster_spec(const ScalePlan& plan, const std::string& programs, std::uint64_t seed) {
  ClusterSpec spec;
  spec.managers = plan.real_managers(), spec.engines = plan.engines(), spec.seed = seed;
  spec.zones = ScalePlan::zone_names();
  spec.pearchuted = programs + "/pearchuted", spec.pearchute_agent = programs + "/pearchute-agent";
  spec.starts_managers = false;
  spec.fleet_managers = plan.managers(), spec.cold = scale_cold_rule();
  spec.sockets = 1024 + 2 * plan.engines(), spec.manager_memory_mb = 256;
  return spec;
}

std::string base_of(const TestCluster::Manager& manager) { return manager.configuration + ".base"; }

}  // namespace

ColdRule scale_cold_rule() {
  ColdRule rule;
  rule.lasts = std::chrono::seconds(5), rule.window = std::chrono::seconds(1);
  rule.share = 0.1, rule.multiple = 2.5;
  return rule;
}

ScaleCluster::ScaleCluster(const ScalePlan& plan, const std::string& programs, std::uint64_t seed)
    : plan_(plan),
      programs_(programs),
      cluster_(cluster_spec(plan, programs, seed)),
      silent_(std::make_unique<SilentPlace>(cluster_.folder() + "/silent.sock")) {
  if (plan_.processes() > ScalePlan::max_processes)
    throw UsageError("the run would take " + std::to_string(plan_.processes()) + " processes; the limit is " +
                     std::to_string(ScalePlan::max_processes) + ", choose a smaller size");
  for (const TestCluster::Manager& manager : cluster_.managers())
    std::filesystem::copy_file(manager.configuration, base_of(manager));
  for (std::size_t n = 0; n < plan_.real_agents().size(); ++n) {
    Agent& agent = *real_agents_.emplace_back(std::make_unique<Agent>());
    agent.name = plan_.real_agents()[n].name, agent.program = programs_ + "/pearchute-agent";
    agent.charter = cluster_.folder() + "/" + agent.name + ".ini";
    agent.control = "unix:" + agent_socket(cluster_.folder(), agent.name);
    write_agent_configuration(n, false);
    agent.start();
    agent.stub =
        agent::v1::Agent::NewStub(grpc::CreateChannel(agent.control, grpc::InsecureChannelCredentials()));
  }
  const std::map<std::string, std::string> zones = plan_.zone_by_agent();
  std::set<std::size_t> all;
  for (std::size_t r = 0; r < plan_.racks().size(); ++r) {
    HollowHostsSpec spec;
    spec.folder = cluster_.folder(), spec.manager_configuration = base_of(cluster_.managers()[0]);
    spec.silent_socket = cluster_.folder() + "/silent.sock";
    spec.seed = seed * 1'000'000 + r * 1000;
    spec.hosts = plan_.racks()[r].hosts, spec.regions = plan_.regions(), spec.zones = zones;
    racks_.push_back(std::make_unique<HollowRack>(programs_ + "/pearchute-lab", std::move(spec), r));
    all.insert(r);
  }
  start_racks(all);
}

ScaleCluster::~ScaleCluster() {
  racks_.clear();
  for (const auto& agent : real_agents_) agent->end(SIGKILL);
}

void ScaleCluster::write_agent_configuration(std::size_t number, bool cut) {
  const PlannedRealAgent& self = plan_.real_agents()[number];
  const Agent& agent = *real_agents_[number];
  const std::map<std::string, std::string> zones = plan_.zone_by_agent();
  std::ofstream configuration(agent.charter);
  configuration << "[agent]\nname = " << agent.name << "\nstate = " << cluster_.folder() << "/" << agent.name
                << ".db\ncontrol = " << agent.control
                << "\nexchange = yes\nconfiguration = yes\nzone = " << self.zone.name << "\n";
  for (const auto& [peer, region] : plan_.regions()) {
    if (peer == agent.name) continue;
    const bool is_cut_off = cut && region != self.zone.region;
    configuration << "[peer " << peer << "]\ncontrol = unix:"
                  << (is_cut_off ? cluster_.folder() + "/silent.sock" : agent_socket(cluster_.folder(), peer))
                  << "\nzone = " << zones.at(peer) << "\n";
  }
  const std::size_t each = cluster_.managers().size() / plan_.real_agents().size();
  for (std::size_t m = number * each; m < (number + 1) * each; ++m) {
    const TestCluster::Manager& manager = cluster_.managers()[m];
    configuration << "[instance " << manager.name << "]\nadmin = unix:" << manager.admin
                  << "\nzone = " << manager.zone << "\ncommand = exec " << programs_
                  << "/pearchuted --config " << manager.configuration << " --admin " << manager.admin_file
                  << "\nlog = " << manager.log << "\nconfiguration = " << manager.configuration
                  << "\nconfiguration.base = " << base_of(manager) << "\n";
  }
}

void ScaleCluster::kill_racks(const std::set<std::size_t>& racks) {
  for (const std::size_t rack : racks) racks_[rack]->kill();
}

void ScaleCluster::start_racks(const std::set<std::size_t>& racks) {
  for (const std::size_t rack : racks) racks_[rack]->start();
  for (const std::size_t rack : racks) record_incarnations(racks_[rack]->receive());
}

std::set<std::string> ScaleCluster::agents_of(const std::set<std::size_t>& racks) const {
  std::set<std::string> names;
  for (const std::size_t rack : racks) {
    for (const PlannedHost& host : plan_.racks()[rack].hosts) names.insert(host.agent);
  }
  return names;
}

void ScaleCluster::restart_hosts(const std::vector<PlannedHost>& hosts) {
  std::map<std::size_t, std::set<std::string>> by_rack;
  for (const PlannedHost& host : hosts) by_rack[host.rack].insert(host.agent);
  for (const auto& [rack, agents] : by_rack)
    racks_[rack]->send({{"command", name_of(HollowCommand::restart)}, {"agents", agents}});
  for (const auto& [rack, agents] : by_rack) record_incarnations(racks_[rack]->receive());
}

void ScaleCluster::record_incarnations(const json& incarnations) {
  for (const auto& [agent, incarnation] : incarnations.items()) incarnations_[agent] = incarnation;
}

void ScaleCluster::restart_real_agent(std::size_t number) {
  real_agents_[number]->end(SIGKILL);
  real_agents_[number]->start();
}

void ScaleCluster::cut_regions(bool cut) {
  for (std::size_t n = 0; n < real_agents_.size(); ++n) {
    write_agent_configuration(n, cut);
    ::kill(real_agents_[n]->process, SIGHUP);
  }
  command_all({{"command", name_of(cut ? HollowCommand::cut : HollowCommand::heal)}});
}

void ScaleCluster::command_all(const json& command, std::vector<json>* answers) {
  for (const auto& rack : racks_) {
    if (rack->is_running()) rack->send(command);
  }
  for (const auto& rack : racks_) {
    if (!rack->is_running()) continue;
    json answer = rack->receive();
    if (answers) answers->push_back(std::move(answer));
  }
}

std::size_t ScaleCluster::managers_in_force(const std::string& digest) {
  std::vector<json> answers;
  command_all({{"command", name_of(HollowCommand::configuration)}, {"digest", digest}}, &answers);
  std::size_t managers = 0;
  for (const json& answer : answers) managers += answer.at("in_force").get<std::size_t>();
  for (std::size_t m = 0; m < cluster_.managers().size(); ++m)
    managers += cluster_.status(m).config().digest() == digest;
  return managers;
}

std::string ScaleCluster::publish(const std::string& content, const std::string& parent,
                                  std::string& digest) {
  agent::v1::ConfigPublication publication;
  publication.set_content(content), publication.set_parent(parent);
  publication.set_new_epoch(parent.empty());
  agent::v1::ConfigPublished published;
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + std::chrono::seconds(5));
  const grpc::Status status = real_agents_[0]->stub->PublishConfig(&context, publication, &published);
  if (!status.ok()) return status.error_message();
  if (published.result() != "accepted") return published.result() + " " + published.fault();
  digest = published.mark().digest();
  return "";
}

GossipComparison ScaleCluster::compare_gossip_of_real_agents(const ExpectedGossip& expected) {
  GossipComparison comparison;
  for (const auto& agent : real_agents_) {
    const auto shown = agent->show();
    std::map<std::string, std::uint64_t> fresh;
    if (shown) {
      for (const auto& entry : shown->heard()) {
        if (entry.freshness() == "fresh") fresh[entry.agent()] = entry.incarnation();
      }
    }
    comparison.add(compare_gossip(plan_.regions(), agent->name, fresh, expected));
  }
  return comparison;
}

GossipComparison ScaleCluster::compare_all_gossip(const ExpectedGossip& expected) {
  std::vector<json> answers;
  command_all({{"command", name_of(HollowCommand::look)},
               {"down", expected.down},
               {"regions_cut", expected.regions_cut},
               {"incarnations", expected.incarnations}},
              &answers);
  GossipComparison comparison = compare_gossip_of_real_agents(expected);
  for (const json& answer : answers) {
    comparison.add({answer.at("observers").get<std::size_t>(), answer.at("not_fresh").get<std::size_t>(),
                    answer.at("stale_as_fresh").get<std::size_t>()});
  }
  return comparison;
}

std::optional<milliseconds> ScaleCluster::until_all_fresh(Time since, std::chrono::seconds timeout) {
  const ExpectedGossip all_up{{}, false, incarnations_};
  while (steady_now() - since < timeout) {
    const Time compared_at = steady_now();
    if (compare_all_gossip(all_up).not_fresh == 0)
      return std::chrono::duration_cast<milliseconds>(compared_at - since);
    cluster_.rest(milliseconds(100));
  }
  return std::nullopt;
}

std::map<std::string, std::uint64_t> ScaleCluster::bytes_sent() {
  std::vector<json> answers;
  command_all({{"command", name_of(HollowCommand::look)},
               {"down", json::array()},
               {"regions_cut", false},
               {"incarnations", json::object()}},
              &answers);
  std::map<std::string, std::uint64_t> sent;
  for (const json& answer : answers) {
    for (const auto& [agent, counted] : answer.at("traffic").items())
      sent[agent] += counted.at(0).get<std::uint64_t>();
  }
  return sent;
}

std::vector<ScaleCluster::Usage> ScaleCluster::hollow_usage() const {
  std::vector<Usage> all;
  for (const auto& rack : racks_) all.push_back({usage_of(rack->process()), rack->spec().hosts.size()});
  return all;
}

std::vector<ScaleCluster::Usage> ScaleCluster::real_agent_usage() const {
  std::vector<Usage> all;
  const std::size_t each = static_cast<std::size_t>(plan_.real_managers()) / real_agents_.size();
  for (const auto& agent : real_agents_) all.push_back({usage_of(agent->process), each});
  return all;
}

std::vector<ScaleCluster::Usage> ScaleCluster::real_manager_usage() {
  std::vector<Usage> all;
  for (std::size_t m = 0; m < cluster_.managers().size(); ++m) {
    admin::v1::Call who;
    who.mutable_who();
    const auto process = static_cast<pid_t>(cluster_.call(m, who).identity().pid());
    all.push_back({process > 0 ? usage_of(process) : ProcessUsage{}, 1});
  }
  return all;
}

std::size_t ScaleCluster::processes() const { return plan_.processes() + 1; }

double ScaleCluster::memory_share() {
  std::uint64_t kb = usage_of(::getpid()).resident_kb;
  for (const auto& all : {hollow_usage(), real_agent_usage(), real_manager_usage()}) {
    for (const Usage& usage : all) kb += usage.used.resident_kb;
  }
  return static_cast<double>(kb) / static_cast<double>(machine_memory_kb());
}

}  // namespace pearchute::lab
