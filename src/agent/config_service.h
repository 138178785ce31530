// An agent's part in spreading versions of the fleet's configuration: exchanges messages with peers when
// fleet::ConfigSpread says so, persists versions, and has its instances' managers apply the current one.
// Where the store can't be used it accepts no version.
//
// Lives on the event loop.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "admin/caller.h"
#include "agent/peers.h"
#include "agent/process_supervisor.h"
#include "fleet/config_spread.h"

namespace pearchute::agent {

// Connects fleet::ConfigSpread with the peers, the store and the managers.
class ConfigService final : public fleet::ConfigReplica::Host {
 public:
  // The references outlive it. The seed has to differ at each start.
  ConfigService(net::EventLoopThread& loop_thread, const AgentConfig& config, ProcessSupervisor& supervisor,
                Peers& peers, std::uint64_t seed);
  ~ConfigService() override { *alive_ = false; }

  // Takes over another list of peers and instances.
  void change(const AgentConfig& next);
  // Answers a peer's message.
  void synchronize(const v1::ConfigMessage& request, v1::ConfigMessage& response);
  // Publishes an operator's version, or says why not.
  void publish(const v1::ConfigPublication& request, v1::ConfigPublished& response);
  void show(v1::ConfigShown& status) const;

 private:
  // An instance that takes versions.
  struct Instance {
    std::string config_file;
    std::string base_file;
    std::unique_ptr<admin::Caller> manager;
    bool call_pending = false;
    fleet::ConfigMark in_force;       // as its manager said last
    std::string obstacle;             // why the current version is not in force, for operators
    fleet::TimePoint next_call_at{};  // zero: its manager has not been called yet
  };
  bool write_config(const fleet::ConfigReplica::State& state) override;
  void exchange_due();
  void exchange(const std::string& peer);
  void tick();
  void apply(const std::string& name, Instance& instance, const fleet::ConfigDocument& document);
  void on_applied(const std::string& name, admin::CallEnd end, const admin::v1::Reply& reply);
  void report_instances();

  net::EventLoopThread& loop_thread_;
  ProcessSupervisor& supervisor_;
  Peers& peers_;
  fleet::ConfigSpread spread_;
  std::map<std::string, Instance> instances_;     // by name
  std::optional<fleet::TimePoint> next_wake_at_;  // of exchange_due()
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearchute::agent
