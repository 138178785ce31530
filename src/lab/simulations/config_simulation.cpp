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

// Thrown out of a write at one of its kill points.
struct Killed {};

}  // namespace

struct ConfigSimulation::Impl {
  struct Instance {
    std::string name;
    ConfigMark in_force;
    std::set<ConfigMark> ever;
  };
  struct Node final : ConfigReplica::Host {
    Impl* model = nullptr;
    int number = 0;
    std::string name;
    ConfigLocation place;
    int region = 0;
    Duration offset{};  // its steady clock against the model's
    ConfigReplica::State disk, older_copy;
    bool disk_intact = true;               // neither lost nor put back since it was last verified
    ConfigMark told;                       // the greatest that it has told anybody with this disk
    std::unique_ptr<ConfigSpread> spread;  // none: it is dead
    std::uint64_t life = 0;
    bool stopped = false;
    std::deque<std::function<void()>> put_off;  // what would have happened while it was stopped
    std::vector<Instance> instances;
    std::optional<TimePoint> wake;

    bool write_config(const ConfigReplica::State& state) override { return model->write(*this, state); }
    Duration now() const { return model->now + offset; }
  };
  struct Publication {
    ConfigMark mark;
    int author = 0;
    bool confirmed = false;
  };

  explicit Impl(const Shape& s) : shape(s), chance(static_cast<std::knuth_b::result_type>(s.seed)) {
    for (int n = 0; n < shape.agents; ++n) {
      auto& node = nodes.emplace_back(std::make_unique<Node>());
      node->model = this, node->number = n, node->name = "a" + std::to_string(n);
      node->place.zone = "z" + std::to_string(n % shape.zones);
      node->region = n % shape.zones * shape.regions / shape.zones;
      node->offset = milliseconds(draw(1'000'000));
      for (int i = 0; i < shape.instances_each; ++i)
        node->instances.push_back({node->name + "-" + std::to_string(i), {}, {}});
      at(milliseconds(draw(1000)), [this, n] { start(*nodes[static_cast<std::size_t>(n)]); });
    }
  }
  std::uint64_t draw(std::uint64_t below) { return chance() % below; }
  bool by(double share) { return static_cast<double>(draw(1'000'000)) < share * 1e6; }
  void at(Duration in, std::function<void()> what) { time.at(now + in, std::move(what)); }
  // For a node as it lives now; one that is stopped does it when it goes on.
  void at_node(Duration in, Node& node, const std::function<void()>& what) {
    const std::uint64_t life = node.life;
    at(in, [this, &node, life, what] {
      if (node.life != life || !node.spread) return;
      if (node.stopped) return node.put_off.push_back(what);
      run_event(node, what);
    });
  }
  void run_event(Node& node, const std::function<void()>& what) {
    try {
      what();
      if (node.spread) turn(node);
    } catch (const Killed&) {
      kill(node);
    }
  }

  // ---- An agent

  void start(Node& node) {
    ++node.life;
    node.stopped = false, node.put_off.clear(), node.wake.reset();
    const ConfigMark on_disk = node.disk.current ? node.disk.current->mark : ConfigMark();
    if (node.disk_intact && on_disk < node.told)
      fault(result.regressed, node.name + " has less on its disk than it told");
    node.spread = std::make_unique<ConfigSpread>(node, node.name, node.place, draw(1ULL << 31), node.disk);
    std::map<std::string, ConfigLocation> peers;
    for (const auto& other : nodes) {
      if (other->number != node.number) peers[other->name] = other->place;
    }
    node.spread->set_peers(node.now(), peers);
    run_event(node, [this, &node] { look(node); });
  }
  void kill(Node& node) {
    ++result.kills;
    ++node.life;
    node.spread.reset();
    at(milliseconds(100 + draw(6000)), [this, &node] {
      if (!node.spread) start(node);
    });
  }
  bool write(Node& node, const ConfigReplica::State& state) {
    // Also of an author that dies before it can say that it has published.
    if (state.current && !state.current->ancestors.empty())
      parents[state.current->mark.digest] = state.current->ancestors.front();
    const bool may_die = troubled && shape.kills;
    if (may_die && by(0.01)) throw Killed();
    if (shape.variant == Variant::tells_before_write) {
      at(milliseconds(300), [&node, state, life = node.life] {
        if (node.life == life) node.disk = state;
      });
      return true;
    }
    node.older_copy = std::exchange(node.disk, state);
    if (may_die && by(0.01)) throw Killed();
    return true;
  }
  void turn(Node& node) {
    for (const std::string& peer : node.spread->due(node.now())) exchange(node, of(peer));
    confirm(node);
    const TimePoint next = std::max(node.spread->next(node.now()), node.now() + milliseconds(1));
    if (node.wake && *node.wake <= next && *node.wake > node.now()) return;
    node.wake = next;
    at_node(next - node.now(), node, [] {});
  }
  // Five looks a second at the instances: brings the version into force, and says what is so.
  void look(Node& node) {
    const bool unverified = shape.variant == Variant::applies_unverified;
    const auto document = unverified ? node.spread->replica().current() : node.spread->to_apply();
    if (document && !node.disk_intact) node.disk_intact = true, node.told = ConfigMark();
    if (document) {
      for (Instance& one : node.instances) apply(node, one, document->mark);
    }
    if (troubled && shape.kills && by(0.002)) throw Killed();
    std::vector<InstanceConfig> seen;
    for (const Instance& one : node.instances) {
      std::string why;
      if (document && one.in_force != document->mark) why = "refused: older than the one in force";
      seen.push_back({one.name, one.in_force, why});
    }
    node.spread->set_instances(node.now(), seen);
    at_node(milliseconds(150 + draw(100)), node, [this, &node] { look(node); });
  }
  void apply(Node& node, Instance& one, const ConfigMark& mark) {
    if (one.in_force == mark) return;
    if (mark < one.in_force) {
      ++result.refused_older;
      if (shape.variant != Variant::applies_unverified) return;
      fault(result.regressed, one.name + " is taken back to an older version by " + node.name);
    }
    one.in_force = mark;
    one.ever.insert(mark);
  }
  Node& of(const std::string& name) { return *nodes[static_cast<std::size_t>(std::stoi(name.substr(1)))]; }

  // ---- The network

  Duration delay(const Node& from, const Node& to) {
    const std::uint64_t base = from.region != to.region ? 35 : from.place.zone != to.place.zone ? 2 : 1;
    const bool slow = troubled && by(0.05);
    return milliseconds(base + draw(slow ? 2500 : 8));
  }
  // Each copy of a message takes its own time.
  void carry(Node& from, Node& to, const ConfigMessage& message, const std::function<void()>& arrives) {
    const std::size_t size = bytes_of(message);
    result.bytes += size;
    ++result.messages;
    result.most_message = std::max<std::uint64_t>(result.most_message, size);
    from.told = std::max(from.told, message.mark);
    const int copies = troubled && by(shape.repeated) ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
      if (cut.contains({from.number, to.number}) || by(troubled ? shape.loss : shape.calm_loss)) continue;
      at_node(delay(from, to), to, arrives);
    }
  }
  void exchange(Node& node, Node& peer) {
    const ConfigMessage question = node.spread->question(node.now(), peer.name);
    const auto over = std::make_shared<bool>(false);  // answered once, or its deadline has passed
    carry(node, peer, question, [this, &node, &peer, question, over] {
      const ConfigMessage answer = peer.spread->receive(peer.now(), question);
      check(peer);
      carry(peer, node, answer, [this, &node, &peer, answer, over] {
        if (std::exchange(*over, true)) return;
        node.spread->answered(node.now(), peer.name, answer);
        check(node);
      });
    });
    at_node(ConfigSpread::answer_timeout, node, [&node, &peer, over] {
      if (!std::exchange(*over, true)) node.spread->missed(node.now(), peer.name);
    });
  }

  // ---- Publishing

  bool publish(Node& node) {
    if (!node.spread || node.stopped) return false;
    const ConfigMark parent = node.spread->replica().mark();
    PublishRequest request;
    request.parent = by(0.1) && troubled ? "of somebody else" : parent.digest;
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

  // ---- Trouble

  Node& any() { return *nodes[draw(nodes.size())]; }
  // By digest: what stands, what is recorded as superseded, and the ancestors of both.
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
  // The assumption under which nothing confirmed is forgotten: two other disks know all that this one does.
  bool may_lose_disk(const Node& node) const {
    const std::set<std::string> here = known_to(node.disk);
    int as_much = 0;
    for (const auto& other : nodes) {
      if (other->number == node.number) continue;
      as_much += other->disk == node.disk || std::ranges::includes(known_to(other->disk), here);
      if (as_much == 2) return true;
    }
    return false;
  }
  void strike() {
    Node& node = any();
    switch (draw(5)) {
      case 0:
        if (!shape.kills || !node.spread) break;
        if (shape.disks && by(0.4) && may_lose_disk(node)) {
          ++result.disks_lost;
          node.disk_intact = false;
          node.disk = by(0.5) ? ConfigReplica::State() : node.older_copy;
        }
        kill(node);
        break;
      case 1:
        // All at once, as in a power cut, disks kept.
        if (!shape.kills || !by(0.1)) break;
        for (auto& one : nodes) {
          if (one->spread) kill(*one);
        }
        break;
      case 2:
        if (!shape.stops || !node.spread || node.stopped) break;
        node.stopped = true;
        at(milliseconds(100 + draw(10'000)), [this, &node, life = node.life] {
          if (node.life == life) go_on(node);
        });
        break;
      case 3:
        if (shape.cuts) cut_some(node);
        break;
      default:
        break;
    }
  }
  // One agent, its zone or its region from the rest, both ways or one way.
  void cut_some(const Node& node) {
    const auto kind = draw(3);
    const bool one_way = by(0.3);
    const auto inside = [&](const Node& other) {
      if (kind == 0) return other.number == node.number;
      return kind == 1 ? other.place.zone == node.place.zone : other.region == node.region;
    };
    for (const auto& from : nodes) {
      for (const auto& to : nodes) {
        if (inside(*from) == inside(*to) || (one_way && inside(*to))) continue;
        cut.insert({from->number, to->number});
      }
    }
    at(milliseconds(500 + draw(8000)), [this] { cut.clear(); });
  }
  void go_on(Node& node) {
    node.stopped = false;
    for (const auto& what : std::exchange(node.put_off, {})) {
      if (node.spread) run_event(node, what);
    }
  }

  // ---- What is seen from outside

  void fault(std::uint64_t& count, const std::string& what) {
    ++count;
    if (result.faults.size() < 5)
      result.faults.push_back(std::to_string(now.count() / 1000) + " ms: " + what);
  }
  // All of a small fleet after each message; one agent's word of a large one.
  void check(const Node& node) {
    const std::size_t number = nodes.size() <= 50 ? nodes.size() : 1;
    const std::size_t first = number == 1 ? draw(nodes.size()) : 0;
    const ConfigMark mark = node.spread->replica().mark();
    for (std::size_t i = first; i < first + number; ++i) {
      const Node& other = *nodes[i];
      if (!node.spread->reported_in_force(other.name)) continue;
      for (const Instance& one : other.instances) {
        if (!one.ever.contains(mark))
          fault(result.wrongly_in_force, node.name + " tells as in force at " + one.name + " what never was");
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
        fault(result.forgotten, "version " + std::to_string(one.mark.number) + " of a" +
                                    std::to_string(one.author) + " is neither in force nor superseded");
    }
    for (const auto& node : nodes) {
      const ConfigReport report = node->spread->report();
      for (const Instance& one : node->instances) {
        if (one.in_force != mark) fault(result.disagreeing, one.name + " has another version in force");
      }
      if (report.mark == mark && report.not_in_force == 0) continue;
      fault(result.disagreeing, node->name + " holds number " + std::to_string(report.mark.number) +
                                    ", not " + std::to_string(mark.number) + ", or knows " +
                                    std::to_string(report.not_in_force) + " where it is not in force");
    }
  }

  // ---- The course of one history

  void play_trouble() {
    troubled = true;
    Duration next_publication = now + seconds(2);
    while (now < shape.troubled) {
      time.run(std::min(now + milliseconds(50 + draw(400)), shape.troubled));
      strike();
      if (now < next_publication) continue;
      // Both sides of a cut, whenever there is one.
      for (int n = 0; n < 2; ++n) publish(any());
      next_publication = now + Duration(static_cast<Duration::rep>(
                                   draw(2 * static_cast<std::uint64_t>(shape.between_publications.count()))));
    }
    troubled = false;
    cut.clear();
    for (auto& node : nodes) {
      if (!node->spread) start(*node);
      else if (node->stopped) go_on(*node);
    }
  }
  // Looks a hundred times a second.
  void run_until(Duration end, const std::function<bool()>& enough) {
    while (now < end && !enough()) time.run(now + milliseconds(10));
  }
  void publish_in_calm() {
    Node* author = &any();
    const TimePoint from = now;
    const std::uint64_t bytes = result.bytes;
    for (int n = 0; n < 100 && !publish(*author); ++n) {
      time.run(now + milliseconds(100));
      author = &any();
    }
    const ConfigMark mark = author->spread->replica().mark();
    run_until(from + seconds(20), [&] { return in_force_everywhere(mark); });
    if (!in_force_everywhere(mark)) return fault(result.disagreeing, "not in force everywhere in 20 s");
    result.in_force.push_back(now - from);
    run_until(from + seconds(40), [&] { return author->spread->report().not_in_force == 0; });
    result.acknowledged.push_back(now - from);
    time.run(std::max(now, from + seconds(10)));
    result.busy_bytes_a_second += static_cast<double>(result.bytes - bytes) /
                                  std::chrono::duration<double>(now - from).count() / shape.agents /
                                  shape.calm_publications;
  }
  Result play() {
    time.run(seconds(3));
    if (shape.kills || shape.stops || shape.cuts || shape.loss > 0) {
      // The first version of a fleet, before anything fails.
      publish(*nodes.front());
      play_trouble();
      const TimePoint calm_from = now;
      run_until(calm_from + shape.calm, [&] { return all_agree(); });
      result.settled = now - calm_from;
      check_end();
      if (!result.clean()) return finish();
    }
    for (int n = 0; n < shape.calm_publications; ++n) publish_in_calm();
    time.run(now + seconds(5));
    const std::uint64_t bytes = result.bytes;
    time.run(now + seconds(10));
    result.rest_bytes_a_second = static_cast<double>(result.bytes - bytes) / 10 / shape.agents;
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
  std::knuth_b chance;
  Timeline time;
  const TimePoint& now = time.now;
  bool troubled = false;
  std::vector<std::unique_ptr<Node>> nodes;
  std::set<std::pair<int, int>> cut;
  std::vector<Publication> publications;
  std::map<std::string, std::string> parents;  // by digest
  Result result;
};

ConfigSimulation::ConfigSimulation(const Shape& shape) : impl_(std::make_unique<Impl>(shape)) {}
ConfigSimulation::~ConfigSimulation() = default;
ConfigSimulation::Result ConfigSimulation::play() { return impl_->play(); }

}  // namespace pearchute::lab
