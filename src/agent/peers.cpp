#include "agent/peers.h"

#include <utility>

namespace pearchute::agent {

void Peers::PendingRpcs::add(grpc::ClientContext* context) {
  const std::lock_guard lock(mutex_);
  contexts_.insert(context);
}

void Peers::PendingRpcs::remove(grpc::ClientContext* context) {
  const std::lock_guard lock(mutex_);
  contexts_.erase(context);
  removed_.notify_all();
}

void Peers::PendingRpcs::cancel_and_wait() {
  std::unique_lock lock(mutex_);
  for (grpc::ClientContext* context : contexts_) context->TryCancel();
  removed_.wait(lock, [this] { return contexts_.empty(); });
}

Peers::Peers(net::EventLoopThread& loop_thread, const AgentConfig& config, ChannelFactory open_channel)
    : loop_thread_(loop_thread),
      config_(config),
      open_channel_(std::move(open_channel)),
      pending_rpcs_(std::make_shared<PendingRpcs>()) {
  open_stub(config_.name, config_.control);
  for (const auto& [name, endpoint] : config_.peers) open_stub(name, endpoint);
}

// Waits, since no result may be posted to a loop that is destroyed.
Peers::~Peers() { pending_rpcs_->cancel_and_wait(); }

void Peers::change(const AgentConfig& next) {
  for (const auto& [name, endpoint] : next.peers) {
    const auto known = config_.peers.find(name);
    if (known != config_.peers.end() && known->second.text == endpoint.text) continue;
    open_stub(name, endpoint);
    config_.peers[name] = endpoint;
  }
}

std::vector<std::string> Peers::names() const {
  std::vector<std::string> names;
  for (const auto& [name, stub] : stubs_) names.push_back(name);
  return names;
}

void Peers::open_stub(const std::string& name, const keys::Endpoint& endpoint) {
  stubs_[name] = v1::Agent::NewStub(open_channel_(endpoint, name, config_.tls));
}

}  // namespace pearchute::agent
