#include "ctl/batch_executor.h"

#include <algorithm>
#include <future>
#include <memory>
#include <numeric>
#include <thread>

namespace pearchute::ctl {

using admin::CallEnd;
using admin::Caller;

namespace {

constexpr std::chrono::milliseconds watch_check_interval(50);

// An empty page ends the list even where it claims that more follows: a next call would repeat it for ever.
bool has_next_page(const admin::v1::Reply& reply) {
  return (reply.engines().more() && reply.engines().engines_size() > 0) ||
         (reply.orders().more() && reply.orders().orders_size() > 0);
}

}  // namespace

std::string CallResult::error() const {
  if (!answered()) return std::string(name_of(end));
  switch (reply.outcome()) {
    case admin::v1::ok:
      return "";
    case admin::v1::unknown_call:
      return "an older manager: it does not implement this call";
    default:
      return reply.fault();
  }
}

// One call to each instance. The constructor and results() run on the calling thread, the rest on the event
// loop.
class BatchExecutor::Round {
 public:
  Round(BatchExecutor& executor, const Instances& instances,
        const std::function<admin::v1::Call(std::size_t)>& call_for)
      : executor_(executor),
        instances_(instances),
        call_for_(call_for),
        results_(instances.size()),
        callers_(instances.size()),
        pending_(instances.size()) {}

  void begin() {
    for (std::size_t i = 0; i < std::min(executor_.parallel_, instances_.size()); ++i) call_next();
  }

  // Blocks until all calls have ended.
  std::vector<CallResult> results() {
    all_ended_.get_future().get();
    return std::move(results_);
  }

 private:
  void call_next() {
    if (next_ == instances_.size()) return;
    const std::size_t index = next_++;
    callers_[index] = std::make_unique<Caller>(loop(), instances_[index]->admin_endpoint);
    callers_[index]->call(call_for_(index), executor_.timeout_,
                          [this, index](CallEnd end, const admin::v1::Reply& reply) {
                            results_[index].end = end;
                            results_[index].reply = reply;
                            // Deferred, since the caller must not be destroyed within its own callback.
                            loop().post([this, index] { finish(index); });
                          });
  }

  void finish(std::size_t index) {
    callers_[index].reset();
    if (--pending_ == 0) all_ended_.set_value();
    else call_next();
  }

  net::Loop& loop() { return executor_.loop_thread_.loop(); }

  BatchExecutor& executor_;
  const Instances& instances_;
  const std::function<admin::v1::Call(std::size_t)>& call_for_;
  std::vector<CallResult> results_;
  std::vector<std::unique_ptr<Caller>> callers_;
  std::size_t next_ = 0;
  std::size_t pending_;
  std::promise<void> all_ended_;
};

std::vector<CallResult> BatchExecutor::call(const Instances& instances,
                                            const std::function<admin::v1::Call(std::size_t)>& call_for) {
  if (instances.empty()) return {};
  Round round(*this, instances, call_for);
  loop_thread_.on([&] { round.begin(); });
  std::vector<CallResult> results = round.results();
  loop_thread_.on([] {});  // waits until the event that ended the round has returned
  return results;
}

std::vector<CallResult> BatchExecutor::call(const Instances& instances, const admin::v1::Call& call) {
  return this->call(instances, [&](std::size_t) { return call; });
}

CallResult BatchExecutor::call_one(const Instance& instance, const admin::v1::Call& call) {
  return this->call({&instance}, call).front();
}

std::vector<BatchExecutor::Pages> BatchExecutor::call_pages(
    const Instances& instances, const std::function<admin::v1::Call(const Pages&)>& call_for) {
  std::vector<Pages> pages(instances.size());
  std::vector<std::size_t> incomplete(instances.size());  // indices
  std::iota(incomplete.begin(), incomplete.end(), std::size_t{0});
  while (!incomplete.empty()) {
    Instances called;
    for (const std::size_t index : incomplete) called.push_back(instances[index]);
    const std::vector<CallResult> results =
        call(called, [&](std::size_t i) { return call_for(pages[incomplete[i]]); });
    std::vector<std::size_t> still_incomplete;
    for (std::size_t i = 0; i < results.size(); ++i) {
      pages[incomplete[i]].push_back(results[i]);
      if (results[i].ok() && has_next_page(results[i].reply)) still_incomplete.push_back(incomplete[i]);
    }
    incomplete = still_incomplete;
  }
  return pages;
}

void BatchExecutor::watch(const Instances& instances, std::chrono::milliseconds time,
                          const std::function<void(const Instance&, const admin::v1::Event&)>& on_event,
                          const std::function<void(const Instance&, const std::string&)>& on_end,
                          const std::function<bool()>& done) {
  std::vector<std::unique_ptr<Caller>> callers;
  std::size_t watching = instances.size();
  loop_thread_.on([&] {
    for (const Instance* instance : instances) {
      callers.push_back(std::make_unique<Caller>(loop_thread_.loop(), instance->admin_endpoint));
      callers.back()->watch(
          0, timeout_, [&, instance](const admin::v1::Event& event) { on_event(*instance, event); },
          [&, instance](CallEnd end, const admin::v1::Reply& reply) {
            --watching;
            on_end(*instance, CallResult{end, reply}.error());
          });
    }
  });
  const auto deadline = std::chrono::steady_clock::now() + time;
  while (!done() && (time.count() == 0 || std::chrono::steady_clock::now() < deadline)) {
    if (loop_thread_.on([&] { return watching; }) == 0) break;
    std::this_thread::sleep_for(watch_check_interval);
  }
  loop_thread_.on([&] { callers.clear(); });
}

}  // namespace pearchute::ctl
