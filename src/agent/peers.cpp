#include "agent/peers.h"

#include "agent/doors.h"

namespace pearchute::agent {

Peers::Peers(net::Stage& stage, const Charter& charter)
    : stage_(stage), charter_(charter), calls_(std::make_shared<Calls>()) {
  stubs_[charter_.name] = v1::Agent::NewStub(channel_to(charter_.control, charter_.name, charter_.tls));
  for (const auto& [name, reach] : charter_.peers)
    stubs_[name] = v1::Agent::NewStub(channel_to(reach, name, charter_.tls));
}

// No call's end may reach a stage that has gone.
Peers::~Peers() {
  std::unique_lock lock(calls_->mutex);
  for (grpc::ClientContext* context : calls_->open) context->TryCancel();
  calls_->ended.wait(lock, [this] { return calls_->open.empty(); });
}

void Peers::change(const Charter& next) {
  for (const auto& [name, reach] : next.peers) {
    const auto known = charter_.peers.find(name);
    if (known != charter_.peers.end() && known->second.text == reach.text) continue;
    stubs_[name] = v1::Agent::NewStub(channel_to(reach, name, charter_.tls));
    charter_.peers[name] = reach;
  }
}

std::vector<std::string> Peers::names() const {
  std::vector<std::string> all;
  for (const auto& [name, stub] : stubs_) all.push_back(name);
  return all;
}

}  // namespace pearchute::agent
