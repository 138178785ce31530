// The rollouts that were asked of this agent: carries what fleet::Rollout decides to the agents concerned,
// itself among them, by remote calls with a deadline each, and keeps each rollout on disk. Asks are sent
// again until they are answered; each is harmless when it comes twice.
#pragma once

#include <grpcpp/grpcpp.h>

#include <map>
#include <memory>
#include <string>

#include "agent.grpc.pb.h"
#include "agent/charter.h"
#include "net/stage.h"
#include "store/store.h"

namespace pearchute::agent {

class Coordinator {
 public:
  // Lives on the stage's loop. `trouble` says why the store can't be used, where it can't.
  Coordinator(net::Stage& stage, const Charter& charter, store::Store& store, const std::string& trouble);
  ~Coordinator();
  // Peers that are new, or are reached elsewhere now; those that are not named any more stay known until the
  // next start, since rollouts may hold claims there.
  void change(const Charter& next);
  std::string start(const fleet::RolloutPlan& plan);                // the fault, or nothing
  std::string say(const std::string& id, const std::string& word);  // the same
  void tell(const std::string& id, v1::RolloutList& list) const;  // one whole; without an id a summary of all

 private:
  struct One;
  friend struct One;
  struct Calls;
  v1::Agent::Stub& stub(const std::string& agent);
  void wake();
  // Sends one call; `heard` comes on the loop, with the reply where there is one.
  template <class Ask, class Answer, class Method>
  void call(const std::string& agent, Method method, const Ask& ask,
            std::function<void(bool ok, const Answer& answer)> heard);

  net::Stage& stage_;
  Charter charter_;
  store::Store& store_;
  const std::string trouble_;
  const std::shared_ptr<Calls> calls_;
  std::map<std::string, std::unique_ptr<v1::Agent::Stub>> stubs_;
  std::map<std::string, std::unique_ptr<One>> rollouts_;
  std::vector<store::KeptRollout> past_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearchute::agent
