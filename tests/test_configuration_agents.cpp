// Changes of the fleet's configuration over agent and manager processes: a published version comes into force
// everywhere and is acknowledged; unusable versions are refused; agents catch up after a kill and after the
// loss of their disk; after a network partition, the agents agree on the version with the greater digest.
#include <signal.h>

#include <algorithm>
#include <cassert>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "lab/stand_ins/admin_endpoints.h"
#include "lab/stand_ins/agent_cluster.h"

using namespace pearchute;
using namespace pearchute::lab;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct Fleet {
  AgentCluster cluster;
  std::vector<Agent>& agents = cluster.agents;

  explicit Fleet(const ClusterSpec& site) : cluster(site, 3, true, true) {}

  std::optional<agent::v1::ConfigShown> shown(std::size_t agent) {
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + seconds(1));
    agent::v1::ConfigShown answer;
    if (!agents[agent].stub->ShowConfig(&context, {}, &answer).ok()) return std::nullopt;
    return answer;
  }
  agent::v1::ConfigPublished publish(std::size_t agent, const std::string& parent, const std::string& content,
                                     bool new_epoch = false) {
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + seconds(5));
    agent::v1::ConfigPublication publication;
    publication.set_parent(parent), publication.set_content(content), publication.set_new_epoch(new_epoch);
    agent::v1::ConfigPublished published;
    assert(agents[agent].stub->PublishConfig(&context, publication, &published).ok());
    return published;
  }
  // Publishes as soon as the agent has verified its version with its peers. Returns the new version's digest.
  std::string publish_verified(std::size_t agent, const std::string& parent, const std::string& content,
                               bool new_epoch = false) {
    agent::v1::ConfigPublished published;
    const bool accepted = wait_for([&] {
      published = publish(agent, parent, content, new_epoch);
      return published.result() != "unverified";
    });
    if (published.result() != "accepted") std::fprintf(stderr, "%s\n", published.ShortDebugString().c_str());
    assert(accepted && published.result() == "accepted");
    return published.mark().digest();
  }
  std::string in_force(std::size_t manager) { return cluster.world.status(manager).config().digest(); }
  bool in_force_everywhere(const std::string& digest) {
    for (std::size_t m = 0; m < cluster.world.managers().size(); ++m) {
      if (in_force(m) != digest) return false;
    }
    return true;
  }
  // Whether each agent has the version and knows that it is in force at all agents.
  bool acknowledged_everywhere(const std::string& digest) {
    for (std::size_t a = 0; a < agents.size(); ++a) {
      const auto answer = shown(a);
      if (!answer || answer->mark().digest() != digest || answer->not_in_force() != 0) return false;
    }
    return true;
  }
  // Whether the agent reports an obstacle to the current version that contains `text`.
  bool reports_obstacle(std::size_t agent, const std::string& text) {
    const auto answer = shown(agent);
    return answer && std::ranges::any_of(answer->names(), [&](const std::string& name) {
             return name.find(text) != std::string::npos;
           });
  }
  std::string digest_at(std::size_t agent) {
    const auto answer = shown(agent);
    return answer ? answer->mark().digest() : "";
  }
  void expect_everywhere(const std::string& digest, const char* occasion) {
    const Time started_at = steady_now();
    assert(wait_for([&] { return in_force_everywhere(digest); }));
    const auto in_force_after = std::chrono::duration_cast<milliseconds>(steady_now() - started_at);
    assert(wait_for([&] { return acknowledged_everywhere(digest); }));
    const auto acknowledged_after = std::chrono::duration_cast<milliseconds>(steady_now() - started_at);
    std::printf("%s: in force everywhere after %lld ms, acknowledged at all agents after %lld ms\n", occasion,
                static_cast<long long>(in_force_after.count()),
                static_cast<long long>(acknowledged_after.count()));
  }
};

std::string content_with(const std::string& channel, int sockets = 512) {
  const nlohmann::json content = {{"channel", channel},
                                  {"limits", {{"sockets", sockets}, {"memory_mb", 48}}}};
  return content.dump();
}

// Publishes the first version, contents and parents that the agents refuse, and a version that the managers
// refuse.
std::string test_publishing(Fleet& fleet, const std::string& channel) {
  assert(fleet.publish(0, "", "[1, 2]").result() == "unusable");
  assert(fleet.publish(0, "", R"({"listen": "127.0.0.1:1"})").result() == "unusable");
  assert(wait_for([&] { return fleet.publish(1, "", "{}").result() == "unknown"; }));
  const std::string first = fleet.publish_verified(0, "", content_with(channel), true);
  const Time published = steady_now();
  fleet.expect_everywhere(first, "first version");
  assert(steady_now() - published < seconds(15));
  assert(fleet.publish(1, "0123", "{}").result() == "stale parent");

  const std::string unusable = fleet.publish_verified(1, first, R"({"channel": "nowhere"})");
  assert(wait_for([&] {
    return fleet.reports_obstacle(0, "a3/n6: refused") && fleet.reports_obstacle(2, "a1/n1: refused");
  }));
  assert(fleet.in_force_everywhere(first));
  const std::string corrected = fleet.publish_verified(2, unusable, content_with(channel));
  fleet.expect_everywhere(corrected, "corrected version");
  return corrected;
}

// A setting that takes effect at a manager's start is reported as such, and is in force after a restart.
std::string test_settings_of_next_start(Fleet& fleet, const std::string& parent, const std::string& channel) {
  const std::string next = fleet.publish_verified(0, parent, content_with(channel, 400));
  assert(wait_for([&] { return fleet.reports_obstacle(1, "a1/n1: in force at the next start: limits"); }));
  assert(fleet.in_force(0) == parent);
  const auto pid = static_cast<pid_t>(fleet.cluster.seen("n1").pid());
  assert(pid > 0 && ::kill(pid, SIGKILL) == 0);
  assert(wait_for([&] { return fleet.in_force(0) == next; }));
  const std::string reverted = fleet.publish_verified(1, next, content_with(channel));
  // The first manager has started with the setting that this version reverts, so it needs another restart.
  assert(wait_for([&] { return fleet.reports_obstacle(2, "a1/n1: in force at the next start: limits"); }));
  const auto restarted_pid = static_cast<pid_t>(fleet.cluster.seen("n1").pid());
  assert(restarted_pid > 0 && ::kill(restarted_pid, SIGKILL) == 0);
  fleet.expect_everywhere(reverted, "reverted version");
  return reverted;
}

// An agent that was down during a publication catches up, with its disk and without it.
std::string test_killed_agent(Fleet& fleet, std::string parent, const std::string& channel) {
  for (const bool loses_disk : {false, true}) {
    fleet.agents[1].end(SIGKILL);
    const std::string next = fleet.publish_verified(0, parent, content_with(channel));
    assert(wait_for([&] { return fleet.in_force(0) == next && fleet.in_force(5) == next; }));
    assert(wait_for([&] {
      return fleet.reports_obstacle(0, "a2: unknown") && !fleet.reports_obstacle(0, "a3: unknown");
    }));
    assert(fleet.in_force(2) == parent);
    if (loses_disk) std::filesystem::remove(fleet.cluster.world.folder() + "/a2.db");
    fleet.agents[1].start();
    fleet.expect_everywhere(next, loses_disk ? "agent restarted without its disk" : "agent restarted");
    parent = next;
  }
  return parent;
}

// A manager refuses versions older than its own and configuration files other than its own.
void test_older_is_refused(Fleet& fleet, const std::string& digest) {
  TestCluster& world = fleet.cluster.world;
  const admin::v1::ConfigVersion current = world.status(0).config();
  assert(current.digest() == digest && current.number() > 1);
  admin::v1::Call call;
  admin::v1::Configure& configure = *call.mutable_configure();
  configure.mutable_version()->set_epoch(current.epoch());
  configure.mutable_version()->set_number(current.number() - 1);
  configure.mutable_version()->set_digest("ff");
  configure.set_path(world.managers()[0].configuration);
  admin::v1::Reply reply = world.call(0, call);
  assert(reply.outcome() == admin::v1::refused && reply.configured().state() == "refused");
  assert(reply.configured().what().find("newer") != std::string::npos);
  *configure.mutable_version() = current;
  configure.set_path(world.managers()[1].configuration);
  assert(world.call(0, call).outcome() == admin::v1::refused);
  configure.set_path(world.managers()[0].configuration);
  assert(world.call(0, call).configured().state() == "in_force" && fleet.in_force(0) == digest);
}

// Invalid settings in an agent's configuration: --check prints the error and exits with status 1.
void test_invalid_settings(const std::string& folder) {
  const std::string valid = "[agent]\nname = a\nstate = /tmp/a.db\ncontrol = unix:/tmp/a.sock\n";
  const std::string instance = "[instance n]\nadmin = unix:/tmp/n.sock\ncommand = true\n";
  const std::pair<const char*, std::string> cases[] = {
      {"maybe", valid + "configuration = maybe\n" + instance},
      {"expected an absolute path for 'configuration', got 'n.json'",
       valid + instance + "configuration = n.json\n"},
      {"expected an absolute path for 'configuration.base', got 'n.json'",
       valid + instance + "configuration.base = n.json\n"},
      {"needs both", valid + instance + "configuration = /tmp/n.json\n"},
      {"needs two different files as",
       valid + instance + "configuration = /tmp/n.json\nconfiguration.base = /tmp/n.json\n"},
      {"peer b has no 'control'", valid + "[peer b]\nzone = z\n" + instance}};
  for (const auto& [error, text] : cases) {
    const std::string file = folder + "/bad.ini";
    std::ofstream(file) << text;
    const auto ran =
        run_program("/bin/sh", {"-c", std::string(PEARCHUTE_AGENT) + " --charter " + file + " --check 2>&1"});
    if (ran.out.find(error) == std::string::npos) std::fprintf(stderr, "%s: %s\n", error, ran.out.c_str());
    assert(ran.status == 1 && ran.out.find(error) != std::string::npos);
  }
}

// Both sides of a network partition publish a version, and each applies its own. After the partition all
// agents apply the version with the greater digest and record the other as superseded.
void test_partition(Fleet& fleet, const std::string& parent, const std::string& channel) {
  fleet.cluster.world.on([&] { fleet.cluster.relays->split({{"a1"}, {"a2", "a3"}}); });
  const std::string left = fleet.publish_verified(0, parent, content_with(channel, 512));
  const std::string right = fleet.publish_verified(1, parent, content_with(channel, 512));
  assert(left != right);
  assert(wait_for([&] { return fleet.in_force(0) == left && fleet.in_force(5) == right; }));
  assert(fleet.reports_obstacle(0, "a2: unknown") && fleet.reports_obstacle(1, "a1: unknown"));
  assert(!fleet.shown(0)->confirmed());
  fleet.cluster.world.on([&] { fleet.cluster.relays->heal(); });
  fleet.expect_everywhere(std::max(left, right), "after the partition");
  for (std::size_t a = 0; a < 3; ++a) {
    assert(wait_for([&] {
      const auto answer = fleet.shown(a);
      return answer && answer->superseded_size() == 1 && answer->confirmed() &&
             answer->superseded(0).mark().digest() == std::min(left, right);
    }));
  }
}

}  // namespace

int main() {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  ClusterSpec site;
  site.managers = 6, site.engines = 8, site.pearchuted = PEARCHUTED, site.pearchute_agent = PEARCHUTE_AGENT;
  site.starts_managers = false;
  Fleet fleet(site);
  TestCluster& world = fleet.cluster.world;
  assert(wait_for([&] { return fleet.cluster.all_serve(); }) && world.all_serving(8));
  // A second endpoint list channel, which only the published versions configure.
  std::unique_ptr<StandInChannel> channel;
  const std::string address = world.on([&] {
    channel = std::make_unique<StandInChannel>(world.loop());
    channel->tell(world.members_now(), true);
    return channel->address();
  });
  const std::string first = test_publishing(fleet, address);
  assert(wait_for([&] { return world.on([&] { return channel->streams(); }) == 6; }));
  const std::string second = test_settings_of_next_start(fleet, first, address);
  const std::string third = test_killed_agent(fleet, second, address);
  test_older_is_refused(fleet, third);
  test_partition(fleet, third, address);
  test_invalid_settings(world.folder());
  assert(world.all_serving(8));
  // Ends all managers at once: the test cluster ends them one after the other, which takes a second for each.
  std::vector<pid_t> processes;
  for (const auto& [name, instance] : fleet.cluster.conditions())
    processes.push_back(static_cast<pid_t>(instance.pid()));
  for (Agent& one : fleet.agents) one.end(SIGTERM);
  for (const pid_t process : processes) {
    if (process > 0) ::kill(process, SIGTERM);
  }
  world.on([&] { channel.reset(); });
}
