// Agents as processes over a small site: each with its charter, its certificate and its own instances, and
// ways to ask them.
#pragma once

#include <fcntl.h>
#include <grpcpp/grpcpp.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cassert>
#include <cstdio>
#include <fstream>

#include "agent.grpc.pb.h"
#include "agent/charter.h"
#include "agent/doors.h"
#include "agent/processes.h"
#include "keys/authority.h"
#include "lab/managers.h"
#include "lab/world.h"

namespace pearchute::lab {

template <class Condition>
bool wait_for(Condition condition, std::chrono::seconds at_most = std::chrono::seconds(40)) {
  const Time end = steady_now() + at_most;
  while (!condition()) {
    if (steady_now() > end) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

struct Agent {
  std::string name, charter, control, listen;
  pid_t process = -1;
  std::unique_ptr<agent::v1::Agent::Stub> stub;
  void start() {
    process = fork();
    if (process != 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open((charter + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(log, 1), ::dup2(log, 2);
    for (int fd = 3; fd < 1024; ++fd) ::close(fd);
    ::execl(PEARCHUTE_AGENT, "pearchute-agent", "--charter", charter.c_str(), static_cast<char*>(nullptr));
    ::_exit(127);
  }
  void end(int signal) {
    ::kill(process, signal);
    ::waitpid(process, nullptr, 0);
  }
  std::optional<agent::v1::Shown> show() {
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + std::chrono::seconds(1));
    agent::v1::Shown shown;
    if (!stub->Show(&context, {}, &shown).ok()) return std::nullopt;
    return shown;
  }
  agent::v1::ClaimAnswer claim(const std::string& operation, std::vector<std::string> instances,
                               bool take_over) {
    grpc::ClientContext context;
    agent::v1::ClaimAsk ask;
    ask.set_operation(operation), ask.set_who(operation), ask.set_lease_ms(2000),
        ask.set_take_over(take_over);
    for (auto& one : instances) ask.add_instances(one);
    agent::v1::ClaimAnswer answer;
    stub->Claim(&context, ask, &answer);
    return answer;
  }
  agent::v1::StepAnswer step(const std::string& instance, const std::string& operation, std::uint64_t fence) {
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
  grpc::Status start_rollout(const agent::v1::Plan& plan, std::string* fault) {
    grpc::ClientContext context;
    agent::v1::Said said;
    const grpc::Status status = stub->StartRollout(&context, plan, &said);
    *fault = said.fault();
    return status;
  }
  std::string say(const std::string& id, const std::string& word) {
    grpc::ClientContext context;
    agent::v1::Word ask;
    ask.set_id(id), ask.set_word(word);
    agent::v1::Said said;
    const grpc::Status status = stub->Say(&context, ask, &said);
    return status.ok() ? said.fault() : status.error_message();
  }
  agent::v1::Rollout rollout(const std::string& id) {
    grpc::ClientContext context;
    agent::v1::Operation ask;
    ask.set_id(id);
    agent::v1::RolloutList list;
    stub->Rollouts(&context, ask, &list);
    return list.rollouts_size() == 1 ? list.rollouts(0) : agent::v1::Rollout();
  }
};

// Five managers under three agents: n1 and n2 under a1, n3 and n4 under a2, n5 under a3.
struct AgentFleet {
  World world;
  keys::Authority authority;
  std::vector<Agent> agents{3};
  static constexpr std::size_t owner_of[] = {0, 0, 1, 1, 2};

  explicit AgentFleet(const Site& site) : world(site), authority(world.folder() + "/keys") {
    authority.init("site", std::chrono::hours(24));
    for (std::size_t a = 0; a < agents.size(); ++a) {
      Agent& one = agents[a];
      one.name = "a" + std::to_string(a + 1);
      one.charter = world.folder() + "/" + one.name + ".ini";
      one.control = "unix:" + world.folder() + "/" + one.name + ".sock";
      one.listen = free_address(200 + a);
      authority.issue(one.name, fleet::Role::agent, std::chrono::hours(1));
    }
    for (Agent& one : agents) {
      write_charter(one, {});
      assert(agent::read_charter(one.charter).instances.size() > 0);
      one.start();
      one.stub =
          agent::v1::Agent::NewStub(grpc::CreateChannel(one.control, grpc::InsecureChannelCredentials()));
    }
  }
  // `more` are further lines of its instances' sections.
  void write_charter(const Agent& one, const std::map<std::string, std::string>& more) {
    std::ofstream charter(one.charter);
    charter << "[agent]\nname = " << one.name << "\nstate = " << world.folder() << "/" << one.name
            << ".db\ncontrol = " << one.control << "\nlisten = tls:" << one.listen
            << "\n[tls]\nauthority = " << authority.path("ca.pem")
            << "\ncertificate = " << authority.path(one.name + ".pem")
            << "\nkey = " << authority.path(one.name + ".key") << "\nrevoked = " << authority.path("ca.crl")
            << "\n";
    for (const Agent& peer : agents) {
      if (peer.name != one.name)
        charter << "[peer " << peer.name << "]\ncontrol = tls:" << peer.listen << "\n";
    }
    for (std::size_t m = 0; m < 5; ++m) {
      if (agents[owner_of[m]].name != one.name) continue;
      const auto& manager = world.managers()[m];
      charter << "[instance " << manager.name << "]\nadmin = unix:" << manager.admin
              << "\nzone = " << manager.zone << "\ncommand = " << command_of(m) << "\nlog = " << manager.log
              << "\n";
      if (const auto at = more.find(manager.name); at != more.end()) charter << at->second << "\n";
    }
  }
  std::string command_of(std::size_t m) {
    const auto& manager = world.managers()[m];
    return std::string("exec ") + PEARCHUTED + " --config " + manager.configuration + " --admin " +
           manager.admin_file;
  }
  std::map<std::string, agent::v1::Instance> conditions() {
    std::map<std::string, agent::v1::Instance> all;
    for (Agent& one : agents) {
      const auto shown = one.show();
      if (!shown) continue;
      for (const auto& instance : shown->instances()) all[instance.name()] = instance;
    }
    return all;
  }
  // On a full machine an agent may miss a deadline.
  agent::v1::Instance seen(const std::string& name) {
    agent::v1::Instance found;
    assert(wait_for([&] {
      const auto all = conditions();
      const auto at = all.find(name);
      if (at != all.end()) found = at->second;
      return at != all.end();
    }));
    return found;
  }
  bool all_serve() {
    const auto all = conditions();
    return all.size() == 5 && std::ranges::all_of(all, [](const auto& one) {
             return one.second.condition() == "serving" && !one.second.has_under_way();
           });
  }
  agent::v1::Plan plan(const std::string& id, const std::string& kind) {
    agent::v1::Plan plan;
    plan.set_id(id), plan.set_who("ann"), plan.set_kind(kind), plan.set_fallback("serve_again");
    for (std::size_t m = 0; m < 5; ++m) {
      auto& target = *plan.add_targets();
      target.set_instance(world.managers()[m].name), target.set_agent(agents[owner_of[m]].name);
      target.set_zone(world.managers()[m].zone);
    }
    plan.set_at_once(1), (*plan.mutable_least_serving())["east"] = 2,
                         (*plan.mutable_least_serving())["west"] = 1;
    plan.set_warm_ms(200), plan.set_lease_ms(4000), plan.set_drain_within_ms(4000),
        plan.set_up_within_ms(8000);
    plan.set_failures(1);
    return plan;
  }
};

}  // namespace pearchute::lab
