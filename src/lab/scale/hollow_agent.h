// A hollow agent is a simulated one: the real control code of pearchute-agent (ProcessSupervisor, Peers,
// GossipService, ConfigService) behind a gRPC server on a Unix socket. Many run in one operating-system
// process. A hollow agent starts no process; over the admin channel it observes a hollow manager, which is a
// simulated manager without clients.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "agent/config_service.h"
#include "agent/gossip_service.h"
#include "agent/peers.h"
#include "agent/process_supervisor.h"
#include "net/event_loop_thread.h"

namespace pearchute::lab {

// Counts the bytes of the agents' messages by the name of the sending and receiving agent. Thread-safe.
class ControlTraffic {
 public:
  struct Counted {
    std::uint64_t sent = 0, received = 0;
  };
  void exchanged(const std::string& from, const std::string& to, std::size_t bytes);
  std::map<std::string, Counted> counted() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, Counted> counted_;
};

// One gRPC channel for each target, shared by all agents of this process, so that the number of sockets grows
// linearly with the number of agents. Thread-safe.
class SharedChannels {
 public:
  std::shared_ptr<grpc::Channel> open(const keys::Endpoint& endpoint, const std::string& name,
                                      const keys::TlsFiles& files);

 private:
  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<grpc::Channel>> channels_;
};

class HollowAgent {
 public:
  // Must not be called on the loop. Each start needs another seed. Throws ListeningError if the socket can't
  // be opened. `loop_thread`, `channels` and `traffic` must outlive the agent.
  HollowAgent(net::EventLoopThread& loop_thread, const agent::AgentConfig& config, SharedChannels& channels,
              ControlTraffic& traffic, std::uint64_t seed);
  ~HollowAgent();  // ends abruptly, as in a crash; not on the loop
  HollowAgent(const HollowAgent&) = delete;
  HollowAgent& operator=(const HollowAgent&) = delete;

  // Applies the peer addresses of `next`.
  void change(const agent::AgentConfig& next);
  const std::string& name() const { return config_.name; }
  // Changes at each start. Must be called on the loop.
  std::uint64_t incarnation() const { return supervisor_->store().incarnation(); }
  // The gossip that this agent has received of the others. Must be called on the loop.
  agent::v1::Shown known() const;

 private:
  class Service;
  net::EventLoopThread& loop_thread_;
  const agent::AgentConfig config_;
  std::unique_ptr<agent::ProcessSupervisor> supervisor_;
  std::unique_ptr<agent::Peers> peers_;
  std::unique_ptr<agent::GossipService> gossip_;
  std::unique_ptr<agent::ConfigService> configuration_;
  std::unique_ptr<Service> service_;
  std::unique_ptr<grpc::Server> server_;
};

}  // namespace pearchute::lab
