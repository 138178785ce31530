#include "lab/stand_ins/agent_cluster.h"

#include <grpcpp/grpcpp.h>
#include <signal.h>
#include <sys/wait.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "agent/rpc_deadline.h"
#include "errors/error.h"
#include "lab/stand_ins/child_process.h"
#include "lab/stand_ins/log_tail.h"

namespace pearchute::lab {

Agent::~Agent() {
  if (process > 0) end(SIGKILL);
}

void Agent::start() {
  process = start_child({.program = program,
                         .arguments = {"--charter", charter},
                         .environment = environment,
                         .log = charter + ".log"});
}

void Agent::end(int signal) {
  if (process <= 0) return;
  ::kill(process, signal);
  ::waitpid(process, nullptr, 0);
  process = -1;
}

std::optional<agent::v1::Shown> Agent::show() {
  grpc::ClientContext context;
  context.set_deadline(agent::deadline_in(std::chrono::seconds(1)));
  agent::v1::Shown shown;
  if (!stub->Show(&context, {}, &shown).ok()) return std::nullopt;
  return shown;
}

std::optional<agent::v1::Heard> Agent::heard(const std::string& other) {
  const auto shown = show();
  if (!shown) return std::nullopt;
  for (const auto& one : shown->heard()) {
    if (one.agent() == other) return one;
  }
  return std::nullopt;
}

agent::v1::ClaimAnswer Agent::claim(const std::string& operation, std::vector<std::string> instances,
                                    bool take_over) {
  grpc::ClientContext context;
  agent::v1::ClaimAsk ask;
  ask.set_operation(operation), ask.set_who(operation), ask.set_lease_ms(2000), ask.set_take_over(take_over);
  for (auto& one : instances) ask.add_instances(one);
  agent::v1::ClaimAnswer answer;
  stub->Claim(&context, ask, &answer);
  return answer;
}

agent::v1::StepAnswer Agent::step(const std::string& instance, const std::string& operation,
                                  std::uint64_t fence) {
  grpc::ClientContext context;
  agent::v1::StepAsk ask;
  ask.set_instance(instance);
  ask.mutable_step()->set_operation(operation), ask.mutable_step()->set_fence(fence);
  ask.mutable_step()->set_kind("resume"), ask.mutable_step()->set_fallback("serve_again");
  ask.mutable_step()->set_up_within_ms(3000);
  agent::v1::StepAnswer answer;
  stub->DoStep(&context, ask, &answer);
  return answer;
}

grpc::Status Agent::start_rollout(const agent::v1::Plan& plan, std::string* fault) {
  grpc::ClientContext context;
  agent::v1::Said said;
  const grpc::Status status = stub->StartRollout(&context, plan, &said);
  *fault = said.fault();
  return status;
}

std::string Agent::say(const std::string& id, const std::string& word) {
  grpc::ClientContext context;
  agent::v1::Word ask;
  ask.set_id(id), ask.set_word(word);
  agent::v1::Said said;
  const grpc::Status status = stub->Say(&context, ask, &said);
  return status.ok() ? said.fault() : status.error_message();
}

agent::v1::Rollout Agent::rollout(const std::string& id) {
  grpc::ClientContext context;
  agent::v1::Operation ask;
  ask.set_id(id);
  agent::v1::RolloutList list;
  stub->Rollouts(&context, ask, &list);
  return list.rollouts_size() == 1 ? list.rollouts(0) : agent::v1::Rollout();
}

AgentCluster::AgentCluster(const ClusterSpec& site, std::size_t number, bool relayed, bool configured)
    : world(site),
      authority(world.folder() + "/keys"),
      agents(number),
      spec_(site),
      managers_each_((static_cast<std::size_t>(site.managers) + number - 1) / number),
      configured_(configured) {
  for (const auto& manager : world.managers())
    std::filesystem::copy_file(manager.configuration, manager.configuration + ".base");
  authority.init("site", std::chrono::hours(24));
  for (std::size_t a = 0; a < agents.size(); ++a) {
    Agent& one = agents[a];
    one.name = "a" + std::to_string(a + 1);
    one.program = site.pearchute_agent;
    one.charter = world.folder() + "/" + one.name + ".ini";
    one.control = "unix:" + world.folder() + "/" + one.name + ".sock";
    one.listen = free_address(200 + a);
    authority.issue(one.name, fleet::Role::agent, std::chrono::hours(1));
  }
  if (relayed) {
    world.on([&] {
      relays = std::make_unique<Relays>(world.loop());
      for (const Agent& from : agents) {
        for (const Agent& to : agents) {
          if (from.name != to.name) relays->between(from.name, to.name, to.listen);
        }
      }
    });
  }
  for (Agent& one : agents) {
    write_charter(one);
    one.start();
    one.stub =
        agent::v1::Agent::NewStub(grpc::CreateChannel(one.control, grpc::InsecureChannelCredentials()));
  }
}

AgentCluster::~AgentCluster() {
  for (Agent& one : agents) one.end(SIGKILL);
  world.on([&] { relays.reset(); });
}

void AgentCluster::write_charter(const Agent& one, const std::map<std::string, std::string>& more) {
  std::ofstream charter(one.charter);
  charter << "[agent]\nname = " << one.name << "\nstate = " << world.folder() << "/" << one.name
          << ".db\ncontrol = " << one.control << "\nlisten = tls:" << one.listen
          << "\nexchange = " << (relays ? "yes" : "no")
          << "\nconfiguration = " << (configured_ ? "yes" : "no") << "\nzone = z-" << one.name
          << "\n[tls]\nauthority = " << authority.path("ca.pem")
          << "\ncertificate = " << authority.path(one.name + ".pem")
          << "\nkey = " << authority.path(one.name + ".key") << "\nrevoked = " << authority.path("ca.crl")
          << "\n";
  for (const Agent& peer : agents) {
    if (peer.name == one.name || no_peers.contains({one.name, peer.name})) continue;
    const std::string at =
        relays ? world.on([&] { return relays->at(one.name, peer.name).address(); }) : peer.listen;
    charter << "[peer " << peer.name << "]\ncontrol = tls:" << at << "\nzone = z-" << peer.name << "\n";
  }
  for (std::size_t m = 0; m < world.managers().size(); ++m) {
    if (agents[owner_of(m)].name != one.name) continue;
    const auto& manager = world.managers()[m];
    if (no_instances.contains(manager.name)) continue;
    charter << "[instance " << manager.name << "]\nadmin = unix:" << manager.admin
            << "\nzone = " << manager.zone << "\ncommand = " << command_of(m) << "\nlog = " << manager.log
            << "\n";
    if (configured_)
      charter << "configuration = " << manager.configuration
              << "\nconfiguration.base = " << manager.configuration << ".base\n";
    if (const auto at = more.find(manager.name); at != more.end()) charter << at->second << "\n";
  }
}

std::string AgentCluster::command_of(std::size_t m) {
  const auto& manager = world.managers()[m];
  return "exec " + spec_.pearchuted + " --config " + manager.configuration + " --admin " + manager.admin_file;
}

std::map<std::string, agent::v1::Instance> AgentCluster::conditions() {
  std::map<std::string, agent::v1::Instance> all;
  for (Agent& one : agents) {
    const auto shown = one.show();
    if (!shown) continue;
    for (const auto& instance : shown->instances()) all[instance.name()] = instance;
  }
  return all;
}

bool AgentCluster::all_serve() {
  const auto all = conditions();
  return all.size() == world.managers().size() && std::ranges::all_of(all, [](const auto& one) {
           return one.second.condition() == "serving" && !one.second.has_under_way();
         });
}

void AgentCluster::describe(std::ostream& to) {
  constexpr std::size_t max_lines = 30;
  for (Agent& one : agents) {
    const auto shown = one.show();
    to << one.name << (shown ? " shows:\n" + shown->DebugString() : " does not answer\n")
       << "its log ends:\n";
    for (const std::string& line : last_lines(one.charter + ".log", max_lines)) to << line << "\n";
  }
}

agent::v1::Plan AgentCluster::plan(const std::string& id, const std::string& kind) {
  agent::v1::Plan plan;
  plan.set_id(id), plan.set_who("ann"), plan.set_kind(kind), plan.set_fallback("serve_again");
  for (std::size_t m = 0; m < world.managers().size(); ++m) {
    auto& target = *plan.add_targets();
    target.set_instance(world.managers()[m].name), target.set_agent(agents[owner_of(m)].name);
    target.set_zone(world.managers()[m].zone);
  }
  plan.set_at_once(1), (*plan.mutable_least_serving())["east"] = 2,
                       (*plan.mutable_least_serving())["west"] = 1;
  plan.set_warm_ms(200), plan.set_lease_ms(4000), plan.set_drain_within_ms(4000), plan.set_up_within_ms(8000);
  plan.set_failures(1);
  return plan;
}

agent::v1::Instance AgentCluster::seen(const std::string& name) {
  agent::v1::Instance found;
  const bool found_in_time = wait_for([&] {
    const auto all = conditions();
    const auto at = all.find(name);
    if (at != all.end()) found = at->second;
    return at != all.end();
  });
  if (!found_in_time) throw TestClusterError("no agent reports instance " + name, world.folder());
  return found;
}

agent::v1::Heard AgentCluster::heard(std::size_t who, std::size_t whom) {
  agent::v1::Heard found;
  const bool found_in_time = wait_for([&] {
    const auto one = agents[who].heard(agents[whom].name);
    if (one) found = *one;
    return one.has_value();
  });
  if (!found_in_time)
    throw TestClusterError(agents[who].name + " does not report agent " + agents[whom].name, world.folder());
  return found;
}

bool AgentCluster::has_current_gossip(std::size_t who, std::size_t whom) {
  const auto known = agents[who].heard(agents[whom].name);
  const auto own = agents[whom].show();
  if (!known || !own || known->freshness() != "fresh" || known->words_size() != own->instances_size())
    return false;
  return std::ranges::all_of(known->words(), [&](const auto& word) {
    return std::ranges::any_of(own->instances(), [&](const auto& one) {
      return one.name() == word.instance() && one.condition() == word.condition();
    });
  });
}

bool AgentCluster::all_know() {
  for (std::size_t a = 0; a < agents.size(); ++a) {
    for (std::size_t b = 0; b < agents.size(); ++b) {
      if (a != b && !has_current_gossip(a, b)) return false;
    }
  }
  return true;
}

}  // namespace pearchute::lab
