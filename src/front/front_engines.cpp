// The part of Front that faces the WorkloadManager, the engines and the endpoint list: it carries out
// decisions, receives the engines' and the list's events, and provides views for operators.
#include <algorithm>
#include <set>

#include "front/client.h"
#include "front/front.h"
#include "front/responses.h"

namespace pearchute::net {

using std::chrono::milliseconds;
using std::chrono::seconds;

// ---- DecisionSink ----

void Front::set_execution_terms(RequestId id, double grant_mb, int priority) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  OpenRequest& request = it->second;
  request.grant_mb = grant_mb;
  if (priority == request.priority) return;
  request.priority = priority;
  for (const SubmittedAttempt& submitted : request.open_attempts)
    engines_.reprioritize({id, submitted.index}, priority);
}

void Front::limit_send_delay(RequestId id, Duration delay) {
  const auto it = requests_.find(id);
  if (it != requests_.end()) it->second.send_deadline = loop_.now() + delay;
}

void Front::send_attempt(RequestId id, EngineId engine, Duration time_limit) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  OpenRequest& request = it->second;
  const TimePoint now = loop_.now();
  const TimePoint deadline =
      time_limit > Duration(0) ? std::min(request.deadline, now + time_limit) : request.deadline;
  const bool is_forbidden = retry_is_forbidden(id, request);
  const AttemptId attempt{id, request.attempt_count++};
  const auto name = engine_names_.find(engine);
  request.open_attempts.push_back(
      {attempt.index, now, engine, name == engine_names_.end() ? std::string("?") : name->second, false, {}});
  if (request.answered || sending_stopped_ || deadline <= now || is_forbidden) {
    loop_.post([this, attempt] { on_attempt_ended(attempt, Outcome::not_sent, {}); });
    return;
  }
  EngineRequest outgoing;
  outgoing.id = request.id, outgoing.kind = request.kind, outgoing.token = request.token,
  outgoing.statement = request.statement;
  outgoing.answer_deadline = deadline;
  outgoing.grant_mb = static_cast<std::int64_t>(std::ceil(request.grant_mb));
  outgoing.priority = request.priority;
  engines_.submit(engine, attempt, outgoing, request.send_deadline);
  request.open_attempts.back().deadline_timer = ScopedTimer(loop_, deadline, [this, attempt] {
    cancel_submitted_attempt(attempt, CancelReason::time_is_up);
    on_attempt_ended(attempt, Outcome::timed_out, {});
  });
}

// The WorkloadManager's decisions comply with these rules; a decision that doesn't is a defect, and the
// attempt is not sent.
bool Front::retry_is_forbidden(RequestId id, const OpenRequest& request) {
  const ServiceDefinition& service = deployment_.service;
  const RequestType& type = service.types[static_cast<std::size_t>(request.type.value)];
  const auto rule = counters_.rules.forbids_repeating(
      {loop_.now(), type.idempotency, type.deduplication_window, request.attempt_count, service.max_attempts,
       static_cast<int>(request.open_attempts.size()), service.allows_hedging,
       request.first_uncertain_attempt_at});
  if (rule)
    PEARCHUTE_LOG(spdlog::level::err, "request {} attempt {} suppressed: rule={}", request.id,
                  request.attempt_count, rule_names[static_cast<std::size_t>(*rule)]);
  if (rule || request.attempt_count == 0) return rule.has_value();
  const Outcome previous = request.open_attempts.empty() ? request.last_outcome : Outcome::succeeded;
  counters_.retried.add(previous);
  PEARCHUTE_LOG(spdlog::level::info, "request {:016x} attempt {} after outcome={}", id.value,
                request.attempt_count,
                request.open_attempts.empty() ? outcome_keys[static_cast<std::size_t>(previous)]
                                              : "none (hedged request)");
  return false;
}

bool Front::client_connected(const OpenRequest& request) const {
  const std::optional<ClientId> id = request.waiting_client ? request.waiting_client : request.path_given_to;
  if (!id) return false;
  const auto at = clients_.find(*id);
  return at != clients_.end() && !at->second->connection().peer_has_ended();
}

// Checks the rules again, since the state may have changed after the decision: the connection to the engine
// may have opened late, or the process may have stalled.
std::optional<Outcome> Front::check_before_send(const PendingSend& pending) {
  const AttemptId attempt = pending.attempt;
  const auto it = requests_.find(attempt.request);
  if (it == requests_.end()) return Outcome::not_sent;
  OpenRequest& request = it->second;
  const auto submitted = std::ranges::find(request.open_attempts, attempt.index, &SubmittedAttempt::index);
  if (submitted == request.open_attempts.end()) return Outcome::not_sent;
  const TimePoint now = loop_.now();
  const AttemptFacts facts = attempt_facts(attempt, request, *submitted);
  const auto rule = counters_.rules.forbids_sending(
      {now, request.deadline, request.answered, client_connected(request), pending.state, pending.wait},
      facts);
  if (!rule) {
    submitted->is_sent = true;
    counters_.rules.on_attempt_left(now, facts);
    log_.on_sent(name_of(request, *submitted), pending.wait);
    return std::nullopt;
  }
  log_.on_suppressed(name_of(request, *submitted), rule_names[static_cast<std::size_t>(*rule)]);
  if (*rule == Rule::engine_takes_work) return Outcome::unreachable;
  if (*rule == Rule::cold_budget) return Outcome::engine_full;  // another engine may have room
  if (*rule == Rule::client_is_there) on_client_unreachable(attempt.request);
  return Outcome::not_sent;
}

// The work of a request is the typical work of its class, or the client's estimate where that is less, since
// the WorkloadManager uses either of them.
AttemptFacts Front::attempt_facts(AttemptId attempt, const OpenRequest& request,
                                  const SubmittedAttempt& submitted) const {
  const double usual = manager_.typical_work_ms(request.type);
  return {attempt.request, submitted.engine, std::min(usual, request.estimate_ms.value_or(usual)),
          manager_.largest_typical_work_ms()};
}

AttemptName Front::name_of(const OpenRequest& request, const SubmittedAttempt& submitted) {
  return {request.id, submitted.index + 1, submitted.engine_name, request.order_key.has_value()};
}

void Front::cancel_submitted_attempt(AttemptId attempt, CancelReason reason) {
  const auto it = requests_.find(attempt.request);
  if (it == requests_.end()) return engines_.cancel(attempt);
  const auto submitted = std::ranges::find(it->second.open_attempts, attempt.index, &SubmittedAttempt::index);
  if (submitted != it->second.open_attempts.end()) {
    if (engines_.retract_unsent(attempt, Outcome::cancelled))
      return record_retraction(attempt.request, *submitted);
    if (submitted->is_sent) {
      log_.on_cancelled(name_of(it->second, *submitted), reason);
      counters_.rules.on_attempt_cancelled(loop_.now(), attempt.request);
    }
  }
  engines_.cancel(attempt);
}

void Front::cancel_attempt(RequestId id, int number) {
  const auto it = requests_.find(id);
  const bool is_over = it == requests_.end() || it->second.answered;
  const bool is_cancelled = is_over && it != requests_.end() && it->second.answered_at == TimePoint{};
  cancel_submitted_attempt({id, number}, is_cancelled ? CancelReason::client_left
                                         : is_over    ? CancelReason::answered
                                                      : CancelReason::moved);
}

void Front::on_rejection(RequestId id, RejectionReason reason) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.answered) return;
  counters_.given_up.add(reason);
  it->second.rejection = reason;
  PEARCHUTE_LOG(spdlog::level::info, "request {} rejected after {} attempts: reason={}", it->second.id,
                it->second.attempt_count, rejection_reason_names[static_cast<std::size_t>(reason)]);
}

void Front::throttle(RequestId id, Duration delay) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.answered) return;
  ++counters_.throttled;
  answer(id, it->second, 503, retry_after_header(delay), R"({"abort":"TryLater"})");
}

void Front::fail(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.answered) return;
  ++counters_.cancelled;
  answer(id, it->second, 500, "", R"({"abort":"Aborted"})");
}

void Front::schedule_wakeup(Duration delay, std::uint64_t token) {
  const TimePoint when = loop_.now() + delay;
  const auto wake = [this, token] {
    wakeups_.erase(token);
    manager_.on_wakeup(loop_.now(), token);
  };
  if (token >= RequestTable::first_sequence) wakeups_[token] = ScopedTimer(loop_, when, wake);
  else loop_.at(when, wake);
}

void Front::cancel_wakeup(std::uint64_t token) { wakeups_.erase(token); }

// Engines of this protocol don't report their load, so probes end at once without being sent.
void Front::probe(EngineId engine) {
  loop_.post(
      [this, engine] { manager_.on_probe_ended(loop_.now(), engine, Outcome::not_sent, Duration(0), {}); });
}

void Front::trace_event(std::string_view text) {
  PEARCHUTE_LOG(spdlog::level::info, "{}", text);
  if (trace_listener_) trace_listener_(text);
}

// ---- Views for operators ----

void Front::visit_requests(std::size_t max_count, const std::function<void(const RequestView&)>& visit) {
  std::vector<std::pair<TimePoint, RequestId>> oldest;
  for (const auto& [id, request] : requests_) {
    if (!request.answered) oldest.emplace_back(request.accepted_at, id);
  }
  const std::size_t visited = std::min(max_count, oldest.size());
  std::partial_sort(oldest.begin(), oldest.begin() + static_cast<std::ptrdiff_t>(visited), oldest.end());
  const TimePoint now = loop_.now();
  for (std::size_t i = 0; i < visited; ++i) {
    const OpenRequest& request = requests_.at(oldest[i].second);
    RequestView view{request.id,
                     request.kind,
                     now - request.accepted_at,
                     request.deadline - now,
                     request.attempt_count,
                     {},
                     {}};
    for (const SubmittedAttempt& submitted : request.open_attempts) view.engines.push_back(submitted.engine);
    view.queued_for = manager_.queued_for(now, oldest[i].second);
    visit(view);
  }
}

std::map<WorkloadManager::QueuedFor, std::size_t> Front::count_queued_by_cause() {
  std::map<WorkloadManager::QueuedFor, std::size_t> counts;
  std::size_t remaining = 4000;  // takes under a millisecond
  for (const auto& [id, request] : requests_) {
    if (remaining-- == 0) break;
    if (const auto cause = manager_.queued_for(loop_.now(), id);
        cause != WorkloadManager::QueuedFor::not_queued)
      ++counts[cause];
  }
  return counts;
}

void Front::visit_engines(const std::function<void(const Engine&, const WorkloadManager::EngineEstimate&,
                                                   const EnginePool::SocketStats&, Duration)>& visit) const {
  const TimePoint now = loop_.now();
  std::map<EngineId, Duration> oldest;
  for (const auto& [id, request] : requests_) {
    for (const SubmittedAttempt& submitted : request.open_attempts) {
      Duration& age = oldest[submitted.engine];
      age = std::max(age, now - submitted.submitted_at);
    }
  }
  manager_.visit_engines(now, [&](const Engine& engine, const WorkloadManager::EngineEstimate& estimate) {
    const auto at = oldest.find(engine.id());
    visit(engine, estimate, engines_.socket_stats(engine.id()),
          at == oldest.end() ? Duration(0) : at->second);
  });
}

// ---- EnginePool::Listener and EndpointListClient::Listener ----

void Front::on_attempt_ended(AttemptId attempt, Outcome outcome, std::vector<std::string> pages) {
  const auto it = requests_.find(attempt.request);
  if (it == requests_.end()) return;
  OpenRequest& request = it->second;
  const auto submitted = std::ranges::find(request.open_attempts, attempt.index, &SubmittedAttempt::index);
  if (submitted == request.open_attempts.end()) return;
  const TimePoint now = loop_.now();
  const Duration elapsed = now - submitted->submitted_at;
  if (!proves_not_executed(outcome) && outcome != Outcome::succeeded && !request.first_uncertain_attempt_at)
    request.first_uncertain_attempt_at = submitted->submitted_at;
  request.last_outcome = outcome;
  log_.on_ended(name_of(request, *submitted), outcome, elapsed);
  if (submitted->is_sent) {
    counters_.rules.on_attempt_ended(now, attempt_facts(attempt, request, *submitted), outcome);
    if (request.order_key)
      log_.on_quiet_period(*request.order_key, counters_.rules.quiet_left(now, *request.order_key));
  }
  request.open_attempts.erase(submitted);
  if (outcome == Outcome::succeeded && !request.answered) {
    if (auto body = rows_as_json(pages)) {
      ++counters_.done;
      answer(attempt.request, request, 200, "", std::move(*body));
    } else {
      PEARCHUTE_LOG(spdlog::level::warn, "request {}: result has incomplete rows", request.id);
      outcome = Outcome::engine_error;
    }
  }
  ++counters_.ends[static_cast<int>(outcome)];
  manager_.on_attempt_ended(now, attempt.request, attempt.index, outcome, elapsed,
                            outcome == Outcome::succeeded, std::nullopt, std::nullopt, {});
  forget_if_done(attempt.request);
}

void Front::on_late_answer(AttemptId attempt, std::string_view answer) {
  const auto it = requests_.find(attempt.request);
  if (it == requests_.end()) return;
  const auto submitted = std::ranges::find(it->second.open_attempts, attempt.index, &SubmittedAttempt::index);
  if (submitted != it->second.open_attempts.end())
    log_.on_late_answer(name_of(it->second, *submitted), answer);
}

void Front::on_attempt_progress(AttemptId attempt, double share_done) {
  ++counters_.notes;
  manager_.on_progress(loop_.now(), attempt.request, attempt.index, share_done);
}

void Front::on_attempt_spill(AttemptId attempt, double missing_mb) {
  ++counters_.notes;
  manager_.on_spill(loop_.now(), attempt.request, attempt.index, missing_mb);
}

void Front::on_attempt_wait(AttemptId attempt, WaitCause wait) {
  ++counters_.notes;
  manager_.on_engine_wait(loop_.now(), attempt.request, attempt.index, wait);
}

void Front::on_endpoints_changed(EndpointUpdate update, const std::vector<DiscoveredEndpoint>& endpoints) {
  std::vector<EngineEndpoint> engines;
  std::set<EngineId> listed;
  for (const DiscoveredEndpoint& endpoint : endpoints) {
    engines.push_back(endpoint.engine);
    if (endpoint.engine.state == EngineState::removed) continue;
    engine_names_[endpoint.engine.id] = endpoint.name;
    listed.insert(endpoint.engine.id);
    if (!endpoint.address.empty())
      engines_.set_endpoint(endpoint.engine.id, endpoint.address, endpoint.engine.state,
                            endpoint.engine.started_at);
  }
  counters_.rules.on_endpoint_update(loop_.now(), update, engines);
  manager_.on_endpoint_update(loop_.now(), update, engines);
  // Endpoints are removed after the WorkloadManager's update, so that attempts that end by the removal are
  // not retried on the same engines.
  if (update != EndpointUpdate::delta) engines_.remove_endpoints_except(listed);
  if (update != EndpointUpdate::delta)
    std::erase_if(engine_names_, [&](const auto& one) { return !listed.contains(one.first); });
  for (const EngineEndpoint& engine : engines) {
    if (engine.state == EngineState::removed)
      engines_.remove_endpoint(engine.id), engine_names_.erase(engine.id);
    // Unsent attempts end as unreachable, so that they are retried on other engines.
    if (engine.state != EngineState::up) engines_.suspend_sending(engine.id);
  }
}

}  // namespace pearchute::net
