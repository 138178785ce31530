// The way from this agent to the agents that its charter names, itself among them: remote calls with a
// deadline each, whose ends come on the loop. It repeats nothing by itself and decides nothing.
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

#include "agent.grpc.pb.h"
#include "agent/agent_config.h"
#include "agent/grpc_credentials.h"
#include "agent/rpc_deadline.h"
#include "net/event_loop_thread.h"

namespace pearchute::agent {

// Opens the channel to one agent; channel_to, unless many agents of one process share their channels.
using ChannelFactory = std::function<std::shared_ptr<grpc::Channel>(
    const keys::Endpoint& reach, const std::string& name, const keys::TlsFiles& files)>;

class Peers {
 public:
  Peers(net::EventLoopThread& stage, const AgentConfig& charter, ChannelFactory open_channel = channel_to);
  ~Peers();  // calls off what is open, and waits until its ends are handed over
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;
  // Those that are new, or are reached elsewhere now; those that are not named any more stay known until the
  // next start, since rollouts may hold claims there.
  void change(const AgentConfig& next);
  bool know(const std::string& agent) const { return stubs_.contains(agent); }
  std::vector<std::string> names() const;  // this agent's own, too

  // `heard` comes once, on the loop, with the answer where there is one.
  template <class Ask, class Answer, class Method>
  void call(const std::string& agent, std::chrono::milliseconds within, Method method, const Ask& ask,
            std::function<void(bool ok, const Answer& answer)> heard) {
    struct Open {
      grpc::ClientContext context;
      Ask ask;
      Answer answer;
    };
    const auto open = std::make_shared<Open>();
    open->ask = ask;
    open->context.set_deadline(deadline_in(within));
    {
      const std::lock_guard lock(calls_->mutex);
      calls_->open.insert(&open->context);
    }
    std::function<void(grpc::Status)> done = [stage = &loop_thread_, open, heard,
                                              calls = calls_](grpc::Status status) {
      stage->post([open, heard, ok = status.ok()] { heard(ok, open->answer); });
      const std::lock_guard lock(calls->mutex);
      calls->open.erase(&open->context);
      calls->ended.notify_all();
    };
    method(stubs_.at(agent)->async(), &open->context, &open->ask, &open->answer, done);
  }

 private:
  // The calls that are under way, told of by gRPC's own threads.
  struct Calls {
    std::mutex mutex;
    std::condition_variable ended;
    std::set<grpc::ClientContext*> open;
  };
  net::EventLoopThread& loop_thread_;
  AgentConfig config_;
  const ChannelFactory open_channel_;
  const std::shared_ptr<Calls> calls_;
  std::map<std::string, std::unique_ptr<v1::Agent::Stub>> stubs_;
};

}  // namespace pearchute::agent
