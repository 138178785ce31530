// Manages the rollouts that this agent coordinates: starts them, executes operators' commands, and reports
// their state. Rollouts that were in progress when the agent ended are restored at its next start, paused.
//
// Lives on the event loop.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "agent/peers.h"
#include "agent/rollout_driver.h"
#include "store/store.h"

namespace pearchute::agent {

class Coordinator {
 public:
  // The references outlive the coordinator. `store_error` is empty, or the reason why the store can't be
  // used; then no rollout is restored or started.
  Coordinator(net::EventLoopThread& loop_thread, Peers& peers, store::Store& store,
              const std::string& store_error);
  ~Coordinator();

  // Returns an empty string if the rollout is started, otherwise the reason, for operators. Idempotent: a
  // repeat with the id of a known rollout has no effect.
  std::string start(const fleet::RolloutPlan& plan);

  // Executes an operator's command: pause, resume, abort or back. Returns an empty string if it is executed,
  // otherwise the reason, for operators.
  std::string control(const std::string& id, const std::string& command);

  // Adds the rollout with this id, with its targets and stages. If `id` is empty, adds a summary of each
  // rollout.
  void list(const std::string& id, v1::RolloutList& list) const;

 private:
  void restore();
  void tick();
  bool evict_finished();

  net::EventLoopThread& loop_thread_;
  Peers& peers_;
  store::Store& store_;
  const std::string store_error_;
  std::map<std::string, std::unique_ptr<RolloutDriver>> rollouts_;  // by id; also finished ones
  std::vector<store::RolloutRecord> finished_before_start_;         // as restored from the store
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearchute::agent
