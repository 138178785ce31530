// Tests of configuration versions: the order of versions and the conflict rule as small cases, the spread
// among three agents, seeded histories with all kinds of faults, and broken variants that the checker must
// catch.
#include <algorithm>
#include <cassert>
#include <cstdio>
#include <random>

#include "lab/simulations/config_simulation.h"

using namespace pearchute;
using namespace pearchute::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Persists the state in memory.
struct Disk final : ConfigReplica::Host {
  bool writable = true;
  ConfigReplica::State state;
  bool write_config(const ConfigReplica::State& next) override {
    if (writable) state = next;
    return writable;
  }
};

// ---- One replica

void publishing() {
  Disk disk;
  ConfigReplica replica(disk, "a1", {});
  assert(replica.publish({"", "one", false}) == PublishResult::unknown);
  assert(replica.publish({"somebody's", "one", true}) == PublishResult::stale_parent);
  assert(replica.publish({"", "one", true}) == PublishResult::accepted);
  assert(disk.state.current->content == "one" && replica.mark().epoch == 1 && replica.mark().number == 1);
  const std::string first = replica.mark().digest;
  assert(replica.publish({"", "two", false}) == PublishResult::stale_parent);
  assert(replica.publish({first, "two", false}) == PublishResult::accepted);
  assert(replica.publish({first, "three", false}) == PublishResult::stale_parent);
  assert(replica.mark().number == 2 && replica.current()->ancestors.front() == first);
  const std::string second = replica.mark().digest;
  const std::string too_large(ConfigDocument::max_content_bytes + 1, 'x');
  assert(replica.publish({second, too_large, false}) == PublishResult::too_large);
  disk.writable = false;
  assert(replica.publish({second, "three", false}) == PublishResult::not_written);
  assert(replica.mark().digest == second && disk.state.current->mark.digest == second);
  disk.writable = true;
  // A version of a new epoch is greater than all versions of the epoch before, and descends from them.
  assert(replica.publish({second, "anew", true}) == PublishResult::accepted && replica.mark().epoch == 2);
  for (int n = 0; n < 100; ++n) {
    assert(replica.publish({replica.mark().digest, std::to_string(n), false}) == PublishResult::accepted);
  }
  assert(replica.current()->ancestors.size() == ConfigDocument::max_ancestors);
}

ConfigDocument document(Disk& disk) { return *disk.state.current; }

void receiving() {
  Disk left, right;
  ConfigReplica a(left, "a1", {}), b(right, "b1", {});
  assert(a.publish({"", "one", true}) == PublishResult::accepted);
  const ConfigDocument first = document(left);
  assert(b.receive(first) && !b.receive(first) && b.mark() == a.mark());
  // A document that was altered on its way is not accepted.
  ConfigDocument altered = first;
  altered.content = "other", altered.mark.number = 9;
  assert(!b.receive(altered) && b.mark() == first.mark);
  altered.mark.digest = digest_of(altered);
  altered.ancestors.assign(ConfigDocument::max_ancestors + 1, first.mark.digest);
  assert(!b.receive(altered));
  // A descendant replaces its ancestor without a conflict. Receiving the ancestor again changes nothing.
  assert(a.publish({first.mark.digest, "two", false}) == PublishResult::accepted);
  assert(b.receive(document(left)) && b.state().superseded.empty());
  assert(!b.receive(first) && b.state().superseded.empty());
  // A document that can't be persisted is not accepted.
  assert(a.publish({a.mark().digest, "three", false}) == PublishResult::accepted);
  right.writable = false;
  assert(!b.receive(document(left)) && b.mark().number == 2);
}

// Both sides of a partition publish. All replicas then reach the same state, whatever the order in which they
// receive the documents.
void conflicts() {
  Disk left, right;
  ConfigReplica a(left, "a1", {}), b(right, "b1", {});
  assert(a.publish({"", "one", true}) == PublishResult::accepted && b.receive(document(left)));
  std::vector<ConfigDocument> all = {document(left)};
  for (const char* content : {"left two", "left three"}) {
    assert(a.publish({a.mark().digest, content, false}) == PublishResult::accepted);
    all.push_back(document(left));
  }
  assert(b.publish({b.mark().digest, "right two", false}) == PublishResult::accepted);
  all.push_back(document(right));
  const ConfigDocument longer = all[2], shorter = all[3];
  assert(b.receive(longer) && b.state().superseded.size() == 1);
  assert(b.state().superseded[0].mark == shorter.mark && b.state().superseded[0].by == longer.mark);
  assert(!a.receive(shorter) && a.state() == b.state());
  std::knuth_b random(3);
  for (int n = 0; n < 100; ++n) {
    std::ranges::shuffle(all, random);
    Disk disk;
    ConfigReplica other(disk, "c1", {});
    for (const ConfigDocument& one : all) other.receive(one);
    for (int m = 0; m < 3; ++m) other.receive(all[random() % all.size()]);
    other.receive_superseded(a.state().superseded);
    assert(other.state() == a.state());
  }
  // Of two versions with the same number the one with the greater digest wins, wherever it was published.
  Disk third, fourth;
  ConfigReplica c(third, "c1", a.state()), d(fourth, "d1", a.state());
  assert(c.publish({c.mark().digest, "c four", false}) == PublishResult::accepted);
  assert(d.publish({d.mark().digest, "d four", false}) == PublishResult::accepted);
  const ConfigDocument of_c = document(third), of_d = document(fourth);
  c.receive(of_d), d.receive(of_c);
  assert(c.state() == d.state() && c.mark() == std::max(of_c.mark, of_d.mark));
  assert(c.state().superseded.size() == 2);
}

// ---- Several agents, message by message

// Three agents, each in a zone of its own.
struct Agents {
  Disk disks[3];
  std::vector<std::unique_ptr<ConfigSpread>> all;
  TimePoint now = seconds(10);
  explicit Agents() {
    for (std::size_t n = 0; n < 3; ++n) start(n);
  }
  static std::string name(std::size_t n) { return "a" + std::to_string(n); }
  void start(std::size_t n) {
    auto one = std::make_unique<ConfigSpread>(disks[n], name(n), ConfigLocation{"z" + std::to_string(n)},
                                              n + 1, disks[n].state);
    std::map<std::string, ConfigLocation> peers;
    for (std::size_t m = 0; m < 3; ++m) {
      if (m != n) peers[name(m)] = {"z" + std::to_string(m)};
    }
    one->set_peers(now, peers);
    if (n < all.size()) all[n] = std::move(one);
    else all.push_back(std::move(one));
  }
  // Exchanges messages for this time. The exchanges of silent agents are missed.
  void run(Duration time, const std::set<std::size_t>& silent = {}) {
    for (const Duration end = now + time; now < end; now += milliseconds(50)) {
      for (std::size_t n = 0; n < 3; ++n) {
        for (const std::string& peer : all[n]->due(now)) {
          const std::size_t m = static_cast<std::size_t>(peer[1] - '0');
          if (silent.contains(n) || silent.contains(m)) all[n]->missed(now, peer);
          else all[n]->answered(now, peer, all[m]->receive(now, all[n]->question(now, peer)));
        }
      }
    }
  }
};

std::vector<InstanceConfig> instances_with(std::initializer_list<std::pair<const char*, ConfigMark>> all,
                                           const std::string& reason = "") {
  std::vector<InstanceConfig> instances;
  for (const auto& [name, mark] : all) {
    InstanceConfig& one = instances.emplace_back();
    one.instance = name, one.in_force = mark;
    if (mark.epoch == 0) one.not_in_force_reason = reason;
  }
  return instances;
}

void acknowledging() {
  Agents agents;
  assert(agents.all[0]->publish(agents.now, {"", "one", true}) == PublishResult::unverified);
  agents.run(seconds(5));
  assert(agents.all[0]->publish(agents.now, {"", "one", true}) == PublishResult::accepted);
  assert(!agents.all[0]->confirmed());
  agents.run(seconds(2));
  assert(agents.all[0]->confirmed());
  const ConfigMark mark = agents.all[0]->replica().mark(), none;
  for (const auto& one : agents.all) assert(one->to_apply()->mark == mark);
  // No agent has acknowledged the version yet: it is unknown everywhere whether it is in force.
  ConfigReport report = agents.all[2]->report();
  assert(report.not_in_force == 3 && report.names[0] == "a0: unknown" && report.zones.size() == 3);
  agents.all[0]->set_instances(agents.now, instances_with({{"i0", mark}}));
  agents.all[1]->set_instances(agents.now, instances_with({{"i1", none}, {"i2", mark}}, "refused: settings"));
  agents.run(seconds(3));
  for (const auto& one : agents.all) {
    report = one->report();
    assert(report.not_in_force == 2 && report.zones.at("z0").in_force == 1);
    assert(report.names[0] == "a1/i1: refused: settings" && report.names[1] == "a2: unknown");
  }
  agents.all[1]->set_instances(agents.now, instances_with({{"i1", mark}, {"i2", mark}}));
  agents.all[2]->set_instances(agents.now, {});
  agents.run(seconds(3));
  for (const auto& one : agents.all) assert(one->report().not_in_force == 0);
  // An agent withdraws its acknowledgement when the version is no longer in force, even after a restart in
  // which it has lost the acknowledgement.
  agents.start(1);
  agents.run(seconds(3));
  agents.all[1]->set_instances(agents.now, instances_with({{"i1", none}, {"i2", mark}}));
  agents.run(seconds(3));
  for (const auto& one : agents.all) {
    report = one->report();
    assert(report.not_in_force == 1 && report.names[0] == "a1: not in force");
  }
}

// An agent whose disk is lost or has an older state applies and publishes nothing until peers have answered.
void lost_disk() {
  Agents agents;
  agents.run(seconds(5));
  assert(agents.all[0]->publish(agents.now, {"", "one", true}) == PublishResult::accepted);
  agents.run(seconds(2));
  const ConfigReplica::State older = agents.disks[1].state;
  const std::string first = agents.all[0]->replica().mark().digest;
  assert(agents.all[0]->publish(agents.now, {first, "two", false}) == PublishResult::accepted);
  agents.run(seconds(2));
  for (const ConfigReplica::State& found : {ConfigReplica::State(), older}) {
    agents.disks[1].state = found;
    agents.start(1);
    agents.run(seconds(5), {1});
    assert(!agents.all[1]->to_apply() && !agents.all[1]->verified());
    assert(agents.all[1]->publish(agents.now, {first, "other", false}) == PublishResult::unverified);
    agents.run(seconds(5));
    assert(agents.all[1]->to_apply()->content == "two");
    assert(agents.all[1]->publish(agents.now, {first, "other", false}) == PublishResult::stale_parent);
  }
  // After the loss of all disks no version is known, and only one of a new epoch is accepted.
  for (std::size_t n = 0; n < 3; ++n) agents.disks[n].state = {}, agents.start(n);
  agents.run(seconds(5));
  assert(agents.all[0]->verified() && !agents.all[0]->to_apply());
  assert(agents.all[0]->publish(agents.now, {"", "three", false}) == PublishResult::unknown);
}

// ---- Seeded histories

using Shape = lab::ConfigSimulation::Shape;
using Variant = lab::ConfigSimulation::Variant;

lab::ConfigSimulation::Result play(const Shape& shape) {
  const lab::ConfigSimulation::Result result = lab::ConfigSimulation(shape).play();
  for (const std::string& fault : result.faults)
    std::fprintf(stderr, "seed %llu: %s\n", static_cast<unsigned long long>(shape.seed), fault.c_str());
  return result;
}

Shape shape_with_faults(std::uint64_t seed) {
  Shape shape;
  shape.seed = seed;
  shape.loss = 0.1, shape.repeated = 0.1;
  shape.kills = shape.disks = shape.stops = shape.cuts = true;
  return shape;
}

void random_histories() {
  std::uint64_t published = 0, confirmed = 0, conflicts = 0, lost = 0, kills = 0, refused = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    Shape shape = shape_with_faults(seed);
    if (seed % 20 == 0) shape.agents = 50;
    if (seed % 3 == 0) shape.instances_each = 2;
    const auto result = play(shape);
    assert(result.clean());
    published += result.published, confirmed += result.confirmed, conflicts += result.conflicts;
    lost += result.disks_lost, kills += result.kills, refused += result.refused_older;
  }
  std::printf("%llu published, %llu confirmed, %llu conflicts, %llu kills, %llu disks lost, %llu refused\n",
              static_cast<unsigned long long>(published), static_cast<unsigned long long>(confirmed),
              static_cast<unsigned long long>(conflicts), static_cast<unsigned long long>(kills),
              static_cast<unsigned long long>(lost), static_cast<unsigned long long>(refused));
  assert(published > 200 && confirmed > 100 && conflicts > 10 && lost > 100 && kills > 500);
}

void same_seed_same_history() {
  const Shape shape = shape_with_faults(7);
  assert(play(shape).digest == play(shape).digest);
}

// With 630 agents a version has to be in force everywhere within 3 s.
void large_fleet() {
  Shape shape;
  shape.agents = 630, shape.calm_publications = 1, shape.calm_loss = 0.01;
  const auto result = play(shape);
  assert(result.clean());
  std::printf("630 agents: in force in %lld ms, %.0f bytes/s when idle\n",
              static_cast<long long>(result.in_force.at(0).count() / 1000), result.rest_bytes_a_second);
  assert(result.in_force.at(0) < seconds(3) && result.rest_bytes_a_second < 1000);
}

// Returns whether the checker catches a broken variant in one of the first 20 histories.
bool is_caught(Variant variant) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Shape shape = shape_with_faults(seed);
    shape.variant = variant;
    shape.calm_publications = 0;
    if (!lab::ConfigSimulation(shape).play().clean()) return true;
  }
  return false;
}

int main() {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  publishing();
  receiving();
  conflicts();
  acknowledging();
  lost_disk();
  random_histories();
  same_seed_same_history();
  large_fleet();
  assert(is_caught(Variant::tells_before_write));
  assert(is_caught(Variant::applies_unverified));
}
