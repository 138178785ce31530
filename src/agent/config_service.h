// An agent's part in spreading configuration versions: exchanges messages with peers when fleet/config_spread
// says so, keeps versions in the store, and brings the current one into force at its instances. Where the
// store can't be used it takes no version.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "admin/caller.h"
#include "agent/peers.h"
#include "agent/process_supervisor.h"
#include "fleet/config_spread.h"

namespace pearchute::agent {

class ConfigService final : public fleet::ConfigReplica::Host {
 public:
  // Lives on the stage's loop. The seed has to be another at each start.
  ConfigService(net::EventLoopThread& stage, const AgentConfig& config, ProcessSupervisor& supervisor,
                Peers& peers, std::uint64_t seed);
  ~ConfigService() override { *alive_ = false; }
  void change(const AgentConfig& next);
  void synchronize(const v1::ConfigMessage& question, v1::ConfigMessage& answer);
  void publish(const v1::ConfigPublication& publication, v1::ConfigPublished& published);
  void show(v1::ConfigShown& shown) const;

 private:
  struct Instance {
    std::string file, base;
    std::unique_ptr<admin::Caller> caller;
    bool calling = false;
    fleet::ConfigMark in_force;
    std::string not_in_force_reason;
    Duration look_at{};
  };
  bool write_config(const fleet::ConfigReplica::State& state) override;
  void turn();
  void exchange(const std::string& peer);
  void look();
  void configure(const std::string& name, Instance& instance, const fleet::ConfigDocument& document);
  void report_instances();

  net::EventLoopThread& loop_thread_;
  ProcessSupervisor& supervisor_;
  Peers& peers_;
  fleet::ConfigSpread spread_;
  std::map<std::string, Instance> instances_;
  std::optional<Duration> wake_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearchute::agent
