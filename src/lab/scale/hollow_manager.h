// A hollow manager: the admin channel, the subscription to the endpoint list and a few engine connections of
// pearchuted, without clients.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "admin.pb.h"
#include "admin/admin_server.h"
#include "engines/endpoint_list_client.h"
#include "fleet/config_version.h"
#include "net/event_loop.h"
#include "service/deployment.h"

namespace pearchute::lab {

class HollowManager final : public admin::CallHandler, public net::EndpointListClient::Listener {
 public:
  struct Spec {
    std::string name, admin_path;
    std::string configuration;           // its file; a candidate version has the suffix ".candidate"
    std::string channel;                 // address of the command channel with the endpoint list
    std::size_t engine_connections = 2;  // kept open, with a liveness check every second
    std::uint64_t seed = 1;              // selects the engines
  };
  // Must be created on the loop, and live as long as the loop runs: the subscription keeps timers there.
  HollowManager(net::Loop& loop, const service::Deployment& deployment, const Spec& spec);
  ~HollowManager() override;

  // Behaves on the admin channel like a new process after a restart, and opens the subscription again.
  void restart();
  std::size_t engines_listed() const { return engines_.size(); }
  std::size_t engine_connections() const;
  const fleet::ConfigMark& in_force() const { return in_force_; }
  std::uint64_t list_events() const { return counters_.list_events; }

 private:
  class EngineConnection;
  void answer(const admin::v1::Call& call, admin::v1::Reply& reply) override;
  void on_endpoints_changed(EndpointUpdate update,
                            const std::vector<net::DiscoveredEndpoint>& members) override;
  void identify(admin::v1::Identity& identity) const;
  void configure(const admin::v1::Configure& call, admin::v1::Reply& reply);
  void open_admin_channel();
  void select_engines();

  net::Loop& loop_;
  const Spec spec_;
  std::uint64_t started_unix_ms_ = 0;
  fleet::ConfigMark in_force_;
  bool has_alternate_address_ = false;
  net::Counters counters_;
  net::EndpointList endpoint_list_;
  net::EndpointListClient endpoint_watch_;
  std::map<std::string, std::string> engines_;  // addresses of the engines that are up, by name
  std::map<std::string, std::unique_ptr<EngineConnection>> connections_;
  std::unique_ptr<admin::AdminServer> admin_server_;
};

}  // namespace pearchute::lab
