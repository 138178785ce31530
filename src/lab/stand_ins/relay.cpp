#include "lab/stand_ins/relay.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>
#include <sys/socket.h>

#include <deque>

#include "net/connection.h"

namespace pearchute::lab {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds trickles_every(50);
// What a held direction keeps before its sender has to wait, as a socket's own buffers do.
constexpr std::size_t most_kept = 1 << 20;

}  // namespace

struct Relay::Side final : net::Connection::Listener {
  Side(Pair& p, Way w, const Poco::Net::StreamSocket& s) : pair(p), way(w), socket(s) {
    wire = std::make_unique<net::Connection>(loop(), s, *this);
  }
  net::Loop& loop() const;
  void on_data(std::string_view bytes) override;
  void on_closed() override;

  Pair& pair;
  const Way way;  // of what it brings
  Poco::Net::StreamSocket socket;
  std::unique_ptr<net::Connection> wire;
};

struct Relay::Pair {
  struct Lot {
    TimePoint due;
    std::string bytes;
  };
  explicit Pair(Relay& r) : relay(r) {}
  void brought(Way way, std::string_view bytes) {
    if (relay.flows_[way].cut) {
      spoiled = true;
      return;
    }
    kept[way].push_back({relay.loop_.now() + relay.flows_[way].delay, std::string(bytes)});
    kept_bytes[way] += bytes.size();
    pump(way);
  }
  void ended(Way way) {
    over[way] = true;
    if (relay.flows_[way].cut) spoiled = true;
    else pump(way);
  }
  // Sends on what may go by now, and comes again for the rest.
  void pump(Way way) {
    const Flow& flow = relay.flows_[way];
    Side* to = sides[way == there ? back : there].get();
    if (flow.held || flow.cut || !to || gone) return;
    const TimePoint now = relay.loop_.now();
    std::optional<TimePoint> again;
    while (!kept[way].empty() && !again) {
      Lot& lot = kept[way].front();
      if (lot.due > now) {
        again = lot.due;
      } else if (flow.trickle > 0 && next_drop[way] > now) {
        again = next_drop[way];
      } else {
        const std::size_t part =
            flow.trickle > 0 ? std::min(flow.trickle, lot.bytes.size()) : lot.bytes.size();
        to->wire->send(std::string_view(lot.bytes).substr(0, part));
        relay.bytes_[way] += part, kept_bytes[way] -= part;
        lot.bytes.erase(0, part);
        if (lot.bytes.empty()) kept[way].pop_front();
        if (flow.trickle > 0) next_drop[way] = now + trickles_every;
      }
    }
    if (Side* from = sides[way].get(); from && !over[way]) from->wire->pause(kept_bytes[way] > most_kept);
    if (again && !awaited[way]) {
      awaited[way] = true;
      relay.loop_.at(*again, [this, way, here = std::weak_ptr<bool>(alive)] {
        if (here.expired()) return;
        awaited[way] = false;
        pump(way);
      });
    }
    // The end goes on behind all that came before it.
    if (kept[way].empty() && over[way]) relay.drop(*this);
  }
  void reset() {
    for (auto& side : sides) {
      if (!side || side->wire->closed()) continue;
      try {
        side->socket.setLinger(true, 0);
      } catch (const Poco::Exception&) {
        // A Unix socket knows no reset; its end is one.
      }
      side->wire->close();
    }
    relay.drop(*this);
  }

  Relay& relay;
  std::array<std::unique_ptr<Side>, 2> sides;  // by the way of what they bring
  std::array<std::deque<Lot>, 2> kept;
  std::array<std::size_t, 2> kept_bytes{};
  std::array<TimePoint, 2> next_drop{};
  std::array<bool, 2> over{}, awaited{};
  bool spoiled = false, gone = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

net::Loop& Relay::Side::loop() const { return pair.relay.loop_; }
void Relay::Side::on_data(std::string_view bytes) { pair.brought(way, bytes); }
void Relay::Side::on_closed() { pair.ended(way); }

Relay::Relay(net::Loop& loop, const std::string& listen, Poco::Net::SocketAddress target)
    : loop_(loop),
      door_(loop, Poco::Net::SocketAddress(listen), [this](const auto& socket) { took(socket); }),
      target_(std::move(target)) {}

Relay::~Relay() { *alive_ = false; }

void Relay::took(const Poco::Net::StreamSocket& socket) {
  ++came_;
  auto pair = std::make_unique<Pair>(*this);
  Pair& one = *pair;
  pairs_[&one] = std::move(pair);
  one.sides[there] = std::make_unique<Side>(one, there, socket);
  // Through a cut nobody hears that somebody would connect; it is reset when the cut is over.
  if (flows_[there].cut) {
    one.spoiled = true;
    return;
  }
  try {
    Poco::Net::StreamSocket to;
    to.connect(target_, Poco::Timespan(0, 200'000));  // on this machine: at once, or it is not there
    one.sides[back] = std::make_unique<Side>(one, back, to);
  } catch (const Poco::Exception&) {
    one.reset();
  }
}

void Relay::drop(Pair& pair) {
  const auto at = pairs_.find(&pair);
  if (at == pairs_.end()) return;
  pair.gone = true;
  for (auto& side : pair.sides) {
    if (!side) continue;
    if (side->wire->closed()) loop_.retire(std::move(side->wire));
    else loop_.finish(std::move(side->wire));
  }
  gone_.push_back(std::move(at->second));
  pairs_.erase(at);
  loop_.post([this, alive = alive_] {
    if (*alive) gone_.clear();
  });
}

void Relay::set(Way way, const Flow& flow) {
  const bool mended = flows_[way].cut && !flow.cut;
  flows_[way] = flow;
  std::vector<Pair*> all;
  for (const auto& [key, pair] : pairs_) all.push_back(key);
  for (Pair* pair : all) {
    if (mended && pair->spoiled) pair->reset();
    else pair->pump(way);
  }
}

void Relay::reset() {
  while (!pairs_.empty()) pairs_.begin()->first->reset();
}

void Relay::half_close(Way way) {
  for (const auto& [key, pair] : pairs_) {
    const Side* to = key->sides[way == there ? back : there].get();
    if (to && !to->wire->closed()) ::shutdown(to->socket.impl()->sockfd(), SHUT_WR);
  }
}

// ---- A net of them

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

std::string Relays::strike(std::knuth_b& chance) {
  if (all_.empty()) return "nothing to strike";
  auto at = std::next(all_.begin(), static_cast<std::ptrdiff_t>(chance() % all_.size()));
  const std::string ends = at->first.first + " to " + at->first.second;
  Relay& relay = *at->second;
  const Relay::Way way = chance() % 2 == 0 ? Relay::there : Relay::back;
  Flow flow;
  switch (chance() % 7) {
    case 0:
      return flow.delay = milliseconds(100 + chance() % 1900), relay.set(flow), ends + ": late";
    case 1:
      return flow.trickle = 1 + chance() % 64, relay.set(way, flow), ends + ": a trickle";
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
