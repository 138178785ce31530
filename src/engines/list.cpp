#include "engines/list.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "errors/error.h"
#include "net/addresses.h"
#include "service/flatten.h"

namespace pearchute::net {

using nlohmann::json;

// A name's number is the same at every manager, whatever else each has heard; a collision, which only very
// large fleets could meet, takes the next number.
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
  Change whole;
  for (const json& event : known.value("cmds", json::array())) {
    Change change = read(event);
    if (change.result != EventResult::applied) return change;
    if (change.update == EndpointUpdate::snapshot) endpoints.clear();
    for (DiscoveredEndpoint& endpoint : change.endpoints) endpoints[endpoint.engine.id] = std::move(endpoint);
    has_endpoints_ = true;
    resume_version_ = std::max(resume_version_, event.value("cursor", std::int64_t{0}));
  }
  resume_version_ = std::max(resume_version_, known.value("cursor", std::int64_t{0}));
  whole.result = EventResult::applied, whole.update = EndpointUpdate::cached;
  for (auto& [id, endpoint] : endpoints) {
    if (endpoint.engine.state != EngineState::removed) whole.endpoints.push_back(std::move(endpoint));
  }
  return whole;
}

EndpointList::Change EndpointList::event(std::string_view id, std::string_view data, bool gap_allowed) {
  Change change;
  json event = json::parse(data, nullptr, false);
  if (event.is_discarded() || !event.is_object()) {
    change.fault = "not JSON";
    return change;
  }
  std::int64_t number = 0;
  const auto [stop, error] = std::from_chars(id.data(), id.data() + id.size(), number);
  if (error != std::errc{} || stop != id.data() + id.size()) {
    if (!event.contains("cursor") || !event["cursor"].is_number_integer()) {
      change.fault = "no number";
      return change;
    }
    number = event["cursor"].get<std::int64_t>();
  }
  return apply(event, number, gap_allowed);
}

void EndpointList::apply_newer(const json& known, const std::function<void(const Change&)>& applied) {
  for (const json& event : known.value("cmds", json::array())) {
    const Change change = apply(event, event.value("cursor", std::int64_t{0}), false);
    if (change.result == EventResult::old) continue;
    if (change.result != EventResult::applied) return;  // the stream tells it
    applied(change);
  }
}

// An event by its number: once, and in order.
EndpointList::Change EndpointList::apply(const json& event, std::int64_t number, bool gap_allowed) {
  Change change;
  if (number <= resume_version_) {
    change.result = EventResult::old;
    return change;
  }
  change = read(event);
  if (change.result != EventResult::applied) return change;
  // What was missed may have been of an engine that is gone: the stream is asked for it once more. A whole
  // list makes up for whatever was missed.
  if (number != resume_version_ + 1 && change.update != EndpointUpdate::snapshot && !gap_allowed) {
    change.result = EventResult::gap;
    return change;
  }
  resume_version_ = number, has_endpoints_ = true;
  forget_gone(change);
  return change;
}

// Names live as long as their engines are listed: engines are replaced all day.
void EndpointList::forget_gone(const Change& change) {
  const bool whole = change.update == EndpointUpdate::snapshot;
  std::map<EngineId, bool> gone;
  for (const DiscoveredEndpoint& endpoint : change.endpoints)
    gone[endpoint.engine.id] = endpoint.engine.state == EngineState::removed;
  std::erase_if(ids_, [&](const auto& one) {
    const auto named = gone.find(one.second);
    const bool over = named == gone.end() ? whole : named->second;
    if (over) taken_ids_.erase(one.second), start_times_.forget(one.second);
    return over;
  });
}

EndpointWatch::EndpointWatch(Loop& loop, std::string address, EndpointList& list, Listener& listener,
                             Counters& counters)
    : loop_(loop), address_(std::move(address)), list_(list), listener_(listener), counters_(counters) {}

EndpointWatch::~EndpointWatch() = default;

namespace {

using std::chrono::milliseconds;

// At once the first time, then at growing distance, well within what the list may come late.
constexpr milliseconds first_pause(50), longest_pause(400);
// A stream that held for so long was sound: what ended it is no reason to wait.
constexpr milliseconds stable_after(1000);
// A connection comes up within the first, and its first word comes within the second: a comment comes each
// second, so after two missed it is no good, whatever it looks like. Guards against discovery that is slower
// than that and would never be heard: each time in a row that it is, it gets twice the time.
constexpr milliseconds connect_timeout(500), first_data_timeout(2300), longest_wait(9200);

}  // namespace

void EndpointWatch::open() {
  last_data_at_ = opened_at_ = loop_.now();
  broken_ = received_data_ = false;
  const std::uint64_t which = ++opened_;
  ++counters_.list_connections;
  stream_ = std::make_unique<EventStreamReader>(*this);
  try {
    connection_ = std::make_unique<Connection>(loop_, resolved_address(address_, "channel"), *this);
  } catch (const AddressError&) {
    reopen("its address can't be used");
    return;
  }
  const std::string request =
      "GET /cmd/next HTTP/1.1\r\nHost: " + address_ +
      "\r\nAccept: text/event-stream\r\nLast-Event-ID: " + std::to_string(list_.resume_version()) +
      "\r\n\r\n";
  connection_->send(request);
  watch(which);
}

void EndpointWatch::set_address(std::string address) {
  if (address == address_) return;
  address_ = std::move(address);
  pause_ = Duration(0);
  timeout_factor_ = 1;
  reopen("the channel has moved");
}

void EndpointWatch::on_opened() { last_data_at_ = loop_.now(); }

void EndpointWatch::watch(std::uint64_t which) {
  loop_.at(loop_.now() + milliseconds(100), [this, which] {
    if (which != opened_ || !connection_) return;
    Duration longest = connection_->opened() ? first_data_timeout : connect_timeout;
    if (!received_data_) longest = std::min<Duration>(longest * timeout_factor_, longest_wait);
    if (loop_.now() - last_data_at_ <= longest) return watch(which);
    if (!received_data_) timeout_factor_ = std::min(2 * timeout_factor_, max_timeout_factor);
    reopen(connection_->opened() ? "the stream is silent" : "the connection does not come up");
  });
}

void EndpointWatch::on_data(std::string_view bytes) {
  last_data_at_ = loop_.now();
  received_data_ = true;
  timeout_factor_ = 1;
  // What was missed comes as soon as the stream is up.
  list_.heard(last_data_at_, last_data_at_ - opened_at_ >= stable_after);
  const Connection* here = connection_.get();
  const bool sound = stream_->feed(bytes);
  if (connection_.get() != here || !connection_) return;  // a gap has closed it already
  if (!sound || broken_) reopen("what came is no stream of events");
}

void EndpointWatch::on_event(std::string_view id, std::string_view data) {
  if (broken_) return;  // what comes behind a broken event or a gap comes again
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
      PEARCHUTE_LOG(spdlog::level::warn, "list of engines: event {} came after {}", id,
                    list_.resume_version());
      gap_seen_ = broken_ = true;
      break;
    case EndpointList::EventResult::broken:
      ++counters_.broken_events;
      PEARCHUTE_LOG(spdlog::level::warn, "list of engines: event {} can't be read: {}", id, change.fault);
      broken_ = true;
      break;
  }
}

void EndpointWatch::reopen(const char* why) {
  PEARCHUTE_LOG(spdlog::level::warn, "list of engines: {}; opened anew", why);
  loop_.retire(std::move(connection_));
  connection_.reset();
  // Guards against discovery that turns callers away, or ends their streams, as fast as they come: only a
  // stream that held is opened anew at once.
  if (received_data_ && loop_.now() - opened_at_ >= stable_after) pause_ = Duration(0);
  loop_.at(loop_.now() + pause_, [this, which = opened_] {
    if (which == opened_) open();
  });
  pause_ = std::clamp<Duration>(2 * pause_, first_pause, longest_pause);
}

}  // namespace pearchute::net
