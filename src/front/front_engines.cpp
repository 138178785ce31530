// The front's side towards the module, the engines and the list: what the module has it do, what engines and
// the list bring, and what operators are shown.
#include <algorithm>
#include <set>

#include "front/answers.h"
#include "front/client.h"
#include "front/front.h"

namespace pearchute::net {

using std::chrono::milliseconds;
using std::chrono::seconds;

// ---- What the module does ----

void Front::set_execution_terms(RequestId id, double grant_mb, int priority) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  OpenRequest& request = it->second;
  request.grant_mb = grant_mb;
  if (priority == request.priority) return;
  request.priority = priority;
  for (const SentAttempt& sent : request.out) engines_.reprioritize({id, sent.index}, priority);
}

void Front::limit_send_delay(RequestId id, Duration span) {
  const auto it = requests_.find(id);
  if (it != requests_.end()) it->second.leave_by = loop_.now() + span;
}

void Front::dispatch(RequestId id, EngineId engine, Duration time_limit) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  OpenRequest& request = it->second;
  const TimePoint now = loop_.now();
  const TimePoint end = time_limit > Duration(0) ? std::min(request.end, now + time_limit) : request.end;
  const bool is_forbidden = retry_is_forbidden(id, request);
  const AttemptId key{id, request.dispatches++};
  const auto name = engine_names_.find(engine);
  request.out.push_back(
      {key.index, now, engine, name == engine_names_.end() ? std::string("?") : name->second, false});
  if (request.answered || sending_nothing_ || end <= now || is_forbidden) {
    loop_.post([this, key] { on_attempt_ended(key, Outcome::not_sent, {}); });
    return;
  }
  EngineRequest outgoing;
  outgoing.id = request.id, outgoing.kind = request.kind, outgoing.token = request.token,
  outgoing.statement = request.statement;
  outgoing.answer_by = end;
  outgoing.grant_mb = static_cast<std::int64_t>(std::ceil(request.grant_mb));
  outgoing.priority = request.priority;
  engines_.submit(engine, key, outgoing, request.leave_by);
  loop_.at(end, [this, key] {
    const auto at = requests_.find(key.request);
    if (at == requests_.end()) return;
    if (std::ranges::none_of(at->second.out, [&](const SentAttempt& s) { return s.index == key.index; }))
      return;
    cancel_sent_attempt(key, CancelReason::time_is_up);
    on_attempt_ended(key, Outcome::timed_out, {});
  });
}

// What the module decides keeps these rules by itself; a decision that does not is a fault, and goes nowhere.
bool Front::retry_is_forbidden(RequestId id, const OpenRequest& request) {
  const ServiceDefinition& service = deployment_.service;
  const RequestType& type = service.types[static_cast<std::size_t>(request.type.value)];
  const auto rule = counters_.rules.forbids_repeating(
      {loop_.now(), type.idempotency, type.deduplication_window, request.dispatches, service.max_attempts,
       static_cast<int>(request.out.size()), service.allows_hedging, request.first_uncertain_attempt_at});
  if (rule)
    PEARCHUTE_LOG(spdlog::level::err, "request {} attempt {} suppressed: rule={}", request.id,
                  request.dispatches, rule_names[static_cast<std::size_t>(*rule)]);
  if (rule || request.dispatches == 0) return rule.has_value();
  const Outcome before = request.out.empty() ? request.last_end : Outcome::succeeded;
  counters_.retried.add(before);
  PEARCHUTE_LOG(spdlog::level::info, "request {:016x} attempt {} after outcome={}", id.value,
                request.dispatches,
                request.out.empty() ? outcome_keys[static_cast<std::size_t>(before)] : "none, as a copy");
  return false;
}

bool Front::client_connected(const OpenRequest& request) const {
  const std::optional<ClientId> id = request.caller ? request.caller : request.path_given_to;
  if (!id) return false;
  const auto at = clients_.find(*id);
  return at != clients_.end() && !at->second->connection().peer_has_ended();
}

// Much may have happened since it was decided: its connection came up late, or the process had no turn.
std::optional<Outcome> Front::check_before_send(const PendingSend& pending) {
  const AttemptId key = pending.key;
  const auto it = requests_.find(key.request);
  if (it == requests_.end()) return Outcome::not_sent;
  OpenRequest& request = it->second;
  const auto sent = std::ranges::find(request.out, key.index, &SentAttempt::index);
  if (sent == request.out.end()) return Outcome::not_sent;
  const TimePoint now = loop_.now();
  const AttemptFacts attempt = attempt_of(key, request, *sent);
  const auto rule = counters_.rules.forbids_sending(
      {now, request.end, request.answered, client_connected(request), pending.state, pending.told}, attempt);
  if (!rule) {
    sent->has_left = true;
    counters_.rules.on_attempt_left(now, attempt);
    log_.leaves(name_of(request, *sent), pending.told);
    return std::nullopt;
  }
  log_.held_back(name_of(request, *sent), rule_names[static_cast<std::size_t>(*rule)]);
  if (*rule == Rule::engine_takes_work) return Outcome::unreachable;
  if (*rule == Rule::cold_budget) return Outcome::engine_full;  // another engine may have room
  if (*rule == Rule::client_is_there) on_client_unreachable(key.request);
  return Outcome::not_sent;
}

// A request counts with the usual work of its class, or less where it is estimated at less: the module goes
// by either.
AttemptFacts Front::attempt_of(AttemptId key, const OpenRequest& request, const SentAttempt& sent) const {
  const double usual = manager_.typical_work_ms(request.type);
  return {key.request, sent.engine, std::min(usual, request.estimate_ms.value_or(usual)),
          manager_.largest_typical_work_ms()};
}

AttemptName Front::name_of(const OpenRequest& request, const SentAttempt& sent) {
  return {request.id, sent.index + 1, sent.engine_name, request.order_key.has_value()};
}

void Front::cancel_sent_attempt(AttemptId key, CancelReason reason) {
  const auto it = requests_.find(key.request);
  if (it == requests_.end()) return engines_.cancel(key);
  const auto sent = std::ranges::find(it->second.out, key.index, &SentAttempt::index);
  if (sent != it->second.out.end()) {
    if (engines_.retract_unsent(key, Outcome::cancelled)) return record_retraction(key.request, *sent);
    if (sent->has_left) {
      log_.called_off(name_of(it->second, *sent), reason);
      counters_.rules.on_attempt_cancelled(loop_.now(), key.request);
    }
  }
  engines_.cancel(key);
}

void Front::cancel_attempt(RequestId id, int number) {
  const auto it = requests_.find(id);
  const bool is_over = it == requests_.end() || it->second.answered;
  const bool is_withdrawn = is_over && it != requests_.end() && it->second.answered_at == TimePoint{};
  cancel_sent_attempt({id, number}, is_withdrawn ? CancelReason::client_left
                                    : is_over    ? CancelReason::answered
                                                 : CancelReason::moved);
}

void Front::on_rejection(RequestId id, RejectionReason reason) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.answered) return;
  counters_.given_up.add(reason);
  it->second.given_up = reason;
  PEARCHUTE_LOG(spdlog::level::info, "request {} rejected after {} attempts: reason={}", it->second.id,
                it->second.dispatches, rejection_reason_names[static_cast<std::size_t>(reason)]);
}

void Front::throttle(RequestId id, Duration span) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.answered) return;
  ++counters_.throttled;
  answer(id, it->second, 503, retry_after_header(span), R"({"abort":"TryLater"})");
}

void Front::fail(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.answered) return;
  ++counters_.cancelled;
  answer(id, it->second, 500, "", R"({"abort":"Aborted"})");
}

void Front::schedule_wakeup(Duration span, std::uint64_t mark) {
  loop_.at(loop_.now() + span, [this, mark] { manager_.on_wakeup(loop_.now(), mark); });
}

// Engines of this protocol tell nothing of their load; settings that ask for probes are not for this front.
void Front::probe(EngineId engine) {
  loop_.post(
      [this, engine] { manager_.on_probe_ended(loop_.now(), engine, Outcome::not_sent, Duration(0), {}); });
}

void Front::trace_event(std::string_view text) {
  PEARCHUTE_LOG(spdlog::level::info, "{}", text);
  if (trace_listener_) trace_listener_(text);
}

// ---- For those who ask ----

void Front::visit_requests(std::size_t most, const std::function<void(const RequestView&)>& visit) {
  std::vector<std::pair<TimePoint, RequestId>> oldest;
  for (const auto& [id, request] : requests_) {
    if (!request.answered) oldest.emplace_back(request.taken, id);
  }
  const std::size_t told = std::min(most, oldest.size());
  std::partial_sort(oldest.begin(), oldest.begin() + static_cast<std::ptrdiff_t>(told), oldest.end());
  const TimePoint now = loop_.now();
  for (std::size_t i = 0; i < told; ++i) {
    const OpenRequest& request = requests_.at(oldest[i].second);
    RequestView seen{request.id, request.kind, now - request.taken, request.end - now, request.dispatches, {},
                     {}};
    for (const SentAttempt& sent : request.out) seen.out.push_back(sent.engine);
    seen.waits = manager_.queued_for(now, oldest[i].second);
    visit(seen);
  }
}

std::map<WorkloadManager::QueuedFor, std::size_t> Front::count_queued_by_cause() {
  std::map<WorkloadManager::QueuedFor, std::size_t> waits;
  std::size_t left = 4000;  // under a millisecond
  for (const auto& [id, request] : requests_) {
    if (left-- == 0) break;
    if (const auto what = manager_.queued_for(loop_.now(), id);
        what != WorkloadManager::QueuedFor::not_queued)
      ++waits[what];
  }
  return waits;
}

void Front::visit_engines(const std::function<void(const Engine&, const WorkloadManager::EngineEstimate&,
                                                   const EnginePool::SocketStats&, Duration)>& visit) const {
  const TimePoint now = loop_.now();
  std::map<EngineId, Duration> oldest;
  for (const auto& [id, request] : requests_) {
    for (const SentAttempt& sent : request.out) {
      Duration& since = oldest[sent.engine];
      since = std::max(since, now - sent.at);
    }
  }
  manager_.tell_engines(now, [&](const Engine& engine, const WorkloadManager::EngineEstimate& belief) {
    const auto at = oldest.find(engine.id());
    visit(engine, belief, engines_.socket_stats(engine.id()), at == oldest.end() ? Duration(0) : at->second);
  });
}

// ---- What engines and the list tell ----

void Front::on_attempt_ended(AttemptId key, Outcome outcome, std::vector<std::string> pages) {
  const auto it = requests_.find(key.request);
  if (it == requests_.end()) return;
  OpenRequest& request = it->second;
  const auto sent = std::ranges::find(request.out, key.index, &SentAttempt::index);
  if (sent == request.out.end()) return;
  const TimePoint now = loop_.now();
  const Duration elapsed = now - sent->at;
  if (!proves_not_executed(outcome) && outcome != Outcome::succeeded && !request.first_uncertain_attempt_at)
    request.first_uncertain_attempt_at = sent->at;
  request.last_end = outcome;
  log_.ended(name_of(request, *sent), outcome, elapsed);
  if (sent->has_left) {
    counters_.rules.on_attempt_ended(now, attempt_of(key, request, *sent), outcome);
    if (request.order_key)
      log_.rests(*request.order_key, counters_.rules.quiet_left(now, *request.order_key));
  }
  request.out.erase(sent);
  if (outcome == Outcome::succeeded && !request.answered) {
    if (auto body = rows_as_json(pages)) {
      ++counters_.done;
      answer(key.request, request, 200, "", std::move(*body));
    } else {
      PEARCHUTE_LOG(spdlog::level::warn, "request {}: result has incomplete rows", request.id);
      outcome = Outcome::engine_error;
    }
  }
  ++counters_.ends[static_cast<int>(outcome)];
  manager_.on_attempt_ended(now, key.request, key.index, outcome, elapsed, outcome == Outcome::succeeded,
                            std::nullopt, std::nullopt, {});
  forget_if_done(key.request);
}

void Front::on_late_answer(AttemptId key, std::string_view word) {
  const auto it = requests_.find(key.request);
  if (it == requests_.end()) return;
  const auto sent = std::ranges::find(it->second.out, key.index, &SentAttempt::index);
  if (sent != it->second.out.end()) log_.crossed(name_of(it->second, *sent), word);
}

void Front::on_attempt_progress(AttemptId key, double share_done) {
  ++counters_.notes;
  manager_.on_progress(loop_.now(), key.request, key.index, share_done);
}

void Front::on_attempt_spill(AttemptId key, double missing_mb) {
  ++counters_.notes;
  manager_.on_spill(loop_.now(), key.request, key.index, missing_mb);
}

void Front::on_attempt_wait(AttemptId key, WaitCause wait) {
  ++counters_.notes;
  manager_.on_engine_wait(loop_.now(), key.request, key.index, wait);
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
      engines_.set_endpoint(endpoint.engine.id, endpoint.address, endpoint.engine.state);
  }
  counters_.rules.on_endpoint_update(loop_.now(), update, engines);
  manager_.on_endpoint_update(loop_.now(), update, engines);
  // Only now, so that what ends by it is not sent there again.
  if (update != EndpointUpdate::delta) engines_.remove_endpoints_except(listed);
  if (update != EndpointUpdate::delta)
    std::erase_if(engine_names_, [&](const auto& one) { return !listed.contains(one.first); });
  for (const EngineEndpoint& engine : engines) {
    if (engine.state == EngineState::removed)
      engines_.remove_endpoint(engine.id), engine_names_.erase(engine.id);
    // What was decided before and has not left goes elsewhere.
    if (engine.state != EngineState::up) engines_.suspend_sending(engine.id);
  }
}

}  // namespace pearchute::net
