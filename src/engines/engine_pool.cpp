#include "engines/engine_pool.h"

#include <algorithm>
#include <optional>

#include "net/addresses.h"
#include "net/connection.h"

namespace pearchute::net {

using std::chrono::milliseconds;

namespace {

// Returns at least 1, since 0 would let the engine choose its own time limit.
std::int64_t remaining_ms(Duration span) {
  return std::max<std::int64_t>(1, std::chrono::duration_cast<milliseconds>(span).count());
}

}  // namespace

// One connection to an engine with its protocol session and the attempts that wait to be sent on it.
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
  std::size_t attempt_count() const { return session_.open_attempt_count() + unsent_requests_.size(); }
  bool opened() const { return connection_->opened(); }
  bool may_still_answer(std::string_view id) const { return session_.may_still_answer(id); }
  TimePoint idle_since() const { return idle_since_; }
  bool is_retiring() const { return retiring_; }
  // Accepts no more attempts and closes as soon as those that are sent have ended. The unsent ones end now:
  // they must not reach a process that another one has replaced.
  void retire() {
    retiring_ = true;
    suspend_sending();
    if (attempt_count() == 0) owner_.drop(*this, EngineCloseReason::engine_gone);
  }

  // Closes the connection where it no longer works although the peer has not closed it.
  void check_timeouts(TimePoint now) {
    if (!opened()) {
      const Duration limit = owner_.limits_.connect_timeout;
      if (limit > Duration(0) && now - opened_at_ >= limit)
        close(connection_->short_of_resources() ? EngineCloseReason::short_of_resources
                                                : EngineCloseReason::not_up_in_time);
      return;
    }
    // Guards against answers that stop halfway or arrive too slowly, even where other data still arrives on
    // the connection. The timeout is far above the transfer time of a page; it does harm where an engine
    // stalls for longer in the middle of an answer.
    constexpr milliseconds partial_answer_timeout(500);
    if (session_.has_partial_answer() && now - answer_progress_at_ > partial_answer_timeout)
      return close_as_broken("answer incomplete after 500 ms without progress",
                             EngineCloseReason::answer_stops);
    if (attempt_count() == 0) return;
    // Guards against a connection that stays open without data, because the engine's machine has failed or
    // answers are lost: its attempts need not wait for their request timeouts. A healthy engine answers the
    // probe at once, however slow its requests are. So the connection of a working engine is closed by
    // mistake only if the engine's process does not read from it in time, for example for lack of CPU time.
    constexpr milliseconds liveness_timeout(300);
    if (probed_at_) {
      if (now - *probed_at_ > liveness_timeout) {
        ++owner_.counters_.silent_connections;
        PEARCHUTE_LOG(
            spdlog::level::warn,
            "engine {}: no answer to a liveness probe within 300 ms; closing a connection with {} attempts",
            engine_.value, attempt_count());
        close(EngineCloseReason::silent);
      }
    } else if (now - std::max(last_data_at_, idle_until_) > probe_interval_ &&
               owner_.spend_probe_allowance()) {
      probed_at_ = now;
      // Where probes have a cost, each answered probe makes the next less urgent: the interval doubles, so
      // a long request is probed 0.4, 1.2, 2.8 s after its start and so on.
      if (owner_.limits_.liveness_probe_cost > 0) probe_interval_ *= 2;
      std::string out;
      session_.probe_liveness(out);
      connection_->send(out);
    }
  }

  void submit(AttemptId attempt, const EngineRequest& request, std::optional<TimePoint> send_deadline,
              bool after_reset = false) {
    owner_.attempts_[attempt].connection = this;
    if (attempt_count() == 0) idle_until_ = owner_.loop_.now(), probe_interval_ = first_probe_interval;
    // The request is held until the connection is open and its socket writable, so that an attempt that is
    // cancelled before then is never sent.
    unsent_requests_.push_back({attempt, request, std::string(request.id), std::string(request.kind),
                                std::string(request.token), std::string(request.statement), send_deadline,
                                after_reset});
    connection_->request_write();
  }

  // Returns false where the attempt is sent, so that it has to be cancelled at the engine.
  bool retract_unsent(AttemptId attempt) {
    if (std::erase_if(unsent_requests_,
                      [&](const UnsentRequest& unsent) { return unsent.attempt == attempt; }) > 0)
      return true;
    const auto unsent =
        connection_->waiting() > 0 ? session_.retract_unsent(connection_->written(), attempt) : std::nullopt;
    if (unsent) connection_->discard_front(unsent->second);
    return unsent.has_value();
  }
  void cancel(AttemptId attempt) {
    std::string out;
    session_.cancel(attempt, out);
    connection_->send(out);
  }
  // Ends a cancelled attempt without the engine's confirmation. Guards against a request that reaches its
  // engine long after the cancellation, because the engine reads nothing meanwhile: bytes that have not left
  // this machine by now are discarded.
  void abandon(AttemptId attempt) {
    retiring_ = true;
    const bool has_unsent_bytes = connection_->unsent() > 0;
    session_.abandon(attempt);
    if (has_unsent_bytes && attempt_count() > 0) close(EngineCloseReason::takes_nothing);
  }

  void reprioritize(AttemptId attempt, int priority) {
    for (UnsentRequest& unsent : unsent_requests_) {
      if (unsent.attempt == attempt) unsent.request.priority = priority;
    }
    std::string out;
    session_.reprioritize(attempt, priority, out);
    connection_->send(out);
  }

  void on_opened() override {
    last_data_at_ = owner_.loop_.now();
    connection_->request_write();
  }

  void on_writable() override {
    if (unsent_requests_.empty()) return;
    // Client input that arrived while the process was stalled is handled first: some clients may have
    // cancelled.
    if (owner_.loop_.has_input_backlog())
      return owner_.loop_.run_when_input_drained([this, alive = alive_] {
        if (*alive) connection_->request_write();
      });
    // Requests are written one at a time, so that only the last one can be stuck in a socket that accepts no
    // more bytes.
    while (!unsent_requests_.empty()) {
      const UnsentRequest unsent = std::move(unsent_requests_.front());
      unsent_requests_.erase(unsent_requests_.begin());
      // After a stall of the loop the timer may run later than this event.
      if (unsent.send_deadline && owner_.loop_.now() >= *unsent.send_deadline) {
        owner_.post_end(unsent.attempt, Outcome::unreachable);
        continue;
      }
      EngineRequest request = unsent.as_request();
      if (request.answer_deadline)
        request.wait_ms = remaining_ms(*request.answer_deadline - owner_.loop_.now());
      const PendingSend pending{unsent.attempt, engine_, owner_.state_of(engine_),
                                milliseconds(request.wait_ms)};
      if (const auto outcome = owner_.listener_.check_before_send(pending)) {
        owner_.post_end(unsent.attempt, *outcome);
        continue;
      }
      std::string out;
      session_.submit(unsent.attempt, request, out);
      return connection_->send(out);
    }
  }

  void on_data(std::string_view bytes) override {
    last_data_at_ = owner_.loop_.now();
    probed_at_.reset();
    const std::uint64_t answers_before = session_.answer_count();
    const bool had_partial_answer = session_.has_partial_answer();
    std::string out;
    if (!session_.feed(bytes, out))
      return close_as_broken("malformed answer", EngineCloseReason::answer_broken);
    if (!had_partial_answer || session_.answer_count() != answers_before) answer_progress_at_ = last_data_at_;
    connection_->send(out);
  }

  void close_as_broken(const char* why, EngineCloseReason reason) {
    ++owner_.counters_.broken_answers;
    PEARCHUTE_LOG(spdlog::level::warn, "engine {}: {}; closing the connection", engine_.value, why);
    close(reason);
  }

  void on_closed() override {
    close(connection_->short_of_resources() ? EngineCloseReason::short_of_resources
                                            : EngineCloseReason::engine_ended);
  }

  std::size_t unsent_requests() const { return unsent_requests_.size(); }
  void suspend_sending() {
    const std::vector<UnsentRequest> unsent = std::move(unsent_requests_);
    unsent_requests_.clear();
    const auto retracted =
        connection_->waiting() > 0 ? session_.retract_unsent(connection_->written()) : std::nullopt;
    if (retracted) {
      connection_->discard_front(retracted->second);
      on_attempt_ended(retracted->first, Outcome::unreachable, {});
    }
    for (const UnsentRequest& one : unsent) on_attempt_ended(one.attempt, Outcome::unreachable, {});
  }

  // Closes the connection, which broke or never opened, and ends its attempts.
  void close(EngineCloseReason reason) {
    const std::uint64_t bytes_written = connection_->written();
    connection_->abort();
    const std::vector<UnsentRequest> unsent = std::move(unsent_requests_);
    unsent_requests_.clear();
    owner_.drop(*this, reason);
    for (const UnsentRequest& one : unsent) {
      // Guards against resets of new connections before anything is sent: the engine's machine is reachable,
      // so the attempt moves once to another connection. An engine that refuses the connection, or doesn't
      // accept it in time, is unreachable.
      EngineConnection* other = connection_->reset_as_it_opened() && !one.after_reset
                                    ? owner_.connection_for(engine_, one.id)
                                    : nullptr;
      // Guards against ejecting engines for a shortage of resources on this machine.
      const Outcome outcome = connection_->short_of_resources() ? Outcome::engine_full : Outcome::unreachable;
      if (other) other->submit(one.attempt, one.as_request(), one.send_deadline, true);
      else on_attempt_ended(one.attempt, outcome, {});
    }
    session_.on_connection_lost(bytes_written);
  }

  void on_attempt_ended(AttemptId attempt, Outcome outcome, std::vector<std::string> pages) override {
    const bool is_carried = carries(attempt);
    if (is_carried) owner_.attempts_.erase(attempt);
    if (attempt_count() == 0) {
      idle_since_ = owner_.loop_.now();
      probed_at_.reset();
      if (retiring_) owner_.drop(*this, EngineCloseReason::in_doubt);
    }
    if (is_carried) owner_.listener_.on_attempt_ended(attempt, outcome, std::move(pages));
  }
  void on_attempt_progress(AttemptId attempt, double share) override {
    if (carries(attempt)) owner_.listener_.on_attempt_progress(attempt, share);
  }
  void on_attempt_spill(AttemptId attempt, double missing) override {
    if (carries(attempt)) owner_.listener_.on_attempt_spill(attempt, missing);
  }
  void on_attempt_wait(AttemptId attempt, WaitCause wait) override {
    if (carries(attempt)) owner_.listener_.on_attempt_wait(attempt, wait);
  }
  void on_late_answer(AttemptId attempt, std::string_view answer) override {
    if (carries(attempt)) owner_.listener_.on_late_answer(attempt, answer);
  }

 private:
  // Whether this connection carries the attempt. A request that came again under its id has attempts of the
  // same ids on other connections.
  bool carries(AttemptId attempt) const { return owner_.connection_of(attempt) == this; }

  struct UnsentRequest {
    AttemptId attempt;
    EngineRequest request;
    std::string id, kind, token, statement;
    std::optional<TimePoint> send_deadline;
    bool after_reset = false;
    EngineRequest as_request() const {
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
  std::optional<TimePoint> probed_at_;  // when the unanswered liveness probe was sent
  bool retiring_ = false;
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

void EnginePool::set_endpoint(EngineId engine, const std::string& address, EngineState state,
                              std::optional<TimePoint> started_at) {
  EndpointState& endpoint = endpoints_[engine];
  const bool has_restarted = started_at && started_at != endpoint.started_at;
  const bool is_new_process = endpoint.address != address || endpoint.removed || has_restarted;
  if (endpoint.address != address) {
    endpoint.address = address, endpoint.socket_address = numeric_address(address);
    if (!endpoint.socket_address)
      PEARCHUTE_LOG(spdlog::level::warn, "engine {}: expected a numeric address with a port, got '{}'",
                    engine.value, address);
  }
  endpoint.draining = state == EngineState::draining;
  endpoint.removed = false;
  endpoint.started_at = started_at;
  if (is_new_process) retire_connections(endpoint);
}

void EnginePool::remove_endpoint(EngineId engine) {
  const auto it = endpoints_.find(engine);
  if (it == endpoints_.end()) return;
  it->second.removed = true;
  retire_connections(it->second);
}

EngineState EnginePool::state_of(EngineId engine) const {
  const auto it = endpoints_.find(engine);
  return it == endpoints_.end() ? EngineState::removed : it->second.state();
}

void EnginePool::remove_endpoints_except(const std::set<EngineId>& listed) {
  for (auto& [id, endpoint] : endpoints_) {
    if (!listed.contains(id)) endpoint.removed = true, retire_connections(endpoint);
  }
}

void EnginePool::suspend_sending(EngineId engine) {
  const auto it = endpoints_.find(engine);
  if (it == endpoints_.end()) return;
  // Dropped connections are destroyed only after the current event, so the pointers stay valid while the
  // ends of attempts change the pool.
  std::vector<EngineConnection*> connections;
  for (const auto& connection : it->second.connections) connections.push_back(connection.get());
  for (EngineConnection* connection : connections) connection->suspend_sending();
}

EnginePool::SocketStats EnginePool::socket_stats(EngineId engine) const {
  const auto it = endpoints_.find(engine);
  if (it == endpoints_.end()) return {};
  SocketStats socket_stats{it->second.address, it->second.connections.size(), 0, 0};
  for (const auto& connection : it->second.connections) {
    socket_stats.outstanding_attempts += connection->attempt_count();
    socket_stats.unsent_requests += connection->unsent_requests();
  }
  return socket_stats;
}

// Lets the open attempts continue to their end and sends no more on these connections.
void EnginePool::retire_connections(EndpointState& endpoint) {
  std::vector<EngineConnection*> connections;
  for (const auto& connection : endpoint.connections) connections.push_back(connection.get());
  for (EngineConnection* connection : connections)
    connection->opened() ? connection->retire() : connection->close(EngineCloseReason::engine_gone);
}

void EnginePool::submit(EngineId engine, AttemptId attempt, const EngineRequest& request,
                        std::optional<TimePoint> send_deadline) {
  ++counters_.dispatches;
  constexpr double budget_share = 0.005, max_probe_allowance = 4;
  if (limits_.liveness_probe_cost > 0)
    probe_allowance_ =
        std::min(probe_allowance_ + budget_share / limits_.liveness_probe_cost, max_probe_allowance);
  EngineConnection* connection = connection_for(engine, request.id);
  attempts_.erase(attempt);
  if (connection) {
    if (send_deadline) {
      attempts_[attempt].send_deadline = ScopedTimer(
          loop_, *send_deadline, [this, attempt] { retract_unsent(attempt, Outcome::unreachable); });
    }
    return connection->submit(attempt, request, send_deadline);
  }
  // Guards against ejecting engines for a shortage of descriptors in this process.
  const auto it = endpoints_.find(engine);
  const bool reachable = it != endpoints_.end() && it->second.is_reachable();
  loop_.post(
      [this, alive = alive_, attempt, outcome = reachable ? Outcome::engine_full : Outcome::unreachable] {
        if (*alive) listener_.on_attempt_ended(attempt, outcome, {});
      });
}

// Takes one probe from the allowance; returns false where it is used up. Guards against liveness probes that
// cost more than they save: each is priced as a probe, and without a limit a long request was probed eight
// times. The budget is 0.5 % of the value of the requests, the same share as the workload manager spends on
// probes; up to four probes accumulate for the case that several engines fall silent together. Where the
// allowance is used up, the workload manager's own check of overdue requests remains.
bool EnginePool::spend_probe_allowance() {
  if (limits_.liveness_probe_cost <= 0) return true;
  if (probe_allowance_ < 1) return false;
  probe_allowance_ -= 1;
  return true;
}

// Chooses or opens a connection for a request. Each attempt has its own connection while the limit allows it,
// so that a broken or silent connection affects no other attempts. Returns nullptr where the engine is
// unreachable or no connection may be opened.
EnginePool::EngineConnection* EnginePool::connection_for(EngineId engine, std::string_view id) {
  const auto it = endpoints_.find(engine);
  if (it == endpoints_.end() || !it->second.is_reachable()) return nullptr;
  EndpointState& endpoint = it->second;
  EngineConnection* best = nullptr;
  for (const auto& connection : endpoint.connections) {
    // Skips a connection that has carried the same id: a late or duplicate answer could be taken for the
    // answer to this attempt.
    if (connection->is_retiring() ||
        connection->attempt_count() >= static_cast<std::size_t>(limits_.attempts_per_connection) ||
        connection->may_still_answer(id))
      continue;
    // Prefers the fewest attempts, then the most recently used, so that surplus connections reach the idle
    // timeout.
    if (!best || connection->attempt_count() < best->attempt_count() ||
        (connection->attempt_count() == best->attempt_count() &&
         connection->idle_since() > best->idle_since()))
      best = connection.get();
  }
  // A quarter of the connections is reserved for engines that have none.
  const std::size_t connection_limit = best ? max_connections_ * 3 / 4 : max_connections_;
  if (best && (best->attempt_count() == 0 || connections_ >= connection_limit)) return best;
  if (connections_ >= connection_limit && !close_oldest_idle()) {
    PEARCHUTE_LOG(spdlog::level::warn, "engine {}: can't open a connection, all {} connections are in use",
                  engine.value, connections_);
    return nullptr;
  }
  best = endpoint.connections
             .emplace_back(std::make_unique<EngineConnection>(*this, engine, *endpoint.socket_address))
             .get();
  ++connections_, ++counters_.engine_connections;
  return best;
}

// Closes the connection that has been idle for longest, of all engines. Returns false where none is idle.
bool EnginePool::close_oldest_idle() {
  EngineConnection* oldest = nullptr;
  for (auto& [engine, endpoint] : endpoints_) {
    for (const auto& connection : endpoint.connections) {
      if (connection->attempt_count() > 0 || !connection->opened()) continue;
      if (!oldest || connection->idle_since() < oldest->idle_since()) oldest = connection.get();
    }
  }
  if (!oldest) return false;
  drop(*oldest, EngineCloseReason::room_needed);
  return true;
}

EnginePool::EngineConnection* EnginePool::connection_of(AttemptId attempt) const {
  const auto it = attempts_.find(attempt);
  return it == attempts_.end() ? nullptr : it->second.connection;
}

void EnginePool::cancel(AttemptId attempt) {
  EngineConnection* connection = connection_of(attempt);
  if (!connection || retract_unsent(attempt, Outcome::cancelled)) return;
  ++counters_.never_minds;
  connection->cancel(attempt);
  // The tolerance that the platform grants beyond its time limits; a connection that is slower than this is
  // treated as silent.
  ScopedTimer& confirmation = attempts_.at(attempt).confirmation;
  if (confirmation.when()) return;
  confirmation = ScopedTimer(loop_, loop_.now() + milliseconds(50),
                             [this, attempt] { connection_of(attempt)->abandon(attempt); });
}

bool EnginePool::retract_unsent(AttemptId attempt, Outcome outcome) {
  EngineConnection* connection = connection_of(attempt);
  if (!connection || !connection->retract_unsent(attempt)) return false;
  post_end(attempt, outcome);
  return true;
}

// Reports the end after the current event, since the listener may submit another attempt in response.
void EnginePool::post_end(AttemptId attempt, Outcome outcome) {
  attempts_.erase(attempt);
  loop_.post([this, alive = alive_, attempt, outcome] {
    if (*alive) listener_.on_attempt_ended(attempt, outcome, {});
  });
}

void EnginePool::reprioritize(AttemptId attempt, int priority) {
  EngineConnection* connection = connection_of(attempt);
  if (!connection) return;
  ++counters_.hurries;
  connection->reprioritize(attempt, priority);
}

void EnginePool::drop(EngineConnection& connection, EngineCloseReason reason) {
  const auto endpoint = endpoints_.find(connection.engine());
  if (endpoint == endpoints_.end()) return;
  auto& connections = endpoint->second.connections;
  const auto it = std::ranges::find(connections, &connection, [](const auto& one) { return one.get(); });
  if (it == connections.end()) return;
  counters_.engines_closed.add(reason);
  if (reason != EngineCloseReason::idle && reason != EngineCloseReason::room_needed)
    PEARCHUTE_LOG(spdlog::level::info, "engine {}: connection closed: {}", connection.engine().value,
                  engine_close_names[static_cast<std::size_t>(reason)]);
  --connections_;
  closed_connections_.push_back(std::move(*it));
  connections.erase(it);
  loop_.post([this, alive = alive_] {
    if (!*alive) return;
    for (auto& one : closed_connections_) {
      std::unique_ptr<Connection> socket = one->release_connection();
      if (one->is_retiring()) socket->abort();
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
    // Guards against sending an attempt while the engine closes the idle connection, which would make the
    // outcome uncertain: connections are closed after three quarters of the engines' idle timeout.
    const bool unused = connection->opened() && connection->attempt_count() == 0 &&
                        limits_.idle_timeout > Duration(0) &&
                        now - connection->idle_since() >= limits_.idle_timeout * 3 / 4;
    if (unused) drop(*connection, EngineCloseReason::idle);
    else connection->check_timeouts(now);
  }
  std::erase_if(endpoints_,
                [](const auto& one) { return one.second.removed && one.second.connections.empty(); });
  // With 20 sweeps a second a connect timeout is detected at most a fifth late.
  loop_.at(now + milliseconds(50), [this, alive = alive_] {
    if (*alive) sweep();
  });
}

}  // namespace pearchute::net
