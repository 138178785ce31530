// Owns and connects the components of one agent: the event loop, the objects that live on it, and the gRPC
// server.
//
// Constructed, used and destroyed on one thread other than the loop's.
#pragma once

#include <memory>
#include <string>

#include "agent/config_service.h"
#include "agent/coordinator.h"
#include "agent/gossip_service.h"
#include "agent/peers.h"
#include "agent/process_supervisor.h"
#include "agent/rpc_server.h"
#include "agent/rpc_service.h"
#include "net/event_loop_thread.h"

namespace pearchute::agent {

// Runs the agent from construction to destruction.
class AgentHost {
 public:
  // `build` is reported to operators. Retries for some seconds if memory, descriptors or the like have run
  // out, and throws ResourceShortage if that lasts. Throws what the components throw if a file, an address or
  // a certificate can't be used.
  AgentHost(const AgentConfig& config, const std::string& build);
  // Stops serving RPCs; the instances keep running.
  ~AgentHost();
  AgentHost(const AgentHost&) = delete;
  AgentHost& operator=(const AgentHost&) = delete;

  // Reloads the configuration. Logs the error and changes nothing if the file can't be used.
  void reload(const std::string& file);

 private:
  void create_components(const std::string& build);
  void apply(const AgentConfig& next);

  const AgentConfig config_;  // as of the start, without later reloads
  std::unique_ptr<net::EventLoopThread> loop_thread_;
  // Created, used and destroyed on the loop.
  std::unique_ptr<ProcessSupervisor> supervisor_;
  std::unique_ptr<Peers> peers_;
  std::unique_ptr<Coordinator> coordinator_;
  std::unique_ptr<GossipService> gossip_;          // null if disabled in the configuration
  std::unique_ptr<ConfigService> config_service_;  // null if disabled in the configuration

  std::unique_ptr<RpcService> service_;
  std::unique_ptr<RpcServer> server_;
};

}  // namespace pearchute::agent
