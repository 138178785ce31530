#include "lab/stand_ins/relay.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>
#include <sys/socket.h>

#include <deque>

#include "net/connection.h"

namespace pearchute::lab {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds trickle_interval(50);
// Once a direction keeps more than this, the relay stops reading from its sender, as a full socket buffer
// would.
constexpr std::size_t max_queued_bytes = 1 << 20;

}  // namespace

struct Relay::Side final : net::Connection::Listener {
  Side(Pair& p, Way w, const Poco::Net::StreamSocket& s) : pair(p), way(w), socket(s) {
    connection = std::make_unique<net::Connection>(loop(), s, *this);
  }
  net::Loop& loop() const;
  void on_data(std::string_view bytes) override;
  void on_closed() override;

  Pair& pair;
  const Way way;  // the direction of the bytes that arrive on this side
  Poco::Net::StreamSocket socket;
  std::unique_ptr<net::Connection> connection;
};

struct Relay::Pair {
  struct Chunk {
    TimePoint due;
    std::string bytes;
  };
  explicit Pair(Relay& r) : relay(r) {}
  void on_bytes(Way way, std::string_view bytes) {
    if (relay.flows_[way].cut) {
      has_lost_bytes = true;
      return;
    }
    queued[way].push_back({relay.loop_.now() + relay.flows_[way].delay, std::string(bytes)});
    queued_bytes[way] += bytes.size();
    forward(way);
  }
  void on_end(Way way) {
    has_ended[way] = true;
    if (relay.flows_[way].cut) has_lost_bytes = true;
    else forward(way);
  }
  // Forwards the bytes that are due, and sets a timer for the rest.
  void forward(Way way) {
    const Flow& flow = relay.flows_[way];
    Side* to = sides[way == there ? back : there].get();
    if (flow.held || flow.cut || !to || is_dropped) return;
    const TimePoint now = relay.loop_.now();
    std::optional<TimePoint> next_time;
    while (!queued[way].empty() && !next_time) {
      Chunk& chunk = queued[way].front();
      if (chunk.due > now) {
        next_time = chunk.due;
      } else if (flow.trickle > 0 && next_trickle[way] > now) {
        next_time = next_trickle[way];
      } else {
        const std::size_t part =
            flow.trickle > 0 ? std::min(flow.trickle, chunk.bytes.size()) : chunk.bytes.size();
        to->connection->send(std::string_view(chunk.bytes).substr(0, part));
        relay.bytes_[way] += part, queued_bytes[way] -= part;
        chunk.bytes.erase(0, part);
        if (chunk.bytes.empty()) queued[way].pop_front();
        if (flow.trickle > 0) next_trickle[way] = now + trickle_interval;
      }
    }
    if (Side* from = sides[way].get(); from && !has_ended[way])
      from->connection->pause(queued_bytes[way] > max_queued_bytes);
    if (next_time && !has_timer[way]) {
      has_timer[way] = true;
      relay.loop_.at(*next_time, [this, way, here = std::weak_ptr<bool>(alive)] {
        if (here.expired()) return;
        has_timer[way] = false;
        forward(way);
      });
    }
    // The end of data is forwarded after all bytes that preceded it.
    if (queued[way].empty() && has_ended[way]) relay.drop(*this);
  }
  void reset() {
    for (auto& side : sides) {
      if (!side || side->connection->closed()) continue;
      try {
        side->socket.setLinger(true, 0);
      } catch (const Poco::Exception&) {
        // A Unix socket has no reset; closing it serves as one.
      }
      side->connection->close();
    }
    relay.drop(*this);
  }

  Relay& relay;
  std::array<std::unique_ptr<Side>, 2> sides;  // by the direction of the bytes that arrive on them
  std::array<std::deque<Chunk>, 2> queued;
  std::array<std::size_t, 2> queued_bytes{};
  std::array<TimePoint, 2> next_trickle{};
  std::array<bool, 2> has_ended{}, has_timer{};
  bool has_lost_bytes = false, is_dropped = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

net::Loop& Relay::Side::loop() const { return pair.relay.loop_; }
void Relay::Side::on_data(std::string_view bytes) { pair.on_bytes(way, bytes); }
void Relay::Side::on_closed() { pair.on_end(way); }

Relay::Relay(net::Loop& loop, const std::string& listen, Poco::Net::SocketAddress target)
    : loop_(loop),
      listener_(loop, Poco::Net::SocketAddress(listen), [this](const auto& socket) { on_accepted(socket); }),
      target_(std::move(target)) {}

Relay::~Relay() { *alive_ = false; }

void Relay::on_accepted(const Poco::Net::StreamSocket& socket) {
  ++accepted_count_;
  auto pair = std::make_unique<Pair>(*this);
  Pair& one = *pair;
  pairs_[&one] = std::move(pair);
  one.sides[there] = std::make_unique<Side>(one, there, socket);
  // While the direction is cut, the server doesn't see the connection; it is reset when the cut ends.
  if (flows_[there].cut) {
    one.has_lost_bytes = true;
    return;
  }
  try {
    Poco::Net::StreamSocket to;
    to.connect(
        target_,
        Poco::Timespan(0, 200'000));  // the server is on this machine, so it accepts at once or not at all
    one.sides[back] = std::make_unique<Side>(one, back, to);
  } catch (const Poco::Exception&) {
    one.reset();
  }
}

void Relay::drop(Pair& pair) {
  const auto at = pairs_.find(&pair);
  if (at == pairs_.end()) return;
  pair.is_dropped = true;
  for (auto& side : pair.sides) {
    if (!side) continue;
    if (side->connection->closed()) loop_.retire(std::move(side->connection));
    else loop_.finish(std::move(side->connection));
  }
  dropped_.push_back(std::move(at->second));
  pairs_.erase(at);
  loop_.post([this, alive = alive_] {
    if (*alive) dropped_.clear();
  });
}

void Relay::set(Way way, const Flow& flow) {
  const bool cut_ends = flows_[way].cut && !flow.cut;
  flows_[way] = flow;
  std::vector<Pair*> all;
  for (const auto& [key, pair] : pairs_) all.push_back(key);
  for (Pair* pair : all) {
    if (cut_ends && pair->has_lost_bytes) pair->reset();
    else pair->forward(way);
  }
}

void Relay::reset() {
  while (!pairs_.empty()) pairs_.begin()->first->reset();
}

void Relay::half_close(Way way) {
  for (const auto& [key, pair] : pairs_) {
    const Side* to = key->sides[way == there ? back : there].get();
    if (to && !to->connection->closed()) ::shutdown(to->socket.impl()->sockfd(), SHUT_WR);
  }
}

// ---- Relays

Relay& Relays::between(const std::string& from, const std::string& to, const std::string& target) {
  const Poco::Net::SocketAddress at =
      target.starts_with("unix:")
          ? Poco::Net::SocketAddress(Poco::Net::SocketAddress::UNIX_LOCAL, target.substr(5))
          : Poco::Net::SocketAddress(target);
  auto& relay = all_[{from, to}];
  relay = std::make_unique<Relay>(loop_, "127.0.0.1:0", at);
  return *relay;
}

void Relays::split(const std::vector<std::vector<std::string>>& parts) {
  std::map<std::string, std::size_t> part_of;
  for (std::size_t n = 0; n < parts.size(); ++n) {
    for (const std::string& name : parts[n]) part_of[name] = n;
  }
  for (auto& [ends, relay] : all_) {
    const auto from = part_of.find(ends.first), to = part_of.find(ends.second);
    Flow flow;
    flow.cut = from != part_of.end() && to != part_of.end() && from->second != to->second;
    relay->set(flow);
  }
}

void Relays::mute(const std::string& from, const std::string& to) {
  Flow cut;
  cut.cut = true;
  if (const auto at = all_.find({from, to}); at != all_.end()) at->second->set(Relay::there, cut);
  if (const auto at = all_.find({to, from}); at != all_.end()) at->second->set(Relay::back, cut);
}

void Relays::heal() {
  for (auto& [ends, relay] : all_) relay->set(Flow{});
}

std::string Relays::strike(std::knuth_b& random) {
  if (all_.empty()) return "no relay to strike";
  auto at = std::next(all_.begin(), static_cast<std::ptrdiff_t>(random() % all_.size()));
  const std::string ends = at->first.first + " to " + at->first.second;
  Relay& relay = *at->second;
  const Relay::Way way = random() % 2 == 0 ? Relay::there : Relay::back;
  Flow flow;
  switch (random() % 7) {
    case 0:
      return flow.delay = milliseconds(100 + random() % 1900), relay.set(flow), ends + ": late";
    case 1:
      return flow.trickle = 1 + random() % 64, relay.set(way, flow), ends + ": a trickle";
    case 2:
      return flow.held = true, relay.set(way, flow), ends + ": held one way";
    case 3:
      return flow.cut = true, relay.set(flow), ends + ": cut both ways";
    case 4:
      return mute(at->first.first, at->first.second), ends + ": cut one way";
    case 5:
      return relay.half_close(way), ends + ": half closed";
    default:
      return relay.reset(), ends + ": reset";
  }
}

std::uint64_t Relays::bytes() const {
  std::uint64_t sum = 0;
  for (const auto& [ends, relay] : all_) sum += relay->bytes(Relay::there) + relay->bytes(Relay::back);
  return sum;
}

}  // namespace pearchute::lab
