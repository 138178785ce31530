// The rollouts that were asked of this agent: carries what fleet::Rollout decides to the agents concerned,
// itself among them, by remote calls with a deadline each, and keeps each rollout on disk. Asks are sent
// again until they are answered; each is harmless when it comes twice.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "agent/peers.h"
#include "store/store.h"

namespace pearchute::agent {

class Coordinator {
 public:
  // Lives on the stage's loop. `trouble` says why the store can't be used, where it can't.
  Coordinator(net::EventLoopThread& stage, Peers& peers, store::Store& store, const std::string& trouble);
  ~Coordinator();
  std::string start(const fleet::RolloutPlan& plan);                // the fault, or nothing
  std::string say(const std::string& id, const std::string& word);  // the same
  void tell(const std::string& id, v1::RolloutList& list) const;  // one whole; without an id a summary of all

 private:
  struct One;
  friend struct One;
  void wake();

  net::EventLoopThread& loop_thread_;
  Peers& peers_;
  store::Store& store_;
  const std::string trouble_;
  std::map<std::string, std::unique_ptr<One>> rollouts_;
  std::vector<store::RolloutRecord> past_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearchute::agent
