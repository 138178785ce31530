// Remote calls from this agent to the agents that its configuration names, itself among them. It retries
// nothing and decides nothing.
//
// call() and change() are for the event loop's thread. gRPC completes calls on threads of its own, which hand
// the results over to the loop.
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

// Opens the channel to one agent; channel_to, unless many agents of one process share their channels.
using ChannelFactory = std::function<std::shared_ptr<grpc::Channel>(
    const keys::Endpoint& endpoint, const std::string& name, const keys::TlsFiles& files)>;

// One channel for each agent.
class Peers {
 public:
  // Called once for each call, on the loop. Where `ok` is false the response is empty.
  template <class Response>
  using OnResponse = std::function<void(bool ok, const Response& response)>;

  // Throws as `open_channel` does.
  Peers(net::EventLoopThread& loop_thread, const AgentConfig& config,
        ChannelFactory open_channel = channel_to);
  // Cancels open calls, and waits until their results are handed over.
  ~Peers();
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;

  // Opens channels to agents that are new or have another endpoint. Agents that are not named any more stay
  // reachable until the next start, since rollouts may hold leases there. Throws as `open_channel` does.
  void change(const AgentConfig& next);

  bool knows(const std::string& agent) const { return stubs_.contains(agent); }
  std::vector<std::string> names() const;  // this agent's own, too

  // REQUIRES: knows(agent).
  template <class Request, class Response>
  void call(const std::string& agent, const RpcMethod<Request, Response>& method,
            std::chrono::milliseconds timeout, const Request& request,
            std::type_identity_t<OnResponse<Response>> on_response) {
    // Lives until gRPC has completed the call.
    struct OpenCall {
      grpc::ClientContext context;
      Request request;
      Response response;
    };
    const auto open = std::make_shared<OpenCall>();
    open->request = request;
    open->context.set_deadline(deadline_in(timeout));
    open_calls_->add(&open->context);
    std::function<void(grpc::Status)> on_done = [loop_thread = &loop_thread_, open, on_response,
                                                 open_calls = open_calls_](const grpc::Status& status) {
      loop_thread->post([open, on_response, ok = status.ok()] { on_response(ok, open->response); });
      open_calls->remove(&open->context);
    };
    (stubs_.at(agent)->async()->*method.start)(&open->context, &open->request, &open->response, on_done);
  }

 private:
  // The calls whose results are not handed over yet. Thread-safe. Shared with the calls, whose last act may
  // be to remove themselves while Peers is destroyed.
  class OpenCalls {
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
  const std::shared_ptr<OpenCalls> open_calls_;
  std::map<std::string, std::unique_ptr<v1::Agent::Stub>> stubs_;  // by agent
};

}  // namespace pearchute::agent
