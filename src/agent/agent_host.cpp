#include "agent/agent_host.h"

#include <random>
#include <vector>

#include "agent/start_retries.h"
#include "net/log.h"

namespace pearchute::agent {

namespace {

// A different value at each start, as GossipService and ConfigService require.
std::uint64_t random_seed() {
  std::random_device device;
  const std::uint64_t high = device();
  return high << 32 | device();
}

// Whether settings differ that take effect only when the agent starts.
bool differs_in_fixed_settings(const AgentConfig& a, const AgentConfig& b) {
  return a.name != b.name || a.state_file != b.state_file || a.control.text != b.control.text ||
         a.listen.text != b.listen.text || a.gossips != b.gossips || a.spreads_config != b.spreads_config;
}

}  // namespace

AgentHost::AgentHost(const AgentConfig& config, const std::string& build)
    : config_(config), loop_thread_(retry_start([] { return std::make_unique<net::EventLoopThread>(); })) {
  create_components(build);
}

void AgentHost::create_components(const std::string& build) {
  net::EventLoopThread& loop_thread = *loop_thread_;
  retry_start([&] {
    loop_thread.on([&] { supervisor_ = std::make_unique<ProcessSupervisor>(loop_thread.loop(), config_); });
  });
  retry_start([&] { loop_thread.on([&] { peers_ = std::make_unique<Peers>(loop_thread, config_); }); });
  loop_thread.on([&] {
    coordinator_ =
        std::make_unique<Coordinator>(loop_thread, *peers_, supervisor_->store(), supervisor_->store_error());
    const std::uint64_t seed = random_seed();
    if (config_.gossips)
      gossip_ = std::make_unique<GossipService>(loop_thread, config_, *supervisor_, *peers_, seed);
    if (config_.spreads_config)
      config_service_ =
          std::make_unique<ConfigService>(loop_thread, config_, *supervisor_, *peers_, seed + 1);
  });
  const RpcService::Components components = {*supervisor_, *coordinator_, gossip_.get(),
                                             config_service_.get()};
  service_ =
      retry_start([&] { return std::make_unique<RpcService>(loop_thread, components, config_, build); });
  server_ = retry_start([&] { return std::make_unique<RpcServer>(loop_thread, config_, *service_); });
}

AgentHost::~AgentHost() {
  server_.reset();
  loop_thread_->on([&] {
    config_service_.reset();
    gossip_.reset();
    coordinator_.reset();
    peers_.reset();
    supervisor_.reset();
  });
}

void AgentHost::reload(const std::string& file) {
  try {
    const AgentConfig next = retry_start([&] { return read_agent_config(file); });
    if (differs_in_fixed_settings(next, config_))
      spdlog::warn(
          "name, state, control, listen, exchange or configuration in [agent] has changed; restart the agent "
          "to apply that");
    apply(next);
    spdlog::info("configuration reloaded");
  } catch (const std::exception& error) {
    spdlog::warn("can't reload the configuration; the previous one stays in effect: {}", error.what());
  }
}

void AgentHost::apply(const AgentConfig& next) {
  retry_start([&] { loop_thread_->on([&] { peers_->change(next); }); });
  const std::vector<std::string> changes = loop_thread_->on([&] {
    if (gossip_) gossip_->change(next);
    if (config_service_) config_service_->change(next);
    return supervisor_->change(next);
  });
  for (const std::string& change : changes) spdlog::info("{}", change);
}

}  // namespace pearchute::agent
