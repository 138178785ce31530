// An agent's part in the gossip on instances: states how its own instances are, asks peers for their reports
// when fleet::AntiEntropyScheduler says so, and answers theirs. What it states and believes,
// fleet::GossipState decides. Where its store can't be used it states nothing, and still listens.
//
// Lives on the event loop.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "agent/peers.h"
#include "agent/process_supervisor.h"
#include "agent/status_reporter.h"
#include "fleet/anti_entropy_scheduler.h"
#include "fleet/gossip_state.h"

namespace pearchute::agent {

// Connects fleet::GossipState with the peers, the supervisor and the store.
class GossipService final : public fleet::GossipState::Host {
 public:
  // The references outlive it. The seed has to differ at each start.
  GossipService(net::EventLoopThread& loop_thread, const AgentConfig& config, ProcessSupervisor& supervisor,
                Peers& peers, std::uint64_t seed);
  ~GossipService() override { *alive_ = false; }

  // Takes over another list of peers.
  void change(const AgentConfig& next);
  // Answers a peer's request for reports.
  void answer(const v1::Question& request, v1::Bulletin& response);
  // Adds what is known of each peer's instances.
  void show(v1::Shown& status) const;

 private:
  bool persist_incarnation(std::uint64_t incarnation) override;
  void on_event(const std::string& agent, std::string_view event) override;
  void tick();
  void request_reports(const std::string& peer);
  void on_reports(const std::string& peer, fleet::TimePoint requested_at, bool ok,
                  const v1::Bulletin& response);

  net::EventLoopThread& loop_thread_;
  ProcessSupervisor& supervisor_;
  Peers& peers_;
  fleet::GossipState gossip_state_;
  fleet::AntiEntropyScheduler scheduler_;
  StatusReporter reporter_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearchute::agent
