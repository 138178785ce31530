#include "lab/simulations/gossip_simulation.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <random>
#include <set>
#include <utility>

#include "lab/simulations/timeline.h"

namespace pearchute::lab {

using namespace fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Estimates the size of an answer, bytes.
std::size_t size_of(const std::vector<ReportDelta>& deltas) {
  std::size_t sum = 16;
  for (const ReportDelta& delta : deltas) {
    sum += 48 + delta.agent.size();
    for (const ReportEntry& entry : delta.entries)
      sum += 24 + entry.instance.size() + (entry.report ? 64 + entry.report->zone.size() : 0);
  }
  return sum;
}

}  // namespace

struct GossipSimulation::Impl {
  struct Node final : GossipState::Host {
    Impl* simulation = nullptr;
    int number = 0;
    std::string name;
    Duration offset{};                       // from the simulation's clock to the agent's steady clock
    std::uint64_t disk = 0, older_copy = 0;  // persisted incarnations
    std::unique_ptr<GossipState> gossip;     // null while the agent is down
    std::unique_ptr<AntiEntropyScheduler> scheduler;
    std::uint64_t generation = 0;  // counts starts and kills
    bool suspended = false;
    std::deque<std::function<void()>> deferred;  // actions due while it was suspended
    std::map<std::string, StatusReport> instances;
    std::set<int> missing_peers;  // numbers of the agents missing from its configured peers

    bool persist_incarnation(std::uint64_t incarnation) override {
      older_copy = disk, disk = incarnation;
      return true;
    }
    void on_event(const std::string&, std::string_view) override {}
    Duration now() const { return simulation->now + offset; }
  };
  // A state that an agent published: its version and the instances in it.
  struct PublishedState {
    TimePoint when{};
    ReportVersion version;
    std::set<std::string> instances;
  };

  explicit Impl(const Shape& s) : shape(s), random(static_cast<std::knuth_b::result_type>(s.seed)) {
    for (int n = 0; n < shape.agents; ++n) {
      auto& node = nodes.emplace_back(std::make_unique<Node>());
      node->simulation = this, node->number = n, node->name = "a" + std::to_string(n);
      node->offset = milliseconds(draw(1'000'000));
      for (int i = 0; i < shape.instances_each; ++i) {
        StatusReport report;
        report.instance = node->name + "-" + std::to_string(i), report.zone = "z" + std::to_string(i % 3);
        report.state = InstanceState::serving, report.process_incarnation = 1;
        node->instances[report.instance] = report;
      }
      // All start within a second, as after a power failure.
      schedule(milliseconds(draw(1000)), [this, n] { start(*nodes[static_cast<std::size_t>(n)]); });
    }
  }
  std::uint64_t draw(std::uint64_t below) { return random() % below; }
  bool chance(double share) { return static_cast<double>(draw(1'000'000)) < share * 1e6; }
  void schedule(Duration delay, std::function<void()> action) {
    time.schedule(now + delay, std::move(action));
  }
  // Schedules an action of a node's current process: dropped if the process has ended by then, deferred while
  // it is suspended.
  void schedule_for(Node& node, Duration delay, std::function<void()> action) {
    schedule(delay, [&node, generation = node.generation, action] {
      if (node.generation != generation || !node.gossip) return;
      if (node.suspended) node.deferred.push_back(action);
      else action();
    });
  }

  void start(Node& node) {
    ++node.generation;
    node.suspended = false, node.deferred.clear();
    node.gossip =
        std::make_unique<GossipState>(node, node.name, node.disk, draw(1ULL << 40), shape.most_in_answer);
    node.scheduler = std::make_unique<AntiEntropyScheduler>(
        shape.seed * 1000 + static_cast<std::uint64_t>(node.number) + node.generation);
    update_peers(node);
    run_timer(node);
  }
  void update_peers(Node& node) {
    std::set<std::string> peers;
    for (const auto& other : nodes) {
      if (other->number != node.number && !node.missing_peers.contains(other->number))
        peers.insert(other->name);
    }
    node.gossip->set_agents(peers), node.scheduler->set_peers(peers);
  }
  void run_timer(Node& node) {
    publish(node);
    node.gossip->on_timer(node.now());
    for (const std::string& peer : node.scheduler->due(node.now())) send_question(node, node_named(peer));
    schedule_for(node, node.scheduler->next(node.now()) - node.now(), [this, &node] { run_timer(node); });
  }
  Node& node_named(const std::string& name) {
    return *nodes[static_cast<std::size_t>(std::stoi(name.substr(1)))];
  }
  void publish(Node& node) {
    std::vector<StatusReport> reports;
    for (const auto& [name, report] : node.instances) reports.push_back(report);
    node.gossip->publish(reports);
    record(node);
  }
  void record(Node& node) {
    const ReportVersion version = node.gossip->known(node.now(), node.name).mark;
    auto& history = history_of[node.name];
    if (!history.empty() && history.back().version == version) return;
    history.push_back({now, version, {}});
    // Takes the reports from the gossip state, because that is what it sends.
    for (const auto& [instance, report] : node.gossip->reports(node.name)) {
      published_reports[node.name].insert(key_of(report));
      history.back().instances.insert(instance);
    }
  }
  static std::string key_of(const StatusReport& report) {
    return report.instance + "|" + report.zone + "|" + std::to_string(static_cast<int>(report.state)) + "|" +
           std::to_string(report.process_incarnation) + "|" + std::to_string(report.open);
  }

  bool is_connected(const Node& from, const Node& to) {
    return !cut_links.contains({from.number, to.number});
  }
  // Each copy of a message has a delay of its own.
  void deliver(Node& from, Node& to, std::function<void()> on_arrival) {
    const int copies = chance(shape.doubled) ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
      if (!is_connected(from, to) || chance(shape.loss)) continue;
      schedule_for(to, milliseconds(1 + draw(chance(0.05) ? 2500 : 20)), on_arrival);
    }
  }
  void send_question(Node& node, Node& peer) {
    ++result.questions;
    const TimePoint asked_at = node.now();
    const auto versions = node.gossip->marks();
    const auto is_over = std::make_shared<bool>(false);  // answered, or timed out
    result.bytes += 32 + 24 * versions.size();
    deliver(node, peer, [this, &node, &peer, asked_at, versions, is_over] {
      const auto deltas = peer.gossip->answer(peer.now(), versions);
      result.bytes += size_of(deltas),
          result.most_answer = std::max<std::uint64_t>(result.most_answer, size_of(deltas));
      deliver(peer, node, [this, &node, &peer, asked_at, deltas, is_over] {
        // Late and duplicate answers are merged too; they must not change the result.
        node.gossip->receive(node.now(), asked_at, deltas);
        record(node), check(node);
        if (std::exchange(*is_over, true)) return;
        node.scheduler->answered(node.now(), peer.name);
      });
    });
    schedule_for(node, AntiEntropyScheduler::answer_timeout, [&node, &peer, is_over] {
      if (!std::exchange(*is_over, true)) node.scheduler->missed(node.now(), peer.name);
    });
  }

  void add_violation(std::uint64_t& count, const std::string& text) {
    ++count;
    if (result.faults.size() < 5)
      result.faults.push_back(std::to_string(now.count() / 1000) + " ms: " + text);
  }
  // Checks everything that a node knows of the others.
  void check(Node& node) {
    for (const auto& other : nodes) {
      const GossipState::Known known = node.gossip->known(node.now(), other->name);
      if (other->number == node.number || known.mark.incarnation == 0) continue;
      for (const auto& [instance, report] : node.gossip->reports(other->name)) {
        if (!published_reports[other->name].contains(key_of(report)))
          add_violation(result.never_said, node.name + " has of " + other->name + " what it never said");
      }
      if (!known.age) continue;
      // Everything that the other agent had published by that time has to be known here.
      const TimePoint as_of = now - *known.age;
      const auto& history = history_of[other->name];
      auto last = std::ranges::upper_bound(history, as_of, {}, &PublishedState::when);
      if (last == history.begin()) continue;
      const ReportVersion published = std::prev(last)->version;
      // Accepts the version of any state published since then. Versions can't be compared by their order,
      // because after the loss of a disk a later incarnation need not have the greater number.
      const bool knows = std::any_of(std::prev(last), history.end(), [&](const PublishedState& one) {
        return known.mark.incarnation == one.version.incarnation && known.mark.through >= one.version.through;
      });
      for (const PublishedState& one : history) {
        if (one.version != known.mark) continue;
        const auto reports = node.gossip->reports(other->name);
        const bool has_all = std::ranges::all_of(
            one.instances, [&](const auto& instance) { return reports.contains(instance); });
        if (!has_all || reports.size() != one.instances.size())
          add_violation(result.never_said,
                        node.name + " has a state of " + other->name + " that it never was in");
      }
      if (!knows)
        add_violation(result.stale_as_newer,
                      node.name + " knows " + other->name + " to " + std::to_string(known.mark.incarnation) +
                          "." + std::to_string(known.mark.through) + " as of a time when it had said " +
                          std::to_string(published.incarnation) + "." + std::to_string(published.through));
    }
    result.most_kept = std::max<std::uint64_t>(result.most_kept, node.gossip->bytes());
  }

  void change_random_report(Node& node) {
    if (node.instances.empty() || chance(0.15)) {
      StatusReport report;
      report.instance = node.name + "-x" + std::to_string(draw(6)), report.zone = "z",
      report.process_incarnation = 1 + draw(9);
      if (!node.instances.erase(report.instance)) node.instances[report.instance] = report;
    } else {
      StatusReport& report =
          std::next(node.instances.begin(), static_cast<std::ptrdiff_t>(draw(node.instances.size())))->second;
      report.state = static_cast<InstanceState>(draw(7)), report.process_incarnation += draw(2),
      report.open = draw(100);
    }
    ++result.changes;
  }
  Node& random_node() { return *nodes[draw(nodes.size())]; }
  void inject_random_fault() {
    Node& node = random_node();
    switch (draw(5)) {
      case 0:
        if (!shape.kills || !node.gossip) break;
        node.gossip.reset(), ++node.generation;
        if (chance(0.3)) node.disk = 0;                     // lost
        else if (chance(0.3)) node.disk = node.older_copy;  // restored
        schedule(milliseconds(100 + draw(8000)), [this, &node] {
          if (!node.gossip) start(node);
        });
        break;
      case 1:
        if (!shape.stops || !node.gossip || node.suspended) break;
        node.suspended = true;
        schedule(milliseconds(100 + draw(20'000)), [&node, generation = node.generation] {
          if (node.generation != generation) return;
          node.suspended = false;
          for (auto deferred = std::exchange(node.deferred, {}); const auto& action : deferred) action();
        });
        break;
      case 2:
        if (!shape.cuts) break;
        // Partitions one agent from all others or from half of them, in both directions or only the outgoing
        // one.
        for (const bool one_way = chance(0.4), all = chance(0.4); const auto& other : nodes) {
          if (other->number == node.number || (!all && other->number % 2 == 0)) continue;
          cut_links.insert({node.number, other->number});
          if (!one_way) cut_links.insert({other->number, node.number});
        }
        schedule(milliseconds(500 + draw(15'000)), [this] { cut_links.clear(); });
        break;
      case 3:
        if (!shape.drops || !node.gossip) break;
        if (!node.missing_peers.empty()) node.missing_peers.clear();
        else node.missing_peers.insert(random_node().number);
        update_peers(node);
        break;
      default:
        break;
    }
  }
  bool all_agree() {
    for (const auto& node : nodes) {
      for (const auto& other : nodes) {
        if (!node->gossip || !other->gossip) return false;
        const auto known = node->gossip->known(node->now(), other->name);
        if (known.freshness != Freshness::fresh ||
            known.mark != other->gossip->known(other->now(), other->name).mark)
          return false;
      }
    }
    return true;
  }
  bool knows(const Node& node, const std::string& instance, const StatusReport& report,
             const std::string& owner) const {
    const auto reports = node.gossip->reports(owner);
    const auto at = reports.find(instance);
    return at != reports.end() && at->second.process_incarnation == report.process_incarnation &&
           at->second.state == report.state;
  }

  Result play() {
    while (now < shape.troubled) {
      time.run(std::min(now + milliseconds(50 + draw(400)), shape.troubled));
      if (chance(0.5)) change_random_report(random_node());
      if (shape.kills || shape.stops || shape.cuts || shape.drops) inject_random_fault();
    }
    cut_links.clear();
    shape.loss = 0;
    for (auto& node : nodes) {
      node->missing_peers.clear(), node->suspended = false;
      if (!node->gossip) start(*node);
      else update_peers(*node);
      for (auto deferred = std::exchange(node->deferred, {}); const auto& action : deferred) action();
    }
    const TimePoint faults_ended_at = now;
    time.run(now + shape.calm, [&] { return all_agree(); });
    result.settled = now - faults_ended_at;
    for (const auto& node : nodes) {
      for (const auto& other : nodes) {
        const auto known = node->gossip->known(node->now(), other->name);
        const ReportVersion own = other->gossip->known(other->now(), other->name).mark;
        if (known.freshness != Freshness::fresh || known.mark != own)
          add_violation(result.apart, node->name + " does not know " + other->name);
        if (known.mark.incarnation > own.incarnation)
          add_violation(result.overruled, other->name + " is overruled by its past");
      }
    }
    // Measures how fast single changes spread without faults, and the bytes sent meanwhile.
    const std::uint64_t bytes_before = result.bytes;
    const TimePoint measured_from = now;
    for (int n = 0; n < 5 && result.clean(); ++n) {
      Node& node = random_node();
      if (node.instances.empty()) continue;
      StatusReport& report = node.instances.begin()->second;
      report.state = report.state == InstanceState::down ? InstanceState::serving : InstanceState::down,
      ++report.process_incarnation;
      const TimePoint changed_at = now;
      time.run(now + seconds(20), [&] {
        return std::ranges::all_of(
            nodes, [&](const auto& one) { return knows(*one, report.instance, report, node.name); });
      });
      result.spread.push_back(now - changed_at);
    }
    time.run(now + seconds(5));
    result.bytes_a_second = static_cast<double>(result.bytes - bytes_before) /
                            std::chrono::duration<double>(now - measured_from).count() / shape.agents;
    for (const auto& [name, history] : history_of) {
      for (const PublishedState& one : history)
        result.digest =
            (result.digest ^ (static_cast<std::uint64_t>(one.when.count()) * 31 + one.version.through)) *
            1099511628211ULL;
    }
    result.digest = (result.digest ^ result.bytes) * 1099511628211ULL;
    return result;
  }

  Shape shape;
  std::knuth_b random;
  Timeline time;
  const TimePoint& now = time.now;
  std::vector<std::unique_ptr<Node>> nodes;
  std::set<std::pair<int, int>> cut_links;
  std::map<std::string, std::vector<PublishedState>> history_of;   // by agent, the oldest first
  std::map<std::string, std::set<std::string>> published_reports;  // by agent, as key_of() gives them
  Result result;
};

GossipSimulation::GossipSimulation(const Shape& shape) : impl_(std::make_unique<Impl>(shape)) {}
GossipSimulation::~GossipSimulation() = default;
GossipSimulation::Result GossipSimulation::play() { return impl_->play(); }

}  // namespace pearchute::lab
