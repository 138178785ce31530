// Distributes versions of the fleet's configuration: exchanges messages with the agent's peers on the
// schedule of fleet::ConfigSpread, persists versions, and asks the managers of the agent's instances to apply
// the current version. If the agent's store can't be used, the service accepts no version.
//
// Lives on the event loop.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "admin/admin_client.h"
#include "agent/peers.h"
#include "agent/process_supervisor.h"
#include "fleet/config_spread.h"

namespace pearchute::agent {

// Connects fleet::ConfigSpread with the peers, the store and the managers.
class ConfigService final : public fleet::ConfigReplica::Host {
 public:
  // The references outlive the service. `seed` must differ at each start.
  ConfigService(net::EventLoopThread& loop_thread, const AgentConfig& config, ProcessSupervisor& supervisor,
                Peers& peers, std::uint64_t seed);
  ~ConfigService() override { *alive_ = false; }

  // Applies another list of peers and instances.
  void change(const AgentConfig& next);
  // Answers a peer's message.
  void synchronize(const v1::ConfigMessage& request, v1::ConfigMessage& response);
  // Publishes an operator's version. The response holds its mark, or why it was not accepted.
  void publish(const v1::ConfigPublication& request, v1::ConfigPublished& response);
  void show(v1::ConfigShown& status) const;

 private:
  // An instance that takes configuration versions.
  struct Instance {
    std::string config_file;
    std::string base_file;
    std::unique_ptr<admin::Caller> manager;
    bool call_pending = false;
    fleet::ConfigMark in_force;       // by the manager's last reply
    std::string obstacle;             // why the current version is not in force, for operators; or empty
    fleet::TimePoint next_call_at{};  // zero until the first call to the manager has ended
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
  std::map<std::string, Instance> instances_;         // by name
  std::optional<fleet::TimePoint> next_exchange_at_;  // when exchange_due() is scheduled to run
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearchute::agent
