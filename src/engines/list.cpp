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
EngineId EngineList::id_of(const std::string& name) {
  const auto known = ids_.find(name);
  if (known != ids_.end()) return known->second;
  std::uint32_t hash = 2166136261u;  // FNV-1a
  for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 16777619u;
  EngineId id{hash};
  while (!taken_ids_.insert(id).second) id.value += 1;
  return ids_[name] = id;
}

EngineList::Change EngineList::read(const json& event) {
  Change change;
  try {
    const json& nodes = event.at("nodes");
    change.news = nodes.value("complete", false) ? EndpointUpdate::snapshot : EndpointUpdate::delta;
    for (const json& one : nodes.at("members")) {
      Member& member = change.members.emplace_back();
      member.name = one.at("id").get<std::string>();
      member.engine.id = id_of(member.name);
      member.address = one.value("host_port", "");
      member.engine.state = service::one_of<EngineState>(
          "phase", one.at("phase").get<std::string>(),
          {{"active", EngineState::up}, {"leaving", EngineState::draining}, {"left", EngineState::removed}});
      member.engine.zone = deployment_.zone(service::plain_name(one.value("locality", "")));
      member.engine.kind = deployment_.kind(service::plain_name(one.value("flavor", "")));
      member.engine.cell = CellId{one.value("cell", std::int64_t{0})};
      const std::int64_t since = one.value("up_since_ms", std::int64_t{0});
      if (since > 0)
        member.engine.started_at = start_times_.start_of(member.engine.id, std::chrono::milliseconds(since));
    }
    change.taken = Taken::applied;
  } catch (const std::exception& error) {
    change.taken = Taken::broken, change.fault = error.what();
  }
  return change;
}

EngineList::Change EngineList::known(const json& known) {
  std::map<EngineId, Member> members;
  Change whole;
  for (const json& event : known.value("cmds", json::array())) {
    Change change = read(event);
    if (change.taken != Taken::applied) return change;
    if (change.news == EndpointUpdate::snapshot) members.clear();
    for (Member& member : change.members) members[member.engine.id] = std::move(member);
    has_list_ = true;
    cursor_ = std::max(cursor_, event.value("cursor", std::int64_t{0}));
  }
  cursor_ = std::max(cursor_, known.value("cursor", std::int64_t{0}));
  whole.taken = Taken::applied, whole.news = EndpointUpdate::cached;
  for (auto& [id, member] : members) {
    if (member.engine.state != EngineState::removed) whole.members.push_back(std::move(member));
  }
  return whole;
}

EngineList::Change EngineList::event(std::string_view id, std::string_view data, bool gap_allowed) {
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
  return take(event, number, gap_allowed);
}

void EngineList::take_newer(const json& known, const std::function<void(const Change&)>& applied) {
  for (const json& event : known.value("cmds", json::array())) {
    const Change change = take(event, event.value("cursor", std::int64_t{0}), false);
    if (change.taken == Taken::old) continue;
    if (change.taken != Taken::applied) return;  // the stream tells it
    applied(change);
  }
}

// An event by its number: once, and in order.
EngineList::Change EngineList::take(const json& event, std::int64_t number, bool gap_allowed) {
  Change change;
  if (number <= cursor_) {
    change.taken = Taken::old;
    return change;
  }
  change = read(event);
  if (change.taken != Taken::applied) return change;
  // What was missed may have been of an engine that is gone: the stream is asked for it once more. A whole
  // list makes up for whatever was missed.
  if (number != cursor_ + 1 && change.news != EndpointUpdate::snapshot && !gap_allowed) {
    change.taken = Taken::gap;
    return change;
  }
  cursor_ = number, has_list_ = true;
  forget_gone(change);
  return change;
}

// Names live as long as their engines are listed: engines are replaced all day.
void EngineList::forget_gone(const Change& change) {
  const bool whole = change.news == EndpointUpdate::snapshot;
  std::map<EngineId, bool> gone;
  for (const Member& member : change.members)
    gone[member.engine.id] = member.engine.state == EngineState::removed;
  std::erase_if(ids_, [&](const auto& one) {
    const auto named = gone.find(one.second);
    const bool over = named == gone.end() ? whole : named->second;
    if (over) taken_ids_.erase(one.second), start_times_.forget(one.second);
    return over;
  });
}

ListFeed::ListFeed(Loop& loop, std::string address, EngineList& list, Listener& listener, Counters& counters)
    : loop_(loop), address_(std::move(address)), list_(list), listener_(listener), counters_(counters) {}

ListFeed::~ListFeed() = default;

namespace {

using std::chrono::milliseconds;

// At once the first time, then at growing distance, well within what the list may come late.
constexpr milliseconds first_pause(50), longest_pause(400);
// A stream that held for so long was sound: what ended it is no reason to wait.
constexpr milliseconds sound_after(1000);
// A connection comes up within the first, and its first word comes within the second: a comment comes each
// second, so after two missed it is no good, whatever it looks like. Guards against discovery that is slower
// than that and would never be heard: each time in a row that it is, it gets twice the time.
constexpr milliseconds opens_within(500), speaks_within(2300), longest_wait(9200);

}  // namespace

void ListFeed::open() {
  last_sign_ = opened_at_ = loop_.now();
  broken_ = spoke_ = false;
  const std::uint64_t which = ++opened_;
  ++counters_.list_connections;
  feed_ = std::make_unique<EventFeed>(*this);
  try {
    wire_ = std::make_unique<Wire>(loop_, resolved_address(address_, "channel"), *this);
  } catch (const AddressError&) {
    again("its address can't be used");
    return;
  }
  const std::string request =
      "GET /cmd/next HTTP/1.1\r\nHost: " + address_ +
      "\r\nAccept: text/event-stream\r\nLast-Event-ID: " + std::to_string(list_.cursor()) + "\r\n\r\n";
  wire_->send(request);
  watch(which);
}

void ListFeed::move_to(std::string address) {
  if (address == address_) return;
  address_ = std::move(address);
  pause_ = Duration(0);
  patience_ = 1;
  again("the channel has moved");
}

void ListFeed::wire_opened() { last_sign_ = loop_.now(); }

void ListFeed::watch(std::uint64_t which) {
  loop_.at(loop_.now() + milliseconds(100), [this, which] {
    if (which != opened_ || !wire_) return;
    Duration longest = wire_->opened() ? speaks_within : opens_within;
    if (!spoke_) longest = std::min<Duration>(longest * patience_, longest_wait);
    if (loop_.now() - last_sign_ <= longest) return watch(which);
    if (!spoke_) patience_ = std::min(2 * patience_, most_patience);
    again(wire_->opened() ? "the stream is silent" : "the connection does not come up");
  });
}

void ListFeed::wire_brought(std::string_view bytes) {
  last_sign_ = loop_.now();
  spoke_ = true;
  patience_ = 1;
  // What was missed comes as soon as the stream is up.
  list_.heard(last_sign_, last_sign_ - opened_at_ >= sound_after);
  const Wire* here = wire_.get();
  const bool sound = feed_->feed(bytes);
  if (wire_.get() != here || !wire_) return;  // a gap has closed it already
  if (!sound || broken_) again("what came is no stream of events");
}

void ListFeed::event_came(std::string_view id, std::string_view data) {
  if (broken_) return;  // what comes behind a broken event or a gap comes again
  ++counters_.list_events;
  const EngineList::Change change = list_.event(id, data, gap_seen_);
  switch (change.taken) {
    case EngineList::Taken::applied:
      gap_seen_ = false;
      listener_.list_changed(change.news, change.members);
      break;
    case EngineList::Taken::old:
      break;
    case EngineList::Taken::gap:
      PEARCHUTE_LOG(spdlog::level::warn, "list of engines: event {} came after {}", id, list_.cursor());
      gap_seen_ = broken_ = true;
      break;
    case EngineList::Taken::broken:
      ++counters_.broken_events;
      PEARCHUTE_LOG(spdlog::level::warn, "list of engines: event {} can't be read: {}", id, change.fault);
      broken_ = true;
      break;
  }
}

void ListFeed::again(const char* why) {
  PEARCHUTE_LOG(spdlog::level::warn, "list of engines: {}; opened anew", why);
  loop_.retire(std::move(wire_));
  wire_.reset();
  // Guards against discovery that turns callers away, or ends their streams, as fast as they come: only a
  // stream that held is opened anew at once.
  if (spoke_ && loop_.now() - opened_at_ >= sound_after) pause_ = Duration(0);
  loop_.at(loop_.now() + pause_, [this, which = opened_] {
    if (which == opened_) open();
  });
  pause_ = std::clamp<Duration>(2 * pause_, first_pause, longest_pause);
}

}  // namespace pearchute::net
