// The list of engines as the command channel tells it: what was known at start, then the stream of events,
// applied once and in order, opened anew where it breaks or falls silent. It owns the engines' names and
// addresses. It never takes an engine from the list on its own, and tells nothing twice.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <vector>

#include "engines/feed.h"
#include "engines/start_times.h"
#include "net/driver.h"
#include "net/log.h"
#include "service/deployment.h"

namespace pearchute::net {

struct DiscoveredEndpoint {
  std::string name;
  EngineEndpoint engine;
  std::string address;
};

// Decodes events and keeps the count of them; knows no socket.
class EndpointList {
 public:
  // `unix_start` is the Unix time at the instance's start, which places the engines' starts.
  EndpointList(const service::Deployment& deployment, std::chrono::milliseconds unix_start)
      : deployment_(deployment), start_times_(unix_start) {}

  enum class EventResult { applied, old, gap, broken };
  struct Change {
    EventResult result = EventResult::broken;
    EndpointUpdate update = EndpointUpdate::delta;
    std::vector<DiscoveredEndpoint> endpoints;
    std::string fault;
  };
  Change known(const nlohmann::json& known);  // all that it says, as one remembered list
  Change event(std::string_view id, std::string_view data, bool gap_allowed);
  // Of what a configuration that is read again holds, the events that have not come yet, in order, up to a
  // gap or a broken one. `applied` hears each as it is taken.
  void apply_newer(const nlohmann::json& known, const std::function<void(const Change&)>& applied);
  // The source of the list has said something; `is_current`: it has told by then all that it had.
  void heard(TimePoint now, bool is_current) { start_times_.heard(now, has_endpoints_ && is_current); }
  std::int64_t resume_version() const { return resume_version_; }
  bool has_endpoints() const { return has_endpoints_; }
  std::size_t names() const { return ids_.size(); }

 private:
  Change read(const nlohmann::json& event);
  Change apply(const nlohmann::json& event, std::int64_t number, bool gap_allowed);
  EngineId id_of(const std::string& name);
  void forget_gone(const Change& change);

  const service::Deployment& deployment_;
  StartTimes start_times_;
  std::int64_t resume_version_ = 0;
  bool has_endpoints_ = false;
  std::map<std::string, EngineId> ids_;
  std::set<EngineId> taken_ids_;
};

// The connection to the command channel.
class EndpointWatch final : public Connection::Listener, public EventStreamReader::Listener {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void on_endpoints_changed(EndpointUpdate update,
                                      const std::vector<DiscoveredEndpoint>& endpoints) = 0;
  };
  EndpointWatch(Loop& loop, std::string address, EndpointList& list, Listener& listener, Counters& counters);
  ~EndpointWatch() override;
  void open();
  // The channel has another address from now on; the numbers carry on.
  void set_address(std::string address);

 private:
  void on_opened() override;
  void on_data(std::string_view bytes) override;
  void on_closed() override { reopen("the stream ended"); }
  void on_event(std::string_view id, std::string_view data) override;
  void reopen(const char* why);
  void watch(std::uint64_t which);

  Loop& loop_;
  std::string address_;
  EndpointList& list_;
  Listener& listener_;
  Counters& counters_;
  std::unique_ptr<Connection> connection_;
  std::unique_ptr<EventStreamReader> stream_;
  std::uint64_t opened_ = 0;  // streams so far, which tells a timer's own from a later one
  TimePoint opened_at_{}, last_data_at_{};
  Duration pause_{};  // before the next connection, a backoff
  static constexpr int max_timeout_factor = 16;
  int timeout_factor_ = 1;      // times the usual, for discovery's first word
  bool received_data_ = false;  // this stream has brought something
  bool gap_seen_ = false, broken_ = false;
};

}  // namespace pearchute::net
