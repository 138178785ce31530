// A hollow agent: the control code of pearchute-agent (ProcessSupervisor, Peers, GossipService,
// ConfigService) behind its own gRPC server on a Unix socket, many in one operating-system process. It starts
// no process: its manager is a hollow one, which it observes over the admin channel.
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

// Bytes of the agents' messages, by the name of the agent that sent or received them.
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

// One channel for each target, shared by all agents of this process: the number of sockets grows with the
// agents and not with their square.
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
  // Not on the loop. The seed has to be another at each start.
  HollowAgent(net::EventLoopThread& loop_thread, const agent::AgentConfig& config, SharedChannels& channels,
              ControlTraffic& traffic, std::uint64_t seed);
  ~HollowAgent();  // without a goodbye, as a crash
  HollowAgent(const HollowAgent&) = delete;
  HollowAgent& operator=(const HollowAgent&) = delete;

  // Peers that are reached elsewhere from now on.
  void change(const agent::AgentConfig& next);
  const std::string& name() const { return config_.name; }
  // Under which it speaks: another one after each start. On the loop.
  std::uint64_t incarnation() const { return supervisor_->store().incarnation(); }
  // What this agent knows of the others. On the loop.
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
