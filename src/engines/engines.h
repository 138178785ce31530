// The connections to engines: opened as dispatches need them, one for each as far as descriptors go, shared
// beyond that, closed before an engine would call them idle, and given up once they are in doubt. It tells
// how each dispatch ends, once, whatever its connection does. It never picks an engine, retries, or judges
// one.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "engines/resp.h"
#include "net/driver.h"
#include "net/log.h"
#include "service/deployment.h"

namespace pearchute::net {

// A dispatch whose first byte is about to leave.
struct PendingSend {
  AttemptId key;
  EngineId engine;
  EngineState state = EngineState::up;
  std::chrono::milliseconds told{};  // how long the engine is told that the manager waits
};

class EnginePool {
 public:
  class Listener : public EngineSession::Listener {
   public:
    // Asked just before the first byte of a dispatch leaves: how it ends where it may not leave any more.
    virtual std::optional<Outcome> check_before_send(const PendingSend&) { return std::nullopt; }
  };
  EnginePool(Loop& loop, const service::EngineConnectionLimits& limits, std::size_t max_connections,
             Listener& listener, Counters& counters);
  ~EnginePool();
  void set_endpoint(EngineId engine, const std::string& address, EngineState state = EngineState::up);
  void remove_endpoint(EngineId engine);  // it has gone; what is still open there ends in its own way
  void remove_endpoints_except(const std::set<EngineId>& named);
  // What has not left by `leave_by` never does, and ends as unreachable.
  void submit(EngineId engine, AttemptId key, const EngineRequest& request,
              std::optional<TimePoint> leave_by = {});
  void cancel(AttemptId key);  // it still ends once, as stopped if nothing else
  // True where it has not left: it never does, and ends so, after this event.
  bool retract_unsent(AttemptId key, Outcome ends_as);
  void reprioritize(AttemptId key, int priority);
  // What has not left for it ends as unreachable, now; what has left goes on.
  void suspend_sending(EngineId engine);
  // What the sockets to an engine show.
  struct SocketStats {
    std::string address;
    std::size_t connections = 0, dispatches = 0, unsent_requests = 0;
  };
  SocketStats socket_stats(EngineId engine) const;
  std::size_t connections() const { return connections_; }
  std::size_t endpoint_count() const { return endpoints_.size(); }

 private:
  class EngineConnection;
  friend class EngineConnection;
  struct EndpointState {
    std::string address;
    std::optional<Poco::Net::SocketAddress> socket_address;  // none where the list tells no number address
    bool gone = false, draining = false;
    bool can_be_reached() const { return !gone && socket_address.has_value(); }
    EngineState state() const {
      return gone ? EngineState::removed : draining ? EngineState::draining : EngineState::up;
    }
    std::vector<std::unique_ptr<EngineConnection>> connections;
  };
  EngineConnection* connection_for(EngineId engine, std::string_view id);
  EngineState state_of(EngineId engine) const;
  void post_end(AttemptId key, Outcome ends_as);
  bool close_oldest_idle();
  bool may_probe_liveness();  // a connection for a sign
  void drop(EngineConnection& connection, EngineCloseReason reason);
  void retire_connections(EndpointState& endpoint);
  void sweep();

  Loop& loop_;
  service::EngineConnectionLimits limits_;
  std::size_t max_connections_;
  Listener& listener_;
  Counters& counters_;
  std::map<EngineId, EndpointState> endpoints_;
  std::map<AttemptId, EngineConnection*> connection_by_attempt_;
  std::vector<std::unique_ptr<EngineConnection>> closed_connections_;
  std::size_t connections_ = 0;
  double probe_allowance_ = 0;
  // What is put off may come up after these have gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearchute::net
