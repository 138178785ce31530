// The manager process from start to exit, as one object with named phases: reads the configuration, connects
// the components, and shuts them down in order. It serves no request itself.
#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "engines/endpoint_list_client.h"
#include "front/front.h"
#include "net/event_loop.h"
#include "net/listening_socket.h"
#include "net/log.h"

namespace pearchute::net {

// Owns the event loop and everything that runs on it. One per process: it installs the signal handlers, and
// SIGTERM, SIGINT, SIGHUP and SIGUSR1 are handled by poll().
class Program {
 public:
  enum class Phase {
    starting,  // reads the configuration, opens the listening socket
    listing,   // accepts requests, but has no endpoint list yet
    serving,
    leaving,    // shutdown requested: still accepts connections and requests, answers those in flight
    finishing,  // the listening socket is closing or closed; the last responses are written
    ended,
  };
  // Extends a running program, as the admin channel does. Sits between the endpoint list and the front: it
  // receives each change of the endpoint list in place of the front, and passes it on.
  class Extension : public EndpointListClient::Listener {
   public:
    virtual void on_phase_entered(Phase phase) = 0;
    // Called on each poll, about fifty times a second, after a requested reload has been tried.
    virtual void on_poll(TimePoint now) = 0;
  };
  // The components that an extension works with. The references outlive the extension.
  struct Components {
    Loop& loop;
    Front& front;
    const service::Deployment& deployment;
    std::string name, digest;   // the manager's name, and a digest of its configuration
    std::function<void()> end;  // requests a shutdown, as SIGTERM does
    std::function<std::string()> counters;
  };
  using MakeExtension = std::function<std::unique_ptr<Extension>(const Components&)>;
  // `file` is the path of the configuration. Throws std::exception, with one line on what is missing or
  // invalid; ResourceShortage where a later try may succeed.
  explicit Program(const std::string& file, std::unique_ptr<spdlog::formatter> log = {},
                   const MakeExtension& make_extension = {});
  ~Program();
  // Runs until the shutdown is complete. Returns the exit status.
  int run();
  // Validates a configuration as the constructor does, without starting anything. Throws as the constructor
  // does.
  static void check(const std::string& file);
  static std::string_view name_of(Phase phase);

 private:
  void enter(Phase phase);
  void poll();
  void reload_configuration();
  void apply_configuration();  // throws std::exception where the configuration is unusable
  void apply_newer_endpoint_events(const nlohmann::json& configuration);
  EndpointListClient::Listener& endpoint_listener();

  Phase phase_ = Phase::starting;
  Counters counters_;
  Loop loop_;
  std::string file_, name_;
  std::string fixed_settings_;  // the configuration without the parts that a reload applies
  service::Deployment deployment_;
  std::unique_ptr<EndpointList> endpoint_list_;
  std::unique_ptr<Front> front_;
  std::unique_ptr<Extension> extension_;  // declared after front_, so that it is destroyed before it
  std::unique_ptr<EndpointListClient> endpoint_list_client_;
  std::unique_ptr<ListeningSocket> listener_;
  TimePoint counters_logged_at_{}, shutdown_requested_at_{}, finishing_since_{}, next_reload_at_{};
  Duration shutdown_timeout_{};               // from the shutdown request to the last responses
  std::optional<TimePoint> reload_deadline_;  // set while a reload is retried
};

}  // namespace pearchute::net
