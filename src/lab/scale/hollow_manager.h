// A hollow manager: the admin channel, the subscription to the list of engines and connections to a few
// engines of pearchuted, with no clients behind it.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "admin.pb.h"
#include "admin/admin_server.h"
#include "engines/endpoint_list.h"
#include "fleet/config_version.h"
#include "net/event_loop.h"
#include "service/deployment.h"

namespace pearchute::lab {

class HollowManager final : public admin::CallHandler, public net::EndpointWatch::Listener {
 public:
  struct Spec {
    std::string name, admin_path;
    std::string configuration;           // its own file; versions come as a candidate beside it
    std::string channel;                 // the address of the channel of the engine list
    std::size_t engine_connections = 2;  // kept open, with a sign of life each second
    std::uint64_t seed = 1;              // draws which engines
  };
  // On the loop, for as long as the loop runs: the list's subscription keeps timers there.
  HollowManager(net::Loop& loop, const service::Deployment& deployment, const Spec& spec);
  ~HollowManager() override;

  // Another process by its admin channel, as after a restart; the subscription opens anew.
  void restart();
  std::size_t engines_listed() const { return engines_.size(); }
  std::size_t engine_connections() const;
  const fleet::ConfigMark& in_force() const { return in_force_; }
  std::uint64_t list_events() const { return counters_.list_events; }

 private:
  class EngineConnection;
  void answer(const admin::v1::Call& call, admin::v1::Reply& reply) override;
  void on_endpoints_changed(EndpointUpdate news,
                            const std::vector<net::DiscoveredEndpoint>& members) override;
  void identify(admin::v1::Identity& identity) const;
  void configure(const admin::v1::Configure& call, admin::v1::Reply& reply);
  void open_admin_channel();
  void choose_engines();

  net::Loop& loop_;
  const Spec spec_;
  std::uint64_t started_unix_ms_ = 0;
  fleet::ConfigMark in_force_;
  bool channel_renamed_ = false;
  net::Counters counters_;
  net::EndpointList list_;
  net::EndpointWatch feed_;
  std::map<std::string, std::string> engines_;  // their addresses, by name
  std::map<std::string, std::unique_ptr<EngineConnection>> connections_;
  std::unique_ptr<admin::AdminServer> admin_server_;
};

}  // namespace pearchute::lab
