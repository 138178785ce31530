// A change of configuration over real agents and managers: published, in force everywhere, acknowledged;
// refused where it can't be used; caught up with after kills and lost disks; decided by the rule after a cut.
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
  // Once the agent has heard its peers.
  std::string publish_well(std::size_t agent, const std::string& parent, const std::string& content,
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
  bool told_everywhere(const std::string& digest) {
    for (std::size_t a = 0; a < agents.size(); ++a) {
      const auto answer = shown(a);
      if (!answer || answer->mark().digest() != digest || answer->not_in_force() != 0) return false;
    }
    return true;
  }
  // What an agent knows of where it is not in force.
  bool tells(std::size_t agent, const std::string& text) {
    const auto answer = shown(agent);
    return answer && std::ranges::any_of(answer->names(), [&](const std::string& name) {
             return name.find(text) != std::string::npos;
           });
  }
  std::string digest_at(std::size_t agent) {
    const auto answer = shown(agent);
    return answer ? answer->mark().digest() : "";
  }
  void must_be_everywhere(const std::string& digest, const char* when) {
    const Time begun = steady_now();
    assert(wait_for([&] { return in_force_everywhere(digest); }));
    const auto took = std::chrono::duration_cast<milliseconds>(steady_now() - begun);
    assert(wait_for([&] { return told_everywhere(digest); }));
    const auto told = std::chrono::duration_cast<milliseconds>(steady_now() - begun);
    std::printf("%s: in force everywhere after %lld ms, told by all after %lld ms\n", when,
                static_cast<long long>(took.count()), static_cast<long long>(told.count()));
  }
};

std::string content_with(const std::string& channel, int sockets = 512) {
  const nlohmann::json content = {{"channel", channel},
                                  {"limits", {{"sockets", sockets}, {"memory_mb", 48}}}};
  return content.dump();
}

// The first version, what is refused before anything is published, and one that managers refuse.
std::string publishing(Fleet& fleet, const std::string& channel) {
  assert(fleet.publish(0, "", "[1, 2]").result() == "unusable");
  assert(fleet.publish(0, "", R"({"listen": "127.0.0.1:1"})").result() == "unusable");
  assert(wait_for([&] { return fleet.publish(1, "", "{}").result() == "unknown"; }));
  const std::string first = fleet.publish_well(0, "", content_with(channel), true);
  const Time published = steady_now();
  fleet.must_be_everywhere(first, "first version");
  assert(steady_now() - published < seconds(15));
  assert(fleet.publish(1, "0123", "{}").result() == "stale parent");

  const std::string broken = fleet.publish_well(1, first, R"({"channel": "nowhere"})");
  assert(wait_for([&] { return fleet.tells(0, "a3/n6: refused") && fleet.tells(2, "a1/n1: refused"); }));
  assert(fleet.in_force_everywhere(first));
  const std::string mended = fleet.publish_well(2, broken, content_with(channel));
  fleet.must_be_everywhere(mended, "mended version");
  return mended;
}

// What takes a start is told as such, and is in force after it.
std::string next_start(Fleet& fleet, const std::string& parent, const std::string& channel) {
  const std::string next = fleet.publish_well(0, parent, content_with(channel, 400));
  assert(wait_for([&] { return fleet.tells(1, "a1/n1: in force at the next start: limits"); }));
  assert(fleet.in_force(0) == parent);
  const auto pid = static_cast<pid_t>(fleet.cluster.seen("n1").pid());
  assert(pid > 0 && ::kill(pid, SIGKILL) == 0);
  assert(wait_for([&] { return fleet.in_force(0) == next; }));
  const std::string back = fleet.publish_well(1, next, content_with(channel));
  // The first manager has started with what is taken back now.
  assert(wait_for([&] { return fleet.tells(2, "a1/n1: in force at the next start: limits"); }));
  const auto again = static_cast<pid_t>(fleet.cluster.seen("n1").pid());
  assert(again > 0 && ::kill(again, SIGKILL) == 0);
  fleet.must_be_everywhere(back, "taken back");
  return back;
}

// An agent that was away, with its disk kept and lost.
std::string killed_agent(Fleet& fleet, std::string parent, const std::string& channel) {
  for (const bool loses_disk : {false, true}) {
    fleet.agents[1].end(SIGKILL);
    const std::string next = fleet.publish_well(0, parent, content_with(channel));
    assert(wait_for([&] { return fleet.in_force(0) == next && fleet.in_force(5) == next; }));
    assert(wait_for([&] { return fleet.tells(0, "a2: unknown") && !fleet.tells(0, "a3: unknown"); }));
    assert(fleet.in_force(2) == parent);
    if (loses_disk) std::filesystem::remove(fleet.cluster.world.folder() + "/a2.db");
    fleet.agents[1].start();
    fleet.must_be_everywhere(next, loses_disk ? "agent back without its disk" : "agent back");
    parent = next;
  }
  return parent;
}

// Whoever brings it, a manager takes nothing older than what it has, and no file but its own.
void older_is_refused(Fleet& fleet, const std::string& digest) {
  TestCluster& world = fleet.cluster.world;
  const admin::v1::ConfigVersion now = world.status(0).config();
  assert(now.digest() == digest && now.number() > 1);
  admin::v1::Call call;
  admin::v1::Configure& older = *call.mutable_configure();
  older.mutable_version()->set_epoch(now.epoch()), older.mutable_version()->set_number(now.number() - 1);
  older.mutable_version()->set_digest("ff");
  older.set_path(world.managers()[0].configuration);
  admin::v1::Reply reply = world.call(0, call);
  assert(reply.outcome() == admin::v1::refused && reply.configured().state() == "refused");
  assert(reply.configured().what().find("newer") != std::string::npos);
  *older.mutable_version() = now;
  older.set_path(world.managers()[1].configuration);
  assert(world.call(0, call).outcome() == admin::v1::refused);
  older.set_path(world.managers()[0].configuration);
  assert(world.call(0, call).configured().state() == "in_force" && fleet.in_force(0) == digest);
}

// Settings that can't be meant: one line that says so, and a status other than 0.
void bad_settings(const std::string& folder) {
  const std::string sound = "[agent]\nname = a\nstate = /tmp/a.db\ncontrol = unix:/tmp/a.sock\n";
  const std::string instance = "[instance n]\nadmin = unix:/tmp/n.sock\ncommand = true\n";
  const std::pair<const char*, std::string> cases[] = {
      {"maybe", sound + "configuration = maybe\n" + instance},
      {"'configuration' is no absolute path", sound + instance + "configuration = n.json\n"},
      {"'configuration.base' is no absolute path", sound + instance + "configuration.base = n.json\n"},
      {"needs both", sound + instance + "configuration = /tmp/n.json\n"},
      {"has one file as",
       sound + instance + "configuration = /tmp/n.json\nconfiguration.base = /tmp/n.json\n"},
      {"peer b has no 'control'", sound + "[peer b]\nzone = z\n" + instance}};
  for (const auto& [wrong, text] : cases) {
    const std::string file = folder + "/bad.ini";
    std::ofstream(file) << text;
    const auto ran =
        run_program("/bin/sh", {"-c", std::string(PEARCHUTE_AGENT) + " --charter " + file + " --check 2>&1"});
    if (ran.out.find(wrong) == std::string::npos) std::fprintf(stderr, "%s: %s\n", wrong, ran.out.c_str());
    assert(ran.status == 1 && ran.out.find(wrong) != std::string::npos);
  }
}

// Both sides of a cut publish: each goes on by itself, and afterwards the rule decides for all.
void cut(Fleet& fleet, const std::string& parent, const std::string& channel) {
  fleet.cluster.world.on([&] { fleet.cluster.relays->split({{"a1"}, {"a2", "a3"}}); });
  const std::string left = fleet.publish_well(0, parent, content_with(channel, 512));
  const std::string right = fleet.publish_well(1, parent, content_with(channel, 512));
  assert(left != right);
  assert(wait_for([&] { return fleet.in_force(0) == left && fleet.in_force(5) == right; }));
  assert(fleet.tells(0, "a2: unknown") && fleet.tells(1, "a1: unknown"));
  assert(!fleet.shown(0)->confirmed());
  fleet.cluster.world.on([&] { fleet.cluster.relays->heal(); });
  fleet.must_be_everywhere(std::max(left, right), "after the cut");
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
  // Another command channel, which only the versions name.
  std::unique_ptr<StandInChannel> channel;
  const std::string address = world.on([&] {
    channel = std::make_unique<StandInChannel>(world.loop());
    channel->tell(world.members_now(), true);
    return channel->address();
  });
  const std::string first = publishing(fleet, address);
  assert(wait_for([&] { return world.on([&] { return channel->streams(); }) == 6; }));
  const std::string second = next_start(fleet, first, address);
  const std::string third = killed_agent(fleet, second, address);
  older_is_refused(fleet, third);
  cut(fleet, third, address);
  bad_settings(world.folder());
  assert(world.all_serving(8));
  // All at once: one after the other would be asked to end otherwise, a second each.
  std::vector<pid_t> processes;
  for (const auto& [name, instance] : fleet.cluster.conditions())
    processes.push_back(static_cast<pid_t>(instance.pid()));
  for (Agent& one : fleet.agents) one.end(SIGTERM);
  for (const pid_t process : processes) {
    if (process > 0) ::kill(process, SIGTERM);
  }
  world.on([&] { channel.reset(); });
}
