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
struct Departure {
  AttemptId key;
  EngineId engine;
  EngineState state = EngineState::up;
  std::chrono::milliseconds told{};  // how long the engine is told that the manager waits
};

class Engines {
 public:
  class Listener : public EngineTalk::Listener {
   public:
    // Asked just before the first byte of a dispatch leaves: how it ends where it may not leave any more.
    virtual std::optional<Outcome> refuses_departure(const Departure&) { return std::nullopt; }
  };
  Engines(Loop& loop, const service::EngineConnectionLimits& limits, std::size_t most_connections,
          Listener& listener, Counters& counters);
  ~Engines();
  void place(EngineId engine, const std::string& address, EngineState state = EngineState::up);
  void forget(EngineId engine);  // it has gone; what is still open there ends in its own way
  void forget_others(const std::set<EngineId>& named);
  // What has not left by `leave_by` never does, and ends as unreachable.
  void want(EngineId engine, AttemptId key, const Want& want, std::optional<TimePoint> leave_by = {});
  void never_mind(AttemptId key);  // it still ends once, as stopped if nothing else
  // True where it has not left: it never does, and ends so, after this event.
  bool take_back(AttemptId key, Outcome ends_as);
  void hurry(AttemptId key, int priority);
  // What has not left for it ends as unreachable, now; what has left goes on.
  void withhold(EngineId engine);
  // What the sockets to an engine show.
  struct Shown {
    std::string address;
    std::size_t connections = 0, dispatches = 0, kept_back = 0;
  };
  Shown shown(EngineId engine) const;
  std::size_t connections() const { return connections_; }
  std::size_t places() const { return places_.size(); }

 private:
  class Link;
  friend class Link;
  struct Place {
    std::string address;
    std::optional<Poco::Net::SocketAddress> socket_address;  // none where the list tells no number address
    bool gone = false, draining = false;
    bool can_be_reached() const { return !gone && socket_address.has_value(); }
    EngineState state() const {
      return gone ? EngineState::removed : draining ? EngineState::draining : EngineState::up;
    }
    std::vector<std::unique_ptr<Link>> links;
  };
  Link* link_for(EngineId engine, std::string_view id);
  EngineState state_of(EngineId engine) const;
  void end_soon(AttemptId key, Outcome ends_as);
  bool make_room();
  bool may_ask();  // a connection for a sign
  void drop(Link& link, EngineCloseReason reason);
  void drop_unused(Place& place);
  void sweep();

  Loop& loop_;
  service::EngineConnectionLimits limits_;
  std::size_t most_connections_;
  Listener& listener_;
  Counters& counters_;
  std::map<EngineId, Place> places_;
  std::map<AttemptId, Link*> on_;
  std::vector<std::unique_ptr<Link>> dropped_;
  std::size_t connections_ = 0;
  double signs_due_ = 0;
  // What is put off may come up after these have gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearchute::net
