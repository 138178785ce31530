// An agent's part in the bulletin: says how its own instances are, asks the others when
// fleet/anti_entropy_scheduler is due, and answers them. What it says and believes, fleet/gossip_state
// decides. Where its disk can't be used it listens only.
#pragma once

#include <memory>
#include <string>

#include "agent/peers.h"
#include "agent/process_supervisor.h"
#include "fleet/anti_entropy_scheduler.h"
#include "fleet/gossip_state.h"

namespace pearchute::agent {

class GossipService final : public fleet::GossipState::Host {
 public:
  // Lives on the stage's loop. The seed has to be another at each start.
  GossipService(net::EventLoopThread& stage, const AgentConfig& charter, ProcessSupervisor& supervisor,
                Peers& peers, std::uint64_t seed);
  ~GossipService() override { *alive_ = false; }
  void change(const AgentConfig& next);
  void answer(const v1::Question& question, v1::Bulletin& bulletin);
  void tell(v1::Shown& shown) const;  // of whom how much is known

 private:
  // An instance as it was at the last beat.
  struct Before {
    fleet::InstanceState condition{};
    std::uint64_t life = 0, done = 0, answered = 0;
    Duration since{}, looked{};
    double traffic = 0, share = 1;
  };
  bool persist_incarnation(std::uint64_t incarnation) override;
  void on_event(const std::string& agent, std::string_view what) override;
  void beat();
  void ask(const std::string& peer);
  std::vector<fleet::StatusReport> own_words();

  net::EventLoopThread& loop_thread_;
  ProcessSupervisor& supervisor_;
  Peers& peers_;
  fleet::GossipState gossip_state_;
  fleet::AntiEntropyScheduler scheduler_;
  std::map<std::string, Before> before_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearchute::agent
