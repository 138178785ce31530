#include "ctl/batch_executor.h"

#include <thread>

namespace pearchute::ctl {

using admin::CallEnd;
using admin::Caller;

std::string CallResult::trouble() const {
  if (!answered()) return std::string(name_of(end));
  switch (reply.outcome()) {
    case admin::v1::ok:
      return "";
    case admin::v1::unknown_call:
      return "an older manager: it does not know this call";
    default:
      return reply.fault();
  }
}

std::vector<CallResult> BatchExecutor::ask(const Instances& instances,
                                           const std::function<admin::v1::Call(std::size_t)>& call_for) {
  struct Round {
    std::vector<CallResult> heard;
    std::vector<std::unique_ptr<Caller>> callers;
    std::size_t next = 0, left = 0;
    std::promise<void> done;
    std::function<void()> go_on;
  };
  const auto round = std::make_shared<Round>();
  round->heard.resize(instances.size());
  round->callers.resize(instances.size());
  round->left = instances.size();
  if (instances.empty()) return {};
  auto done = round->done.get_future();
  loop_thread_.on([&] {
    round->go_on = [&, round = round.get()] {
      if (round->next == instances.size()) return;
      const std::size_t number = round->next++;
      round->callers[number] = std::make_unique<Caller>(loop_thread_.loop(), instances[number]->place);
      round->callers[number]->call(call_for(number), within_,
                                   [&, round, number](CallEnd end, const admin::v1::Reply& reply) {
                                     round->heard[number].end = end, round->heard[number].reply = reply;
                                     // Its connection goes once this event is over, and the next instance has
                                     // its turn.
                                     loop_thread_.loop().post([&, round, number] {
                                       round->callers[number].reset();
                                       if (--round->left == 0) round->done.set_value();
                                       else round->go_on();
                                     });
                                   });
    };
    for (std::size_t i = 0; i < std::min(at_once_, instances.size()); ++i) round->go_on();
  });
  done.get();
  loop_thread_.on([] {});  // the event that said so is over
  return std::move(round->heard);
}

std::vector<CallResult> BatchExecutor::ask(const Instances& instances, const admin::v1::Call& call) {
  return ask(instances, [&](std::size_t) { return call; });
}

CallResult BatchExecutor::ask_one(const Instance& instance, const admin::v1::Call& call) {
  return ask({&instance}, call).front();
}

std::vector<BatchExecutor::Pages> BatchExecutor::ask_pages(
    const Instances& instances, const std::function<admin::v1::Call(const Pages&)>& call_for) {
  std::vector<Pages> pages(instances.size());
  std::vector<std::size_t> open(instances.size());
  for (std::size_t i = 0; i < open.size(); ++i) open[i] = i;
  while (!open.empty()) {
    Instances asked;
    for (const std::size_t i : open) asked.push_back(instances[i]);
    const std::vector<CallResult> heard =
        ask(asked, [&](std::size_t at) { return call_for(pages[open[at]]); });
    std::vector<std::size_t> more;
    for (std::size_t at = 0; at < heard.size(); ++at) {
      const admin::v1::Reply& reply = heard[at].reply;
      pages[open[at]].push_back(heard[at]);
      // An empty page has no next one, whatever it says.
      const bool next = (reply.engines().more() && reply.engines().engines_size() > 0) ||
                        (reply.orders().more() && reply.orders().orders_size() > 0);
      if (heard[at].ok() && next) more.push_back(open[at]);
    }
    open = more;
  }
  return pages;
}

void BatchExecutor::watch(const Instances& instances, std::chrono::milliseconds time,
                          const std::function<void(const Instance&, const admin::v1::Event&)>& event,
                          const std::function<void(const Instance&, const std::string&)>& ended,
                          const std::function<bool()>& done) {
  std::vector<std::unique_ptr<Caller>> callers;
  std::size_t left = instances.size();
  loop_thread_.on([&] {
    for (const Instance* instance : instances) {
      callers.push_back(std::make_unique<Caller>(loop_thread_.loop(), instance->place));
      callers.back()->watch(
          0, within_, [&, instance](const admin::v1::Event& what) { event(*instance, what); },
          [&, instance](CallEnd end, const admin::v1::Reply& reply) {
            --left;
            ended(*instance, CallResult{end, reply}.trouble());
          });
    }
  });
  const auto until = std::chrono::steady_clock::now() + time;
  while (!done() && (time.count() == 0 || std::chrono::steady_clock::now() < until)) {
    if (loop_thread_.on([&] { return left; }) == 0) break;
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  loop_thread_.on([&] { callers.clear(); });
}

}  // namespace pearchute::ctl
