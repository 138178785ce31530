// Agents as processes: they start and adopt their instances, keep claims, and carry a rollout through while
// one of them is killed, with load on. The users' own test: five managers, three agents, stand-in engines.
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

using namespace pearchute;
using namespace pearchute::lab;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A process is known again by its start, never by its number alone; one that nobody keeps never begins.
void processes() {
  char folder[] = "/tmp/pearchute-agents-XXXXXX";
  assert(mkdtemp(folder));
  const std::string begun = std::string(folder) + "/begun";
  std::string fault;
  std::optional<store::Process> kept;
  agent::Processes first;
  const std::string command = "echo x >> " + begun + "; exec sleep 30";
  assert(!first.start(
             "i", command, "", [](const store::Process&) { return false; }, fault) &&
         !fault.empty());
  assert(!first.alive("i") && ::access(begun.c_str(), F_OK) != 0);
  assert(first.start(
      "i", command, "", [&](const store::Process& one) { return kept = one, true; }, fault));
  assert(first.alive("i") && kept->pid > 0 && kept->started > 0 && !kept->boot.empty());
  {
    agent::Processes after;  // as after the agent's own restart
    assert(after.adopt("i", *kept) && after.alive("i"));
    store::Process other = *kept;
    other.started += 1;
    assert(!after.adopt("j", other));
    other = *kept, other.boot = "another";
    assert(!after.adopt("j", other));
    assert(after.signal("i", SIGKILL) && !after.signal("j", SIGKILL));
  }
  for (int n = 0; n < 500 && first.alive("i"); ++n) std::this_thread::sleep_for(milliseconds(10));
  assert(!first.alive("i") && !first.signal("i", SIGKILL) && !first.adopt("i", *kept));
  unlink(begun.c_str()), rmdir(folder);
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
    context.set_deadline(std::chrono::system_clock::now() + seconds(1));
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

std::string free_place() {
  Poco::Net::ServerSocket socket;
  socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true);
  return socket.address().toString();
}

// Certificates and roles at an agent's door.
void doors(keys::Authority& authority, const std::string& folder, const std::string& listen) {
  using Code = grpc::StatusCode;
  keys::Authority stranger(folder + "/other");
  stranger.init("other", std::chrono::hours(24));
  const auto hour = std::chrono::hours(1);
  authority.issue("ann", fleet::Role::operate, hour), authority.issue("eve", fleet::Role::read, hour);
  authority.issue("adm", fleet::Role::admin, hour), authority.issue("none", std::nullopt, hour);
  authority.issue("old", fleet::Role::admin, seconds(-5)), stranger.issue("mal", fleet::Role::admin, hour);
  const auto stub_as = [&](const keys::Authority& from, const std::string& name, const std::string& agent) {
    const keys::Files files{authority.path("ca.pem"), from.path(name + ".pem"), from.path(name + ".key"), ""};
    return agent::v1::Agent::NewStub(agent::channel_to(keys::reach_in("tls:" + listen), agent, files));
  };
  const auto show = [&](agent::v1::Agent::Stub& stub) {
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + seconds(5));
    agent::v1::Shown shown;
    return stub.Show(&context, {}, &shown).error_code();
  };
  const auto claim = [&](agent::v1::Agent::Stub& stub, const std::string& who, bool take_over) {
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + seconds(5));
    agent::v1::ClaimAsk ask;  // of an instance that is not there: what is looked at is who may ask
    ask.set_operation("op"), ask.set_who(who), ask.add_instances("nx"), ask.set_lease_ms(1000);
    ask.set_take_over(take_over);
    agent::v1::ClaimAnswer answer;
    return stub.Claim(&context, ask, &answer).error_code();
  };
  struct Case {
    const char *name, *who;
    bool take_over;
    Code shown, claimed;
  };
  const Case cases[] = {{"ann", "ann", false, Code::OK, Code::OK},
                        {"ann", "bob", false, Code::OK, Code::PERMISSION_DENIED},
                        {"ann", "ann", true, Code::OK, Code::PERMISSION_DENIED},
                        {"adm", "adm", true, Code::OK, Code::OK},
                        {"eve", "eve", false, Code::OK, Code::PERMISSION_DENIED},
                        {"none", "none", false, Code::PERMISSION_DENIED, Code::PERMISSION_DENIED},
                        {"a2", "bob", true, Code::OK, Code::OK},
                        {"old", "old", false, Code::UNAVAILABLE, Code::UNAVAILABLE}};
  for (const Case& c : cases) {
    const auto stub = stub_as(authority, c.name, "a1");
    const Code shown = show(*stub), claimed = claim(*stub, c.who, c.take_over);
    if (shown != c.shown || claimed != c.claimed) std::fprintf(stderr, "%s: %d %d\n", c.name, shown, claimed);
    assert(shown == c.shown && claimed == c.claimed);
  }
  // Of another authority; one that shows none; and an agent that is not the one that is meant.
  assert(show(*stub_as(stranger, "mal", "a1")) == Code::UNAVAILABLE);
  assert(show(*stub_as(authority, "ann", "a2")) == Code::UNAVAILABLE);
  grpc::SslCredentialsOptions nobody;
  nobody.pem_root_certs = keys::text_of(authority.path("ca.pem"));
  grpc::ChannelArguments arguments;
  arguments.SetSslTargetNameOverride("a1");
  assert(show(*agent::v1::Agent::NewStub(grpc::CreateCustomChannel(listen, grpc::SslCredentials(nobody),
                                                                   arguments))) == Code::UNAVAILABLE);
  // Revoked while its connection is open: the next call is refused, others' go on. Renewed, it may again.
  const auto open = stub_as(authority, "ann", "a1");
  assert(show(*open) == Code::OK);
  const keys::Certificate gone = keys::read_certificate(authority.path("ann.pem"));
  authority.revoke(gone);
  assert(show(*open) == Code::PERMISSION_DENIED && show(*stub_as(authority, "eve", "a1")) == Code::OK);
  authority.issue("ann", fleet::Role::operate, hour);
  assert(show(*stub_as(authority, "ann", "a1")) == Code::OK);
  // A list that the authority has not signed changes nothing.
  const std::string list = keys::text_of(authority.path("ca.crl"));
  std::ofstream(authority.path("ca.crl")) << keys::text_of(stranger.path("ca.crl"));
  assert(show(*open) == Code::PERMISSION_DENIED);
  std::ofstream(authority.path("ca.crl")) << list;
  // Connections that say nothing hold nobody up.
  std::vector<Poco::Net::StreamSocket> silent;
  for (int n = 0; n < 60; ++n) silent.emplace_back(Poco::Net::SocketAddress(listen));
  const Time before = steady_now();
  assert(show(*stub_as(authority, "eve", "a1")) == Code::OK && steady_now() - before < seconds(3));
}

template <class Condition>
bool wait_for(Condition condition, seconds at_most = seconds(40)) {
  const Time end = steady_now() + at_most;
  while (!condition()) {
    if (steady_now() > end) return false;
    std::this_thread::sleep_for(milliseconds(20));
  }
  return true;
}

int main() {
  processes();
  Site site;
  site.managers = 5, site.engines = 4, site.pearchuted = PEARCHUTED, site.starts_managers = false;
  World world(site);
  std::vector<Agent> agents(3);
  keys::Authority authority(world.folder() + "/keys");
  authority.init("site", std::chrono::hours(24));
  const std::size_t owner_of[] = {0, 0, 1, 1, 2};
  for (std::size_t a = 0; a < agents.size(); ++a) {
    agents[a].name = "a" + std::to_string(a + 1);
    agents[a].charter = world.folder() + "/" + agents[a].name + ".ini";
    agents[a].control = "unix:" + world.folder() + "/" + agents[a].name + ".sock";
    agents[a].listen = free_place();
    authority.issue(agents[a].name, fleet::Role::agent, std::chrono::hours(1));
  }
  for (std::size_t a = 0; a < agents.size(); ++a) {
    std::ofstream charter(agents[a].charter);
    charter << "[agent]\nname = " << agents[a].name << "\nstate = " << world.folder() << "/" << agents[a].name
            << ".db\ncontrol = " << agents[a].control << "\nlisten = tls:" << agents[a].listen
            << "\n[tls]\nauthority = " << authority.path("ca.pem")
            << "\ncertificate = " << authority.path(agents[a].name + ".pem")
            << "\nkey = " << authority.path(agents[a].name + ".key")
            << "\nrevoked = " << authority.path("ca.crl") << "\n";
    for (const Agent& peer : agents) {
      if (peer.name != agents[a].name)
        charter << "[peer " << peer.name << "]\ncontrol = tls:" << peer.listen << "\n";
    }
    for (std::size_t m = 0; m < 5; ++m) {
      if (owner_of[m] != a) continue;
      const auto& manager = world.managers()[m];
      charter << "[instance " << manager.name << "]\nadmin = unix:" << manager.admin
              << "\nzone = " << manager.zone << "\ncommand = exec " << PEARCHUTED << " --config "
              << manager.configuration << " --admin " << manager.admin_file << "\nlog = " << manager.log
              << "\n";
    }
    charter.close();
    assert(agent::read_charter(agents[a].charter).instances.size() > 0);
    agents[a].start();
    agents[a].stub =
        agent::v1::Agent::NewStub(grpc::CreateChannel(agents[a].control, grpc::InsecureChannelCredentials()));
  }
  const auto conditions = [&] {
    std::map<std::string, agent::v1::Instance> all;
    for (Agent& one : agents) {
      const auto shown = one.show();
      if (!shown) continue;
      for (const auto& instance : shown->instances()) all[instance.name()] = instance;
    }
    return all;
  };
  // On a full machine an agent may miss a deadline.
  const auto seen = [&](const std::string& name) {
    agent::v1::Instance found;
    assert(wait_for([&] {
      const auto all = conditions();
      const auto at = all.find(name);
      if (at != all.end()) found = at->second;
      return at != all.end();
    }));
    return found;
  };
  const auto all_serve = [&] {
    const auto all = conditions();
    return all.size() == 5 && std::ranges::all_of(all, [](const auto& one) {
             return one.second.condition() == "serving" && !one.second.has_under_way();
           });
  };
  assert(wait_for(all_serve));
  assert(world.all_serving(4));
  doors(authority, world.folder(), agents[0].listen);
  world.on([&] {
    world.crowd().offer(200, {{"quick", "SELECT work=5 FROM a_1.t", milliseconds(2000), 0, 5, 8},
                              {"once", "UPDATE work=8 a_4.t", milliseconds(2000), 0, 8, 8},
                              {"load", "INSERT work=10 INTO a_5.t", milliseconds(2500), 3, 10, 16}});
  });

  // One falls by itself: its agent starts it again.
  const auto before = conditions();
  ::kill(static_cast<pid_t>(before.at("n5").pid()), SIGKILL);
  assert(wait_for([&] { return all_serve() && seen("n5").pid() != before.at("n5").pid(); }));

  // What it had open when it was killed is lost with it, and nothing after that.
  const std::uint64_t lost = world.verdict().lost;

  // Claims at their owner: the second operator hears of the first; a take-over bumps the fence, and what the
  // older one still sends is refused.
  auto mine = agents[2].claim("ann", {"n5"}, false);
  assert(mine.granted());
  const auto theirs = agents[2].claim("bob", {"n5"}, false);
  assert(!theirs.granted() && theirs.held(0).claim().who() == "ann" && theirs.held(0).claim().left_ms() > 0);
  assert(agents[2].claim("bob", {"n5"}, true).fences().at("n5") == mine.fences().at("n5") + 1);
  assert(!agents[2].step("n5", "ann", mine.fences().at("n5")).accepted());
  assert(agents[2].step("n5", "bob", mine.fences().at("n5") + 1).accepted());
  assert(!agents[2].claim("ann", {"n1"}, false).fault().empty());  // another agent's
  std::this_thread::sleep_for(milliseconds(2100));
  assert(!seen("n5").has_claim());

  // A rollout over all, coordinated by a1; a2 is killed while one of its instances restarts, and comes back.
  agent::v1::Plan plan;
  plan.set_id("r1"), plan.set_who("ann"), plan.set_kind("restart"), plan.set_fallback("serve_again");
  for (std::size_t m = 0; m < 5; ++m) {
    auto& target = *plan.add_targets();
    target.set_instance(world.managers()[m].name), target.set_agent(agents[owner_of[m]].name);
    target.set_zone(world.managers()[m].zone);
  }
  plan.set_at_once(1), (*plan.mutable_least_serving())["east"] = 2,
                       (*plan.mutable_least_serving())["west"] = 1;
  plan.set_warm_ms(200), plan.set_lease_ms(4000), plan.set_drain_within_ms(4000), plan.set_up_within_ms(8000);
  plan.set_failures(1);
  const auto pids = conditions();
  {
    grpc::ClientContext context;
    agent::v1::Said said;
    assert(agents[0].stub->StartRollout(&context, plan, &said).ok() && said.fault().empty());
    grpc::ClientContext again;
    assert(agents[0].stub->StartRollout(&again, plan, &said).ok() && said.fault().empty());
    grpc::ClientContext bad;
    plan.set_kind("explode");
    assert(agents[0].stub->StartRollout(&bad, plan, &said).error_code() ==
           grpc::StatusCode::INVALID_ARGUMENT);
  }
  assert(wait_for([&] { return seen("n3").has_under_way(); }));
  agents[1].end(SIGKILL);
  std::this_thread::sleep_for(milliseconds(300));
  assert(wait_for([&] { return conditions().size() == 3; }));
  agents[1].start();
  // Paused, failed or through: in each case it is told, and every instance is looked after.
  const auto rests = [&] {
    const std::string state = agents[0].rollout("r1").state();
    return state == "paused" || state == "failed" || state == "done";
  };
  assert(wait_for(rests));
  if (agents[0].rollout("r1").state() == "paused") {
    assert(agents[0].say("r1", "resume").empty());
    assert(wait_for(rests));
  }
  assert(wait_for(all_serve));
  const auto after = agents[0].rollout("r1");
  std::printf("the rollout is %s (%s)\n", after.state().c_str(), after.word().c_str());
  for (const auto& [name, stage] : after.stages()) {
    std::printf("  %s %s: %s\n", name.c_str(), stage.c_str(), after.words().at(name).c_str());
    if (stage == "done") assert(seen(name).pid() != pids.at(name).pid());
  }
  assert(after.stages().at("n1") == "done" && after.stages().at("n2") == "done");

  // The coordinator itself is killed amid a second one: it comes back paused, and is aborted.
  plan.set_id("r2"), plan.set_kind("restart");
  {
    grpc::ClientContext context;
    agent::v1::Said said;
    assert(agents[0].stub->StartRollout(&context, plan, &said).ok() && said.fault().empty());
  }
  assert(wait_for([&] { return seen("n1").has_under_way() || seen("n2").has_under_way(); }));
  agents[0].end(SIGKILL);
  agents[0].start();
  assert(wait_for([&] { return agents[0].rollout("r2").state() == "paused"; }));
  assert(agents[0].say("r2", "abort").empty());
  assert(wait_for([&] { return agents[0].rollout("r2").state() == "aborted"; }));
  assert(wait_for([&] {
    const auto all = conditions();
    return all_serve() && std::ranges::none_of(all, [](const auto& one) { return one.second.has_claim(); });
  }));

  // From the command line.
  const std::string fleet = world.write_fleet();
  {
    std::ofstream file(fleet, std::ios::app);
    for (const Agent& one : agents)
      file << "[agent " << one.name << "]\ncontrol = tls:" << one.listen << "\n";
    authority.issue("oper", fleet::Role::operate, std::chrono::hours(1));
    file << "[tls]\nauthority = " << authority.path("ca.pem")
         << "\ncertificate = " << authority.path("oper.pem") << "\nkey = " << authority.path("oper.key")
         << "\n";
  }
  const auto ctl = [&](std::vector<std::string> words) {
    words.insert(words.begin(), {"--fleet", fleet});
    return run_program(PEARCHUTECTL, words);
  };
  assert(ctl({"agents"}).status == 0 && ctl({"claims"}).status == 0);
  assert(ctl({"rollout", "plan", "--on", "name = n5"}).out.find("would be stepped: restart") !=
         std::string::npos);
  const auto old = seen("n5").pid();
  assert(ctl({"rollout", "start", "--on", "name = n5", "--id", "r3", "--warm", "0", "--coordinator", "a2",
              "--as", "oper", "--follow"})
             .status == 0);
  assert(seen("n5").pid() != old);
  assert(ctl({"rollout", "start", "--on", "name = n5", "--as", "ann"}).status == 4);
  assert(ctl({"rollout", "start", "--on", "name = n5", "--as", "oper", "--take-over"}).status == 4);
  const std::string folder = world.folder() + "/made";
  assert(ctl({"keys", "--folder", folder, "init", "there"}).status == 0);
  assert(ctl({"keys", "--folder", folder, "init", "there"}).status == 1);
  assert(ctl({"keys", "--folder", folder, "issue", "a9", "--role", "agent"}).status == 0);
  assert(ctl({"keys", "--folder", folder, "issue", "../a9", "--role", "agent"}).status == 1);
  assert(ctl({"keys", "--folder", folder, "issue", "a9", "--role", "king"}).status == 2);
  assert(ctl({"keys", "--folder", folder, "revoke", "a9"}).status == 0);
  assert(ctl({"keys", "--folder", folder, "show"}).out.find("revoked") != std::string::npos);
  struct stat what {};
  assert(::stat((folder + "/a9.key").c_str(), &what) == 0 && (what.st_mode & 0777) == 0600);
  assert(ctl({"rollout", "history"}).out.find("r3") != std::string::npos);
  assert(ctl({"rollout", "status", "r3"}).status == 0 && ctl({"rollout", "status", "r9"}).status == 2);
  assert(ctl({"rollout", "pause", "r3"}).status == 4 &&
         ctl({"rollout", "start", "--kind", "change"}).status == 2);

  // A state that can't be used: the agent says so, observes, takes no orders, and its instances go on.
  agents[2].end(SIGKILL);
  std::ofstream(world.folder() + "/a3.db", std::ios::trunc)
      << "no database at all, and long enough to be looked at";
  agents[2].start();
  assert(wait_for([&] {
    const auto shown = agents[2].show();
    return shown && !shown->trouble().empty() && shown->instances(0).condition() == "serving";
  }));
  assert(!agents[2].claim("ann", {"n5"}, false).granted());

  world.on([&] { world.crowd().offer(0, {}); });
  assert(world.quiet());
  const Record::Verdict verdict = world.verdict();
  for (const std::string& fault : verdict.faults) std::fprintf(stderr, "%s\n", fault.c_str());
  std::printf("%llu jobs: %llu done, %llu throttled, %llu lost, %llu doubled\n",
              static_cast<unsigned long long>(verdict.sent), static_cast<unsigned long long>(verdict.done),
              static_cast<unsigned long long>(verdict.refused), static_cast<unsigned long long>(verdict.lost),
              static_cast<unsigned long long>(verdict.doubled));
  for (Agent& one : agents) one.end(SIGTERM);
  assert(verdict.doubled == 0 && verdict.twice_run == 0 && verdict.overlaps == 0 && verdict.disorder == 0);
  assert(verdict.lost == lost);
}
