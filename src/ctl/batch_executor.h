// Calls to the admin channels of many instances at once, so many at a time: a round lasts as long as the
// slowest answer or the time limit of one, not their sum. It keeps no connection and retries nothing.
//
// For one thread other than the event loop's, which is its own. Each function blocks.
#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "admin/caller.h"
#include "ctl/fleet_file.h"
#include "net/event_loop_thread.h"

namespace pearchute::ctl {

// What became of the call to one instance.
struct CallResult {
  admin::CallEnd end = admin::CallEnd::unreachable;
  admin::v1::Reply reply;
  bool answered() const { return end == admin::CallEnd::answered; }
  bool ok() const { return answered() && reply.outcome() == admin::v1::ok; }
  std::string error() const;  // in a few words, for operators; empty where it is ok
};

// Keeps an event loop on a thread of its own.
class BatchExecutor {
 public:
  using Instances = std::vector<const Instance*>;
  using Pages = std::vector<CallResult>;

  // `parallel`: instances called at a time; `timeout`: of one call.
  BatchExecutor(std::size_t parallel, std::chrono::milliseconds timeout)
      : parallel_(parallel), timeout_(timeout) {}

  // The results are in the instances' order. `call_for` is given an instance's index.
  std::vector<CallResult> call(const Instances& instances,
                               const std::function<admin::v1::Call(std::size_t)>& call_for);
  std::vector<CallResult> call(const Instances& instances, const admin::v1::Call& call);
  CallResult call_one(const Instance& instance, const admin::v1::Call& call);

  // Answers that may take several pages, of engines or orders: `call_for` is given the pages so far. The last
  // page of each instance tells how it ended.
  std::vector<Pages> call_pages(const Instances& instances,
                                const std::function<admin::v1::Call(const Pages&)>& call_for);

  // Events of all instances as they come, until `time` is over (0: for good), all watches have ended, or
  // `done` returns true. `on_event` and `on_end` are called on the loop's thread.
  void watch(const Instances& instances, std::chrono::milliseconds time,
             const std::function<void(const Instance&, const admin::v1::Event&)>& on_event,
             const std::function<void(const Instance&, const std::string& reason)>& on_end,
             const std::function<bool()>& done);

 private:
  class Round;

  const std::size_t parallel_;
  const std::chrono::milliseconds timeout_;
  net::EventLoopThread loop_thread_;
};

}  // namespace pearchute::ctl
