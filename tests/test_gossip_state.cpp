// What agents know of each other: merging as a table of small cases, then thousands of seeded histories.
#include <algorithm>
#include <cassert>
#include <cstdio>
#include <random>

#include "lab/simulations/gossip_simulation.h"

using namespace pearchute;
using namespace pearchute::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct Disk final : GossipState::Host {
  bool writable = true;
  std::uint64_t kept = 0;
  int overruled = 0;
  std::map<std::string, std::string> last;
  bool persist_incarnation(std::uint64_t incarnation) override {
    if (writable) kept = incarnation;
    return writable;
  }
  void on_event(const std::string& agent, std::string_view what) override { last[agent] = what; }
};

StatusReport word(const std::string& instance, std::uint64_t life = 1) {
  StatusReport one;
  one.instance = instance, one.state = InstanceState::serving, one.process_incarnation = life;
  return one;
}
const TimePoint now = seconds(100);

// Whatever order, whatever repeats: the same in the end.
void merging() {
  Disk disk;
  std::vector<std::vector<ReportDelta>> answers;
  GossipState writer(disk, "w", 0, 1);
  writer.set_agents({"r"});
  std::map<std::string, ReportVersion> marks;
  for (int n = 0; n < 6; ++n) {
    std::vector<StatusReport> all = {word("i" + std::to_string(n)), word("j", static_cast<std::uint64_t>(n))};
    writer.publish(all);
    answers.push_back(writer.answer(now, n % 2 == 0 ? std::map<std::string, ReportVersion>{} : marks));
    marks["w"] = writer.known(now, "w").mark;
  }
  std::knuth_b chance(7);
  for (int round = 0; round < 200; ++round) {
    Disk other;
    GossipState reader(other, "r", 0, 2);
    reader.set_agents({"w"});
    std::vector<std::vector<ReportDelta>> some = answers;
    for (int n = 0; n < 4; ++n) some.push_back(answers[chance() % answers.size()]);
    std::ranges::shuffle(some, chance);
    for (const auto& news : some) reader.receive(now, now - milliseconds(5), news);
    reader.receive(now, now, answers[4]);  // the last that is whole
    reader.receive(now, now, answers[5]);
    const auto words = reader.reports("w");
    assert(words.size() == 2 && words.contains("i5") && words.at("j").process_incarnation == 5);
    assert(reader.known(now, "w").freshness == Freshness::fresh);
    assert(reader.known(now, "w").mark == writer.known(now, "w").mark);
  }
}

void ages() {
  Disk disk, between_disk, reader_disk;
  GossipState writer(disk, "w", 0, 1), between(between_disk, "b", 0, 2), reader(reader_disk, "r", 0, 3);
  between.set_agents({"w", "r"}), reader.set_agents({"w", "b"});
  writer.publish({word("i")});
  assert(reader.known(now, "w").freshness == Freshness::unknown && !reader.known(now, "w").age);
  // The third agent's clock is another one; it asked a second before it is asked itself.
  const Duration its = seconds(5000);
  between.receive(its, its - milliseconds(10), writer.answer(now, between.marks()));
  reader.receive(now, now - milliseconds(200), between.answer(its + seconds(1), reader.marks()));
  const auto known = reader.known(now, "w");
  assert(known.age == seconds(1) + milliseconds(210) && known.freshness == Freshness::fresh);
  // An older one changes nothing; time makes it old, and then unknown.
  reader.receive(now, now - seconds(9), writer.answer(now, reader.marks()));
  assert(reader.known(now, "w").age == known.age);
  assert(reader.known(now + seconds(3), "w").freshness == Freshness::old);
  reader.on_timer(now + seconds(3));
  assert(reader_disk.last["w"] == "old");
  assert(reader.known(now + seconds(20), "w").freshness == Freshness::unknown);
  assert(reader.reports("w").size() == 1);  // what is old is still what was said last
  // Dropped from the charter: its word goes, and a third agent does not bring it back.
  reader.set_agents({"b"});
  reader.receive(now, now, between.answer(its, reader.marks()));
  assert(reader.reports("w").empty() && !reader.known(now, "w").age);
}

// Restarted with its disk lost, it learns of its own past, and goes beyond it.
void own_past() {
  Disk disk, reader_disk;
  auto writer = std::make_unique<GossipState>(disk, "w", 7ULL << 32, 1);
  GossipState reader(reader_disk, "r", 0, 2);
  reader.set_agents({"w"});
  writer->publish({word("old")});
  assert(disk.kept >> 32 == 8);
  reader.receive(now, now, writer->answer(now, reader.marks()));
  disk.kept = 0;
  writer = std::make_unique<GossipState>(disk, "w", 0, 4);
  writer->set_agents({"r"});
  writer->publish({word("new")});
  reader.receive(now, now, writer->answer(now, reader.marks()));
  assert(reader.reports("w").contains("old"));  // it can't tell which is the later one
  writer->receive(now, now, reader.answer(now, writer->marks()));
  assert(disk.kept >> 32 == 9 && writer->known(now, "w").mark.incarnation == disk.kept);
  writer->publish({word("new")});
  reader.receive(now, now, writer->answer(now, reader.marks()));
  assert(reader.reports("w").size() == 1 && reader.reports("w").contains("new"));
  // An echo of what it has said itself changes nothing.
  writer->receive(now, now, reader.answer(now, writer->marks()));
  assert(disk.kept >> 32 == 9);
  // Before it has looked at its instances it says nothing, rather than that it owns none.
  GossipState early(disk, "e", 0, 5);
  assert(early.can_publish() && early.answer(now, {}).empty());
  // Without a disk nothing is said under a new incarnation.
  Disk full;
  full.writable = false;
  GossipState mute(full, "m", 3, 1);
  mute.publish({word("x")});
  assert(!mute.can_publish() && mute.answer(now, {}).empty());
  full.writable = true;
  mute.publish({word("x")});
  assert(mute.can_publish() && mute.answer(now, {}).size() == 1 && full.kept > 3);
}

// What is let go is named until there are too many such names; then all is said anew.
void bounds() {
  Disk disk, reader_disk;
  GossipState writer(disk, "w", 0, 1), reader(reader_disk, "r", 0, 2);
  reader.set_agents({"w"});
  const auto exchange = [&] { reader.receive(now, now, writer.answer(now, reader.marks())); };
  for (int n = 0; n < 1000; ++n) {
    writer.publish({word("keeps"), word("i" + std::to_string(n))});
    if (n % 7 == 0) exchange();
  }
  exchange();
  assert(reader.reports("w").size() == 2 && reader.reports("w").contains("i999"));
  assert(reader.bytes() < 100'000 && writer.bytes() < 100'000 && disk.kept >> 32 > 1);
  // A full charter comes in parts, each within bounds, and is fresh once all of it is here.
  std::vector<StatusReport> many;
  for (int n = 0; n < 3000; ++n) many.push_back(word(std::string(120, 'x') + std::to_string(n)));
  writer.publish(many);
  int parts = 0;
  while (reader.known(now, "w").mark != writer.known(now, "w").mark) {
    exchange();
    assert(++parts < 10);
    if (parts == 1) assert(reader.known(now, "w").instance_count < GossipState::max_instances);
  }
  assert(parts > 1 && reader.reports("w").size() == GossipState::max_instances);
  // Two that speak under one name are no source: what they say is not taken for known.
  ReportDelta first{"w", {99ULL << 32, 1}, {}, true, 0, 1, {{1, "i", word("i", 1)}}}, second = first;
  second.entries[0].report->process_incarnation = 2;
  reader.receive(now, now, {first});
  assert(reader.known(now, "w").freshness == Freshness::fresh);
  reader.receive(now, now, {second});
  assert(reader.known(now, "w").disputed && reader.known(now, "w").freshness == Freshness::unknown);
  assert(reader.reports("w").at("i").process_incarnation == 2);
}

// A silent peer has one question open, and is asked less and less; the others go on as before.
void asking() {
  AntiEntropyScheduler asks(3);
  std::set<std::string> peers;
  for (int n = 0; n < 8; ++n) peers.insert("p" + std::to_string(n));
  asks.set_peers(peers);
  std::map<std::string, int> asked;
  std::map<std::string, Duration> open;
  Duration t = seconds(1);
  for (int round = 0; round < 400; ++round) {
    for (const auto& [peer, since] : std::map(open)) {
      if (t - since >= AntiEntropyScheduler::answer_timeout) asks.missed(t, peer), open.erase(peer);
    }
    const auto due = asks.due(t);
    assert(due.size() <= AntiEntropyScheduler::default_max_concurrent);
    for (const std::string& peer : due) {
      ++asked[peer];
      if (peer == "p3") assert(open.emplace(peer, t).second);
      else asks.answered(t + milliseconds(3), peer);
    }
    assert(asks.in_flight() <= 1);
    const TimePoint next = asks.next(t);
    assert(next - t >= 3 * AntiEntropyScheduler::round_interval / 4 &&
           next - t <= 5 * AntiEntropyScheduler::round_interval / 4);
    t = next;
  }
  assert(asked["p3"] < 50 && asked["p0"] > 120 && asked["p7"] > 120);
}

void histories() {
  struct Case {
    const char* name;
    int seeds;
    lab::GossipSimulation::Shape shape;
  };
  const Case cases[] = {
      {"loss and repeats", 60, {.loss = 0.3, .doubled = 0.3}},
      {"kills", 60, {.loss = 0.05, .doubled = 0.05, .kills = true}},
      {"stops", 60, {.doubled = 0.1, .stops = true}},
      {"parts", 60, {.loss = 0.05, .doubled = 0.1, .most_in_answer = 500, .drops = true}},
      {"cuts", 60, {.cuts = true}},
      {"charters", 40, {.loss = 0.05, .drops = true}},
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
  asking();
  histories();
}
