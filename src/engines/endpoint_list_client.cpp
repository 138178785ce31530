#include "engines/endpoint_list_client.h"

#include <utility>

#include "errors/error.h"
#include "net/addresses.h"

namespace pearchute::net {

namespace {

void log_reopening(std::string_view reason) {
  PEARCHUTE_LOG(spdlog::level::warn, "endpoint list: {}; reopening the stream", reason);
}

}  // namespace

// One connection to the channel, with the parser of its response.
class EndpointListClient::Stream final : public Connection::Listener, public EventStreamReader::Listener {
 public:
  Stream(EndpointListClient& owner, StreamId id, const Poco::Net::SocketAddress& to)
      : owner_(owner), id_(id), reader_(*this) {
    connection_ = std::make_unique<Connection>(owner.loop_, to, *this);
  }
  void request(const std::string& bytes) { connection_->send(bytes); }
  std::unique_ptr<Connection> release_connection() { return std::move(connection_); }

 private:
  void on_opened() override {
    owner_.schedule_.on_connected(owner_.loop_.now(), id_);
    owner_.advance();
  }
  void on_data(std::string_view bytes) override {
    const TimePoint now = owner_.loop_.now();
    owner_.list_.on_data_received(now, owner_.schedule_.is_current(now, id_));
    const bool is_valid = reader_.feed(bytes) && !is_broken_;
    if (!connection_) return;  // closed while its events were handled
    owner_.schedule_.on_data(now, id_, reader_.body_begun());
    owner_.advance();
    if (!is_valid) end("the response is not a valid event stream");
  }
  void on_closed() override { end("the stream ended"); }
  void on_event(std::string_view id, std::string_view data) override {
    if (!is_broken_) is_broken_ = !owner_.apply_event(id, data);
  }
  // Destroys the stream after the current event.
  void end(const char* reason) {
    log_reopening(reason);
    owner_.schedule_.on_ended(owner_.loop_.now(), id_);
    owner_.close_stream(id_);
    owner_.advance();
  }

  EndpointListClient& owner_;
  StreamId id_;
  EventStreamReader reader_;
  std::unique_ptr<Connection> connection_;
  bool is_broken_ = false;  // the rest of this stream is ignored
};

EndpointListClient::EndpointListClient(Loop& loop, std::string address, EndpointList& list,
                                       Listener& listener, Counters& counters)
    : loop_(loop),
      address_(std::move(address)),
      list_(list),
      listener_(listener),
      counters_(counters),
      closed_streams_(loop) {}

EndpointListClient::~EndpointListClient() = default;

void EndpointListClient::open() { advance(); }

void EndpointListClient::set_address(std::string address) {
  if (address == address_) return;
  address_ = std::move(address);
  log_reopening("the channel's address has changed");
  while (!streams_.empty()) close_stream(streams_.begin()->first);
  schedule_.restart(loop_.now());
  advance();
}

void EndpointListClient::advance() {
  const StreamSchedule::Actions actions = schedule_.due(loop_.now());
  for (const StreamSchedule::Close& close : actions.closes) {
    log_close(close.reason);
    close_stream(close.stream);
  }
  if (actions.opens) open_stream();
  timer_ = ScopedTimer(loop_, schedule_.next_due_at(), [this] { advance(); });
}

void EndpointListClient::open_stream() {
  ++counters_.list_connections;
  const StreamId id = schedule_.on_opening(loop_.now());
  try {
    const auto at =
        streams_.emplace(id, std::make_unique<Stream>(*this, id, resolved_address(address_, "channel")));
    at.first->second->request("GET /cmd/next HTTP/1.1\r\nHost: " + address_ +
                              "\r\nAccept: text/event-stream\r\nLast-Event-ID: " +
                              std::to_string(list_.resume_version()) + "\r\n\r\n");
  } catch (const AddressError&) {
    log_reopening("the channel's address can't be resolved");
    schedule_.on_ended(loop_.now(), id);
  }
}

// The stream may be the caller, so it is destroyed after the current event.
void EndpointListClient::close_stream(StreamId stream) {
  const auto at = streams_.find(stream);
  if (at == streams_.end()) return;
  loop_.retire(at->second->release_connection());
  closed_streams_.take(std::move(at->second));
  streams_.erase(at);
}

void EndpointListClient::log_close(StreamEnd reason) {
  switch (reason) {
    case StreamEnd::silent:
      return log_reopening("the stream sends no data");
    case StreamEnd::no_data:
      PEARCHUTE_LOG(spdlog::level::warn, "endpoint list: closed a stream that has sent no data");
      return;
    case StreamEnd::not_opened:
      PEARCHUTE_LOG(spdlog::level::warn, "endpoint list: connect timeout");
      return;
    case StreamEnd::too_many_open:
      PEARCHUTE_LOG(spdlog::level::warn, "endpoint list: closed the oldest of many streams without data");
      return;
    case StreamEnd::not_needed:
      return;
  }
}

bool EndpointListClient::apply_event(std::string_view id, std::string_view data) {
  ++counters_.list_events;
  const EndpointList::Change change = list_.apply_event(id, data, gap_seen_);
  switch (change.result) {
    case EndpointList::EventResult::applied:
      gap_seen_ = false;
      listener_.on_endpoints_changed(change.update, change.endpoints);
      return true;
    case EndpointList::EventResult::duplicate:
      return true;
    case EndpointList::EventResult::gap:
      PEARCHUTE_LOG(spdlog::level::warn, "endpoint list: event {} follows version {}; events are missing", id,
                    list_.resume_version());
      gap_seen_ = true;
      return false;
    case EndpointList::EventResult::malformed:
      ++counters_.broken_events;
      PEARCHUTE_LOG(spdlog::level::warn, "endpoint list: event {} is malformed: {}", id, change.fault);
      return false;
  }
  return false;
}

}  // namespace pearchute::net
