#include "lab/simulations/config_simulation.h"

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

// Thrown where an agent is killed; ends its current event.
struct Killed {};

}  // namespace

struct ConfigSimulation::Impl {
  struct Instance {
    std::string name;
    ConfigMark in_force;
    std::set<ConfigMark> ever_in_force;
  };
  struct Node final : ConfigReplica::Host {
    Impl* simulation = nullptr;
    int number = 0;
    std::string name;
    ConfigLocation place;
    int region = 0;
    Duration offset{};  // from the simulation's clock to the agent's steady clock
    ConfigReplica::State disk, older_copy;
    bool disk_intact = true;  // neither lost nor restored since the agent last had a verified version
    ConfigMark max_sent;      // the greatest mark sent with this disk
    std::unique_ptr<ConfigSpread> spread;  // null while the agent is down
    std::uint64_t generation = 0;          // counts starts and kills
    bool suspended = false;
    std::deque<std::function<void()>> deferred;  // actions due while it was suspended
    std::vector<Instance> instances;
    std::optional<TimePoint> next_run_at;

    bool write_config(const ConfigReplica::State& state) override { return simulation->write(*this, state); }
    Duration now() const { return simulation->now + offset; }
  };
  struct Publication {
    ConfigMark mark;
    int author = 0;
    bool confirmed = false;
  };

  explicit Impl(const Shape& s) : shape(s), random(static_cast<std::knuth_b::result_type>(s.seed)) {
    for (int n = 0; n < shape.agents; ++n) {
      auto& node = nodes.emplace_back(std::make_unique<Node>());
      node->simulation = this, node->number = n, node->name = "a" + std::to_string(n);
      node->place.zone = "z" + std::to_string(n % shape.zones);
      node->region = n % shape.zones * shape.regions / shape.zones;
      node->offset = milliseconds(draw(1'000'000));
      for (int i = 0; i < shape.instances_each; ++i)
        node->instances.push_back({node->name + "-" + std::to_string(i), {}, {}});
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
  void schedule_for(Node& node, Duration delay, const std::function<void()>& action) {
    schedule(delay, [this, &node, generation = node.generation, action] {
      if (node.generation != generation || !node.spread) return;
      if (node.suspended) return node.deferred.push_back(action);
      run_event(node, action);
    });
  }
  void run_event(Node& node, const std::function<void()>& action) {
    try {
      action();
      if (node.spread) run_due(node);
    } catch (const Killed&) {
      kill(node);
    }
  }

  // ---- Agents

  void start(Node& node) {
    ++node.generation;
    node.suspended = false, node.deferred.clear(), node.next_run_at.reset();
    const ConfigMark on_disk = node.disk.current ? node.disk.current->mark : ConfigMark();
    if (node.disk_intact && on_disk < node.max_sent)
      add_violation(result.regressed, node.name + " has less on its disk than it told");
    node.spread = std::make_unique<ConfigSpread>(node, node.name, node.place, draw(1ULL << 31), node.disk);
    std::map<std::string, ConfigLocation> peers;
    for (const auto& other : nodes) {
      if (other->number != node.number) peers[other->name] = other->place;
    }
    node.spread->set_peers(node.now(), peers);
    run_event(node, [this, &node] { poll_instances(node); });
  }
  void kill(Node& node) {
    ++result.kills;
    ++node.generation;
    node.spread.reset();
    schedule(milliseconds(100 + draw(6000)), [this, &node] {
      if (!node.spread) start(node);
    });
  }
  bool write(Node& node, const ConfigReplica::State& state) {
    // Recorded before any kill, so that versions of authors that are killed before they report are included.
    if (state.current && !state.current->ancestors.empty())
      parents[state.current->mark.digest] = state.current->ancestors.front();
    const bool may_die = faults_active && shape.kills;
    if (may_die && chance(0.01)) throw Killed();
    if (shape.variant == Variant::tells_before_write) {
      schedule(milliseconds(300), [&node, state, generation = node.generation] {
        if (node.generation == generation) node.disk = state;
      });
      return true;
    }
    node.older_copy = std::exchange(node.disk, state);
    if (may_die && chance(0.01)) throw Killed();
    return true;
  }
  // Sends the queries that are due and schedules the next run.
  void run_due(Node& node) {
    for (const std::string& peer : node.spread->due(node.now())) exchange(node, node_named(peer));
    confirm(node);
    const TimePoint next = std::max(node.spread->next(node.now()), node.now() + milliseconds(1));
    if (node.next_run_at && *node.next_run_at <= next && *node.next_run_at > node.now()) return;
    node.next_run_at = next;
    // run_event() calls run_due() again after the empty action.
    schedule_for(node, next - node.now(), [] {});
  }
  // Polls the node's instances about five times a second: applies the version to them and reports which
  // version each has in force.
  void poll_instances(Node& node) {
    const bool unverified = shape.variant == Variant::applies_unverified;
    const auto document = unverified ? node.spread->replica().current() : node.spread->to_apply();
    if (document && !node.disk_intact) node.disk_intact = true, node.max_sent = ConfigMark();
    if (document) {
      for (Instance& one : node.instances) apply(node, one, document->mark);
    }
    if (faults_active && shape.kills && chance(0.002)) throw Killed();
    std::vector<InstanceConfig> seen;
    for (const Instance& one : node.instances) {
      std::string reason;
      if (document && one.in_force != document->mark) reason = "refused: older than the one in force";
      seen.push_back({one.name, one.in_force, reason});
    }
    node.spread->set_instances(node.now(), seen);
    schedule_for(node, milliseconds(150 + draw(100)), [this, &node] { poll_instances(node); });
  }
  void apply(Node& node, Instance& one, const ConfigMark& mark) {
    if (one.in_force == mark) return;
    if (mark < one.in_force) {
      ++result.refused_older;
      if (shape.variant != Variant::applies_unverified) return;
      add_violation(result.regressed, one.name + " is taken back to an older version by " + node.name);
    }
    one.in_force = mark;
    one.ever_in_force.insert(mark);
  }
  Node& node_named(const std::string& name) {
    return *nodes[static_cast<std::size_t>(std::stoi(name.substr(1)))];
  }

  // ---- The network

  Duration draw_delay(const Node& from, const Node& to) {
    const std::uint64_t base = from.region != to.region ? 35 : from.place.zone != to.place.zone ? 2 : 1;
    const bool slow = faults_active && chance(0.05);
    return milliseconds(base + draw(slow ? 2500 : 8));
  }
  // Each copy of a message has a delay of its own.
  void deliver(Node& from, Node& to, const ConfigMessage& message, const std::function<void()>& on_arrival) {
    const std::size_t size = bytes_of(message);
    result.bytes += size;
    ++result.messages;
    result.most_message = std::max<std::uint64_t>(result.most_message, size);
    from.max_sent = std::max(from.max_sent, message.mark);
    const int copies = faults_active && chance(shape.repeated) ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
      if (cut_links.contains({from.number, to.number}) ||
          chance(faults_active ? shape.loss : shape.calm_loss))
        continue;
      schedule_for(to, draw_delay(from, to), on_arrival);
    }
  }
  void exchange(Node& node, Node& peer) {
    const ConfigMessage question = node.spread->question(node.now(), peer.name);
    const auto is_over = std::make_shared<bool>(false);  // answered, or timed out
    deliver(node, peer, question, [this, &node, &peer, question, is_over] {
      const ConfigMessage answer = peer.spread->receive(peer.now(), question);
      check(peer);
      deliver(peer, node, answer, [this, &node, &peer, answer, is_over] {
        if (std::exchange(*is_over, true)) return;
        node.spread->answered(node.now(), peer.name, answer);
        check(node);
      });
    });
    schedule_for(node, ConfigSpread::answer_timeout, [&node, &peer, is_over] {
      if (!std::exchange(*is_over, true)) node.spread->missed(node.now(), peer.name);
    });
  }

  // ---- Publishing

  bool publish(Node& node) {
    if (!node.spread || node.suspended) return false;
    const ConfigMark parent = node.spread->replica().mark();
    PublishRequest request;
    request.parent = chance(0.1) && faults_active ? "of somebody else" : parent.digest;
    request.content = std::string(shape.content, 'c') + std::to_string(result.published);
    request.new_epoch = parent.epoch == 0 && publications.empty();
    bool accepted = false;
    run_event(node, [&] {
      const PublishResult published = node.spread->publish(node.now(), request);
      accepted = published == PublishResult::accepted;
      if (published == PublishResult::stale_parent) ++result.stale_parents;
      if (!accepted) return;
      ++result.published;
      publications.push_back({node.spread->replica().mark(), node.number, false});
    });
    return accepted && node.spread;
  }
  void confirm(const Node& node) {
    if (publications.empty() || !node.spread->confirmed()) return;
    const ConfigMark mark = node.spread->replica().mark();
    for (Publication& one : publications) {
      if (one.author == node.number && one.mark == mark && !std::exchange(one.confirmed, true))
        ++result.confirmed;
    }
  }

  // ---- Faults

  Node& random_node() { return *nodes[draw(nodes.size())]; }
  // Returns the digests of the current version, the superseded ones, and the ancestors of all of them.
  std::set<std::string> known_to(const ConfigReplica::State& state) const {
    std::vector<std::string> to_visit;
    if (state.current) to_visit.push_back(state.current->mark.digest);
    for (const SupersededConfig& one : state.superseded) to_visit.push_back(one.mark.digest);
    std::set<std::string> known;
    while (!to_visit.empty()) {
      const std::string digest = to_visit.back();
      to_visit.pop_back();
      if (!known.insert(digest).second) continue;
      if (const auto parent = parents.find(digest); parent != parents.end())
        to_visit.push_back(parent->second);
    }
    return known;
  }
  // Whether the node's disk may be lost. A confirmed version is only kept if two other disks know all
  // versions that this disk knows.
  bool may_lose_disk(const Node& node) const {
    const std::set<std::string> here = known_to(node.disk);
    int complete_copies = 0;
    for (const auto& other : nodes) {
      if (other->number == node.number) continue;
      complete_copies += other->disk == node.disk || std::ranges::includes(known_to(other->disk), here);
      if (complete_copies == 2) return true;
    }
    return false;
  }
  void inject_random_fault() {
    Node& node = random_node();
    switch (draw(5)) {
      case 0:
        if (!shape.kills || !node.spread) break;
        if (shape.disks && chance(0.4) && may_lose_disk(node)) {
          ++result.disks_lost;
          node.disk_intact = false;
          node.disk = chance(0.5) ? ConfigReplica::State() : node.older_copy;
        }
        kill(node);
        break;
      case 1:
        // Kills all agents at once and keeps their disks, as in a power failure.
        if (!shape.kills || !chance(0.1)) break;
        for (auto& one : nodes) {
          if (one->spread) kill(*one);
        }
        break;
      case 2:
        if (!shape.stops || !node.spread || node.suspended) break;
        node.suspended = true;
        schedule(milliseconds(100 + draw(10'000)), [this, &node, generation = node.generation] {
          if (node.generation == generation) resume(node);
        });
        break;
      case 3:
        if (shape.cuts) cut_off(node);
        break;
      default:
        break;
    }
  }
  // Partitions the node, its zone or its region from the rest, in both directions or only the outgoing one.
  void cut_off(const Node& node) {
    const auto kind = draw(3);
    const bool one_way = chance(0.3);
    const auto inside = [&](const Node& other) {
      if (kind == 0) return other.number == node.number;
      return kind == 1 ? other.place.zone == node.place.zone : other.region == node.region;
    };
    for (const auto& from : nodes) {
      for (const auto& to : nodes) {
        if (inside(*from) == inside(*to) || (one_way && inside(*to))) continue;
        cut_links.insert({from->number, to->number});
      }
    }
    schedule(milliseconds(500 + draw(8000)), [this] { cut_links.clear(); });
  }
  void resume(Node& node) {
    node.suspended = false;
    for (const auto& action : std::exchange(node.deferred, {})) {
      if (node.spread) run_event(node, action);
    }
  }

  // ---- Checks

  void add_violation(std::uint64_t& count, const std::string& text) {
    ++count;
    if (result.faults.size() < 5)
      result.faults.push_back(std::to_string(now.count() / 1000) + " ms: " + text);
  }
  // Checks what a node has learned about other agents: about all of them in a fleet of up to 50, about one
  // random agent in a larger fleet.
  void check(const Node& node) {
    const std::size_t checked = nodes.size() <= 50 ? nodes.size() : 1;
    const std::size_t first = checked == 1 ? draw(nodes.size()) : 0;
    const ConfigMark mark = node.spread->replica().mark();
    for (std::size_t i = first; i < first + checked; ++i) {
      const Node& other = *nodes[i];
      if (!node.spread->reported_in_force(other.name)) continue;
      for (const Instance& one : other.instances) {
        if (!one.ever_in_force.contains(mark))
          add_violation(result.wrongly_in_force,
                        node.name + " tells as in force at " + one.name + " what never was");
      }
    }
  }
  bool in_force_everywhere(const ConfigMark& mark) const {
    return std::ranges::all_of(nodes, [&](const auto& node) {
      return std::ranges::all_of(node->instances, [&](const Instance& one) { return one.in_force == mark; });
    });
  }
  bool all_agree() const {
    const auto& first = nodes.front()->spread;
    if (!first) return false;
    const ConfigReplica::State& state = first->replica().state();
    return std::ranges::all_of(nodes, [&](const auto& node) {
      return node->spread && node->spread->replica().mark() == first->replica().mark() &&
             node->spread->replica().state().superseded == state.superseded &&
             node->spread->report().not_in_force == 0;
    });
  }
  void check_end() {
    const Node& first = *nodes.front();
    const ConfigMark mark = first.spread->replica().mark();
    result.conflicts = first.spread->replica().state().superseded.size();
    const std::set<std::string> kept = known_to(first.spread->replica().state());
    for (const Publication& one : publications) {
      if (one.confirmed && !kept.contains(one.mark.digest))
        add_violation(result.forgotten, "version " + std::to_string(one.mark.number) + " of a" +
                                            std::to_string(one.author) +
                                            " is neither in force nor superseded");
    }
    for (const auto& node : nodes) {
      const ConfigReport report = node->spread->report();
      for (const Instance& one : node->instances) {
        if (one.in_force != mark)
          add_violation(result.disagreeing, one.name + " has another version in force");
      }
      if (report.mark == mark && report.not_in_force == 0) continue;
      add_violation(result.disagreeing, node->name + " holds number " + std::to_string(report.mark.number) +
                                            ", not " + std::to_string(mark.number) + ", or knows " +
                                            std::to_string(report.not_in_force) +
                                            " where it is not in force");
    }
  }

  // ---- Phases of a run

  void run_faults() {
    faults_active = true;
    Duration next_publication = now + seconds(2);
    while (now < shape.troubled) {
      time.run(std::min(now + milliseconds(50 + draw(400)), shape.troubled));
      inject_random_fault();
      if (now < next_publication) continue;
      // Two authors, so that often both sides of a partition publish.
      for (int n = 0; n < 2; ++n) publish(random_node());
      next_publication = now + Duration(static_cast<Duration::rep>(
                                   draw(2 * static_cast<std::uint64_t>(shape.between_publications.count()))));
    }
    faults_active = false;
    cut_links.clear();
    for (auto& node : nodes) {
      if (!node->spread) start(*node);
      else if (node->suspended) resume(*node);
    }
  }
  // Runs until `end` or until the condition holds, which is checked every 10 ms.
  void run_until(Duration end, const std::function<bool()>& is_done) {
    while (now < end && !is_done()) time.run(now + milliseconds(10));
  }
  void measure_publication() {
    Node* author = &random_node();
    const TimePoint started_at = now;
    const std::uint64_t bytes_before = result.bytes;
    for (int n = 0; n < 100 && !publish(*author); ++n) {
      time.run(now + milliseconds(100));
      author = &random_node();
    }
    const ConfigMark mark = author->spread->replica().mark();
    run_until(started_at + seconds(20), [&] { return in_force_everywhere(mark); });
    if (!in_force_everywhere(mark))
      return add_violation(result.disagreeing, "not in force everywhere in 20 s");
    result.in_force.push_back(now - started_at);
    run_until(started_at + seconds(40), [&] { return author->spread->report().not_in_force == 0; });
    result.acknowledged.push_back(now - started_at);
    time.run(std::max(now, started_at + seconds(10)));
    result.busy_bytes_a_second += static_cast<double>(result.bytes - bytes_before) /
                                  std::chrono::duration<double>(now - started_at).count() / shape.agents /
                                  shape.calm_publications;
  }
  Result play() {
    time.run(seconds(3));
    if (shape.kills || shape.stops || shape.cuts || shape.loss > 0) {
      // Publishes the fleet's first version before the faults begin.
      publish(*nodes.front());
      run_faults();
      const TimePoint faults_ended_at = now;
      run_until(faults_ended_at + shape.calm, [&] { return all_agree(); });
      result.settled = now - faults_ended_at;
      check_end();
      if (!result.clean()) return finish();
    }
    for (int n = 0; n < shape.calm_publications; ++n) measure_publication();
    time.run(now + seconds(5));
    const std::uint64_t bytes_before = result.bytes;
    time.run(now + seconds(10));
    result.rest_bytes_a_second = static_cast<double>(result.bytes - bytes_before) / 10 / shape.agents;
    check_end();
    return finish();
  }
  Result finish() {
    result.digest = result.bytes * 1099511628211ULL ^ result.messages;
    for (const Publication& one : publications) {
      for (const char letter : one.mark.digest)
        result.digest = (result.digest ^ static_cast<unsigned char>(letter)) * 1099511628211ULL;
    }
    return result;
  }

  Shape shape;
  std::knuth_b random;
  Timeline time;
  const TimePoint& now = time.now;
  bool faults_active = false;
  std::vector<std::unique_ptr<Node>> nodes;
  std::set<std::pair<int, int>> cut_links;
  std::vector<Publication> publications;
  std::map<std::string, std::string> parents;  // digest of each version's parent, by the version's digest
  Result result;
};

ConfigSimulation::ConfigSimulation(const Shape& shape) : impl_(std::make_unique<Impl>(shape)) {}
ConfigSimulation::~ConfigSimulation() = default;
ConfigSimulation::Result ConfigSimulation::play() { return impl_->play(); }

}  // namespace pearchute::lab
