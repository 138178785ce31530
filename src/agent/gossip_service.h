// Exchanges status reports on instances with the agent's peers: publishes reports of the agent's own
// instances, requests the peers' reports on the schedule of fleet::AntiEntropyScheduler, and answers the
// peers' requests. fleet::GossipState decides which reports are published and accepted. If the agent's store
// can't be used, the service publishes no reports but still receives them.
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
  // The references outlive the service. `seed` must differ at each start.
  GossipService(net::EventLoopThread& loop_thread, const AgentConfig& config, ProcessSupervisor& supervisor,
                Peers& peers, std::uint64_t seed);
  ~GossipService() override { *alive_ = false; }

  // Applies another list of peers.
  void change(const AgentConfig& next);
  // Answers a peer's request for reports.
  void answer(const v1::Question& request, v1::Bulletin& response);
  // Adds the reports known of each peer's instances, with their age.
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
