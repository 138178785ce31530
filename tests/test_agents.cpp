// End-to-end tests of agents as processes, over five managers, three agents and stand-in engines: agents
// start and adopt their instances, grant leases, authorize callers by certificate, and complete a rollout
// under load while one agent is killed. They guard against lost or repeated requests and against unsupervised
// instances.
#include <fcntl.h>
#include <signal.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cassert>
#include <cstdio>
#include <fstream>

#include "agent/agent_config.h"
#include "agent/grpc_credentials.h"
#include "agent/processes.h"
#include "keys/pem_file.h"
#include "lab/stand_ins/admin_endpoints.h"
#include "lab/stand_ins/agent_cluster.h"

using namespace pearchute;
using namespace pearchute::lab;
using std::chrono::milliseconds;
using std::chrono::seconds;

// After its restart an agent recognizes a process by its start time and boot id, not by its pid alone. A
// command whose record can't be persisted never runs.
void test_processes() {
  char folder[] = "/tmp/pearchute-agents-XXXXXX";
  assert(mkdtemp(folder));
  const std::string started_file = std::string(folder) + "/started";
  std::string error;
  std::optional<store::ProcessRecord> record;
  agent::Processes first;
  const std::string command = "echo x >> " + started_file + "; exec sleep 30";
  assert(!first.start(
             "i", command, "", [](const store::ProcessRecord&) { return false; }, error) &&
         !error.empty());
  assert(!first.alive("i") && ::access(started_file.c_str(), F_OK) != 0);
  assert(first.start(
      "i", command, "", [&](const store::ProcessRecord& one) { return record = one, true; }, error));
  assert(first.alive("i") && record->pid > 0 && record->start_ticks > 0 && !record->boot_id.empty());
  {
    agent::Processes restarted;  // stands for the agent after its restart
    assert(restarted.adopt("i", *record) && restarted.alive("i"));
    store::ProcessRecord other = *record;
    other.start_ticks += 1;
    assert(!restarted.adopt("j", other));
    other = *record, other.boot_id = "another";
    assert(!restarted.adopt("j", other));
    assert(restarted.signal("i", SIGKILL) && !restarted.signal("j", SIGKILL));
  }
  for (int n = 0; n < 500 && first.alive("i"); ++n) std::this_thread::sleep_for(milliseconds(10));
  assert(!first.alive("i") && !first.signal("i", SIGKILL) && !first.adopt("i", *record));
  unlink(started_file.c_str()), rmdir(folder);
}

// Authorization at an agent's TLS address, by the callers' certificates and roles.
void test_authorization(keys::Authority& authority, const std::string& folder, const std::string& listen) {
  using Code = grpc::StatusCode;
  keys::Authority other_authority(folder + "/other");
  other_authority.init("other", std::chrono::hours(24));
  const auto hour = std::chrono::hours(1);
  authority.issue("ann", fleet::Role::operate, hour), authority.issue("eve", fleet::Role::read, hour);
  authority.issue("adm", fleet::Role::admin, hour), authority.issue("none", std::nullopt, hour);
  authority.issue("old", fleet::Role::admin, seconds(-5)),
      other_authority.issue("mal", fleet::Role::admin, hour);
  const auto stub_as = [&](const keys::Authority& from, const std::string& name, const std::string& agent) {
    const keys::TlsFiles files{authority.path("ca.pem"), from.path(name + ".pem"), from.path(name + ".key"),
                               ""};
    return agent::v1::Agent::NewStub(agent::channel_to(keys::parse_endpoint("tls:" + listen), agent, files));
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
    agent::v1::ClaimAsk request;  // for an unknown instance: only the caller's authorization matters
    request.set_operation("op"), request.set_who(who), request.add_instances("nx"),
        request.set_lease_ms(1000);
    request.set_take_over(take_over);
    agent::v1::ClaimAnswer response;
    return stub.Claim(&context, request, &response).error_code();
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
  // A certificate of another authority, an agent with another name, and a caller without a certificate.
  assert(show(*stub_as(other_authority, "mal", "a1")) == Code::UNAVAILABLE);
  assert(show(*stub_as(authority, "ann", "a2")) == Code::UNAVAILABLE);
  grpc::SslCredentialsOptions no_certificate;
  no_certificate.pem_root_certs = keys::read_pem_file(authority.path("ca.pem"));
  grpc::ChannelArguments arguments;
  arguments.SetSslTargetNameOverride("a1");
  assert(show(*agent::v1::Agent::NewStub(grpc::CreateCustomChannel(
             listen, grpc::SslCredentials(no_certificate), arguments))) == Code::UNAVAILABLE);
  // A revocation takes effect on the next RPC over an open connection, and for that caller only. A renewed
  // certificate is authorized again.
  const auto connected = stub_as(authority, "ann", "a1");
  assert(show(*connected) == Code::OK);
  authority.revoke(keys::read_certificate(authority.path("ann.pem")));
  assert(show(*connected) == Code::PERMISSION_DENIED && show(*stub_as(authority, "eve", "a1")) == Code::OK);
  authority.issue("ann", fleet::Role::operate, hour);
  assert(show(*stub_as(authority, "ann", "a1")) == Code::OK);
  // A revocation list with another authority's signature is ignored.
  const std::string list = keys::read_pem_file(authority.path("ca.crl"));
  std::ofstream(authority.path("ca.crl")) << keys::read_pem_file(other_authority.path("ca.crl"));
  assert(show(*connected) == Code::PERMISSION_DENIED);
  std::ofstream(authority.path("ca.crl")) << list;
  // Connections that send nothing don't delay other callers.
  std::vector<Poco::Net::StreamSocket> silent;
  for (int n = 0; n < 60; ++n) silent.emplace_back(Poco::Net::SocketAddress(listen));
  const Time started_at = steady_now();
  assert(show(*stub_as(authority, "eve", "a1")) == Code::OK && steady_now() - started_at < seconds(3));
}

int main() {
  test_processes();
  ClusterSpec site;
  site.managers = 5, site.engines = 4, site.pearchuted = PEARCHUTED, site.pearchute_agent = PEARCHUTE_AGENT,
  site.starts_managers = false;
  AgentCluster fleet_of(site);
  TestCluster& world = fleet_of.world;
  std::vector<Agent>& agents = fleet_of.agents;
  keys::Authority& authority = fleet_of.authority;
  const auto conditions = [&] { return fleet_of.conditions(); };
  const auto seen = [&](const std::string& name) { return fleet_of.seen(name); };
  const auto all_serve = [&] { return fleet_of.all_serve(); };
  assert(wait_for(all_serve));
  assert(world.all_serving(4));
  test_authorization(authority, world.folder(), agents[0].listen);
  world.on([&] {
    world.crowd().offer(200, {{"quick", "SELECT work=5 FROM a_1.t", milliseconds(2000), 0, 5, 8},
                              {"once", "UPDATE work=8 a_4.t", milliseconds(2000), 0, 8, 8},
                              {"load", "INSERT work=10 INTO a_5.t", milliseconds(2500), 3, 10, 16}});
  });

  // An agent restarts an instance that crashes.
  const auto before = conditions();
  ::kill(static_cast<pid_t>(before.at("n5").pid()), SIGKILL);
  assert(wait_for([&] { return all_serve() && seen("n5").pid() != before.at("n5").pid(); }));

  // The kill loses the requests that the instance had open. From here on no request may be lost.
  const std::uint64_t lost_by_kill = world.verdict().lost;

  // A refused lease request returns the current holder. A take-over increments the fence, and the agent
  // refuses steps of the operation that had the lease before.
  auto mine = agents[2].claim("ann", {"n5"}, false);
  assert(mine.granted());
  const auto theirs = agents[2].claim("bob", {"n5"}, false);
  assert(!theirs.granted() && theirs.held(0).claim().who() == "ann" && theirs.held(0).claim().left_ms() > 0);
  assert(agents[2].claim("bob", {"n5"}, true).fences().at("n5") == mine.fences().at("n5") + 1);
  assert(!agents[2].step("n5", "ann", mine.fences().at("n5")).accepted());
  assert(agents[2].step("n5", "bob", mine.fences().at("n5") + 1).accepted());
  assert(!agents[2].claim("ann", {"n1"}, false).fault().empty());  // a1 owns n1
  std::this_thread::sleep_for(milliseconds(2100));
  assert(!seen("n5").has_claim());

  // A rollout over all instances, coordinated by a1. a2 is killed while one of its instances restarts, and is
  // started again.
  agent::v1::Plan plan = fleet_of.plan("r1", "restart");
  const auto pids = conditions();
  std::string fault;
  assert(agents[0].start_rollout(plan, &fault).ok() && fault.empty());
  assert(agents[0].start_rollout(plan, &fault).ok() && fault.empty());  // a repeat
  plan.set_kind("explode");
  assert(agents[0].start_rollout(plan, &fault).error_code() == grpc::StatusCode::INVALID_ARGUMENT);
  assert(wait_for([&] { return seen("n3").has_under_way(); }));
  agents[1].end(SIGKILL);
  std::this_thread::sleep_for(milliseconds(300));
  assert(wait_for([&] { return conditions().size() == 3; }));
  agents[1].start();
  // The coordinator reports whether the rollout is paused, failed or done. All instances are supervised.
  const auto has_stopped = [&] {
    const std::string state = agents[0].rollout("r1").state();
    return state == "paused" || state == "failed" || state == "done";
  };
  assert(wait_for(has_stopped));
  if (agents[0].rollout("r1").state() == "paused") {
    assert(agents[0].say("r1", "resume").empty());
    assert(wait_for(has_stopped));
  }
  assert(wait_for(all_serve));
  const auto after = agents[0].rollout("r1");
  std::printf("the rollout is %s (%s)\n", after.state().c_str(), after.word().c_str());
  for (const auto& [name, stage] : after.stages()) {
    std::printf("  %s %s: %s\n", name.c_str(), stage.c_str(), after.words().at(name).c_str());
    if (stage == "done") assert(seen(name).pid() != pids.at(name).pid());
  }
  assert(after.stages().at("n1") == "done" && after.stages().at("n2") == "done");

  // The coordinator is killed during a second rollout. After its restart the rollout is paused, and can be
  // aborted.
  plan.set_id("r2"), plan.set_kind("restart");
  assert(agents[0].start_rollout(plan, &fault).ok() && fault.empty());
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

  // The same by pearchutectl.
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
  const auto ctl = [&](std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), {"--fleet", fleet});
    return run_program(PEARCHUTECTL, arguments);
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
  struct stat key_status {};
  assert(::stat((folder + "/a9.key").c_str(), &key_status) == 0 && (key_status.st_mode & 0777) == 0600);
  assert(ctl({"rollout", "history"}).out.find("r3") != std::string::npos);
  assert(ctl({"rollout", "status", "r3"}).status == 0 && ctl({"rollout", "status", "r9"}).status == 2);
  assert(ctl({"rollout", "pause", "r3"}).status == 4 &&
         ctl({"rollout", "start", "--kind", "change"}).status == 2);

  // With a damaged state file the agent reports the damage, observes its instances, which keep serving, and
  // refuses changes.
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
  const HistoryChecker::Verdict verdict = world.verdict();
  for (const std::string& violation : verdict.faults) std::fprintf(stderr, "%s\n", violation.c_str());
  std::printf("%llu requests: %llu done, %llu throttled, %llu lost, %llu doubled\n",
              static_cast<unsigned long long>(verdict.sent), static_cast<unsigned long long>(verdict.done),
              static_cast<unsigned long long>(verdict.refused), static_cast<unsigned long long>(verdict.lost),
              static_cast<unsigned long long>(verdict.doubled));
  for (Agent& one : agents) one.end(SIGTERM);
  assert(verdict.doubled == 0 && verdict.twice_run == 0 && verdict.overlaps == 0 && verdict.disorder == 0);
  assert(verdict.lost == lost_by_kill);
}
