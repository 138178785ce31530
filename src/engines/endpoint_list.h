// The endpoint list, as the command channel (discovery) reports it: the cached list from the configuration,
// then a stream of events, which are applied once and in order. EndpointList owns the engines' names and
// addresses; an engine is removed only by an event. EndpointListClient receives the events.
#pragma once

#include <functional>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <vector>

#include "engines/address_owners.h"
#include "engines/start_times.h"
#include "service/deployment.h"

namespace pearchute::net {

// Decodes events and tracks the version of the list; uses no socket.
class EndpointList {
 public:
  // `unix_start` is the Unix time at the instance's start, to which the engines' start times are related.
  EndpointList(const service::Deployment& deployment, std::chrono::milliseconds unix_start)
      : deployment_(deployment), start_times_(unix_start) {}

  // duplicate: applied before; gap: events before it are missing; malformed: see `fault`.
  enum class EventResult { applied, duplicate, gap, malformed };
  struct Change {
    EventResult result = EventResult::malformed;
    EndpointUpdate update = EndpointUpdate::delta;
    std::vector<DiscoveredEndpoint> endpoints;
    std::string fault;
  };
  // Loads the events of a configuration; returns their result as one cached list.
  Change load_cached(const nlohmann::json& known);
  // Applies one event of the stream. Where `gap_allowed`, it is applied even if events before it are missing.
  Change apply_event(std::string_view id, std::string_view data, bool gap_allowed);
  // Applies the events of a reloaded configuration that have not been applied yet, in order, up to a gap or a
  // malformed event. Calls `on_applied` for each.
  void apply_newer(const nlohmann::json& known, const std::function<void(const Change&)>& on_applied);
  // Records that the source of the list has sent data; `is_current` means that by then everything that it had
  // to report has been received.
  void on_data_received(TimePoint now, bool is_current) {
    start_times_.on_data_received(now, has_endpoints_ && is_current);
  }
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
  AddressOwners address_owners_;
  std::int64_t resume_version_ = 0;
  bool has_endpoints_ = false;
  std::map<std::string, EngineId> ids_;
  std::set<EngineId> taken_ids_;
};

}  // namespace pearchute::net
