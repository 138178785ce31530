#include "lab/simulations/level_simulation.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <random>
#include <set>
#include <utility>

#include "lab/simulations/level_checker.h"
#include "lab/simulations/timeline.h"

namespace pearchute::lab {

using namespace fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration poll_interval = milliseconds(100);
constexpr Duration start_window = seconds(1);

// Estimated sizes of the parts of a message, bytes, about those that GossipSimulation uses. The lengths of
// names are added to them.
constexpr std::size_t message_overhead = 16;
constexpr std::size_t version_overhead = 20;
constexpr std::size_t delta_overhead = 48;
constexpr std::size_t entry_overhead = 24;
constexpr std::size_t report_overhead = 64;

std::size_t size_of(const LevelQuestion& question) {
  std::size_t size = message_overhead + sizeof(question.incarnation) + question.asker.size();
  if (question.status_versions) {
    for (const auto& [agent, version] : *question.status_versions) size += version_overhead + agent.size();
  }
  if (question.summary_marks) {
    for (const SummaryMark& mark : *question.summary_marks) size += encoded_size(mark);
  }
  return size;
}

std::size_t size_of(const LevelAnswer& answer) {
  std::size_t size = message_overhead;
  for (const ReportDelta& delta : answer.reports) {
    size += delta_overhead + delta.agent.size();
    for (const ReportEntry& entry : delta.entries)
      size += entry_overhead + entry.instance.size() +
              (entry.report ? report_overhead + entry.report->zone.size() : 0);
  }
  for (const SummaryDelta& delta : answer.summaries) size += encoded_size(delta);
  return size;
}

}  // namespace

std::string_view LevelSimulation::name_of(Fault fault) {
  constexpr std::string_view names[] = {
      "aggregator_killed", "aggregator_slow", "aggregator_cut_one_way", "aggregator_understates_ages",
      "zone_cut",          "region_cut",      "third_restarted"};
  return names[static_cast<int>(fault)];
}

struct LevelSimulation::Impl {
  struct Node final : GossipState::Host {
    std::size_t number = 0;
    std::string name;
    Member member;
    Duration offset{};                       // from the simulation's clock to the agent's steady clock
    std::uint64_t disk = 0, older_copy = 0;  // persisted incarnations
    std::unique_ptr<LevelGossip> gossip;     // null while the agent is down
    std::uint64_t generation = 0;            // counts starts and kills
    bool suspended = false, slow = false;
    bool liar = false;                           // passes on the summaries of other writers with age 0
    std::deque<std::function<void()>> deferred;  // actions due while it was suspended
    std::map<std::string, StatusReport> instances;
    std::vector<StatusSummary> last_written;  // by this generation
    std::uint64_t sent = 0, received = 0, messages = 0;

    bool persist_incarnation(std::uint64_t incarnation) override {
      older_copy = disk;
      disk = incarnation;
      return true;
    }
    void on_event(const std::string&, std::string_view) override {}
  };

  explicit Impl(const Shape& s) : shape(s), random(static_cast<std::knuth_b::result_type>(s.seed)) {
    std::vector<Member> members;
    for (int n = 0; n < shape.agents; ++n) {
      auto& node = nodes.emplace_back(std::make_unique<Node>());
      const int zone = n % shape.zones;
      node->number = static_cast<std::size_t>(n);
      node->name = "agent-" + std::to_string(1000 + n);
      node->member = {node->name, "region-" + std::to_string(zone % shape.regions),
                      "zone-" + std::to_string(zone)};
      node->offset = milliseconds(draw(1'000'000));
      by_name[node->name] = node.get();
      members.push_back(node->member);
      for (int i = 0; i < shape.instances_each; ++i) {
        StatusReport report;
        report.instance = node->name + "-" + std::to_string(i);
        report.zone = node->member.zone;
        report.state = InstanceState::serving;
        report.process_incarnation = 1;
        node->instances[report.instance] = report;
      }
    }
    topology = std::make_shared<const Topology>(members);
    // All start within a second, as after a power failure.
    for (const auto& node : nodes)
      schedule(milliseconds(draw(1000)), [this, one = node.get()] { start(*one); });
  }

  std::uint64_t draw(std::uint64_t below) { return random() % below; }
  bool chance(double share) { return static_cast<double>(draw(1'000'000)) < share * 1e6; }
  Duration own_now(const Node& node) const { return now + node.offset; }
  void schedule(Duration delay, std::function<void()> action) {
    time.schedule(now + delay, std::move(action));
  }
  // Schedules an action of a node's current process: dropped if the process has ended by then, deferred while
  // it is suspended.
  void schedule_for(Node& node, Duration delay, std::function<void()> action) {
    schedule(delay, [&node, generation = node.generation, action = std::move(action)] {
      if (node.generation != generation || !node.gossip) return;
      if (node.suspended) node.deferred.push_back(action);
      else action();
    });
  }

  // ---- Agents

  void start(Node& node) {
    ++node.generation;
    node.suspended = false;
    node.deferred.clear();
    node.last_written.clear();
    node.gossip = std::make_unique<LevelGossip>(node, node.name, node.disk, draw(1ULL << 40), topology);
    run_timer(node);
  }
  void kill(Node& node) {
    node.gossip.reset();
    ++node.generation;
    checker.on_ended(now, node.name);
  }
  void resume(Node& node) {
    if (!std::exchange(node.suspended, false)) return;
    for (auto deferred = std::exchange(node.deferred, {}); const auto& action : deferred) action();
  }
  void publish(Node& node) {
    std::vector<StatusReport> reports;
    for (const auto& [name, report] : node.instances) reports.push_back(report);
    node.gossip->publish_instances(reports);
    record(node);
  }
  void record(Node& node) {
    const GossipState& state = node.gossip->group_state();
    checker.on_published(now, node.name, state.known(own_now(node), node.name).mark,
                         state.reports(node.name));
  }
  void run_timer(Node& node) {
    publish(node);
    const LevelGossip::TickResult tick = node.gossip->tick(own_now(node));
    checker.on_written(now, own_now(node), *node.gossip, *topology, tick.written);
    if (!tick.written.empty()) node.last_written = tick.written;
    for (const OutgoingQuestion& question : tick.questions) send_question(node, question);
    schedule_for(node, tick.next - own_now(node), [this, &node] { run_timer(node); });
  }

  // ---- Messages

  void deliver(Node& from, Node& to, std::size_t size, const std::function<void()>& on_arrival) {
    from.sent += size;
    ++from.messages;
    const int copies = chance(shape.doubled) ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
      if (cut_links.contains({from.number, to.number}) || chance(shape.loss)) continue;
      Duration delay = milliseconds(1 + draw(chance(0.05) ? 2500 : 20));
      if (from.slow || to.slow) delay += milliseconds(500 + draw(2500));
      schedule_for(to, delay, [&to, size, on_arrival] {
        to.received += size;
        on_arrival();
      });
    }
  }
  void send_question(Node& node, const OutgoingQuestion& outgoing) {
    Node& peer = *by_name.at(outgoing.id.peer);
    const TimePoint asked_at = own_now(node);
    const auto is_over = std::make_shared<bool>(false);  // answered, or timed out
    deliver(node, peer, size_of(outgoing.question), [this, &node, &peer, asked_at, is_over, outgoing] {
      const LevelAnswer response = answer(peer, outgoing.question);
      deliver(peer, node, size_of(response), [this, &node, asked_at, is_over, response, id = outgoing.id] {
        receive(node, asked_at, id, response, *is_over);
        *is_over = true;
      });
    });
    schedule_for(node, AntiEntropyScheduler::answer_timeout, [this, &node, is_over, id = outgoing.id] {
      if (!std::exchange(*is_over, true)) node.gossip->missed(own_now(node), id);
    });
  }
  LevelAnswer answer(Node& peer, const LevelQuestion& question) {
    LevelAnswer response = peer.gossip->answer(own_now(peer), question);
    for (SummaryDelta& delta : response.summaries) {
      if (peer.liar && delta.summary.writer != peer.name) delta.age = Duration(0);
      if (!shape.age_from_sending) continue;
      delta.age -= delta.summary.age_when_made;
      delta.summary.age_when_made = Duration(0);
    }
    return response;
  }
  // Late and duplicate answers are merged too; they must not change the result for the worse.
  void receive(Node& node, TimePoint asked_at, const QuestionId& id, const LevelAnswer& response,
               bool is_late) {
    node.gossip->merge(own_now(node), asked_at, id.peer, response);
    record(node);
    for (const SummaryDelta& delta : response.summaries)
      checker.check_reader(now, own_now(node), *node.gossip, delta.summary.unit);
    result.summaries_kept_max =
        std::max<std::uint64_t>(result.summaries_kept_max, node.gossip->summaries().size());
    if (!is_late) node.gossip->completed(own_now(node), id);
  }

  // ---- What agents see

  // Whether the node's fleet summary covers all agents, fresh, with these numbers of instances by state.
  bool sees_all(const Node& node, const StatusCounts& expected) const {
    if (!node.gossip) return false;
    const StatusCounts known = node.gossip->fleet_status(own_now(node)).counts;
    return known.agents_fresh == nodes.size() && known.by_state == expected.by_state;
  }
  StatusCounts real_counts() const {
    StatusCounts counts;
    for (const auto& node : nodes) {
      for (const auto& [name, report] : node->instances) counts.add(report);
    }
    return counts;
  }
  std::string missing_at(const Node& node) const {
    std::string text;
    for (const Unit& unit : topology->units()) {
      if (unit.level != Level::region || !node.gossip) continue;
      const auto best = node.gossip->summaries().selected(own_now(node), unit);
      text += ", " + to_string(unit) + " ";
      if (!best) text += "unproven";
      else
        text += std::to_string(best->summary->counts.agents_fresh) + " agents, " +
                std::to_string((own_now(node) - best->as_of).count() / 1000) + " ms old";
    }
    return text;
  }
  // Runs until every agent has seen the whole fleet once, or until `limit` has passed. Returns the time taken
  // and leaves the agents that have not in `blind`.
  Duration until_all_see_all(Duration limit) {
    const TimePoint from = now;
    const StatusCounts counts = real_counts();
    blind.clear();
    for (const auto& node : nodes) blind.insert(node.get());
    while (true) {
      std::erase_if(blind, [&](const Node* node) { return sees_all(*node, counts); });
      if (blind.empty() || now - from >= limit) return now - from;
      time.run(now + poll_interval);
    }
  }

  // ---- Random faults

  Node& random_node() { return *nodes[draw(nodes.size())]; }
  void change_random_report(Node& node) {
    StatusReport& report =
        std::next(node.instances.begin(), static_cast<std::ptrdiff_t>(draw(node.instances.size())))->second;
    report.state = static_cast<InstanceState>(draw(instance_state_count));
    ++report.process_incarnation;
    report.open = draw(100);
  }
  // Partitions the nodes `inside` from the others, in both directions or only the outgoing one.
  void cut_between(const std::function<bool(const Node&)>& inside, bool one_way) {
    for (const auto& a : nodes) {
      for (const auto& b : nodes) {
        if (!inside(*a) || inside(*b)) continue;
        cut_links.insert({a->number, b->number});
        if (!one_way) cut_links.insert({b->number, a->number});
      }
    }
  }
  void restart_later(Node& node, Duration delay) {
    schedule(delay, [this, &node] {
      if (!node.gossip) start(node);
    });
  }
  void inject_random_fault() {
    Node& node = random_node();
    switch (draw(6)) {
      case 0:
        if (!shape.kills || !node.gossip) break;
        kill(node);
        if (chance(0.3)) node.disk = 0;                     // lost
        else if (chance(0.3)) node.disk = node.older_copy;  // restored from an older copy
        restart_later(node, milliseconds(100 + draw(8000)));
        break;
      case 1:
        if (!shape.stops || !node.gossip || node.suspended) break;
        node.suspended = true;
        schedule(milliseconds(100 + draw(20'000)), [this, &node, generation = node.generation] {
          if (node.generation == generation) resume(node);
        });
        break;
      case 2:
        if (!shape.cuts) break;
        cut_between([&](const Node& one) { return one.number == node.number; }, chance(0.5));
        reconnect_later();
        break;
      case 3:
        if (!shape.unit_cuts || chance(0.5)) break;
        if (chance(0.5))
          cut_between([&](const Node& one) { return one.member.zone == node.member.zone; }, chance(0.3));
        else
          cut_between([&](const Node& one) { return one.member.region == node.member.region; }, chance(0.3));
        reconnect_later();
        break;
      case 4:
        if (!shape.slow || node.slow) break;
        node.slow = true;
        schedule(milliseconds(1000 + draw(10'000)), [&node] { node.slow = false; });
        break;
      default:
        break;
    }
  }
  void reconnect_later() {
    schedule(milliseconds(500 + draw(15'000)), [this] { cut_links.clear(); });
  }
  void run_random_faults() {
    if (shape.liar) top_aggregator().liar = true;
    while (now < shape.troubled) {
      time.run(std::min(now + milliseconds(50 + draw(400)), shape.troubled));
      if (chance(0.5)) change_random_report(random_node());
      inject_random_fault();
    }
    cut_links.clear();
    shape.loss = 0;
    for (const auto& node : nodes) {
      node->slow = false;
      if (!node->gossip) start(*node);
      resume(*node);
    }
  }
  // Returns the highest-ranked agent of the first node's region that also ranks first in its group.
  Node& top_aggregator() {
    const Unit region{Level::region, nodes.front()->member.region, {}, 0};
    for (const std::string& name : topology->ranked_members(region)) {
      const Unit group = topology->placement(name)->group;
      if (topology->ranked_members(group).front() == name) return *by_name.at(name);
    }
    return *nodes.front();
  }

  // ---- Single faults

  void inject(Fault fault) {
    Node& top = top_aggregator();
    const auto in_zone = [&top](const Node& one) { return one.member.zone == top.member.zone; };
    const auto in_region = [&top](const Node& one) { return one.member.region == top.member.region; };
    switch (fault) {
      case Fault::aggregator_killed:
        return kill(top);
      case Fault::aggregator_slow:
        top.slow = true;
        return;
      case Fault::aggregator_cut_one_way:
        return cut_between([&top](const Node& one) { return one.number == top.number; }, true);
      case Fault::aggregator_understates_ages:
        top.liar = true;
        return;
      case Fault::zone_cut:
        return cut_between(in_zone, false);
      case Fault::region_cut:
        return cut_between(in_region, false);
      case Fault::third_restarted:
        for (const auto& node : nodes) {
          if (node->number % 3 == 0) kill(*node);
        }
        return;
    }
  }
  void repair() {
    cut_links.clear();
    for (const auto& node : nodes) {
      node->slow = node->liar = false;
      if (!node->gossip) start(*node);
    }
  }
  std::uint64_t blind_in_own_region() const {
    return static_cast<std::uint64_t>(std::ranges::count_if(nodes, [&](const auto& node) {
      return node->gossip && node->gossip->summaries().freshness(
                                 own_now(*node), node->gossip->placement().region) != Freshness::fresh;
    }));
  }
  void play_fault(Fault fault) {
    Recovery& recovery = result.recoveries.emplace_back();
    recovery.fault = fault;
    inject(fault);
    // The killed agents are restarted at once by repair().
    if (fault != Fault::third_restarted) time.run(now + shape.fault_length);
    recovery.cut_off_blind = fault == Fault::third_restarted ? 0 : blind_in_own_region();
    repair();
    recovery.recovered = until_all_see_all(shape.calm);
  }

  // ---- Measurements

  void measure_bytes() {
    for (const auto& node : nodes) node->sent = node->received = node->messages = 0;
    const TimePoint from = now;
    std::uint64_t gaps = 0, samples = 0;
    while (now - from < shape.measured) {
      time.run(now + seconds(1));
      for (const auto& node : nodes) {
        const GroupStatus status = node->gossip->fleet_status(own_now(*node));
        result.age_max = std::max(result.age_max, status.age);
        gaps += status.counts.agents_fresh < nodes.size();
        ++samples;
      }
    }
    result.gap_share = static_cast<double>(gaps) / static_cast<double>(samples);
    const double span = std::chrono::duration<double>(now - from).count();
    for (const auto& node : nodes) {
      const double sent = static_cast<double>(node->sent) / span;
      const double messages = static_cast<double>(node->messages) / span;
      result.bytes_mean += sent / static_cast<double>(nodes.size());
      result.bytes_max = std::max(result.bytes_max, sent);
      result.received_max = std::max(result.received_max, static_cast<double>(node->received) / span);
      result.messages_mean += messages / static_cast<double>(nodes.size());
      result.messages_max = std::max(result.messages_max, messages);
    }
  }
  void measure_changes() {
    for (int n = 0; n < shape.changes; ++n) {
      StatusReport& report = random_node().instances.begin()->second;
      report.state = report.state == InstanceState::down ? InstanceState::serving : InstanceState::down;
      ++report.process_incarnation;
      result.spread.push_back(until_all_see_all(shape.calm));
    }
  }
  // Returns a writer of which a peer has a newer summary than the writer's last one; null if there is none.
  const Node* overruled_writer() const {
    for (const auto& writer : nodes) {
      for (const StatusSummary& own : writer->last_written) {
        for (const auto& node : nodes) {
          if (!writer->gossip || !node->gossip) continue;
          const auto known = node->gossip->summaries().version(own.unit, writer->name);
          if (known && *known > own.version) return writer.get();
        }
      }
    }
    return nullptr;
  }
  void conclude() {
    until_all_see_all(shape.calm);
    for (const Node* node : blind)
      add_violation(result.unsettled, node->name + " does not see all" + missing_at(*node));
    // After a writer has lost its disk, its older summaries disappear once it learns of them and writes a
    // newer version, or when they are too old.
    const Duration limit = now + freshness_limits(Level::region).old + seconds(5);
    while (overruled_writer() && now < limit) time.run(now + seconds(1));
    if (const Node* writer = overruled_writer())
      add_violation(result.overruled, writer->name + " is overruled by its past");
    result.never_said = checker.unfounded_count;
    result.stale_as_fresh = checker.stale_as_fresh_count;
    result.checks = checker.check_count;
    result.summaries_written = checker.written_count;
    for (const std::string& violation : checker.violations) result.faults.push_back(violation);
    for (const auto& node : nodes) result.digest = (result.digest ^ node->sent) * 1099511628211ULL;
    result.digest = (result.digest ^ checker.check_count) * 1099511628211ULL;
  }
  void add_violation(std::uint64_t& count, const std::string& text) {
    if (++count == 1) result.faults.push_back(std::to_string(now.count() / 1000) + " ms: " + text);
  }

  Result play() {
    if (shape.troubled > Duration(0)) run_random_faults();
    else time.run(start_window);
    result.settled = until_all_see_all(shape.calm);
    if (blind.empty()) {
      measure_bytes();
      measure_changes();
      for (const Fault fault : shape.faults) play_fault(fault);
      // Lets answers from before the end of the last fault arrive.
      time.run(now + seconds(2));
    }
    conclude();
    return result;
  }

  Shape shape;
  std::knuth_b random;
  Timeline time;
  const TimePoint& now = time.now;
  std::shared_ptr<const Topology> topology;
  std::vector<std::unique_ptr<Node>> nodes;
  std::map<std::string, Node*> by_name;
  std::set<std::pair<std::size_t, std::size_t>> cut_links;
  std::set<const Node*> blind;  // agents that had not seen the whole fleet when until_all_see_all() returned
  LevelChecker checker;
  Result result;
};

LevelSimulation::LevelSimulation(const Shape& shape) : impl_(std::make_unique<Impl>(shape)) {}
LevelSimulation::~LevelSimulation() = default;
LevelSimulation::Result LevelSimulation::play() { return impl_->play(); }

}  // namespace pearchute::lab
