// Tests of gossip among agents: merging, ages, incarnations and bounds as small cases, the schedule of
// queries, and seeded histories with faults.
#include <algorithm>
#include <cassert>
#include <cstdio>
#include <random>

#include "lab/simulations/gossip_simulation.h"

using namespace pearchute;
using namespace pearchute::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Persists the incarnation in memory, and records the last event of each agent.
struct Disk final : GossipState::Host {
  bool writable = true;
  std::uint64_t incarnation = 0;
  std::map<std::string, std::string> last_event;
  bool persist_incarnation(std::uint64_t next) override {
    if (writable) incarnation = next;
    return writable;
  }
  void on_event(const std::string& agent, std::string_view event) override { last_event[agent] = event; }
};

StatusReport report_on(const std::string& instance, std::uint64_t process_incarnation = 1) {
  StatusReport report;
  report.instance = instance, report.state = InstanceState::serving;
  report.process_incarnation = process_incarnation;
  return report;
}
const TimePoint now = seconds(100);

// The result of merging does not depend on the order of answers or on repeated answers.
void merging() {
  Disk disk;
  std::vector<std::vector<ReportDelta>> answers;
  GossipState writer(disk, "w", 0, 1);
  writer.set_agents({"r"});
  std::map<std::string, ReportVersion> marks;
  for (int n = 0; n < 6; ++n) {
    std::vector<StatusReport> all = {report_on("i" + std::to_string(n)),
                                     report_on("j", static_cast<std::uint64_t>(n))};
    writer.publish(all);
    answers.push_back(writer.answer(now, n % 2 == 0 ? std::map<std::string, ReportVersion>{} : marks));
    marks["w"] = writer.known(now, "w").mark;
  }
  std::knuth_b random(7);
  for (int round = 0; round < 200; ++round) {
    Disk reader_disk;
    GossipState reader(reader_disk, "r", 0, 2);
    reader.set_agents({"w"});
    std::vector<std::vector<ReportDelta>> received = answers;
    for (int n = 0; n < 4; ++n) received.push_back(answers[random() % answers.size()]);
    std::ranges::shuffle(received, random);
    for (const auto& answer : received) reader.receive(now, now - milliseconds(5), answer);
    reader.receive(now, now, answers[4]);  // the last answer with all entries
    reader.receive(now, now, answers[5]);
    const auto reports = reader.reports("w");
    assert(reports.size() == 2 && reports.contains("i5") && reports.at("j").process_incarnation == 5);
    assert(reader.known(now, "w").freshness == Freshness::fresh);
    assert(reader.known(now, "w").mark == writer.known(now, "w").mark);
  }
}

void ages() {
  Disk disk, between_disk, reader_disk;
  GossipState writer(disk, "w", 0, 1), between(between_disk, "b", 0, 2), reader(reader_disk, "r", 0, 3);
  between.set_agents({"w", "r"}), reader.set_agents({"w", "b"});
  writer.publish({report_on("i")});
  assert(reader.known(now, "w").freshness == Freshness::unknown && !reader.known(now, "w").age);
  // The agent in between has another clock. It has had the report for 1 s when the reader queries it.
  const TimePoint between_now = seconds(5000);
  between.receive(between_now, between_now - milliseconds(10), writer.answer(now, between.marks()));
  reader.receive(now, now - milliseconds(200), between.answer(between_now + seconds(1), reader.marks()));
  const auto known = reader.known(now, "w");
  assert(known.age == seconds(1) + milliseconds(210) && known.freshness == Freshness::fresh);
  // An older answer does not change the age. With time the reports become old, then unknown.
  reader.receive(now, now - seconds(9), writer.answer(now, reader.marks()));
  assert(reader.known(now, "w").age == known.age);
  assert(reader.known(now + seconds(3), "w").freshness == Freshness::old);
  reader.on_timer(now + seconds(3));
  assert(reader_disk.last_event["w"] == "old");
  assert(reader.known(now + seconds(20), "w").freshness == Freshness::unknown);
  assert(reader.reports("w").size() == 1);  // the last reports are kept whatever their age
  // After the writer is removed from the agents its reports are dropped, and another agent's answer does not
  // bring them back.
  reader.set_agents({"b"});
  reader.receive(now, now, between.answer(between_now, reader.marks()));
  assert(reader.reports("w").empty() && !reader.known(now, "w").age);
}

// An agent that restarts with a lost disk receives its own past reports, and begins a greater incarnation.
void own_past() {
  Disk disk, reader_disk;
  auto writer = std::make_unique<GossipState>(disk, "w", 7ULL << 32, 1);
  GossipState reader(reader_disk, "r", 0, 2);
  reader.set_agents({"w"});
  writer->publish({report_on("old")});
  assert(disk.incarnation >> 32 == 8);
  reader.receive(now, now, writer->answer(now, reader.marks()));
  disk.incarnation = 0;
  writer = std::make_unique<GossipState>(disk, "w", 0, 4);
  writer->set_agents({"r"});
  writer->publish({report_on("new")});
  reader.receive(now, now, writer->answer(now, reader.marks()));
  assert(reader.reports("w").contains("old"));  // the reader can't tell which one is later
  writer->receive(now, now, reader.answer(now, writer->marks()));
  assert(disk.incarnation >> 32 == 9 && writer->known(now, "w").mark.incarnation == disk.incarnation);
  writer->publish({report_on("new")});
  reader.receive(now, now, writer->answer(now, reader.marks()));
  assert(reader.reports("w").size() == 1 && reader.reports("w").contains("new"));
  // An answer with the agent's own present reports changes nothing.
  writer->receive(now, now, reader.answer(now, writer->marks()));
  assert(disk.incarnation >> 32 == 9);
  // Before its first publish() an agent answers nothing, since an empty delta would mean that it owns none.
  GossipState early(disk, "e", 0, 5);
  assert(early.can_publish() && early.answer(now, {}).empty());
  // If the incarnation can't be persisted, nothing is published under it.
  Disk full;
  full.writable = false;
  GossipState silent(full, "m", 3, 1);
  silent.publish({report_on("x")});
  assert(!silent.can_publish() && silent.answer(now, {}).empty());
  full.writable = true;
  silent.publish({report_on("x")});
  assert(silent.can_publish() && silent.answer(now, {}).size() == 1 && full.incarnation > 3);
}

// Removed instances are reported until there are too many of them; then a new incarnation begins. Answers and
// records stay within their bounds.
void bounds() {
  Disk disk, reader_disk;
  GossipState writer(disk, "w", 0, 1), reader(reader_disk, "r", 0, 2);
  reader.set_agents({"w"});
  const auto exchange = [&] { reader.receive(now, now, writer.answer(now, reader.marks())); };
  for (int n = 0; n < 1000; ++n) {
    writer.publish({report_on("stays"), report_on("i" + std::to_string(n))});
    if (n % 7 == 0) exchange();
  }
  exchange();
  assert(reader.reports("w").size() == 2 && reader.reports("w").contains("i999"));
  assert(reader.bytes() < 100'000 && writer.bytes() < 100'000 && disk.incarnation >> 32 > 1);
  // The reports on the maximum number of instances are sent in parts, and used once all parts are received.
  std::vector<StatusReport> many;
  for (int n = 0; n < 3000; ++n) many.push_back(report_on(std::string(120, 'x') + std::to_string(n)));
  writer.publish(many);
  int parts = 0;
  while (reader.known(now, "w").mark != writer.known(now, "w").mark) {
    exchange();
    assert(++parts < 10);
    if (parts == 1) assert(reader.known(now, "w").instance_count < GossipState::max_instances);
  }
  assert(parts > 1 && reader.reports("w").size() == GossipState::max_instances);
  // If two processes publish under one name, the agent is disputed and its status unknown.
  ReportDelta first{"w", {99ULL << 32, 1}, {}, true, 0, 1, {{1, "i", report_on("i", 1)}}}, second = first;
  second.entries[0].report->process_incarnation = 2;
  reader.receive(now, now, {first});
  assert(reader.known(now, "w").freshness == Freshness::fresh);
  reader.receive(now, now, {second});
  assert(reader.known(now, "w").disputed && reader.known(now, "w").freshness == Freshness::unknown);
  assert(reader.reports("w").at("i").process_incarnation == 2);
}

// A silent peer has at most one query in flight and is queried ever less often; the other peers are queried
// as before.
void query_schedule() {
  AntiEntropyScheduler scheduler(3);
  std::set<std::string> peers;
  for (int n = 0; n < 8; ++n) peers.insert("p" + std::to_string(n));
  scheduler.set_peers(peers);
  std::map<std::string, int> query_counts;
  std::map<std::string, Duration> open;
  Duration t = seconds(1);
  for (int round = 0; round < 400; ++round) {
    for (const auto& [peer, since] : std::map(open)) {
      if (t - since >= AntiEntropyScheduler::answer_timeout) scheduler.missed(t, peer), open.erase(peer);
    }
    const auto due = scheduler.due(t);
    assert(due.size() <= AntiEntropyScheduler::default_max_concurrent);
    for (const std::string& peer : due) {
      ++query_counts[peer];
      if (peer == "p3") assert(open.emplace(peer, t).second);
      else scheduler.answered(t + milliseconds(3), peer);
    }
    assert(scheduler.in_flight() <= 1);
    const TimePoint next = scheduler.next(t);
    assert(next - t >= 3 * AntiEntropyScheduler::round_interval / 4 &&
           next - t <= 5 * AntiEntropyScheduler::round_interval / 4);
    t = next;
  }
  assert(query_counts["p3"] < 50 && query_counts["p0"] > 120 && query_counts["p7"] > 120);
}

void random_histories() {
  struct Case {
    const char* name;
    int seeds;
    lab::GossipSimulation::Shape shape;
  };
  const Case cases[] = {
      {"loss and repeats", 60, {.loss = 0.3, .doubled = 0.3}},
      {"kills", 60, {.loss = 0.05, .doubled = 0.05, .kills = true}},
      {"pauses", 60, {.doubled = 0.1, .stops = true}},
      {"answers in parts", 60, {.loss = 0.05, .doubled = 0.1, .most_in_answer = 500, .drops = true}},
      {"partitions", 60, {.cuts = true}},
      {"membership changes", 40, {.loss = 0.05, .drops = true}},
      {"all", 120, {.loss = 0.1, .doubled = 0.1, .kills = true, .stops = true, .cuts = true, .drops = true}},
  };
  for (const Case& c : cases) {
    for (int seed = 1; seed <= c.seeds; ++seed) {
      lab::GossipSimulation::Shape shape = c.shape;
      shape.seed = static_cast<std::uint64_t>(seed), shape.troubled = seconds(30);
      const auto result = lab::GossipSimulation(shape).play();
      for (const std::string& fault : result.faults)
        std::fprintf(stderr, "%s, seed %d: %s\n", c.name, seed, fault.c_str());
      assert(result.clean() && result.changes > 0);
      if (seed == 1) assert(lab::GossipSimulation(shape).play().digest == result.digest);
    }
  }
}

int main() {
  merging();
  ages();
  own_past();
  bounds();
  query_schedule();
  random_histories();
}
