#include "agent/peers.h"

#include <utility>

namespace pearchute::agent {

Peers::Peers(net::EventLoopThread& stage, const AgentConfig& charter, ChannelFactory open_channel)
    : loop_thread_(stage),
      config_(charter),
      open_channel_(std::move(open_channel)),
      calls_(std::make_shared<Calls>()) {
  stubs_[config_.name] = v1::Agent::NewStub(open_channel_(config_.control, config_.name, config_.tls));
  for (const auto& [name, reach] : config_.peers)
    stubs_[name] = v1::Agent::NewStub(open_channel_(reach, name, config_.tls));
}

// No call's end may reach a stage that has gone.
Peers::~Peers() {
  std::unique_lock lock(calls_->mutex);
  for (grpc::ClientContext* context : calls_->open) context->TryCancel();
  calls_->ended.wait(lock, [this] { return calls_->open.empty(); });
}

void Peers::change(const AgentConfig& next) {
  for (const auto& [name, reach] : next.peers) {
    const auto known = config_.peers.find(name);
    if (known != config_.peers.end() && known->second.text == reach.text) continue;
    stubs_[name] = v1::Agent::NewStub(open_channel_(reach, name, config_.tls));
    config_.peers[name] = reach;
  }
}

std::vector<std::string> Peers::names() const {
  std::vector<std::string> all;
  for (const auto& [name, stub] : stubs_) all.push_back(name);
  return all;
}

}  // namespace pearchute::agent
