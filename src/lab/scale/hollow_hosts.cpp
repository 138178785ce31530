#include "lab/scale/hollow_hosts.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "errors/error.h"
#include "lab/scale/hollow_agent.h"
#include "lab/scale/hollow_manager.h"
#include "service/flatten.h"

namespace pearchute::lab {

using nlohmann::json;

namespace {

HollowCommand command_named(const std::string& name) {
  return service::one_of<HollowCommand>("command", name,
                                        {{"look", HollowCommand::look},
                                         {"cut", HollowCommand::cut},
                                         {"heal", HollowCommand::heal},
                                         {"restart", HollowCommand::restart},
                                         {"configuration", HollowCommand::configuration}});
}

json read_json(const std::string& file) {
  std::ifstream in(file);
  if (!in) throw SettingsError("can't be read", file);
  return json::parse(in);
}

class HollowHosts {
 public:
  explicit HollowHosts(const HollowHostsSpec& spec)
      : spec_(spec),
        configuration_(read_json(spec.manager_configuration)),
        settings_(configuration_.at("settings")),
        deployment_(service::decode(settings_.values())) {
    for (const PlannedHost& host : spec_.hosts) {
      HollowManager::Spec manager;
      manager.name = host.manager, manager.admin_path = manager_socket(spec_.folder, host.manager);
      manager.configuration = configuration_file(host);
      manager.channel = configuration_.at("channel").get<std::string>();
      manager.engine_connections = spec_.engine_connections, manager.seed = next_seed();
      loop_thread_.on([&] {
        managers_[host.manager] = std::make_unique<HollowManager>(loop_thread_.loop(), deployment_, manager);
      });
    }
    for (const PlannedHost& host : spec_.hosts) start_agent(host);
  }

  // By the name of the agent.
  json incarnations() {
    json all = json::object();
    loop_thread_.on([&] {
      for (const auto& [name, agent] : agents_) all[name] = agent->incarnation();
    });
    return all;
  }

  // Carries out a command and returns its answer. Throws nlohmann::json::exception if a field is missing.
  json execute(const json& line) {
    switch (command_named(line.at("command").get<std::string>())) {
      case HollowCommand::look:
        return compare_all(line);
      case HollowCommand::cut:
      case HollowCommand::heal:
        set_regions_cut(line.at("command") == name_of(HollowCommand::cut));
        return json::object();
      case HollowCommand::restart:
        restart(line.at("agents").get<std::set<std::string>>());
        return incarnations();
      case HollowCommand::configuration:
        return in_force(line.at("digest").get<std::string>());
    }
    return json::object();
  }

 private:
  std::uint64_t next_seed() { return spec_.seed * 1'000'003 + ++seeds_drawn_; }

  std::string configuration_file(const PlannedHost& host) const {
    return spec_.folder + "/" + host.manager + ".json";
  }

  // The number of managers that have the version with this digest in force.
  json in_force(const std::string& digest) {
    std::size_t managers = 0;
    loop_thread_.on([&] {
      for (const auto& [name, manager] : managers_) managers += manager->in_force().digest == digest;
    });
    return {{"in_force", managers}};
  }

  agent::AgentConfig config_of(const PlannedHost& host) const {
    agent::AgentConfig config;
    config.name = host.agent;
    config.state_file = spec_.folder + "/" + host.agent + ".db";
    config.gossips = true;
    config.spreads_config = true;
    config.zone = host.zone.name;
    config.control = keys::parse_endpoint("unix:" + agent_socket(spec_.folder, host.agent));
    agent::OwnedInstance& owned = config.instances[host.manager];
    owned.admin = admin::parse_endpoint("unix:" + manager_socket(spec_.folder, host.manager));
    owned.zone = host.zone.name;
    owned.commands[1] = "exec false";
    owned.starts = false;  // observed, never started
    owned.config_file = configuration_file(host);
    owned.config_base_file = spec_.manager_configuration;
    for (const auto& [peer, region] : spec_.regions) {
      if (peer == host.agent) continue;
      config.peer_zones[peer] = spec_.zones.at(peer);
      const bool is_cut_off = regions_cut_ && region != host.zone.region;
      config.peers[peer] = keys::parse_endpoint(
          "unix:" + (is_cut_off ? spec_.silent_socket : agent_socket(spec_.folder, peer)));
    }
    return config;
  }

  void start_agent(const PlannedHost& host) {
    agents_[host.agent] =
        std::make_unique<HollowAgent>(loop_thread_, config_of(host), channels_, traffic_, next_seed());
  }

  void restart(const std::set<std::string>& names) {
    for (const PlannedHost& host : spec_.hosts) {
      if (!names.contains(host.agent)) continue;
      agents_.erase(host.agent);
      loop_thread_.on([&] { managers_.at(host.manager)->restart(); });
      start_agent(host);
    }
  }

  void set_regions_cut(bool cut) {
    regions_cut_ = cut;
    for (const PlannedHost& host : spec_.hosts) agents_.at(host.agent)->change(config_of(host));
  }

  // Compares the gossip of all agents with the expected state. Also returns the bytes of the agents' messages
  // and the engine connections of the managers.
  json compare_all(const json& line) {
    ExpectedGossip expected;
    expected.down = line.at("down").get<std::set<std::string>>();
    expected.regions_cut = line.at("regions_cut").get<bool>();
    line.at("incarnations").get_to(expected.incarnations);
    // All agents are read in one turn of the loop, since a turn takes long on a loaded machine.
    std::map<std::string, agent::v1::Shown> all;
    loop_thread_.on([&] {
      for (const auto& [name, agent] : agents_) all[name] = agent->known();
    });
    GossipComparison comparison;
    for (const auto& [name, shown] : all) {
      std::map<std::string, std::uint64_t> fresh;
      for (const auto& entry : shown.heard()) {
        if (entry.freshness() == "fresh") fresh[entry.agent()] = entry.incarnation();
      }
      comparison.add(compare_gossip(spec_.regions, name, fresh, expected));
    }
    json result = {{"observers", comparison.observers},
                   {"not_fresh", comparison.not_fresh},
                   {"stale_as_fresh", comparison.stale_as_fresh}};
    result["traffic"] = json::object();
    for (const auto& [name, counted] : traffic_.counted())
      result["traffic"][name] = {counted.sent, counted.received};
    std::size_t connections = 0, least_engines = SIZE_MAX;
    loop_thread_.on([&] {
      for (const auto& [name, manager] : managers_) {
        connections += manager->engine_connections();
        least_engines = std::min(least_engines, manager->engines_listed());
      }
    });
    result["engine_connections"] = connections, result["least_engines"] = least_engines;
    return result;
  }

  const HollowHostsSpec spec_;
  const json configuration_;
  const service::FlatValues settings_;
  const service::Deployment deployment_;
  bool regions_cut_ = false;
  std::uint64_t seeds_drawn_ = 0;
  SharedChannels channels_;
  ControlTraffic traffic_;
  net::EventLoopThread loop_thread_;
  std::map<std::string, std::unique_ptr<HollowManager>> managers_;
  std::map<std::string, std::unique_ptr<HollowAgent>> agents_;
};

}  // namespace

std::string_view name_of(HollowCommand command) {
  constexpr std::string_view names[] = {"look", "cut", "heal", "restart", "configuration"};
  return names[static_cast<int>(command)];
}

std::string agent_socket(const std::string& folder, const std::string& agent) {
  return folder + "/" + agent + ".sock";
}
std::string manager_socket(const std::string& folder, const std::string& manager) {
  return folder + "/" + manager + ".admin";
}

bool ExpectedGossip::can_reach(const std::map<std::string, Region>& regions, const std::string& observer,
                               const std::string& agent) const {
  if (down.contains(agent)) return false;
  return !regions_cut || regions.at(observer) == regions.at(agent);
}

void GossipComparison::add(const GossipComparison& other) {
  observers += other.observers;
  not_fresh += other.not_fresh;
  stale_as_fresh += other.stale_as_fresh;
}

GossipComparison compare_gossip(const std::map<std::string, Region>& regions, const std::string& observer,
                                const std::map<std::string, std::uint64_t>& fresh,
                                const ExpectedGossip& expected) {
  GossipComparison comparison;
  comparison.observers = 1;
  for (const auto& [agent, region] : regions) {
    if (agent == observer) continue;
    const auto known = fresh.find(agent);
    if (!expected.can_reach(regions, observer, agent)) {
      comparison.stale_as_fresh += known != fresh.end();
      continue;
    }
    const auto expected_incarnation = expected.incarnations.find(agent);
    const bool is_earlier_incarnation = known != fresh.end() &&
                                        expected_incarnation != expected.incarnations.end() &&
                                        known->second < expected_incarnation->second;
    comparison.not_fresh += known == fresh.end() || is_earlier_incarnation;
  }
  return comparison;
}

json to_json(const HollowHostsSpec& spec) {
  json hosts = json::array(), regions = json::object();
  for (const PlannedHost& host : spec.hosts) {
    hosts.push_back({{"agent", host.agent},
                     {"manager", host.manager},
                     {"zone", host.zone.name},
                     {"region", static_cast<int>(host.zone.region)}});
  }
  for (const auto& [agent, region] : spec.regions) regions[agent] = static_cast<int>(region);
  return {{"folder", spec.folder},
          {"manager_configuration", spec.manager_configuration},
          {"silent_socket", spec.silent_socket},
          {"seed", spec.seed},
          {"engine_connections", spec.engine_connections},
          {"hosts", hosts},
          {"zones", spec.zones},
          {"regions", regions}};
}

HollowHostsSpec hollow_hosts_spec(const json& from) {
  HollowHostsSpec spec;
  from.at("folder").get_to(spec.folder);
  from.at("manager_configuration").get_to(spec.manager_configuration);
  from.at("silent_socket").get_to(spec.silent_socket);
  from.at("seed").get_to(spec.seed);
  from.at("engine_connections").get_to(spec.engine_connections);
  from.at("zones").get_to(spec.zones);
  for (const json& entry : from.at("hosts")) {
    PlannedHost& host = spec.hosts.emplace_back();
    entry.at("agent").get_to(host.agent), entry.at("manager").get_to(host.manager);
    entry.at("zone").get_to(host.zone.name);
    host.zone.region = static_cast<Region>(entry.at("region").get<int>());
  }
  for (const auto& [agent, region] : from.at("regions").items())
    spec.regions[agent] = static_cast<Region>(region.get<int>());
  return spec;
}

int run_hollow_hosts(const std::string& spec_file) {
  std::signal(SIGPIPE, SIG_IGN);
  HollowHosts hosts(hollow_hosts_spec(read_json(spec_file)));
  std::cout << hosts.incarnations().dump() << std::endl;
  for (std::string line; std::getline(std::cin, line);)
    std::cout << hosts.execute(json::parse(line)).dump() << std::endl;
  // Ends the agents and managers abruptly, as in a crash.
  ::_exit(0);
}

}  // namespace pearchute::lab
