// The rollouts that this agent was asked to coordinate: starts them, takes operators' commands, restores
// those that were under way when the agent ended, and reports them.
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

// All rollouts of this agent, by their ids.
class Coordinator {
 public:
  // The references outlive it. `store_error` says why the store can't be used; where it is not empty, no
  // rollout is restored or started.
  Coordinator(net::EventLoopThread& loop_thread, Peers& peers, store::Store& store,
              const std::string& store_error);
  ~Coordinator();

  // Returns why the rollout can't be started, for operators; empty where it is under way. Idempotent by the
  // plan's id.
  std::string start(const fleet::RolloutPlan& plan);

  // Carries out an operator's command: pause, resume, abort or back. Returns why it can't be carried out;
  // empty where it was.
  std::string control(const std::string& id, const std::string& command);

  // Adds the rollout of that id, with its targets and stages; without an id, a summary of each.
  void list(const std::string& id, v1::RolloutList& list) const;

 private:
  void restore();
  void tick();
  bool make_room();

  net::EventLoopThread& loop_thread_;
  Peers& peers_;
  store::Store& store_;
  const std::string store_error_;
  std::map<std::string, std::unique_ptr<RolloutDriver>> rollouts_;  // by id; also those that ended since
  std::vector<store::RolloutRecord> finished_before_start_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearchute::agent
