// Calls the admin channels of many instances with bounded parallelism. Where all instances fit into the
// bound, a batch takes as long as the slowest reply or one timeout. Opens a connection per call and retries
// nothing.
//
// Runs an event loop on its own thread. Call its functions from one other thread; each of them blocks.
#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "admin/admin_client.h"
#include "ctl/fleet_file.h"
#include "net/event_loop_thread.h"

namespace pearchute::ctl {

// The result of the call to one instance.
struct CallResult {
  admin::CallEnd end = admin::CallEnd::unreachable;
  admin::v1::Reply reply;
  bool answered() const { return end == admin::CallEnd::answered; }
  bool ok() const { return answered() && reply.outcome() == admin::v1::ok; }
  std::string error() const;  // for operators; empty where ok()
};

// Owns the event loop thread.
class BatchExecutor {
 public:
  using Instances = std::vector<const Instance*>;
  using Pages = std::vector<CallResult>;

  // `parallel`: the maximum of calls in flight; `timeout`: of one call.
  BatchExecutor(std::size_t parallel, std::chrono::milliseconds timeout)
      : parallel_(parallel), timeout_(timeout) {}

  // Returns the results in the order of the instances. `call_for` receives the index of the instance.
  std::vector<CallResult> call(const Instances& instances,
                               const std::function<admin::v1::Call(std::size_t)>& call_for);
  std::vector<CallResult> call(const Instances& instances, const admin::v1::Call& call);
  CallResult call_one(const Instance& instance, const admin::v1::Call& call);

  // Calls whose replies take several pages, of engines or orders. `call_for` receives the pages of one
  // instance so far. The last page of an instance has its final result.
  std::vector<Pages> call_pages(const Instances& instances,
                                const std::function<admin::v1::Call(const Pages&)>& call_for);

  // Watches the events of all instances until `time` is over (0: no limit), all watches have ended, or `done`
  // returns true. Calls `on_event` and `on_end` on the event loop thread.
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
