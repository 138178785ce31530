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
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  OpenJob& job = it->second;
  job.grant_mb = grant_mb;
  if (priority == job.priority) return;
  job.priority = priority;
  for (const Sent& sent : job.out) engines_.hurry({id, sent.number}, priority);
}

void Front::limit_send_delay(RequestId id, Duration span) {
  const auto it = jobs_.find(id);
  if (it != jobs_.end()) it->second.leave_by = loop_.now() + span;
}

void Front::dispatch(RequestId id, EngineId engine, Duration time_limit) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  OpenJob& job = it->second;
  const TimePoint now = loop_.now();
  const TimePoint end = time_limit > Duration(0) ? std::min(job.end, now + time_limit) : job.end;
  const bool is_forbidden = repeat_is_forbidden(id, job);
  const AttemptId key{id, job.dispatches++};
  const auto name = engine_names_.find(engine);
  job.out.push_back(
      {key.number, now, engine, name == engine_names_.end() ? std::string("?") : name->second, false});
  if (job.answered || sending_nothing_ || end <= now || is_forbidden) {
    loop_.soon([this, key] { talk_ended(key, Outcome::not_sent, {}); });
    return;
  }
  Want want;
  want.id = job.id, want.kind = job.kind, want.token = job.token, want.statement = job.statement;
  want.answer_by = end;
  want.grant_mb = static_cast<std::int64_t>(std::ceil(job.grant_mb));
  want.priority = job.priority;
  engines_.want(engine, key, want, job.leave_by);
  loop_.at(end, [this, key] {
    const auto at = jobs_.find(key.job);
    if (at == jobs_.end()) return;
    if (std::ranges::none_of(at->second.out, [&](const Sent& s) { return s.number == key.number; })) return;
    call_off(key, CallOffReason::time_is_up);
    talk_ended(key, Outcome::timed_out, {});
  });
}

// What the module decides keeps these rules by itself; a decision that does not is a fault, and goes nowhere.
bool Front::repeat_is_forbidden(RequestId id, const OpenJob& job) {
  const ServiceDefinition& service = deployment_.service;
  const RequestType& type = service.types[static_cast<std::size_t>(job.type.value)];
  const auto rule = counters_.rules.forbids_repeating(
      {loop_.now(), type.idempotency, type.deduplication_window, job.dispatches, service.max_attempts,
       static_cast<int>(job.out.size()), service.allows_hedging, job.first_uncertain_attempt_at});
  if (rule)
    PEARCHUTE_LOG(spdlog::level::err, "job {}: attempt {} would break the rule {}; held back", job.id,
                  job.dispatches, rule_names[static_cast<std::size_t>(*rule)]);
  if (rule || job.dispatches == 0) return rule.has_value();
  const Outcome before = job.out.empty() ? job.last_end : Outcome::succeeded;
  counters_.retried.add(before);
  PEARCHUTE_LOG(spdlog::level::info, "job {:016x}: attempt {} after {}", id.value, job.dispatches,
                job.out.empty() ? outcome_keys[static_cast<std::size_t>(before)] : "none, as a copy");
  return false;
}

bool Front::client_is_there(const OpenJob& job) const {
  const std::optional<ClientId> id = job.caller ? job.caller : job.path_given_to;
  if (!id) return false;
  const auto at = clients_.find(*id);
  return at != clients_.end() && !at->second->wire().peer_has_ended();
}

// Much may have happened since it was decided: its connection came up late, or the process had no turn.
std::optional<Outcome> Front::refuses_departure(const Departure& departure) {
  const AttemptId key = departure.key;
  const auto it = jobs_.find(key.job);
  if (it == jobs_.end()) return Outcome::not_sent;
  OpenJob& job = it->second;
  const auto sent = std::ranges::find(job.out, key.number, &Sent::number);
  if (sent == job.out.end()) return Outcome::not_sent;
  const TimePoint now = loop_.now();
  const AttemptFacts attempt = attempt_of(key, job, *sent);
  const auto rule = counters_.rules.forbids_sending(
      {now, job.end, job.answered, client_is_there(job), departure.state, departure.told}, attempt);
  if (!rule) {
    sent->has_left = true;
    counters_.rules.attempt_left(now, attempt);
    log_.leaves(name_of(job, *sent), departure.told);
    return std::nullopt;
  }
  log_.held_back(name_of(job, *sent), rule_names[static_cast<std::size_t>(*rule)]);
  if (*rule == Rule::engine_takes_work) return Outcome::unreachable;
  if (*rule == Rule::cold_budget) return Outcome::engine_full;  // another engine may have room
  if (*rule == Rule::client_is_there) lose_sight(key.job);
  return Outcome::not_sent;
}

// A request counts with the usual work of its class, or less where it is estimated at less: the module goes
// by either.
AttemptFacts Front::attempt_of(AttemptId key, const OpenJob& job, const Sent& sent) const {
  const double usual = manager_.typical_work_ms(job.type);
  return {key.job, sent.engine, std::min(usual, job.estimate_ms.value_or(usual)),
          manager_.largest_typical_work_ms()};
}

AttemptName Front::name_of(const OpenJob& job, const Sent& sent) {
  return {job.id, sent.number + 1, sent.engine_name, job.order_key.has_value()};
}

void Front::call_off(AttemptId key, CallOffReason reason) {
  const auto it = jobs_.find(key.job);
  if (it == jobs_.end()) return engines_.never_mind(key);
  const auto sent = std::ranges::find(it->second.out, key.number, &Sent::number);
  if (sent != it->second.out.end()) {
    if (engines_.take_back(key, Outcome::cancelled)) return note_taken_back(key.job, *sent);
    if (sent->has_left) {
      log_.called_off(name_of(it->second, *sent), reason);
      counters_.rules.attempt_called_off(loop_.now(), key.job);
    }
  }
  engines_.never_mind(key);
}

void Front::cancel_attempt(RequestId id, int number) {
  const auto it = jobs_.find(id);
  const bool is_over = it == jobs_.end() || it->second.answered;
  const bool is_withdrawn = is_over && it != jobs_.end() && it->second.answered_at == TimePoint{};
  call_off({id, number}, is_withdrawn ? CallOffReason::client_left
                         : is_over    ? CallOffReason::answered
                                      : CallOffReason::moved);
}

void Front::on_rejection(RequestId id, RejectionReason reason) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end() || it->second.answered) return;
  counters_.given_up.add(reason);
  it->second.given_up = reason;
  PEARCHUTE_LOG(spdlog::level::info, "job {} is given up after {} attempts: {}", it->second.id,
                it->second.dispatches, rejection_reason_keys[static_cast<std::size_t>(reason)]);
}

void Front::throttle(RequestId id, Duration span) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end() || it->second.answered) return;
  ++counters_.throttled;
  answer(id, it->second, 503, retry_after_header(span), R"({"abort":"TryLater"})");
}

void Front::fail(RequestId id) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end() || it->second.answered) return;
  ++counters_.cancelled;
  answer(id, it->second, 500, "", R"({"abort":"Aborted"})");
}

void Front::schedule_wakeup(Duration span, std::uint64_t mark) {
  loop_.at(loop_.now() + span, [this, mark] { manager_.on_wakeup(loop_.now(), mark); });
}

// Engines of this protocol tell nothing of their load; settings that ask for probes are not for this front.
void Front::probe(EngineId engine) {
  loop_.soon(
      [this, engine] { manager_.on_probe_ended(loop_.now(), engine, Outcome::not_sent, Duration(0), {}); });
}

void Front::trace_event(std::string_view text) {
  PEARCHUTE_LOG(spdlog::level::info, "{}", text);
  if (remarked_) remarked_(text);
}

// ---- For those who ask ----

void Front::tell_jobs(std::size_t most, const std::function<void(const JobSeen&)>& visit) {
  std::vector<std::pair<TimePoint, RequestId>> oldest;
  for (const auto& [id, job] : jobs_) {
    if (!job.answered) oldest.emplace_back(job.taken, id);
  }
  const std::size_t told = std::min(most, oldest.size());
  std::partial_sort(oldest.begin(), oldest.begin() + static_cast<std::ptrdiff_t>(told), oldest.end());
  const TimePoint now = loop_.now();
  for (std::size_t i = 0; i < told; ++i) {
    const OpenJob& job = jobs_.at(oldest[i].second);
    JobSeen seen{job.id, job.kind, now - job.taken, job.end - now, job.dispatches, {}, {}};
    for (const Sent& sent : job.out) seen.out.push_back(sent.engine);
    seen.waits = manager_.queued_for(now, oldest[i].second);
    visit(seen);
  }
}

std::map<WorkloadManager::QueuedFor, std::size_t> Front::tell_waits() {
  std::map<WorkloadManager::QueuedFor, std::size_t> waits;
  std::size_t left = 4000;  // under a millisecond
  for (const auto& [id, job] : jobs_) {
    if (left-- == 0) break;
    if (const auto what = manager_.queued_for(loop_.now(), id);
        what != WorkloadManager::QueuedFor::not_queued)
      ++waits[what];
  }
  return waits;
}

void Front::tell_engines(const std::function<void(const Engine&, const WorkloadManager::EngineEstimate&,
                                                  const Engines::Shown&, Duration)>& visit) const {
  const TimePoint now = loop_.now();
  std::map<EngineId, Duration> oldest;
  for (const auto& [id, job] : jobs_) {
    for (const Sent& sent : job.out) {
      Duration& since = oldest[sent.engine];
      since = std::max(since, now - sent.at);
    }
  }
  manager_.tell_engines(now, [&](const Engine& engine, const WorkloadManager::EngineEstimate& belief) {
    const auto at = oldest.find(engine.listed.id);
    visit(engine, belief, engines_.shown(engine.listed.id), at == oldest.end() ? Duration(0) : at->second);
  });
}

// ---- What engines and the list tell ----

void Front::talk_ended(AttemptId key, Outcome outcome, std::vector<std::string> pages) {
  const auto it = jobs_.find(key.job);
  if (it == jobs_.end()) return;
  OpenJob& job = it->second;
  const auto sent = std::ranges::find(job.out, key.number, &Sent::number);
  if (sent == job.out.end()) return;
  const TimePoint now = loop_.now();
  const Duration elapsed = now - sent->at;
  if (!proves_not_executed(outcome) && outcome != Outcome::succeeded && !job.first_uncertain_attempt_at)
    job.first_uncertain_attempt_at = sent->at;
  job.last_end = outcome;
  log_.ended(name_of(job, *sent), outcome, elapsed);
  if (sent->has_left) {
    counters_.rules.attempt_ended(now, attempt_of(key, job, *sent), outcome);
    if (job.order_key) log_.rests(*job.order_key, counters_.rules.rest_left(now, *job.order_key));
  }
  job.out.erase(sent);
  if (outcome == Outcome::succeeded && !job.answered) {
    if (auto body = rows_as_json(pages)) {
      ++counters_.done;
      answer(key.job, job, 200, "", std::move(*body));
    } else {
      PEARCHUTE_LOG(spdlog::level::warn, "a result of job {} is not whole rows", job.id);
      outcome = Outcome::engine_error;
    }
  }
  ++counters_.ends[static_cast<int>(outcome)];
  manager_.on_attempt_ended(now, key.job, key.number, outcome, elapsed, outcome == Outcome::succeeded,
                            std::nullopt, std::nullopt, {});
  forget_if_done(key.job);
}

void Front::talk_crossed(AttemptId key, std::string_view word) {
  const auto it = jobs_.find(key.job);
  if (it == jobs_.end()) return;
  const auto sent = std::ranges::find(it->second.out, key.number, &Sent::number);
  if (sent != it->second.out.end()) log_.crossed(name_of(it->second, *sent), word);
}

void Front::talk_progress(AttemptId key, double share_done) {
  ++counters_.notes;
  manager_.on_progress(loop_.now(), key.job, key.number, share_done);
}

void Front::talk_spill(AttemptId key, double missing_mb) {
  ++counters_.notes;
  manager_.on_spill(loop_.now(), key.job, key.number, missing_mb);
}

void Front::talk_wait(AttemptId key, WaitCause wait) {
  ++counters_.notes;
  manager_.on_engine_wait(loop_.now(), key.job, key.number, wait);
}

void Front::list_changed(EndpointUpdate news, const std::vector<Member>& members) {
  std::vector<EngineEndpoint> engines;
  std::set<EngineId> listed;
  for (const Member& member : members) {
    engines.push_back(member.engine);
    if (member.engine.state == EngineState::removed) continue;
    engine_names_[member.engine.id] = member.name;
    listed.insert(member.engine.id);
    if (!member.address.empty()) engines_.place(member.engine.id, member.address, member.engine.state);
  }
  counters_.rules.on_endpoint_update(loop_.now(), news, engines);
  manager_.on_endpoint_update(loop_.now(), news, engines);
  // Only now, so that what ends by it is not sent there again.
  if (news != EndpointUpdate::delta) engines_.forget_others(listed);
  if (news != EndpointUpdate::delta)
    std::erase_if(engine_names_, [&](const auto& one) { return !listed.contains(one.first); });
  for (const EngineEndpoint& engine : engines) {
    if (engine.state == EngineState::removed) engines_.forget(engine.id), engine_names_.erase(engine.id);
    // What was decided before and has not left goes elsewhere.
    if (engine.state != EngineState::up) engines_.withhold(engine.id);
  }
}

}  // namespace pearchute::net
