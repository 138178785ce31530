// The endpoint list, as the command channel (discovery) reports it: the cached list from the configuration,
// then a stream of events, which are applied once and in order. The stream is reopened where it breaks or
// falls silent. EndpointList owns the engines' names and addresses; an engine is removed only by an event.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <vector>

#include "engines/event_stream.h"
#include "engines/start_times.h"
#include "net/connection.h"
#include "net/event_loop.h"
#include "net/log.h"
#include "service/deployment.h"

namespace pearchute::net {

struct DiscoveredEndpoint {
  std::string name;
  EngineEndpoint engine;
  std::string address;
};

// Decodes events and tracks the version of the list; uses no socket.
class EndpointList {
 public:
  // `unix_start` is the Unix time at the instance's start, to which the engines' start times are related.
  EndpointList(const service::Deployment& deployment, std::chrono::milliseconds unix_start)
      : deployment_(deployment), start_times_(unix_start) {}

  // old: applied before; gap: events before it are missing; broken: malformed, see `fault`.
  enum class EventResult { applied, old, gap, broken };
  struct Change {
    EventResult result = EventResult::broken;
    EndpointUpdate update = EndpointUpdate::delta;
    std::vector<DiscoveredEndpoint> endpoints;
    std::string fault;
  };
  // Loads the events of a configuration; returns their result as one cached list.
  Change known(const nlohmann::json& known);
  // Applies one event of the stream. Where `gap_allowed`, it is applied even if events before it are missing.
  Change event(std::string_view id, std::string_view data, bool gap_allowed);
  // Applies the events of a reloaded configuration that have not been applied yet, in order, up to a gap or a
  // malformed event. Calls `on_applied` for each.
  void apply_newer(const nlohmann::json& known, const std::function<void(const Change&)>& on_applied);
  // Records that the source of the list has sent data; `is_current` means that by then everything that it had
  // to report has been received.
  void heard(TimePoint now, bool is_current) { start_times_.heard(now, has_endpoints_ && is_current); }
  // The version of the last applied event, after which the stream resumes.
  std::int64_t resume_version() const { return resume_version_; }
  bool has_endpoints() const { return has_endpoints_; }
  std::size_t name_count() const { return ids_.size(); }

 private:
  Change read(const nlohmann::json& event);
  Change apply(const nlohmann::json& event, std::int64_t version, bool gap_allowed);
  EngineId id_of(const std::string& name);
  void forget_removed(const Change& change);

  const service::Deployment& deployment_;
  StartTimes start_times_;
  std::int64_t resume_version_ = 0;
  bool has_endpoints_ = false;
  std::map<std::string, EngineId> ids_;
  std::set<EngineId> taken_ids_;
};

// The connection to the command channel; applies the events of the stream to an EndpointList.
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
  // Reconnects to another address of the channel; the versions of the events continue.
  void set_address(std::string address);

 private:
  void on_opened() override;
  void on_data(std::string_view bytes) override;
  void on_closed() override { reopen("the stream ended"); }
  void on_event(std::string_view id, std::string_view data) override;
  void reopen(const char* reason);
  void check_timeouts_later(std::uint64_t stream_number);

  Loop& loop_;
  std::string address_;
  EndpointList& list_;
  Listener& listener_;
  Counters& counters_;
  std::unique_ptr<Connection> connection_;
  std::unique_ptr<EventStreamReader> stream_;
  std::uint64_t opened_ = 0;  // streams opened so far; a timer compares it to recognize its own stream
  TimePoint opened_at_{}, last_data_at_{};
  Duration backoff_{};  // before the next connection
  static constexpr int max_timeout_factor = 16;
  int timeout_factor_ = 1;      // multiplies the timeouts until the stream's first data
  bool received_data_ = false;  // on this stream
  bool gap_seen_ = false;       // the stream was reopened because of a gap, so the next gap is accepted
  bool broken_ = false;         // the rest of this stream is ignored
};

}  // namespace pearchute::net
