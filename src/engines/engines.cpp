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
class EnginePool::EngineConnection final : public Connection::Listener, public EngineSession::Listener {
 public:
  EngineConnection(EnginePool& owner, EngineId engine, const Poco::Net::SocketAddress& to)
      : owner_(owner),
        engine_(engine),
        session_(*this),
        opened_at_(owner.loop_.now()),
        idle_since_(opened_at_) {
    connection_ = std::make_unique<Connection>(owner.loop_, to, *this);
  }

  ~EngineConnection() override { *alive_ = false; }

  EngineId engine() const { return engine_; }
  std::unique_ptr<Connection> release_connection() { return std::move(connection_); }
  std::size_t busy() const { return session_.open() + unsent_requests_.size(); }
  bool opened() const { return connection_->opened(); }
  bool knows(std::string_view id) const { return session_.knows(id); }
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
        lost(connection_->short_of_resources() ? EngineCloseReason::short_of_resources
                                               : EngineCloseReason::not_up_in_time);
      return;
    }
    // Guards against answers that stop short or trickle in, whatever else the connection still says. Far over
    // what a page takes on its way; harm is done where an engine is held up for longer amid an answer.
    constexpr milliseconds rest_within(500);
    if (session_.has_partial_answer() && now - answer_progress_at_ > rest_within)
      return broken("an answer stops short", EngineCloseReason::answer_stops);
    if (busy() == 0) return;
    // Guards against a connection that stays open and says nothing: an engine whose machine has gone, answers
    // that never come. Its dispatches need not wait for their job timeouts. A sound engine answers the
    // question at once, however slow its jobs are, so only one that does not get to read is harmed.
    constexpr milliseconds sign_within(300);
    if (probed_at_) {
      if (now - *probed_at_ > sign_within) {
        ++owner_.counters_.silent_connections;
        PEARCHUTE_LOG(spdlog::level::warn, "engine {}: a connection with {} dispatches is silent; closed",
                      engine_.value, busy());
        lost(EngineCloseReason::silent);
      }
    } else if (now - std::max(last_data_at_, idle_until_) > probe_interval_ && owner_.may_probe_liveness()) {
      probed_at_ = now;
      // Where signs have a price, one that came makes the next less needed: a long job is asked for at
      // 0.4, 1.2, 2.8 s and so on.
      if (owner_.limits_.liveness_probe_cost > 0) probe_interval_ *= 2;
      std::string out;
      session_.probe_liveness(out);
      connection_->send(out);
    }
  }

  void submit(AttemptId key, const EngineRequest& request, std::optional<TimePoint> leave_by,
              bool again = false) {
    owner_.connection_by_attempt_[key] = this;
    if (busy() == 0) idle_until_ = owner_.loop_.now(), probe_interval_ = first_probe_interval;
    // Kept back until the connection is up and its socket takes it, so that one given up by then never
    // leaves.
    unsent_requests_.push_back({key, request, std::string(request.id), std::string(request.kind),
                                std::string(request.token), std::string(request.statement), leave_by, again});
    connection_->offer();
  }

  // False where it has left, so that the engine has to hear of it.
  bool retract_unsent(AttemptId key) {
    if (std::erase_if(unsent_requests_, [&](const UnsentRequest& unsent) { return unsent.key == key; }) > 0)
      return true;
    const auto unsent =
        connection_->waiting() > 0 ? session_.retract_unsent(connection_->written(), key) : std::nullopt;
    if (unsent) connection_->skip(unsent->second);
    return unsent.has_value();
  }
  void cancel(AttemptId key) {
    std::string out;
    session_.cancel(key, out);
    connection_->send(out);
  }
  // Guards against a request that comes to its engine long after it was given up, because the engine takes
  // nothing meanwhile: what has not left this machine by now never does.
  void abandon(AttemptId key) {
    in_doubt_ = true;
    const bool engine_takes_nothing = connection_->unsent() > 0;
    session_.abandon(key);
    if (engine_takes_nothing && busy() > 0) lost(EngineCloseReason::takes_nothing);
  }

  void reprioritize(AttemptId key, int priority) {
    for (UnsentRequest& unsent : unsent_requests_) {
      if (unsent.key == key) unsent.request.priority = priority;
    }
    std::string out;
    session_.reprioritize(key, priority, out);
    connection_->send(out);
  }

  void on_opened() override {
    last_data_at_ = owner_.loop_.now();
    connection_->offer();
  }

  void on_writable() override {
    if (unsent_requests_.empty()) return;
    // What the clients have said while the process had no turn comes first: some may have cancelled.
    if (owner_.loop_.has_input_backlog())
      return owner_.loop_.run_when_input_drained([this, alive = alive_] {
        if (*alive) connection_->offer();
      });
    // One at a time, so that only the last that was put out can be with a socket that takes nothing.
    while (!unsent_requests_.empty()) {
      const UnsentRequest unsent = std::move(unsent_requests_.front());
      unsent_requests_.erase(unsent_requests_.begin());
      // The timer of a held-up loop may come after the socket.
      if (unsent.leave_by && owner_.loop_.now() >= *unsent.leave_by) {
        owner_.post_end(unsent.key, Outcome::unreachable);
        continue;
      }
      EngineRequest request = unsent.whole_request();
      if (request.answer_by) request.wait_ms = ms_left(*request.answer_by - owner_.loop_.now());
      const PendingSend pending{unsent.key, engine_, owner_.state_of(engine_), milliseconds(request.wait_ms)};
      if (const auto ends_as = owner_.listener_.check_before_send(pending)) {
        owner_.post_end(unsent.key, *ends_as);
        continue;
      }
      std::string out;
      session_.submit(unsent.key, request, out);
      return connection_->send(out);
    }
  }

  void on_data(std::string_view bytes) override {
    last_data_at_ = owner_.loop_.now();
    probed_at_.reset();
    const std::uint64_t whole = session_.whole_answers();
    const bool owed = session_.has_partial_answer();
    std::string out;
    if (!session_.feed(bytes, out))
      return broken("bytes that are no answer", EngineCloseReason::answer_broken);
    if (!owed || session_.whole_answers() != whole) answer_progress_at_ = last_data_at_;
    connection_->send(out);
  }

  void broken(const char* why, EngineCloseReason reason) {
    ++owner_.counters_.broken_answers;
    PEARCHUTE_LOG(spdlog::level::warn, "engine {}: {}; connection closed", engine_.value, why);
    lost(reason);
  }

  void on_closed() override {
    lost(connection_->short_of_resources() ? EngineCloseReason::short_of_resources
                                           : EngineCloseReason::engine_ended);
  }

  std::size_t unsent_requests() const { return unsent_requests_.size(); }
  void suspend_sending() {
    const std::vector<UnsentRequest> unsent = std::move(unsent_requests_);
    unsent_requests_.clear();
    const auto retracted =
        connection_->waiting() > 0 ? session_.retract_unsent(connection_->written()) : std::nullopt;
    if (retracted) {
      connection_->skip(retracted->second);
      on_attempt_ended(retracted->first, Outcome::unreachable, {});
    }
    for (const UnsentRequest& one : unsent) on_attempt_ended(one.key, Outcome::unreachable, {});
  }

  // The connection is gone, or never came up.
  void lost(EngineCloseReason reason) {
    const std::uint64_t left = connection_->written();
    connection_->abort();
    const std::vector<UnsentRequest> unsent = std::move(unsent_requests_);
    unsent_requests_.clear();
    owner_.drop(*this, reason);
    for (const UnsentRequest& one : unsent) {
      // Guards against resets of new connections, where nothing has left yet: the machine is there, so the
      // same dispatch tries once more. What refuses or does not come up in time is unreachable.
      EngineConnection* other =
          connection_->reset_as_it_opened() && !one.again ? owner_.connection_for(engine_, one.id) : nullptr;
      // Guards against engines that are blamed for what ran short here.
      const Outcome ends_as = connection_->short_of_resources() ? Outcome::engine_full : Outcome::unreachable;
      if (other) other->submit(one.key, one.whole_request(), one.leave_by, true);
      else on_attempt_ended(one.key, ends_as, {});
    }
    session_.on_connection_lost(left);
  }

  void on_attempt_ended(AttemptId key, Outcome outcome, std::vector<std::string> pages) override {
    owner_.connection_by_attempt_.erase(key);
    if (busy() == 0) {
      idle_since_ = owner_.loop_.now();
      probed_at_.reset();
      if (in_doubt_) owner_.drop(*this, EngineCloseReason::in_doubt);
    }
    owner_.listener_.on_attempt_ended(key, outcome, std::move(pages));
  }
  void on_attempt_progress(AttemptId key, double share) override {
    owner_.listener_.on_attempt_progress(key, share);
  }
  void on_attempt_spill(AttemptId key, double missing) override {
    owner_.listener_.on_attempt_spill(key, missing);
  }
  void on_attempt_wait(AttemptId key, WaitCause wait) override {
    owner_.listener_.on_attempt_wait(key, wait);
  }
  void on_late_answer(AttemptId key, std::string_view word) override {
    owner_.listener_.on_late_answer(key, word);
  }

 private:
  struct UnsentRequest {
    AttemptId key;
    EngineRequest request;
    std::string id, kind, token, statement;
    std::optional<TimePoint> leave_by;
    bool again = false;
    EngineRequest whole_request() const {
      EngineRequest same = request;
      same.id = id, same.kind = kind, same.token = token, same.statement = statement;
      return same;
    }
  };
  EnginePool& owner_;
  EngineId engine_;
  EngineSession session_;
  std::unique_ptr<Connection> connection_;
  std::vector<UnsentRequest> unsent_requests_;
  static constexpr milliseconds first_probe_interval{400};
  TimePoint opened_at_, idle_since_, idle_until_{}, last_data_at_{}, answer_progress_at_{};
  Duration probe_interval_{first_probe_interval};
  std::optional<TimePoint> probed_at_;  // for a sign that it works
  bool in_doubt_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

EnginePool::EnginePool(Loop& loop, const service::EngineConnectionLimits& limits, std::size_t max_connections,
                       Listener& listener, Counters& counters)
    : loop_(loop),
      limits_(limits),
      max_connections_(max_connections),
      listener_(listener),
      counters_(counters) {
  sweep();
}

EnginePool::~EnginePool() { *alive_ = false; }

void EnginePool::set_endpoint(EngineId engine, const std::string& address, EngineState state) {
  EndpointState& endpoint = endpoints_[engine];
  endpoint.draining = state == EngineState::draining;
  if (endpoint.address != address || endpoint.gone) retire_connections(endpoint);
  endpoint.gone = false;
  if (endpoint.address != address) {
    endpoint.address = address, endpoint.socket_address = numeric_address(address);
    if (!endpoint.socket_address)
      PEARCHUTE_LOG(spdlog::level::warn, "engine {}: '{}' is no number address with a port", engine.value,
                    address);
  }
  // Another engine may have the address of one that has gone: nothing more goes there for that one.
  for (auto& [id, other] : endpoints_) {
    if (id != engine && other.address == address) other.gone = true, retire_connections(other);
  }
}

void EnginePool::remove_endpoint(EngineId engine) {
  const auto at = endpoints_.find(engine);
  if (at == endpoints_.end()) return;
  at->second.gone = true;
  retire_connections(at->second);
}

EngineState EnginePool::state_of(EngineId engine) const {
  const auto at = endpoints_.find(engine);
  return at == endpoints_.end() ? EngineState::removed : at->second.state();
}

void EnginePool::remove_endpoints_except(const std::set<EngineId>& named) {
  for (auto& [id, endpoint] : endpoints_) {
    if (!named.contains(id)) endpoint.gone = true, retire_connections(endpoint);
  }
}

void EnginePool::suspend_sending(EngineId engine) {
  const auto at = endpoints_.find(engine);
  if (at == endpoints_.end()) return;
  std::vector<EngineConnection*>
      connections;  // stay where they are until this event is over, whatever their endings lead to
  for (const auto& connection : at->second.connections) connections.push_back(connection.get());
  for (EngineConnection* connection : connections) connection->suspend_sending();
}

EnginePool::SocketStats EnginePool::socket_stats(EngineId engine) const {
  const auto at = endpoints_.find(engine);
  if (at == endpoints_.end()) return {};
  SocketStats socket_stats{at->second.address, at->second.connections.size(), 0, 0};
  for (const auto& connection : at->second.connections) {
    socket_stats.dispatches += connection->busy();
    socket_stats.unsent_requests += connection->unsent_requests();
  }
  return socket_stats;
}

// What is at work there goes on to its end, and no further.
void EnginePool::retire_connections(EndpointState& endpoint) {
  std::vector<EngineConnection*> connections;
  for (const auto& connection : endpoint.connections) connections.push_back(connection.get());
  for (EngineConnection* connection : connections)
    connection->opened() ? connection->doubt() : connection->lost(EngineCloseReason::engine_gone);
}

void EnginePool::submit(EngineId engine, AttemptId key, const EngineRequest& request,
                        std::optional<TimePoint> leave_by) {
  ++counters_.dispatches;
  constexpr double worth_spent = 0.005, most_saved = 4;
  if (limits_.liveness_probe_cost > 0)
    probe_allowance_ = std::min(probe_allowance_ + worth_spent / limits_.liveness_probe_cost, most_saved);
  EngineConnection* connection = connection_for(engine, request.id);
  if (connection) {
    if (leave_by) {
      loop_.at(*leave_by, [this, alive = alive_, key] {
        if (*alive) retract_unsent(key, Outcome::unreachable);
      });
    }
    return connection->submit(key, request, leave_by);
  }
  // Guards against engines that are blamed for descriptors that ran short here.
  const auto at = endpoints_.find(engine);
  const bool there = at != endpoints_.end() && at->second.can_be_reached();
  loop_.post([this, alive = alive_, key, ends_as = there ? Outcome::engine_full : Outcome::unreachable] {
    if (*alive) listener_.on_attempt_ended(key, ends_as, {});
  });
}

// Guards against signs that cost more than what they save: each is priced as a probe, and without a bound a
// long job was asked after eight times. As many as cost half a point in a hundred of the jobs' worth, which
// is what the module spends on probes; a few may be saved up for when engines fall silent together. Where
// they are spent, the module's own look at what is overdue is left.
bool EnginePool::may_probe_liveness() {
  if (limits_.liveness_probe_cost <= 0) return true;
  if (probe_allowance_ < 1) return false;
  probe_allowance_ -= 1;
  return true;
}

// One dispatch to a connection while there is room: what breaks or falls silent takes no others along.
EnginePool::EngineConnection* EnginePool::connection_for(EngineId engine, std::string_view id) {
  const auto at = endpoints_.find(engine);
  if (at == endpoints_.end() || !at->second.can_be_reached()) return nullptr;
  EndpointState& endpoint = at->second;
  EngineConnection* best = nullptr;
  for (const auto& connection : endpoint.connections) {
    // Not where the same id was before: a late or second answer could be taken for that of this dispatch.
    if (connection->in_doubt() ||
        connection->busy() >= static_cast<std::size_t>(limits_.attempts_per_connection) ||
        connection->knows(id))
      continue;
    // The least busy, then the one last used, so that what is not needed grows old.
    if (!best || connection->busy() < best->busy() ||
        (connection->busy() == best->busy() && connection->idle_since() > best->idle_since()))
      best = connection.get();
  }
  // A quarter of the connections is kept for engines that have none.
  const std::size_t most = best ? max_connections_ * 3 / 4 : max_connections_;
  if (best && (best->busy() == 0 || connections_ >= most)) return best;
  if (connections_ >= most && !close_oldest_idle()) {
    PEARCHUTE_LOG(spdlog::level::warn, "no descriptor left for a connection to engine {}", engine.value);
    return nullptr;
  }
  best = endpoint.connections
             .emplace_back(std::make_unique<EngineConnection>(*this, engine, *endpoint.socket_address))
             .get();
  ++connections_, ++counters_.engine_connections;
  return best;
}

// Closes the connection that has been idle for longest, whichever engine it leads to.
bool EnginePool::close_oldest_idle() {
  EngineConnection* oldest = nullptr;
  for (auto& [engine, endpoint] : endpoints_) {
    for (const auto& connection : endpoint.connections) {
      if (connection->busy() > 0 || !connection->opened()) continue;
      if (!oldest || connection->idle_since() < oldest->idle_since()) oldest = connection.get();
    }
  }
  if (!oldest) return false;
  drop(*oldest, EngineCloseReason::room_needed);
  return true;
}

void EnginePool::cancel(AttemptId key) {
  const auto it = connection_by_attempt_.find(key);
  if (it == connection_by_attempt_.end()) return;
  if (retract_unsent(key, Outcome::cancelled)) return;
  ++counters_.never_minds;
  it->second->cancel(key);
  // What the platform allows on top of its time limits; a connection that is so slow says nothing any more.
  loop_.at(loop_.now() + milliseconds(50), [this, alive = alive_, key] {
    if (!*alive) return;
    const auto at = connection_by_attempt_.find(key);
    if (at != connection_by_attempt_.end()) at->second->abandon(key);
  });
}

bool EnginePool::retract_unsent(AttemptId key, Outcome ends_as) {
  const auto it = connection_by_attempt_.find(key);
  if (it == connection_by_attempt_.end() || !it->second->retract_unsent(key)) return false;
  post_end(key, ends_as);
  return true;
}

// After the event at hand: who hears of it may send again.
void EnginePool::post_end(AttemptId key, Outcome ends_as) {
  connection_by_attempt_.erase(key);
  loop_.post([this, alive = alive_, key, ends_as] {
    if (*alive) listener_.on_attempt_ended(key, ends_as, {});
  });
}

void EnginePool::reprioritize(AttemptId key, int priority) {
  const auto it = connection_by_attempt_.find(key);
  if (it == connection_by_attempt_.end()) return;
  ++counters_.hurries;
  it->second->reprioritize(key, priority);
}

void EnginePool::drop(EngineConnection& connection, EngineCloseReason reason) {
  const auto at = endpoints_.find(connection.engine());
  if (at == endpoints_.end()) return;
  auto& connections = at->second.connections;
  const auto it = std::ranges::find(connections, &connection, [](const auto& one) { return one.get(); });
  if (it == connections.end()) return;
  counters_.engines_closed.add(reason);
  if (reason != EngineCloseReason::idle && reason != EngineCloseReason::room_needed)
    PEARCHUTE_LOG(spdlog::level::info, "connection to engine {} is closed: {}", connection.engine().value,
                  engine_close_names[static_cast<std::size_t>(reason)]);
  --connections_;
  closed_connections_.push_back(std::move(*it));
  connections.erase(it);
  loop_.post([this, alive = alive_] {
    if (!*alive) return;
    for (auto& one : closed_connections_) {
      std::unique_ptr<Connection> socket = one->release_connection();
      if (one->in_doubt()) socket->abort();
      loop_.retire(std::move(socket));
    }
    closed_connections_.clear();
  });
}

void EnginePool::sweep() {
  const TimePoint now = loop_.now();
  std::vector<EngineConnection*> connections;
  for (const auto& [engine, endpoint] : endpoints_) {
    for (const auto& connection : endpoint.connections) connections.push_back(connection.get());
  }
  for (EngineConnection* connection : connections) {
    // Guards against a dispatch that crosses an engine's own close of an idle connection, which would leave
    // it unknown whether it ran: connections go at three quarters of the time that engines allow.
    const bool unused = connection->opened() && connection->busy() == 0 &&
                        limits_.idle_timeout > Duration(0) &&
                        now - connection->idle_since() >= limits_.idle_timeout * 3 / 4;
    if (unused) drop(*connection, EngineCloseReason::idle);
    else connection->look(now);
  }
  std::erase_if(endpoints_,
                [](const auto& one) { return one.second.gone && one.second.connections.empty(); });
  // Twenty times a second: connects are given up a fifth late at most.
  loop_.at(now + milliseconds(50), [this, alive = alive_] {
    if (*alive) sweep();
  });
}

}  // namespace pearchute::net
