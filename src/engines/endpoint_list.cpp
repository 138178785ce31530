#include "engines/endpoint_list.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "errors/error.h"
#include "net/addresses.h"
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
    change.result = EventResult::broken, change.fault = error.what();
  }
  return change;
}

EndpointList::Change EndpointList::known(const json& known) {
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
  return cached;
}

EndpointList::Change EndpointList::event(std::string_view id, std::string_view data, bool gap_allowed) {
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
    if (change.result == EventResult::old) continue;
    if (change.result != EventResult::applied) return;  // the stream delivers this event
    on_applied(change);
  }
}

// Applies an event by its version: once, and in order.
EndpointList::Change EndpointList::apply(const json& event, std::int64_t version, bool gap_allowed) {
  Change change;
  if (version <= resume_version_) {
    change.result = EventResult::old;
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

EndpointWatch::EndpointWatch(Loop& loop, std::string address, EndpointList& list, Listener& listener,
                             Counters& counters)
    : loop_(loop), address_(std::move(address)), list_(list), listener_(listener), counters_(counters) {}

EndpointWatch::~EndpointWatch() = default;

namespace {

using std::chrono::milliseconds;

// The stream is reopened at once the first time, then with a growing backoff, which stays well below the
// permitted delay of the list.
constexpr milliseconds min_backoff(50), max_backoff(400);
// A stream that lasted this long was healthy, so it is reopened without backoff.
constexpr milliseconds stable_after(1000);
// The limits for opening the connection and for silence on it. Discovery sends a comment each second, so a
// stream on which two are missing no longer works. Guards against slow discovery whose streams would all be
// closed before their first data: the timeouts double, up to max_timeout, each time in a row that they expire
// without data.
constexpr milliseconds connect_timeout(500), first_data_timeout(2300), max_timeout(9200);

}  // namespace

void EndpointWatch::open() {
  last_data_at_ = opened_at_ = loop_.now();
  broken_ = received_data_ = false;
  const std::uint64_t stream_number = ++opened_;
  ++counters_.list_connections;
  stream_ = std::make_unique<EventStreamReader>(*this);
  try {
    connection_ = std::make_unique<Connection>(loop_, resolved_address(address_, "channel"), *this);
  } catch (const AddressError&) {
    reopen("the channel's address can't be resolved");
    return;
  }
  const std::string request =
      "GET /cmd/next HTTP/1.1\r\nHost: " + address_ +
      "\r\nAccept: text/event-stream\r\nLast-Event-ID: " + std::to_string(list_.resume_version()) +
      "\r\n\r\n";
  connection_->send(request);
  check_timeouts_later(stream_number);
}

void EndpointWatch::set_address(std::string address) {
  if (address == address_) return;
  address_ = std::move(address);
  backoff_ = Duration(0);
  timeout_factor_ = 1;
  reopen("the channel's address has changed");
}

void EndpointWatch::on_opened() { last_data_at_ = loop_.now(); }

void EndpointWatch::check_timeouts_later(std::uint64_t stream_number) {
  loop_.at(loop_.now() + milliseconds(100), [this, stream_number] {
    if (stream_number != opened_ || !connection_) return;
    Duration timeout = connection_->opened() ? first_data_timeout : connect_timeout;
    if (!received_data_) timeout = std::min<Duration>(timeout * timeout_factor_, max_timeout);
    if (loop_.now() - last_data_at_ <= timeout) return check_timeouts_later(stream_number);
    if (!received_data_) timeout_factor_ = std::min(2 * timeout_factor_, max_timeout_factor);
    reopen(connection_->opened() ? "the stream sends no data" : "connect timeout");
  });
}

void EndpointWatch::on_data(std::string_view bytes) {
  last_data_at_ = loop_.now();
  received_data_ = true;
  timeout_factor_ = 1;
  // A stream delivers all missing events as soon as it is open, so after a second the list is current.
  list_.heard(last_data_at_, last_data_at_ - opened_at_ >= stable_after);
  const Connection* current = connection_.get();
  const bool valid = stream_->feed(bytes);
  if (connection_.get() != current || !connection_)
    return;  // the stream was closed while its events were handled
  if (!valid || broken_) reopen("the response is not a valid event stream");
}

void EndpointWatch::on_event(std::string_view id, std::string_view data) {
  if (broken_) return;  // events after a malformed event or a gap are sent again on the next stream
  ++counters_.list_events;
  const EndpointList::Change change = list_.event(id, data, gap_seen_);
  switch (change.result) {
    case EndpointList::EventResult::applied:
      gap_seen_ = false;
      listener_.on_endpoints_changed(change.update, change.endpoints);
      break;
    case EndpointList::EventResult::old:
      break;
    case EndpointList::EventResult::gap:
      PEARCHUTE_LOG(spdlog::level::warn, "endpoint list: event {} follows version {}; events are missing", id,
                    list_.resume_version());
      gap_seen_ = broken_ = true;
      break;
    case EndpointList::EventResult::broken:
      ++counters_.broken_events;
      PEARCHUTE_LOG(spdlog::level::warn, "endpoint list: event {} is malformed: {}", id, change.fault);
      broken_ = true;
      break;
  }
}

void EndpointWatch::reopen(const char* reason) {
  PEARCHUTE_LOG(spdlog::level::warn, "endpoint list: {}; reopening the stream", reason);
  loop_.retire(std::move(connection_));
  connection_.reset();
  // Guards against discovery that rejects connections, or ends streams, as soon as they are opened: only
  // after a stream that lasted is the next one opened without backoff.
  if (received_data_ && loop_.now() - opened_at_ >= stable_after) backoff_ = Duration(0);
  loop_.at(loop_.now() + backoff_, [this, stream_number = opened_] {
    if (stream_number == opened_) open();
  });
  backoff_ = std::clamp<Duration>(2 * backoff_, min_backoff, max_backoff);
}

}  // namespace pearchute::net
