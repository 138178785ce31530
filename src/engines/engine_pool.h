// The connections to engines. EnginePool opens them on demand, one for each attempt while the connection
// limit allows it and shared beyond that; it closes them before the engine's idle timeout, and stops using
// those that hold a cancelled attempt which the engine has not confirmed. It reports the end of each attempt
// exactly once, whatever happens to the connection. It doesn't choose engines, retry attempts or detect
// outliers.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "engines/engine_session.h"
#include "net/event_loop.h"
#include "net/log.h"
#include "net/scoped_timer.h"
#include "service/deployment.h"

namespace pearchute::net {

// An attempt whose first byte is about to be written to the engine's socket.
struct PendingSend {
  AttemptId attempt;
  EngineId engine;
  EngineState state = EngineState::up;
  std::chrono::milliseconds wait{};  // the time that the request tells the engine it has to answer
};

class EnginePool {
 public:
  class Listener : public EngineSession::Listener {
   public:
    // Called just before the first byte of an attempt is written. Returns the outcome with which the attempt
    // ends where it must no longer be sent, nullopt where it is to be sent.
    virtual std::optional<Outcome> check_before_send(const PendingSend&) { return std::nullopt; }
  };
  // Keeps up to `max_connections` connections to all engines together. The references must outlive the pool.
  EnginePool(Loop& loop, const service::EngineConnectionLimits& limits, std::size_t max_connections,
             Listener& listener, Counters& counters);
  ~EnginePool();
  // Where the address or the start is another one, the process is new: what was opened to the former one
  // takes no more attempts.
  void set_endpoint(EngineId engine, const std::string& address, EngineState state = EngineState::up,
                    std::optional<TimePoint> started_at = std::nullopt);
  // Attempts that already run on the engine continue to their end; new ones end as unreachable.
  void remove_endpoint(EngineId engine);
  void remove_endpoints_except(const std::set<EngineId>& listed);
  // Sends an attempt to `engine`. An attempt that is still unsent at `send_deadline` is never sent and ends
  // as unreachable. The listener receives the end after the current event at the earliest.
  void submit(EngineId engine, AttemptId attempt, const EngineRequest& request,
              std::optional<TimePoint> send_deadline = {});
  // Gives up an attempt. It still ends exactly once: as cancelled, unless another outcome comes first.
  void cancel(AttemptId attempt);
  // Returns true where the attempt is unsent: it is then never sent and ends with `outcome` after the current
  // event.
  bool retract_unsent(AttemptId attempt, Outcome outcome);
  void reprioritize(AttemptId attempt, int priority);
  // Ends the unsent attempts for `engine` as unreachable, at once; those that are sent continue.
  void suspend_sending(EngineId engine);
  // The state of the sockets to one engine.
  struct SocketStats {
    std::string address;
    std::size_t connections = 0, outstanding_attempts = 0, unsent_requests = 0;
  };
  SocketStats socket_stats(EngineId engine) const;
  std::size_t connections() const { return connections_; }
  std::size_t endpoint_count() const { return endpoints_.size(); }

 private:
  class EngineConnection;
  friend class EngineConnection;
  struct EndpointState {
    std::string address;
    std::optional<Poco::Net::SocketAddress> socket_address;  // none where `address` is not numeric
    std::optional<TimePoint> started_at;                     // none where the list doesn't tell it
    bool removed = false, draining = false;
    bool is_reachable() const { return !removed && socket_address.has_value(); }
    EngineState state() const {
      return removed ? EngineState::removed : draining ? EngineState::draining : EngineState::up;
    }
    std::vector<std::unique_ptr<EngineConnection>> connections;
  };
  // An attempt that has not ended, and the timers that end it.
  struct OpenAttempt {
    EngineConnection* connection = nullptr;
    ScopedTimer send_deadline;
    ScopedTimer confirmation;  // of its cancellation
  };
  EngineConnection* connection_of(AttemptId attempt) const;
  EngineConnection* connection_for(EngineId engine, std::string_view id);
  EngineState state_of(EngineId engine) const;
  void post_end(AttemptId attempt, Outcome outcome);
  bool close_oldest_idle();
  bool spend_probe_allowance();
  void drop(EngineConnection& connection, EngineCloseReason reason);
  void retire_connections(EndpointState& endpoint);
  void sweep();

  Loop& loop_;
  service::EngineConnectionLimits limits_;
  std::size_t max_connections_;
  Listener& listener_;
  Counters& counters_;
  std::map<EngineId, EndpointState> endpoints_;
  std::map<AttemptId, OpenAttempt> attempts_;  // an id may be used again once its attempt has ended
  std::vector<std::unique_ptr<EngineConnection>> closed_connections_;
  std::size_t connections_ = 0;
  double probe_allowance_ = 0;  // liveness probes that may be sent now, where probes have a cost
  // False once the pool is destroyed; callbacks that the loop still holds check it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearchute::net
