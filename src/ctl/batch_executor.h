// Asks many instances at once, so many at a time, and hears what became of each: a round lasts as long as the
// slowest answer or the time limit of one, not their sum. It keeps no connection and repeats nothing.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "admin/caller.h"
#include "ctl/fleet_file.h"
#include "net/event_loop_thread.h"

namespace pearchute::ctl {

struct CallResult {
  admin::CallEnd end = admin::CallEnd::unreachable;
  admin::v1::Reply reply;
  bool answered() const { return end == admin::CallEnd::answered; }
  bool ok() const { return answered() && reply.outcome() == admin::v1::ok; }
  std::string trouble() const;  // in a few words; empty where it is ok
};

class BatchExecutor {
 public:
  BatchExecutor(std::size_t at_once, std::chrono::milliseconds within) : at_once_(at_once), within_(within) {}
  using Instances = std::vector<const Instance*>;
  std::vector<CallResult> ask(const Instances& instances,
                              const std::function<admin::v1::Call(std::size_t)>& call_for);
  std::vector<CallResult> ask(const Instances& instances, const admin::v1::Call& call);
  CallResult ask_one(const Instance& instance, const admin::v1::Call& call);
  // Answers that may take several pages, of engines or orders: `call_for` is given what has come so far. The
  // last of each tells how it ended.
  using Pages = std::vector<CallResult>;
  std::vector<Pages> ask_pages(const Instances& instances,
                               const std::function<admin::v1::Call(const Pages&)>& call_for);
  // Events of all, as they come, until `time` is over (0: for good) or `done` says so.
  void watch(const Instances& instances, std::chrono::milliseconds time,
             const std::function<void(const Instance&, const admin::v1::Event&)>& event,
             const std::function<void(const Instance&, const std::string& why)>& ended,
             const std::function<bool()>& done);

 private:
  const std::size_t at_once_;
  const std::chrono::milliseconds within_;
  net::EventLoopThread loop_thread_;
};

}  // namespace pearchute::ctl
