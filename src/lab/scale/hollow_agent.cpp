#include "lab/scale/hollow_agent.h"

#include <chrono>

#include "errors/error.h"

namespace pearchute::lab {

void ControlTraffic::exchanged(const std::string& from, const std::string& to, std::size_t bytes) {
  const std::lock_guard lock(mutex_);
  counted_[from].sent += bytes;
  counted_[to].received += bytes;
}

std::map<std::string, ControlTraffic::Counted> ControlTraffic::counted() const {
  const std::lock_guard lock(mutex_);
  return counted_;
}

std::shared_ptr<grpc::Channel> SharedChannels::open(const keys::Endpoint& endpoint, const std::string& name,
                                                    const keys::TlsFiles& files) {
  const std::lock_guard lock(mutex_);
  std::shared_ptr<grpc::Channel>& channel = channels_[endpoint.target];
  if (!channel) channel = agent::channel_to(endpoint, name, files);
  return channel;
}

// Each call is handled on the agent's loop, without a waiting thread.
class HollowAgent::Service final : public agent::v1::Agent::CallbackService {
 public:
  Service(HollowAgent& owner, ControlTraffic& traffic) : owner_(owner), traffic_(traffic) {}

  grpc::ServerUnaryReactor* Exchange(grpc::CallbackServerContext* context,
                                     const agent::v1::Question* question,
                                     agent::v1::Bulletin* bulletin) override {
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    owner_.loop_thread_.post([this, reactor, question, bulletin] {
      owner_.gossip_->answer(*question, *bulletin);
      traffic_.exchanged(question->agent(), owner_.name(), question->ByteSizeLong());
      traffic_.exchanged(owner_.name(), question->agent(), bulletin->ByteSizeLong());
      reactor->Finish(grpc::Status::OK);
    });
    return reactor;
  }
  grpc::ServerUnaryReactor* Synchronize(grpc::CallbackServerContext* context,
                                        const agent::v1::ConfigMessage* question,
                                        agent::v1::ConfigMessage* answer) override {
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    owner_.loop_thread_.post([this, reactor, question, answer] {
      owner_.configuration_->synchronize(*question, *answer);
      traffic_.exchanged(question->from(), owner_.name(), question->ByteSizeLong());
      traffic_.exchanged(owner_.name(), question->from(), answer->ByteSizeLong());
      reactor->Finish(grpc::Status::OK);
    });
    return reactor;
  }

 private:
  HollowAgent& owner_;
  ControlTraffic& traffic_;
};

HollowAgent::HollowAgent(net::EventLoopThread& loop_thread, const agent::AgentConfig& config,
                         SharedChannels& channels, ControlTraffic& traffic, std::uint64_t seed)
    : loop_thread_(loop_thread), config_(config) {
  loop_thread_.on([&] {
    supervisor_ = std::make_unique<agent::ProcessSupervisor>(loop_thread_.loop(), config_);
    peers_ = std::make_unique<agent::Peers>(
        loop_thread_, config_, [&channels](const auto& endpoint, const auto& name, const auto& files) {
          return channels.open(endpoint, name, files);
        });
    gossip_ = std::make_unique<agent::GossipService>(loop_thread_, config_, *supervisor_, *peers_, seed);
    configuration_ =
        std::make_unique<agent::ConfigService>(loop_thread_, config_, *supervisor_, *peers_, seed);
  });
  service_ = std::make_unique<Service>(*this, traffic);
  grpc::ServerBuilder builder;
  builder.SetMaxReceiveMessageSize(1 << 20);
  builder.AddListeningPort(config_.control.target, grpc::InsecureServerCredentials());
  builder.RegisterService(service_.get());
  server_ = builder.BuildAndStart();
  if (!server_) throw ListeningError("can't listen", config_.control.text);
}

HollowAgent::~HollowAgent() {
  if (server_) server_->Shutdown(std::chrono::system_clock::now());
  server_.reset();
  loop_thread_.on([this] {
    configuration_.reset();
    gossip_.reset();
    peers_.reset();
    supervisor_.reset();
  });
}

void HollowAgent::change(const agent::AgentConfig& next) {
  loop_thread_.on([&] {
    peers_->change(next);
    gossip_->change(next);
    configuration_->change(next);
  });
}

agent::v1::Shown HollowAgent::known() const {
  agent::v1::Shown shown;
  gossip_->show(shown);
  return shown;
}

}  // namespace pearchute::lab
