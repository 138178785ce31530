// An engine drains just after an outage of the command channel, whose streams stayed open and told nothing.
#include "../harness_2.h"

using namespace review;

int main(int count, char** arguments) {
  begin(count, arguments);
  Folder folder;
  Channel channel;
  const auto plan = [](const Want&) { return Plan{Plan::hit, 0.1}; };
  std::vector<std::unique_ptr<Engine>> engines;
  std::vector<Member> members;
  for (int i = 0; i < 3; ++i) {
    engines.push_back(std::make_unique<Engine>("e" + std::to_string(i), plan));
    members.push_back({"s-" + std::to_string(i), engines.back()->address()});
  }
  channel.tell(true, members);
  Manager manager(folder, "n1", settings_json(optic_main()), channel);

  std::atomic<bool> ends{false};
  std::mutex mutex;
  std::size_t lost = 0;
  std::thread traffic([&] {
    std::vector<std::thread> clients;
    while (!ends) {
      clients.emplace_back([&] {
        const Answer answer = request(manager.port(), {.kind = "lookup", .id = new_id(), .cost_ms = 100});
        std::lock_guard lock(mutex);
        lost += answer.kind == Answer::lost;
      });
      std::this_thread::sleep_for(std::chrono::milliseconds(40));
    }
    for (auto& one : clients) one.join();
  });

  constexpr double outage = 9.7;
  const double begun = now() + 5;
  sleep_until(begun);
  if (has_trouble()) channel.stop_streams(true);
  sleep_until(begun + outage);
  if (has_trouble()) channel.stop_streams(false);
  sleep_until(begun + outage + 0.1);
  Member leaving = members[0];
  leaving.phase = "leaving";
  channel.tell(false, {leaving});
  const double in_channel = now();
  sleep_until(in_channel + 12);
  ends = true;
  traffic.join();

  // It counts as told 7 s later at the latest; the grace is 0.5 s; each limit is 50 ms longer.
  constexpr double told_at_the_latest = 7, grace = 0.5, slack = 0.05;
  std::size_t late = 0;
  double last = 0;
  for (const Want& want : engines[0]->wants()) {
    if (want.first_byte > in_channel + told_at_the_latest + grace + slack) ++late;
    last = std::max(last, want.first_byte);
  }
  record.line(
      "the drain was in the channel at %.3f; the last attempt came to the engine %.3f s later; %zu attempts "
      "came more than %.2f s later; %zu requests without an answer",
      in_channel, last - in_channel, late, told_at_the_latest + grace + slack, lost);
  return verdict(late, "drain");
}
