#include "engines/engines.h"

#include <algorithm>
#include <optional>

#include "net/addresses.h"

namespace pearchute::net {

using std::chrono::milliseconds;

namespace {

// At least one, since none would mean the engine's own choice.
std::int64_t ms_left(Duration span) {
  return std::max<std::int64_t>(1, std::chrono::duration_cast<milliseconds>(span).count());
}

}  // namespace

// One connection and the talk on it.
class Engines::Link final : public Wire::User, public EngineTalk::Listener {
 public:
  Link(Engines& owner, EngineId engine, const Poco::Net::SocketAddress& to)
      : owner_(owner), engine_(engine), talk_(*this), opened_at_(owner.loop_.now()), idle_since_(opened_at_) {
    wire_ = std::make_unique<Wire>(owner.loop_, to, *this);
  }

  ~Link() override { *alive_ = false; }

  EngineId engine() const { return engine_; }
  std::unique_ptr<Wire> give_wire() { return std::move(wire_); }
  std::size_t busy() const { return talk_.open() + kept_back_.size(); }
  bool opened() const { return wire_->opened(); }
  bool knows(std::string_view id) const { return talk_.knows(id); }
  TimePoint idle_since() const { return idle_since_; }
  bool in_doubt() const { return in_doubt_; }
  // It carries nothing new, and what it still has no longer than it takes to end.
  void doubt() {
    in_doubt_ = true;
    if (busy() == 0) owner_.drop(*this, EngineCloseReason::engine_gone);
  }

  // What no longer works without having ended.
  void look(TimePoint now) {
    if (!opened()) {
      const Duration limit = owner_.limits_.connect_timeout;
      if (limit > Duration(0) && now - opened_at_ >= limit)
        lost(wire_->short_of_resources() ? EngineCloseReason::short_of_resources
                                         : EngineCloseReason::not_up_in_time);
      return;
    }
    // Guards against answers that stop short or trickle in, whatever else the connection still says. Far over
    // what a page takes on its way; harm is done where an engine is held up for longer amid an answer.
    constexpr milliseconds rest_within(500);
    if (talk_.owes_the_rest() && now - whole_since_ > rest_within)
      return broken("an answer stops short", EngineCloseReason::answer_stops);
    if (busy() == 0) return;
    // Guards against a connection that stays open and says nothing: an engine whose machine has gone, answers
    // that never come. Its dispatches need not wait for their job timeouts. A sound engine answers the
    // question at once, however slow its jobs are, so only one that does not get to read is harmed.
    constexpr milliseconds sign_within(300);
    if (asked_at_) {
      if (now - *asked_at_ > sign_within) {
        ++owner_.counters_.silent_connections;
        PEARCHUTE_LOG(spdlog::level::warn, "engine {}: a connection with {} dispatches is silent; closed",
                      engine_.value, busy());
        lost(EngineCloseReason::silent);
      }
    } else if (now - std::max(heard_, idle_until_) > quiet_ && owner_.may_ask()) {
      asked_at_ = now;
      // Where signs have a price, one that came makes the next less needed: a long job is asked for at
      // 0.4, 1.2, 2.8 s and so on.
      if (owner_.limits_.liveness_probe_cost > 0) quiet_ *= 2;
      std::string out;
      talk_.ask_for_a_sign(out);
      wire_->send(out);
    }
  }

  void want(AttemptId key, const Want& want, std::optional<TimePoint> leave_by, bool again = false) {
    owner_.on_[key] = this;
    if (busy() == 0) idle_until_ = owner_.loop_.now(), quiet_ = first_quiet;
    // Kept back until the connection is up and its socket takes it, so that one given up by then never
    // leaves.
    kept_back_.push_back({key, want, std::string(want.id), std::string(want.kind), std::string(want.token),
                          std::string(want.statement), leave_by, again});
    wire_->offer();
  }

  // False where it has left, so that the engine has to hear of it.
  bool take_back(AttemptId key) {
    if (std::erase_if(kept_back_, [&](const Kept& kept) { return kept.key == key; }) > 0) return true;
    const auto unsent = wire_->waiting() > 0 ? talk_.take_back(wire_->written(), key) : std::nullopt;
    if (unsent) wire_->skip(unsent->second);
    return unsent.has_value();
  }
  void never_mind(AttemptId key) {
    std::string out;
    talk_.never_mind(key, out);
    wire_->send(out);
  }
  // Guards against a request that comes to its engine long after it was given up, because the engine takes
  // nothing meanwhile: what has not left this machine by now never does.
  void lose_patience(AttemptId key) {
    in_doubt_ = true;
    const bool engine_takes_nothing = wire_->unsent() > 0;
    talk_.lose_patience(key);
    if (engine_takes_nothing && busy() > 0) lost(EngineCloseReason::takes_nothing);
  }

  void hurry(AttemptId key, int priority) {
    for (Kept& kept : kept_back_) {
      if (kept.key == key) kept.want.priority = priority;
    }
    std::string out;
    talk_.hurry(key, priority, out);
    wire_->send(out);
  }

  void wire_opened() override {
    heard_ = owner_.loop_.now();
    wire_->offer();
  }

  void wire_free() override {
    if (kept_back_.empty()) return;
    // What the clients have said while the process had no turn comes first: some may have cancelled.
    if (owner_.loop_.is_behind())
      return owner_.loop_.when_caught_up([this, alive = alive_] {
        if (*alive) wire_->offer();
      });
    // One at a time, so that only the last that was put out can be with a socket that takes nothing.
    while (!kept_back_.empty()) {
      const Kept kept = std::move(kept_back_.front());
      kept_back_.erase(kept_back_.begin());
      // The timer of a held-up loop may come after the socket.
      if (kept.leave_by && owner_.loop_.now() >= *kept.leave_by) {
        owner_.end_soon(kept.key, Outcome::unreachable);
        continue;
      }
      Want want = kept.want_again();
      if (want.answer_by) want.wait_ms = ms_left(*want.answer_by - owner_.loop_.now());
      const Departure departure{kept.key, engine_, owner_.state_of(engine_), milliseconds(want.wait_ms)};
      if (const auto ends_as = owner_.listener_.refuses_departure(departure)) {
        owner_.end_soon(kept.key, *ends_as);
        continue;
      }
      std::string out;
      talk_.want(kept.key, want, out);
      return wire_->send(out);
    }
  }

  void wire_brought(std::string_view bytes) override {
    heard_ = owner_.loop_.now();
    asked_at_.reset();
    const std::uint64_t whole = talk_.whole_answers();
    const bool owed = talk_.owes_the_rest();
    std::string out;
    if (!talk_.feed(bytes, out)) return broken("bytes that are no answer", EngineCloseReason::answer_broken);
    if (!owed || talk_.whole_answers() != whole) whole_since_ = heard_;
    wire_->send(out);
  }

  void broken(const char* why, EngineCloseReason reason) {
    ++owner_.counters_.broken_answers;
    PEARCHUTE_LOG(spdlog::level::warn, "engine {}: {}; connection closed", engine_.value, why);
    lost(reason);
  }

  void wire_ended() override {
    lost(wire_->short_of_resources() ? EngineCloseReason::short_of_resources
                                     : EngineCloseReason::engine_ended);
  }

  std::size_t kept_back() const { return kept_back_.size(); }
  void withhold() {
    const std::vector<Kept> kept = std::move(kept_back_);
    kept_back_.clear();
    const auto unsent = wire_->waiting() > 0 ? talk_.take_back(wire_->written()) : std::nullopt;
    if (unsent) {
      wire_->skip(unsent->second);
      talk_ended(unsent->first, Outcome::unreachable, {});
    }
    for (const Kept& one : kept) talk_ended(one.key, Outcome::unreachable, {});
  }

  // The connection is gone, or never came up.
  void lost(EngineCloseReason reason) {
    const std::uint64_t left = wire_->written();
    wire_->abort();
    const std::vector<Kept> kept = std::move(kept_back_);
    kept_back_.clear();
    owner_.drop(*this, reason);
    for (const Kept& one : kept) {
      // Guards against resets of new connections, where nothing has left yet: the machine is there, so the
      // same dispatch tries once more. What refuses or does not come up in time is unreachable.
      Link* other = wire_->reset_as_it_opened() && !one.again ? owner_.link_for(engine_, one.id) : nullptr;
      // Guards against engines that are blamed for what ran short here.
      const Outcome ends_as = wire_->short_of_resources() ? Outcome::engine_full : Outcome::unreachable;
      if (other) other->want(one.key, one.want_again(), one.leave_by, true);
      else talk_ended(one.key, ends_as, {});
    }
    talk_.broke(left);
  }

  void talk_ended(AttemptId key, Outcome outcome, std::vector<std::string> pages) override {
    owner_.on_.erase(key);
    if (busy() == 0) {
      idle_since_ = owner_.loop_.now();
      asked_at_.reset();
      if (in_doubt_) owner_.drop(*this, EngineCloseReason::in_doubt);
    }
    owner_.listener_.talk_ended(key, outcome, std::move(pages));
  }
  void talk_progress(AttemptId key, double share) override { owner_.listener_.talk_progress(key, share); }
  void talk_spill(AttemptId key, double missing) override { owner_.listener_.talk_spill(key, missing); }
  void talk_wait(AttemptId key, WaitCause wait) override { owner_.listener_.talk_wait(key, wait); }
  void talk_crossed(AttemptId key, std::string_view word) override {
    owner_.listener_.talk_crossed(key, word);
  }

 private:
  struct Kept {
    AttemptId key;
    Want want;
    std::string id, kind, token, statement;
    std::optional<TimePoint> leave_by;
    bool again = false;
    Want want_again() const {
      Want same = want;
      same.id = id, same.kind = kind, same.token = token, same.statement = statement;
      return same;
    }
  };
  Engines& owner_;
  EngineId engine_;
  EngineTalk talk_;
  std::unique_ptr<Wire> wire_;
  std::vector<Kept> kept_back_;
  static constexpr milliseconds first_quiet{400};
  TimePoint opened_at_, idle_since_, idle_until_{}, heard_{}, whole_since_{};
  Duration quiet_{first_quiet};
  std::optional<TimePoint> asked_at_;  // for a sign that it works
  bool in_doubt_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

Engines::Engines(Loop& loop, const service::EngineConnectionLimits& limits, std::size_t most_connections,
                 Listener& listener, Counters& counters)
    : loop_(loop),
      limits_(limits),
      most_connections_(most_connections),
      listener_(listener),
      counters_(counters) {
  sweep();
}

Engines::~Engines() { *alive_ = false; }

void Engines::place(EngineId engine, const std::string& address, EngineState state) {
  Place& place = places_[engine];
  place.draining = state == EngineState::draining;
  if (place.address != address || place.gone) drop_unused(place);
  place.gone = false;
  if (place.address != address) {
    place.address = address, place.socket_address = numeric_address(address);
    if (!place.socket_address)
      PEARCHUTE_LOG(spdlog::level::warn, "engine {}: '{}' is no number address with a port", engine.value,
                    address);
  }
  // Another engine may have the address of one that has gone: nothing more goes there for that one.
  for (auto& [id, other] : places_) {
    if (id != engine && other.address == address) other.gone = true, drop_unused(other);
  }
}

void Engines::forget(EngineId engine) {
  const auto at = places_.find(engine);
  if (at == places_.end()) return;
  at->second.gone = true;
  drop_unused(at->second);
}

EngineState Engines::state_of(EngineId engine) const {
  const auto at = places_.find(engine);
  return at == places_.end() ? EngineState::removed : at->second.state();
}

void Engines::forget_others(const std::set<EngineId>& named) {
  for (auto& [id, place] : places_) {
    if (!named.contains(id)) place.gone = true, drop_unused(place);
  }
}

void Engines::withhold(EngineId engine) {
  const auto at = places_.find(engine);
  if (at == places_.end()) return;
  std::vector<Link*> links;  // stay where they are until this event is over, whatever their endings lead to
  for (const auto& link : at->second.links) links.push_back(link.get());
  for (Link* link : links) link->withhold();
}

Engines::Shown Engines::shown(EngineId engine) const {
  const auto at = places_.find(engine);
  if (at == places_.end()) return {};
  Shown shown{at->second.address, at->second.links.size(), 0, 0};
  for (const auto& link : at->second.links) {
    shown.dispatches += link->busy();
    shown.kept_back += link->kept_back();
  }
  return shown;
}

// What is at work there goes on to its end, and no further.
void Engines::drop_unused(Place& place) {
  std::vector<Link*> links;
  for (const auto& link : place.links) links.push_back(link.get());
  for (Link* link : links) link->opened() ? link->doubt() : link->lost(EngineCloseReason::engine_gone);
}

void Engines::want(EngineId engine, AttemptId key, const Want& want, std::optional<TimePoint> leave_by) {
  ++counters_.dispatches;
  constexpr double worth_spent = 0.005, most_saved = 4;
  if (limits_.liveness_probe_cost > 0)
    signs_due_ = std::min(signs_due_ + worth_spent / limits_.liveness_probe_cost, most_saved);
  Link* link = link_for(engine, want.id);
  if (link) {
    if (leave_by) {
      loop_.at(*leave_by, [this, alive = alive_, key] {
        if (*alive) take_back(key, Outcome::unreachable);
      });
    }
    return link->want(key, want, leave_by);
  }
  // Guards against engines that are blamed for descriptors that ran short here.
  const auto at = places_.find(engine);
  const bool there = at != places_.end() && at->second.can_be_reached();
  loop_.soon([this, alive = alive_, key, ends_as = there ? Outcome::engine_full : Outcome::unreachable] {
    if (*alive) listener_.talk_ended(key, ends_as, {});
  });
}

// Guards against signs that cost more than what they save: each is priced as a probe, and without a bound a
// long job was asked after eight times. As many as cost half a point in a hundred of the jobs' worth, which
// is what the module spends on probes; a few may be saved up for when engines fall silent together. Where
// they are spent, the module's own look at what is overdue is left.
bool Engines::may_ask() {
  if (limits_.liveness_probe_cost <= 0) return true;
  if (signs_due_ < 1) return false;
  signs_due_ -= 1;
  return true;
}

// One dispatch to a connection while there is room: what breaks or falls silent takes no others along.
Engines::Link* Engines::link_for(EngineId engine, std::string_view id) {
  const auto at = places_.find(engine);
  if (at == places_.end() || !at->second.can_be_reached()) return nullptr;
  Place& place = at->second;
  Link* best = nullptr;
  for (const auto& link : place.links) {
    // Not where the same id was before: a late or second answer could be taken for that of this dispatch.
    if (link->in_doubt() || link->busy() >= static_cast<std::size_t>(limits_.attempts_per_connection) ||
        link->knows(id))
      continue;
    // The least busy, then the one last used, so that what is not needed grows old.
    if (!best || link->busy() < best->busy() ||
        (link->busy() == best->busy() && link->idle_since() > best->idle_since()))
      best = link.get();
  }
  // A quarter of the connections is kept for engines that have none.
  const std::size_t most = best ? most_connections_ * 3 / 4 : most_connections_;
  if (best && (best->busy() == 0 || connections_ >= most)) return best;
  if (connections_ >= most && !make_room()) {
    PEARCHUTE_LOG(spdlog::level::warn, "no descriptor left for a connection to engine {}", engine.value);
    return nullptr;
  }
  best = place.links.emplace_back(std::make_unique<Link>(*this, engine, *place.socket_address)).get();
  ++connections_, ++counters_.engine_connections;
  return best;
}

// Closes the connection that has been idle for longest, whichever engine it leads to.
bool Engines::make_room() {
  Link* oldest = nullptr;
  for (auto& [engine, place] : places_) {
    for (const auto& link : place.links) {
      if (link->busy() > 0 || !link->opened()) continue;
      if (!oldest || link->idle_since() < oldest->idle_since()) oldest = link.get();
    }
  }
  if (!oldest) return false;
  drop(*oldest, EngineCloseReason::room_needed);
  return true;
}

void Engines::never_mind(AttemptId key) {
  const auto it = on_.find(key);
  if (it == on_.end()) return;
  if (take_back(key, Outcome::cancelled)) return;
  ++counters_.never_minds;
  it->second->never_mind(key);
  // What the platform allows on top of its time limits; a connection that is so slow says nothing any more.
  loop_.at(loop_.now() + milliseconds(50), [this, alive = alive_, key] {
    if (!*alive) return;
    const auto at = on_.find(key);
    if (at != on_.end()) at->second->lose_patience(key);
  });
}

bool Engines::take_back(AttemptId key, Outcome ends_as) {
  const auto it = on_.find(key);
  if (it == on_.end() || !it->second->take_back(key)) return false;
  end_soon(key, ends_as);
  return true;
}

// After the event at hand: who hears of it may send again.
void Engines::end_soon(AttemptId key, Outcome ends_as) {
  on_.erase(key);
  loop_.soon([this, alive = alive_, key, ends_as] {
    if (*alive) listener_.talk_ended(key, ends_as, {});
  });
}

void Engines::hurry(AttemptId key, int priority) {
  const auto it = on_.find(key);
  if (it == on_.end()) return;
  ++counters_.hurries;
  it->second->hurry(key, priority);
}

void Engines::drop(Link& link, EngineCloseReason reason) {
  const auto at = places_.find(link.engine());
  if (at == places_.end()) return;
  auto& links = at->second.links;
  const auto it = std::ranges::find(links, &link, [](const auto& one) { return one.get(); });
  if (it == links.end()) return;
  counters_.engines_closed.add(reason);
  if (reason != EngineCloseReason::idle && reason != EngineCloseReason::room_needed)
    PEARCHUTE_LOG(spdlog::level::info, "connection to engine {} is closed: {}", link.engine().value,
                  engine_close_names[static_cast<std::size_t>(reason)]);
  --connections_;
  dropped_.push_back(std::move(*it));
  links.erase(it);
  loop_.soon([this, alive = alive_] {
    if (!*alive) return;
    for (auto& one : dropped_) {
      std::unique_ptr<Wire> wire = one->give_wire();
      if (one->in_doubt()) wire->abort();
      loop_.retire(std::move(wire));
    }
    dropped_.clear();
  });
}

void Engines::sweep() {
  const TimePoint now = loop_.now();
  std::vector<Link*> links;
  for (const auto& [engine, place] : places_) {
    for (const auto& link : place.links) links.push_back(link.get());
  }
  for (Link* link : links) {
    // Guards against a dispatch that crosses an engine's own close of an idle connection, which would leave
    // it unknown whether it ran: connections go at three quarters of the time that engines allow.
    const bool unused = link->opened() && link->busy() == 0 && limits_.idle_timeout > Duration(0) &&
                        now - link->idle_since() >= limits_.idle_timeout * 3 / 4;
    if (unused) drop(*link, EngineCloseReason::idle);
    else link->look(now);
  }
  std::erase_if(places_, [](const auto& one) { return one.second.gone && one.second.links.empty(); });
  // Twenty times a second: connects are given up a fifth late at most.
  loop_.at(now + milliseconds(50), [this, alive = alive_] {
    if (*alive) sweep();
  });
}

}  // namespace pearchute::net
