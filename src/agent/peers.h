// gRPC clients for the agents that this agent's configuration names, and for the agent itself. Peers doesn't
// retry; its callers decide what to send again.
//
// call() and change() run on the event loop's thread. gRPC completes RPCs on threads of its own, which post
// the results to the loop.
#pragma once

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <type_traits>

#include "agent/agent_config.h"
#include "agent/grpc_credentials.h"
#include "agent/protocol.h"
#include "agent/rpc_deadline.h"
#include "net/event_loop_thread.h"

namespace pearchute::agent {

// Opens the channel to one agent. The default is channel_to; many agents in one process may share channels.
using ChannelFactory = std::function<std::shared_ptr<grpc::Channel>(
    const keys::Endpoint& endpoint, const std::string& name, const keys::TlsFiles& files)>;

// Holds one stub for each agent.
class Peers {
 public:
  // Runs once for each RPC, on the loop. `ok` is false if the RPC failed; then the response is empty.
  template <class Response>
  using OnResponse = std::function<void(bool ok, const Response& response)>;

  // Throws what `open_channel` throws.
  Peers(net::EventLoopThread& loop_thread, const AgentConfig& config,
        ChannelFactory open_channel = channel_to);
  // Cancels the RPCs in progress, and blocks until the results of all are posted to the loop.
  ~Peers();
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;

  // Opens channels to agents that are new or have another endpoint. Agents that `next` no longer names stay
  // reachable until this agent restarts, since rollouts may hold leases there. Throws what `open_channel`
  // throws.
  void change(const AgentConfig& next);

  bool knows(const std::string& agent) const { return stubs_.contains(agent); }
  std::vector<std::string> names() const;  // of all agents, this one included

  // Starts an RPC, whose result `on_response` receives. REQUIRES: knows(agent).
  template <class Request, class Response>
  void call(const std::string& agent, const RpcMethod<Request, Response>& method,
            std::chrono::milliseconds timeout, const Request& request,
            std::type_identity_t<OnResponse<Response>> on_response) {
    // Kept alive until gRPC has completed the RPC.
    struct PendingRpc {
      grpc::ClientContext context;
      Request request;
      Response response;
    };
    const auto pending = std::make_shared<PendingRpc>();
    pending->request = request;
    pending->context.set_deadline(deadline_in(timeout));
    pending_rpcs_->add(&pending->context);
    std::function<void(grpc::Status)> on_done = [loop_thread = &loop_thread_, pending, on_response,
                                                 pending_rpcs = pending_rpcs_](const grpc::Status& status) {
      loop_thread->post([pending, on_response, ok = status.ok()] { on_response(ok, pending->response); });
      pending_rpcs->remove(&pending->context);
    };
    (stubs_.at(agent)->async()->*method.start)(&pending->context, &pending->request, &pending->response,
                                               on_done);
  }

 private:
  // The RPCs whose results are not posted to the loop yet. Thread-safe. Each RPC shares ownership, since its
  // completion may still run remove() while Peers is destroyed.
  class PendingRpcs {
   public:
    void add(grpc::ClientContext* context);
    void remove(grpc::ClientContext* context);
    void cancel_and_wait();

   private:
    std::mutex mutex_;
    std::condition_variable removed_;
    std::set<grpc::ClientContext*> contexts_;
  };
  void open_stub(const std::string& name, const keys::Endpoint& endpoint);

  net::EventLoopThread& loop_thread_;
  AgentConfig config_;
  const ChannelFactory open_channel_;
  const std::shared_ptr<PendingRpcs> pending_rpcs_;
  std::map<std::string, std::unique_ptr<v1::Agent::Stub>> stubs_;  // by agent
};

}  // namespace pearchute::agent
