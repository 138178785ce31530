#include "engines.h"

#include <Poco/Exception.h>

#include <algorithm>

namespace pearchute::net {

// One connection and the talk on it.
class Engines::Link final : public Wire::User, public EngineTalk::Listener {
 public:
  Link(Engines& owner, EngineId engine, const Poco::Net::SocketAddress& to)
      : owner_(owner), engine_(engine), talk_(*this), idle_since_(owner.loop_.now()) {
    wire_ = std::make_unique<Wire>(owner.loop_, to, *this);
  }

  EngineId engine() const { return engine_; }
  std::unique_ptr<Wire> give_wire() { return std::move(wire_); }
  std::size_t busy() const { return talk_.open() + before_open_.size(); }
  bool opened() const { return wire_->opened(); }
  bool knows(std::string_view id) const { return talk_.knows(id); }
  bool idle_for(Span now, Span span) const { return busy() == 0 && now - idle_since_ >= span; }

  void want(DispatchKey key, const Want& want) {
    owner_.on_[key] = this;
    if (!opened()) {  // kept back, so that one given up before the connection is up never leaves
      before_open_.push_back({key, want, std::string(want.id), std::string(want.kind),
                              std::string(want.token), std::string(want.statement)});
      return;
    }
    std::string out;
    talk_.want(key, want, out);
    wire_->send(out);
  }

  // True where it has left, so that the engine has to hear of it.
  bool never_mind(DispatchKey key) {
    if (std::erase_if(before_open_, [&](const Kept& kept) { return kept.key == key; }) > 0) return false;
    std::string out;
    talk_.never_mind(key, out);
    wire_->send(out);
    return true;
  }
  void lose_patience(DispatchKey key) { talk_.lose_patience(key); }

  void hurry(DispatchKey key, int priority) {
    for (Kept& kept : before_open_) {
      if (kept.key == key) kept.want.priority = priority;
    }
    std::string out;
    talk_.hurry(key, priority, out);
    wire_->send(out);
  }

  void wire_opened() override {
    std::string out;
    for (Kept& kept : before_open_) {
      kept.want.id = kept.id, kept.want.kind = kept.kind;
      kept.want.token = kept.token, kept.want.statement = kept.statement;
      talk_.want(kept.key, kept.want, out);
    }
    before_open_.clear();
    wire_->send(out);
  }

  void wire_brought(std::string_view bytes) override {
    std::string out;
    const bool sound = talk_.feed(bytes, out);
    if (!sound) {
      ++owner_.counters_.broken_answers;
      PEARCHUTE_LOG(spdlog::level::warn, "engine {}: bytes that are no answer; connection closed",
                    engine_.value);
      return lost();
    }
    wire_->send(out);
  }

  void wire_ended() override { lost(); }

  // The connection is gone, or never came up.
  void lost() {
    const std::uint64_t left = wire_->written();
    wire_->close();
    const std::vector<Kept> kept = std::move(before_open_);
    before_open_.clear();
    owner_.drop(*this);
    for (const Kept& one : kept) talk_ended(one.key, Outcome::unreachable, {});
    talk_.broke(left);
  }

  void talk_ended(DispatchKey key, Outcome outcome, std::vector<std::string> pages) override {
    owner_.on_.erase(key);
    if (busy() == 0) idle_since_ = owner_.loop_.now();
    owner_.listener_.talk_ended(key, outcome, std::move(pages));
  }
  void talk_progress(DispatchKey key, double share) override { owner_.listener_.talk_progress(key, share); }
  void talk_spill(DispatchKey key, double missing) override { owner_.listener_.talk_spill(key, missing); }
  void talk_wait(DispatchKey key, Wait wait) override { owner_.listener_.talk_wait(key, wait); }

 private:
  struct Kept {
    DispatchKey key;
    Want want;
    std::string id, kind, token, statement;
  };
  Engines& owner_;
  EngineId engine_;
  EngineTalk talk_;
  std::unique_ptr<Wire> wire_;
  std::vector<Kept> before_open_;
  Span idle_since_;
};

Engines::Engines(Loop& loop, const service::LinkLimits& limits, std::size_t most_connections,
                 Listener& listener, Counters& counters)
    : loop_(loop),
      limits_(limits),
      most_connections_(most_connections),
      listener_(listener),
      counters_(counters) {
  sweep();
}

Engines::~Engines() = default;

void Engines::place(EngineId engine, const std::string& address) { places_[engine].address = address; }

void Engines::want(EngineId engine, DispatchKey key, const Want& want) {
  ++counters_.dispatches;
  Link* link = link_for(engine, want.id);
  if (link) return link->want(key, want);
  loop_.soon([this, key] { listener_.talk_ended(key, Outcome::unreachable, {}); });
}

Engines::Link* Engines::link_for(EngineId engine, std::string_view id) {
  const auto at = places_.find(engine);
  if (at == places_.end()) return nullptr;
  Place& place = at->second;
  for (const auto& link : place.links) {
    // Not where the same id was given up: a late answer could be taken for that of this dispatch.
    if (link->busy() < static_cast<std::size_t>(limits_.dispatches_each) && !link->knows(id))
      return link.get();
  }
  if (connections_ >= most_connections_ && !make_room()) {
    PEARCHUTE_LOG(spdlog::level::warn, "no descriptor left for a connection to engine {}", engine.value);
    return nullptr;
  }
  Link* link = nullptr;
  try {
    link = place.links
               .emplace_back(std::make_unique<Link>(*this, engine, Poco::Net::SocketAddress(place.address)))
               .get();
  } catch (const Poco::Exception& error) {
    PEARCHUTE_LOG(spdlog::level::warn, "engine {}: {}", engine.value, error.displayText());
    return nullptr;
  }
  ++connections_, ++counters_.engine_connections;
  if (limits_.connect_within > Span(0)) {
    loop_.at(loop_.now() + limits_.connect_within, [this, engine, link] {
      for (const auto& one : places_[engine].links) {
        if (one.get() == link && !link->opened()) return link->lost();
      }
    });
  }
  return link;
}

// Closes the connection that has been idle for longest, whichever engine it leads to.
bool Engines::make_room() {
  Link* oldest = nullptr;
  for (auto& [engine, place] : places_) {
    for (const auto& link : place.links) {
      if (link->busy() == 0 && link->opened()) oldest = link.get();
    }
  }
  if (!oldest) return false;
  drop(*oldest);
  return true;
}

void Engines::never_mind(DispatchKey key) {
  const auto it = on_.find(key);
  if (it == on_.end()) return;
  ++counters_.never_minds;
  if (!it->second->never_mind(key)) {
    on_.erase(it);
    return loop_.soon([this, key] { listener_.talk_ended(key, Outcome::stopped, {}); });
  }
  // What the platform allows on top of its time limits; a connection that is so slow says nothing any more.
  loop_.at(loop_.now() + std::chrono::milliseconds(50), [this, key] {
    const auto at = on_.find(key);
    if (at != on_.end()) at->second->lose_patience(key);
  });
}

void Engines::hurry(DispatchKey key, int priority) {
  const auto it = on_.find(key);
  if (it == on_.end()) return;
  ++counters_.hurries;
  it->second->hurry(key, priority);
}

void Engines::drop(Link& link) {
  auto& links = places_[link.engine()].links;
  const auto it = std::ranges::find(links, &link, [](const auto& one) { return one.get(); });
  if (it == links.end()) return;
  --connections_;
  dropped_.push_back(std::move(*it));
  links.erase(it);
  loop_.soon([this] {
    for (auto& one : dropped_) loop_.retire(one->give_wire());
    dropped_.clear();
  });
}

// Guards against a dispatch that crosses an engine's own close of an idle connection, which would leave it
// unknown whether it ran: connections go at three quarters of the time that engines allow.
void Engines::sweep() {
  const Span now = loop_.now();
  if (limits_.idle_close > Span(0)) {
    std::vector<Link*> idle;
    for (const auto& [engine, place] : places_) {
      for (const auto& link : place.links) {
        if (link->idle_for(now, limits_.idle_close * 3 / 4)) idle.push_back(link.get());
      }
    }
    for (Link* link : idle) drop(*link);
  }
  loop_.at(now + std::chrono::milliseconds(500), [this] { sweep(); });
}

}  // namespace pearchute::net
