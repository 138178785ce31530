#include "engines/endpoint_list.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "service/flatten.h"

namespace pearchute::net {

using nlohmann::json;

// An engine's id is a hash of its name, so it is the same at all managers, whichever events each has
// received. Where the hash is taken, which only happens in very large fleets, the next free id is used.
EngineId EndpointList::id_of(const std::string& name) {
  const auto known = ids_.find(name);
  if (known != ids_.end()) return known->second;
  std::uint32_t hash = 2166136261u;  // FNV-1a
  for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 16777619u;
  EngineId id{hash};
  while (!taken_ids_.insert(id).second) id.value += 1;
  return ids_[name] = id;
}

EndpointList::Change EndpointList::read(const json& event) {
  Change change;
  try {
    const json& nodes = event.at("nodes");
    change.update = nodes.value("complete", false) ? EndpointUpdate::snapshot : EndpointUpdate::delta;
    for (const json& one : nodes.at("members")) {
      DiscoveredEndpoint& endpoint = change.endpoints.emplace_back();
      endpoint.name = one.at("id").get<std::string>();
      endpoint.engine.id = id_of(endpoint.name);
      endpoint.address = one.value("host_port", "");
      endpoint.engine.state = service::one_of<EngineState>(
          "phase", one.at("phase").get<std::string>(),
          {{"active", EngineState::up}, {"leaving", EngineState::draining}, {"left", EngineState::removed}});
      endpoint.engine.zone = deployment_.zone(service::plain_name(one.value("locality", "")));
      endpoint.engine.kind = deployment_.kind(service::plain_name(one.value("flavor", "")));
      endpoint.engine.cell = CellId{one.value("cell", std::int64_t{0})};
      const std::int64_t since = one.value("up_since_ms", std::int64_t{0});
      if (since > 0)
        endpoint.engine.started_at =
            start_times_.start_of(endpoint.engine.id, std::chrono::milliseconds(since));
    }
    change.result = EventResult::applied;
  } catch (const std::exception& error) {
    change.result = EventResult::malformed, change.fault = error.what();
  }
  return change;
}

EndpointList::Change EndpointList::load_cached(const json& known) {
  std::map<EngineId, DiscoveredEndpoint> endpoints;
  Change cached;
  for (const json& event : known.value("cmds", json::array())) {
    Change change = read(event);
    if (change.result != EventResult::applied) return change;
    if (change.update == EndpointUpdate::snapshot) endpoints.clear();
    for (DiscoveredEndpoint& endpoint : change.endpoints) endpoints[endpoint.engine.id] = std::move(endpoint);
    has_endpoints_ = true;
    resume_version_ = std::max(resume_version_, event.value("cursor", std::int64_t{0}));
  }
  resume_version_ = std::max(resume_version_, known.value("cursor", std::int64_t{0}));
  cached.result = EventResult::applied, cached.update = EndpointUpdate::cached;
  for (auto& [id, endpoint] : endpoints) {
    if (endpoint.engine.state != EngineState::removed) cached.endpoints.push_back(std::move(endpoint));
  }
  address_owners_.apply(cached.update, cached.endpoints);
  std::erase_if(cached.endpoints, [](const auto& one) { return one.engine.state == EngineState::removed; });
  return cached;
}

EndpointList::Change EndpointList::apply_event(std::string_view id, std::string_view data, bool gap_allowed) {
  Change change;
  json event = json::parse(data, nullptr, false);
  if (event.is_discarded() || !event.is_object()) {
    change.fault = "expected a JSON object";
    return change;
  }
  std::int64_t version = 0;
  const auto [stop, error] = std::from_chars(id.data(), id.data() + id.size(), version);
  if (error != std::errc{} || stop != id.data() + id.size()) {
    if (!event.contains("cursor") || !event["cursor"].is_number_integer()) {
      change.fault = "expected an integer as event id or cursor";
      return change;
    }
    version = event["cursor"].get<std::int64_t>();
  }
  return apply(event, version, gap_allowed);
}

void EndpointList::apply_newer(const json& known, const std::function<void(const Change&)>& on_applied) {
  for (const json& event : known.value("cmds", json::array())) {
    const Change change = apply(event, event.value("cursor", std::int64_t{0}), false);
    if (change.result == EventResult::duplicate) continue;
    if (change.result != EventResult::applied) return;  // the stream delivers this event
    on_applied(change);
  }
}

// Applies an event by its version: once, and in order.
EndpointList::Change EndpointList::apply(const json& event, std::int64_t version, bool gap_allowed) {
  Change change;
  if (version <= resume_version_) {
    change.result = EventResult::duplicate;
    return change;
  }
  change = read(event);
  if (change.result != EventResult::applied) return change;
  // A missing event may be the removal of an engine, so the stream is reopened once to get it. A snapshot
  // replaces all missing events.
  if (version != resume_version_ + 1 && change.update != EndpointUpdate::snapshot && !gap_allowed) {
    change.result = EventResult::gap;
    return change;
  }
  resume_version_ = version, has_endpoints_ = true;
  address_owners_.apply(change.update, change.endpoints);
  forget_removed(change);
  return change;
}

// Forgets the names of engines that are no longer listed. Engines are replaced all the time, so their names
// would otherwise accumulate.
void EndpointList::forget_removed(const Change& change) {
  const bool is_snapshot = change.update == EndpointUpdate::snapshot;
  std::map<EngineId, bool> removed;
  for (const DiscoveredEndpoint& endpoint : change.endpoints)
    removed[endpoint.engine.id] = endpoint.engine.state == EngineState::removed;
  std::erase_if(ids_, [&](const auto& one) {
    const auto listed = removed.find(one.second);
    const bool remove = listed == removed.end() ? is_snapshot : listed->second;
    if (remove) taken_ids_.erase(one.second), start_times_.forget(one.second);
    return remove;
  });
}

}  // namespace pearchute::net
