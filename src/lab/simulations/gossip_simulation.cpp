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

std::size_t size_of(const std::vector<ReportDelta>& all) {
  std::size_t sum = 16;
  for (const ReportDelta& news : all) {
    sum += 48 + news.agent.size();
    for (const Entry& entry : news.entries)
      sum += 24 + entry.instance.size() + (entry.report ? 64 + entry.report->zone.size() : 0);
  }
  return sum;
}

}  // namespace

struct GossipSimulation::Impl {
  struct Node final : GossipState::Host {
    Impl* model = nullptr;
    int number = 0;
    std::string name;
    Duration offset{};  // its steady clock against the model's
    std::uint64_t disk = 0, older_copy = 0;
    std::unique_ptr<GossipState> bulletin;  // none: it is dead
    std::unique_ptr<AntiEntropyScheduler> asking;
    std::uint64_t life = 0;
    bool stopped = false;
    std::deque<std::function<void()>> put_off;  // what would have happened while it was stopped
    std::map<std::string, StatusReport> instances;
    std::set<int> left_out;  // agents that its charter does not name

    bool persist_incarnation(std::uint64_t incarnation) override {
      older_copy = disk, disk = incarnation;
      return true;
    }
    void on_event(const std::string&, std::string_view) override {}
    Duration now() const { return model->now + offset; }
  };
  struct Said {
    TimePoint when{};
    ReportVersion mark;
    std::set<std::string> instances;
  };

  explicit Impl(const Shape& s) : shape(s), chance(static_cast<std::knuth_b::result_type>(s.seed)) {
    for (int n = 0; n < shape.agents; ++n) {
      auto& node = nodes.emplace_back(std::make_unique<Node>());
      node->model = this, node->number = n, node->name = "a" + std::to_string(n);
      node->offset = milliseconds(draw(1'000'000));
      for (int i = 0; i < shape.instances_each; ++i) {
        StatusReport word;
        word.instance = node->name + "-" + std::to_string(i), word.zone = "z" + std::to_string(i % 3);
        word.state = InstanceState::serving, word.process_incarnation = 1;
        node->instances[word.instance] = word;
      }
      // They start within a second, as after a power cut.
      at(milliseconds(draw(1000)), [this, n] { start(*nodes[static_cast<std::size_t>(n)]); });
    }
  }
  std::uint64_t draw(std::uint64_t below) { return chance() % below; }
  bool by(double share) { return static_cast<double>(draw(1'000'000)) < share * 1e6; }
  void at(Duration in, std::function<void()> what) { time.at(now + in, std::move(what)); }
  // For a node as it lives now; one that is stopped does it when it goes on.
  void at_node(Duration in, Node& node, std::function<void()> what) {
    const std::uint64_t life = node.life;
    at(in, [&node, life, what] {
      if (node.life != life || !node.bulletin) return;
      if (node.stopped) node.put_off.push_back(what);
      else what();
    });
  }

  void start(Node& node) {
    ++node.life;
    node.stopped = false, node.put_off.clear();
    node.bulletin =
        std::make_unique<GossipState>(node, node.name, node.disk, draw(1ULL << 40), shape.most_in_answer);
    node.asking = std::make_unique<AntiEntropyScheduler>(shape.seed * 1000 +
                                                         static_cast<std::uint64_t>(node.number) + node.life);
    charter(node);
    beat(node);
  }
  void charter(Node& node) {
    std::set<std::string> named;
    for (const auto& other : nodes) {
      if (other->number != node.number && !node.left_out.contains(other->number)) named.insert(other->name);
    }
    node.bulletin->set_agents(named), node.asking->set_peers(named);
  }
  void beat(Node& node) {
    say(node);
    node.bulletin->on_timer(node.now());
    for (const std::string& peer : node.asking->due(node.now())) ask(node, of(peer));
    at_node(node.asking->next(node.now()) - node.now(), node, [this, &node] { beat(node); });
  }
  Node& of(const std::string& name) { return *nodes[static_cast<std::size_t>(std::stoi(name.substr(1)))]; }
  void say(Node& node) {
    std::vector<StatusReport> words;
    for (const auto& [name, word] : node.instances) words.push_back(word);
    node.bulletin->publish(words);
    record(node);
  }
  void record(Node& node) {
    const ReportVersion mark = node.bulletin->known(node.now(), node.name).mark;
    auto& history = said[node.name];
    if (!history.empty() && history.back().mark == mark) return;
    history.push_back({now, mark, {}});
    // As it was last looked at, which is what is stated.
    for (const auto& [instance, word] : node.bulletin->reports(node.name)) {
      words_said[node.name].insert(key_of(word));
      history.back().instances.insert(instance);
    }
  }
  static std::string key_of(const StatusReport& word) {
    return word.instance + "|" + word.zone + "|" + std::to_string(static_cast<int>(word.state)) + "|" +
           std::to_string(word.process_incarnation) + "|" + std::to_string(word.open);
  }

  bool passes(const Node& from, const Node& to) { return !cut.contains({from.number, to.number}); }
  // Each copy of a message takes its own time.
  void carry(Node& from, Node& to, std::function<void()> arrives) {
    const int copies = by(shape.doubled) ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
      if (!passes(from, to) || by(shape.loss)) continue;
      at_node(milliseconds(1 + draw(by(0.05) ? 2500 : 20)), to, arrives);
    }
  }
  void ask(Node& node, Node& peer) {
    ++result.questions;
    const TimePoint asked = node.now();
    const auto marks = node.bulletin->marks();
    const auto over = std::make_shared<bool>(false);  // the call: answered once, or its deadline
    result.bytes += 32 + 24 * marks.size();
    carry(node, peer, [this, &node, &peer, asked, marks, over] {
      const auto news = peer.bulletin->answer(peer.now(), marks);
      result.bytes += size_of(news),
          result.most_answer = std::max<std::uint64_t>(result.most_answer, size_of(news));
      carry(peer, node, [this, &node, &peer, asked, news, over] {
        // A copy that comes late is heard all the same: it must change nothing.
        node.bulletin->receive(node.now(), asked, news);
        record(node), check(node);
        if (std::exchange(*over, true)) return;
        node.asking->answered(node.now(), peer.name);
      });
    });
    at_node(AntiEntropyScheduler::answer_timeout, node, [&node, &peer, over] {
      if (!std::exchange(*over, true)) node.asking->missed(node.now(), peer.name);
    });
  }

  void fault(std::uint64_t& count, const std::string& what) {
    ++count;
    if (result.faults.size() < 5)
      result.faults.push_back(std::to_string(now.count() / 1000) + " ms: " + what);
  }
  void check(Node& node) {
    for (const auto& other : nodes) {
      const GossipState::Known known = node.bulletin->known(node.now(), other->name);
      if (other->number == node.number || known.mark.incarnation == 0) continue;
      for (const auto& [instance, word] : node.bulletin->reports(other->name)) {
        if (!words_said[other->name].contains(key_of(word)))
          fault(result.never_said, node.name + " has of " + other->name + " what it never said");
      }
      if (!known.age) continue;
      // All that it had said by then has to be known: its mark at that moment is no greater.
      const TimePoint then = now - *known.age;
      const auto& history = said[other->name];
      auto last = std::ranges::upper_bound(history, then, {}, &Said::when);
      if (last == history.begin()) continue;
      const ReportVersion had = std::prev(last)->mark;
      // By when it was said: after a lost disk a later incarnation need not be the greater one.
      const bool knows = std::any_of(std::prev(last), history.end(), [&](const Said& one) {
        return known.mark.incarnation == one.mark.incarnation && known.mark.through >= one.mark.through;
      });
      for (const Said& one : history) {
        if (one.mark != known.mark) continue;
        const auto words = node.bulletin->reports(other->name);
        const bool whole = std::ranges::all_of(
            one.instances, [&](const auto& instance) { return words.contains(instance); });
        if (!whole || words.size() != one.instances.size())
          fault(result.never_said, node.name + " has a state of " + other->name + " that it never was in");
      }
      if (!knows)
        fault(result.stale_as_newer,
              node.name + " knows " + other->name + " to " + std::to_string(known.mark.incarnation) + "." +
                  std::to_string(known.mark.through) + " as of a time when it had said " +
                  std::to_string(had.incarnation) + "." + std::to_string(had.through));
    }
    result.most_kept = std::max<std::uint64_t>(result.most_kept, node.bulletin->bytes());
  }

  void change(Node& node) {
    if (node.instances.empty() || by(0.15)) {
      StatusReport word;
      word.instance = node.name + "-x" + std::to_string(draw(6)), word.zone = "z",
      word.process_incarnation = 1 + draw(9);
      if (!node.instances.erase(word.instance)) node.instances[word.instance] = word;
    } else {
      StatusReport& word =
          std::next(node.instances.begin(), static_cast<std::ptrdiff_t>(draw(node.instances.size())))->second;
      word.state = static_cast<InstanceState>(draw(7)), word.process_incarnation += draw(2),
      word.open = draw(100);
    }
    ++result.changes;
  }
  Node& any() { return *nodes[draw(nodes.size())]; }
  void strike() {
    Node& node = any();
    switch (draw(5)) {
      case 0:
        if (!shape.kills || !node.bulletin) break;
        node.bulletin.reset(), ++node.life;
        if (by(0.3)) node.disk = 0;                     // lost
        else if (by(0.3)) node.disk = node.older_copy;  // put back
        at(milliseconds(100 + draw(8000)), [this, &node] {
          if (!node.bulletin) start(node);
        });
        break;
      case 1:
        if (!shape.stops || !node.bulletin || node.stopped) break;
        node.stopped = true;
        at(milliseconds(100 + draw(20'000)), [&node, life = node.life] {
          if (node.life != life) return;
          node.stopped = false;
          for (auto put_off = std::exchange(node.put_off, {}); const auto& what : put_off) what();
        });
        break;
      case 2:
        if (!shape.cuts) break;
        // Both ways or one way, of one agent or of half of them from the rest.
        for (const bool one_way = by(0.4), all = by(0.4); const auto& other : nodes) {
          if (other->number == node.number || (!all && other->number % 2 == 0)) continue;
          cut.insert({node.number, other->number});
          if (!one_way) cut.insert({other->number, node.number});
        }
        at(milliseconds(500 + draw(15'000)), [this] { cut.clear(); });
        break;
      case 3:
        if (!shape.drops || !node.bulletin) break;
        if (!node.left_out.empty()) node.left_out.clear();
        else node.left_out.insert(any().number);
        charter(node);
        break;
      default:
        break;
    }
  }
  bool all_know() {
    for (const auto& node : nodes) {
      for (const auto& other : nodes) {
        if (!node->bulletin || !other->bulletin) return false;
        const auto known = node->bulletin->known(node->now(), other->name);
        if (known.freshness != Freshness::fresh ||
            known.mark != other->bulletin->known(other->now(), other->name).mark)
          return false;
      }
    }
    return true;
  }
  bool knows(const Node& node, const std::string& instance, const StatusReport& word,
             const std::string& owner) const {
    const auto words = node.bulletin->reports(owner);
    const auto at = words.find(instance);
    return at != words.end() && at->second.process_incarnation == word.process_incarnation &&
           at->second.state == word.state;
  }

  Result play() {
    while (now < shape.troubled) {
      time.run(std::min(now + milliseconds(50 + draw(400)), shape.troubled));
      if (by(0.5)) change(any());
      if (shape.kills || shape.stops || shape.cuts || shape.drops) strike();
    }
    cut.clear();
    shape.loss = 0;
    for (auto& node : nodes) {
      node->left_out.clear(), node->stopped = false;
      if (!node->bulletin) start(*node);
      else charter(*node);
      for (auto put_off = std::exchange(node->put_off, {}); const auto& what : put_off) what();
    }
    const TimePoint calm_from = now;
    time.run(now + shape.calm, [&] { return all_know(); });
    result.settled = now - calm_from;
    for (const auto& node : nodes) {
      for (const auto& other : nodes) {
        const auto known = node->bulletin->known(node->now(), other->name);
        const ReportVersion own = other->bulletin->known(other->now(), other->name).mark;
        if (known.freshness != Freshness::fresh || known.mark != own)
          fault(result.apart, node->name + " does not know " + other->name);
        if (known.mark.incarnation > own.incarnation)
          fault(result.overruled, other->name + " is overruled by its past");
      }
    }
    // How fast one change gets about, with nothing else going on; and what that costs.
    const std::uint64_t bytes = result.bytes;
    const TimePoint quiet_from = now;
    for (int n = 0; n < 5 && result.clean(); ++n) {
      Node& node = any();
      if (node.instances.empty()) continue;
      StatusReport& word = node.instances.begin()->second;
      word.state = word.state == InstanceState::down ? InstanceState::serving : InstanceState::down,
      ++word.process_incarnation;
      const TimePoint from = now;
      time.run(now + seconds(20), [&] {
        return std::ranges::all_of(
            nodes, [&](const auto& one) { return knows(*one, word.instance, word, node.name); });
      });
      result.spread.push_back(now - from);
    }
    time.run(now + seconds(5));
    result.bytes_a_second = static_cast<double>(result.bytes - bytes) /
                            std::chrono::duration<double>(now - quiet_from).count() / shape.agents;
    for (const auto& [name, history] : said) {
      for (const Said& one : history)
        result.digest =
            (result.digest ^ (static_cast<std::uint64_t>(one.when.count()) * 31 + one.mark.through)) *
            1099511628211ULL;
    }
    result.digest = (result.digest ^ result.bytes) * 1099511628211ULL;
    return result;
  }

  Shape shape;
  std::knuth_b chance;
  Timeline time;
  const TimePoint& now = time.now;
  std::vector<std::unique_ptr<Node>> nodes;
  std::set<std::pair<int, int>> cut;
  std::map<std::string, std::vector<Said>> said;
  std::map<std::string, std::set<std::string>> words_said;
  Result result;
};

GossipSimulation::GossipSimulation(const Shape& shape) : impl_(std::make_unique<Impl>(shape)) {}
GossipSimulation::~GossipSimulation() = default;
GossipSimulation::Result GossipSimulation::play() { return impl_->play(); }

}  // namespace pearchute::lab
