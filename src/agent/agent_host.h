// The parts of one agent, wired together: the event loop and what lives on it, and the server of remote
// calls.
//
// Constructed, used and destroyed on one thread other than the loop's.
#pragma once

#include <memory>
#include <string>

#include "agent/call_server.h"
#include "agent/config_service.h"
#include "agent/coordinator.h"
#include "agent/gossip_service.h"
#include "agent/peers.h"
#include "agent/process_supervisor.h"
#include "agent/rpc_service.h"
#include "net/event_loop_thread.h"

namespace pearchute::agent {

// Serves from its construction to its end.
class AgentHost {
 public:
  // Blocks for some seconds where the machine is short of something. Throws ResourceShortage where it stays
  // so, and as the parts do where something can't be used. `build` is reported to operators.
  AgentHost(const AgentConfig& config, const std::string& build);
  // Stops serving remote calls; the instances go on.
  ~AgentHost();
  AgentHost(const AgentHost&) = delete;
  AgentHost& operator=(const AgentHost&) = delete;

  // Reads the configuration again. A file that can't be used is logged, and changes nothing.
  void reload(const std::string& file);

 private:
  void create_parts(const std::string& build);
  void apply(const AgentConfig& next);

  const AgentConfig config_;  // as read at the start
  std::unique_ptr<net::EventLoopThread> loop_thread_;
  // Created, used and destroyed on the loop.
  std::unique_ptr<ProcessSupervisor> supervisor_;
  std::unique_ptr<Peers> peers_;
  std::unique_ptr<Coordinator> coordinator_;
  std::unique_ptr<GossipService> gossip_;          // none where it is not configured
  std::unique_ptr<ConfigService> config_service_;  // the same

  std::unique_ptr<RpcService> service_;
  std::unique_ptr<CallServer> server_;
};

}  // namespace pearchute::agent
