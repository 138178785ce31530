// The only code of the characterization tests that uses the C++ interface of the decisions. It must follow
// renames of that interface. The names in the text that it writes are independent of the interface and never
// change.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/arrival_order.h"
#include "core/key_order_records.h"
#include "core/retry_budget_records.h"
#include "core/rule_guard.h"
#include "core/slow_start_records.h"
#include "core/workload_manager.h"
#include "service/deployment.h"
#include "service/named_values.h"
#include "wire_simulation.h"

namespace pearchute::test {

using Microseconds = std::int64_t;

inline TimePoint at(Microseconds since_start) { return TimePoint(Duration(since_start)); }

inline std::string text_of(RejectionReason reason) {
  switch (reason) {
    case RejectionReason::overload:
      return "costly";
    case RejectionReason::deadline_unreachable:
      return "hopeless";
    case RejectionReason::queue_full:
      return "queue_full";
    case RejectionReason::deadline_exceeded:
      return "time_is_up";
    case RejectionReason::queued_too_long:
      return "too_late";
    case RejectionReason::attempts_exhausted:
      return "spent";
    case RejectionReason::attempt_not_sent:
      return "not_taken";
    case RejectionReason::client_disconnected:
      return "client_gone";
    case RejectionReason::table_full:
      return "crammed";
    case RejectionReason::shutting_down:
      return "ending";
    case RejectionReason::arrival_order_unknown:
      return "order_unknown";
    case RejectionReason::count:
      break;
  }
  return "?";
}

// The outcome of an attempt, in the order of Outcome.
enum class End { done, error, full, timed_out, unreachable, reset, stopped, never_sent };

inline Outcome outcome_of(End end) {
  switch (end) {
    case End::done:
      return Outcome::succeeded;
    case End::error:
      return Outcome::engine_error;
    case End::full:
      return Outcome::engine_full;
    case End::timed_out:
      return Outcome::timed_out;
    case End::unreachable:
      return Outcome::unreachable;
    case End::reset:
      return Outcome::connection_reset;
    case End::stopped:
      return Outcome::cancelled;
    case End::never_sent:
      return Outcome::not_sent;
  }
  return Outcome::engine_error;
}

inline std::string text_of(std::optional<Rule> rule) {
  return rule ? std::string(rule_names[static_cast<std::size_t>(*rule)]) : std::string("-");
}

// An endpoint, as the tests describe it.
struct EngineFacts {
  int id = 0, zone = 0, kind = 0, cell = 0;
  int mode = 0;                  // 0: up, 1: draining, 2: removed
  Microseconds started_at = -1;  // -1: unknown
};

// A request, as the tests describe it.
struct RequestFacts {
  std::uint64_t id = 0;
  int request_class = 0, tenant = -1;
  std::uint64_t key = 0;  // 0: none
  bool arrival_order_known = true;
  Microseconds time_left = 0;
  double work_ms = 0, memory_mb = 0;  // 0: no estimate
  std::int64_t data_set = 0;
};

inline std::vector<EngineEndpoint> listed(const std::vector<EngineFacts>& engines) {
  std::vector<EngineEndpoint> all;
  for (const EngineFacts& one : engines) {
    EngineEndpoint& engine = all.emplace_back();
    engine.id = EngineId{static_cast<std::uint32_t>(one.id)};
    engine.state = one.mode == 0   ? EngineState::up
                   : one.mode == 1 ? EngineState::draining
                                   : EngineState::removed;
    engine.zone = ZoneId{one.zone};
    engine.kind = MachineKindId{one.kind};
    engine.cell = CellId{one.cell};
    if (one.started_at >= 0) engine.started_at = at(one.started_at);
  }
  return all;
}

// 0: delta, 1: snapshot, 2: cached snapshot.
inline EndpointUpdate news_of(int mode) {
  return mode == 0 ? EndpointUpdate::delta : mode == 1 ? EndpointUpdate::snapshot : EndpointUpdate::cached;
}

inline ServiceDefinition service_of(const Settings& settings) {
  service::NamedValues values;
  for (const auto& [name, value] : settings) values.add(name, value);
  return service::decode(values).service;
}

// Receives the actions of the manager under test, as canonical text and as calls to the simulated
// environment.
struct WorldCalls {
  virtual ~WorldCalls() = default;
  virtual void act(const std::string& line) = 0;
  virtual void attempt_begins(std::uint64_t request, int engine) = 0;
  virtual void attempt_stops(std::uint64_t request, int attempt) = 0;
  virtual void request_ends(std::uint64_t request) = 0;
  virtual void wake_later(Microseconds delay, std::uint64_t mark) = 0;
};

// A WorkloadManager whose actions go to a WorldCalls.
class ManagerUnderTest final : private DecisionSink {
 public:
  ManagerUnderTest(const Settings& settings, std::uint64_t seed, WorldCalls& world)
      : world_(world), manager_(service_of(settings), seed, *this) {}

  void list(Microseconds now, int mode, const std::vector<EngineFacts>& engines) {
    manager_.on_endpoint_update(at(now), news_of(mode), listed(engines));
  }
  void on_endpoints_refused(Microseconds now) { manager_.on_endpoints_refused(at(now)); }
  void request(Microseconds now, const RequestFacts& facts) {
    Request request;
    request.id = RequestId{facts.id};
    request.type = RequestTypeId{facts.request_class};
    request.tenant = TenantId{facts.tenant};
    if (facts.key > 0) request.key = OrderKey{facts.key};
    request.arrival_order_known = facts.arrival_order_known;
    request.time_left = Duration(facts.time_left);
    if (facts.work_ms > 0) request.work_ms = facts.work_ms;
    if (facts.memory_mb > 0) request.memory_mb = facts.memory_mb;
    request.data_set = DataSetId{facts.data_set};
    manager_.on_request(at(now), request);
  }
  void withdrawn(Microseconds now, std::uint64_t id) {
    manager_.on_request_cancelled(at(now), RequestId{id});
  }
  void client_left(Microseconds now, std::uint64_t id) {
    manager_.on_client_disconnected(at(now), RequestId{id});
  }
  void client_came(Microseconds now, std::uint64_t id) {
    manager_.on_client_reconnected(at(now), RequestId{id});
  }
  void streams(Microseconds now, std::uint64_t id, int attempt) {
    manager_.on_stream_started(at(now), RequestId{id}, attempt);
  }
  void progress(Microseconds now, std::uint64_t id, int attempt, double share) {
    manager_.on_progress(at(now), RequestId{id}, attempt, share);
  }
  void spill(Microseconds now, std::uint64_t id, int attempt, double missing_mb) {
    manager_.on_spill(at(now), RequestId{id}, attempt, missing_mb);
  }
  void waits(Microseconds now, std::uint64_t id, int attempt, bool for_load) {
    manager_.on_engine_wait(at(now), RequestId{id}, attempt,
                            for_load ? WaitCause::data_load : WaitCause::memory);
  }
  void ended(Microseconds now, std::uint64_t id, int attempt, End end, Microseconds elapsed, bool finished,
             double memory_share) {
    LoadReport report;
    if (memory_share >= 0) report.memory_share = memory_share;
    manager_.on_attempt_ended(at(now), RequestId{id}, attempt, outcome_of(end), Duration(elapsed), finished,
                              std::nullopt, std::nullopt, report);
  }
  void probed(Microseconds now, int engine, bool well) {
    manager_.on_probe_ended(at(now), EngineId{static_cast<std::uint32_t>(engine)},
                            well ? Outcome::succeeded : Outcome::unreachable, Duration(1000), LoadReport{});
  }
  void on_wakeup(Microseconds now, std::uint64_t mark) { manager_.on_wakeup(at(now), mark); }
  void closing(Microseconds now) { manager_.closing(at(now)); }

  // The estimates of the manager as text.
  std::string beliefs(Microseconds now) const {
    std::string text;
    manager_.tell_engines(at(now), [&](const auto& engine, const auto& estimate) {
      char line[160];
      std::snprintf(line, sizeof line, "engine %u slots %.17g capacity %.17g cold %d\n", engine.id().value,
                    estimate.slots, estimate.capacity_mb, estimate.is_cold ? 1 : 0);
      text += line;
    });
    char line[120];
    std::snprintf(line, sizeof line, "queued %zu largest %.17g first %.17g\n", manager_.queued_requests(),
                  manager_.largest_typical_work_ms(), manager_.typical_work_ms(RequestTypeId{0}));
    return text + line;
  }
  std::string queued_for(Microseconds now, std::uint64_t id) {
    switch (manager_.queued_for(at(now), RequestId{id})) {
      case WorkloadManager::QueuedFor::not_queued:
        return "nothing";
      case WorkloadManager::QueuedFor::key_order:
        return "its_turn";
      case WorkloadManager::QueuedFor::key_quiet_period:
        return "rest";
      case WorkloadManager::QueuedFor::retry_budget:
        return "ration";
      case WorkloadManager::QueuedFor::capacity:
        return "room";
    }
    return "?";
  }

 private:
  void dispatch(RequestId request, EngineId engine, Duration time_limit) override {
    world_.act("transmit " + std::to_string(request.value) + " " + std::to_string(engine.value) + " " +
               std::to_string(time_limit.count()));
    world_.attempt_begins(request.value, static_cast<int>(engine.value));
  }
  void set_execution_terms(RequestId request, double grant_mb, int priority) override {
    char line[120];
    std::snprintf(line, sizeof line, "terms %llu %.17g %d", static_cast<unsigned long long>(request.value),
                  grant_mb, priority);
    world_.act(line);
  }
  void limit_send_delay(RequestId request, Duration delay) override {
    world_.act("leave_within " + std::to_string(request.value) + " " + std::to_string(delay.count()));
  }
  void cancel_attempt(RequestId request, int attempt_index) override {
    world_.act("stop " + std::to_string(request.value) + " " + std::to_string(attempt_index));
    world_.attempt_stops(request.value, attempt_index);
  }
  void on_rejection(RequestId request, RejectionReason reason) override {
    world_.act("giving_up " + std::to_string(request.value) + " " + text_of(reason));
  }
  void throttle(RequestId request, Duration retry_after) override {
    world_.act("reject " + std::to_string(request.value) + " " + std::to_string(retry_after.count()));
    world_.request_ends(request.value);
  }
  void fail(RequestId request) override {
    world_.act("fail " + std::to_string(request.value));
    world_.request_ends(request.value);
  }
  void schedule_wakeup(Duration delay, std::uint64_t token) override {
    world_.act("wake " + std::to_string(delay.count()) + " " + std::to_string(token));
    world_.wake_later(delay.count(), token);
  }
  void probe(EngineId engine) override { world_.act("probe " + std::to_string(engine.value)); }
  void subscribe_endpoints() override { world_.act("track"); }
  void trace_event(std::string_view text) override { world_.act("remark " + std::string(text)); }

  WorldCalls& world_;
  WorkloadManager manager_;  // last member, since its constructor already calls the sink
};

// The rule guard, and separate instances of the records that it uses.
class RulesUnderTest {
 public:
  explicit RulesUnderTest(const Settings& settings)
      : service_(service_of(settings)),
        order_(service_.key_quiet_period),
        slow_start_records_(service_),
        budget_(service_) {
    guard_.configure(service_);
  }
  void list(Microseconds now, int mode, const std::vector<EngineFacts>& engines) {
    guard_.on_endpoint_update(at(now), news_of(mode), listed(engines));
    slow_start_records_.on_endpoint_update(at(now), news_of(mode), listed(engines));
  }
  void taken(Microseconds now, std::uint64_t id, int request_class, std::uint64_t key) {
    ArrivedRequest request{RequestId{id}, RequestTypeId{request_class}, std::nullopt};
    if (key > 0) request.order_key = OrderKey{key};
    guard_.on_request(at(now), request);
    if (key > 0) order_.on_request(RequestId{id}, OrderKey{key});
    budget_.on_request(at(now));
  }
  // What forbids the attempt, if anything: by the guard without and with the attempt, then by each kind of
  // records.
  std::string forbids(Microseconds now, std::uint64_t id, int engine, double work_ms, double largest_ms,
                      Microseconds end, bool answered, bool client_is_there, int mode, Microseconds told) {
    SendingFacts facts;
    facts.now = at(now);
    facts.end = at(end);
    facts.answered = answered;
    facts.client_is_there = client_is_there;
    facts.engine = listed({{.mode = mode}}).front().state;
    if (told > 0) facts.time_told = Duration(told);
    std::string text = text_of(guard_.forbids_sending(facts));
    text += " " + text_of(guard_.forbids_sending(facts, attempt(id, engine, work_ms, largest_ms)));
    const auto order = order_.forbids(at(now), RequestId{id});
    text += !order ? " -" : *order == KeyOrderRecords::Violation::out_of_order ? " out_of_turn" : " no_rest";
    const EngineId where{static_cast<std::uint32_t>(engine)};
    text += slow_start_records_.forbids(at(now), where, work_ms, largest_ms) ? " cold" : " -";
    text += budget_.forbids_retry(at(now)) ? " budget" : " -";
    const EngineEndpoint* known = slow_start_records_.endpoint(where);
    text += known ? " zone " + std::to_string(known->zone.value) : std::string(" unlisted");
    return text;
  }
  void left(Microseconds now, std::uint64_t id, int engine, double work_ms, double largest_ms,
            bool is_further) {
    guard_.on_attempt_left(at(now), attempt(id, engine, work_ms, largest_ms));
    order_.on_attempt_left(RequestId{id});
    slow_start_records_.on_attempt_left(at(now), EngineId{static_cast<std::uint32_t>(engine)}, work_ms);
    if (is_further) budget_.on_retry_sent(at(now));
  }
  void taken_back(std::uint64_t id) {
    guard_.on_attempt_retracted(RequestId{id});
    order_.on_attempt_retracted(RequestId{id});
  }
  void called_off(Microseconds now, std::uint64_t id) {
    guard_.on_attempt_cancelled(at(now), RequestId{id});
    order_.on_attempt_cancelled(at(now), RequestId{id});
  }
  void ended(Microseconds now, std::uint64_t id, int engine, End end) {
    guard_.on_attempt_ended(at(now), attempt(id, engine, 0, 0), outcome_of(end));
    order_.on_attempt_ended(at(now), RequestId{id}, outcome_of(end));
  }
  void over(std::uint64_t id) {
    guard_.on_finished(RequestId{id});
    order_.on_finished(RequestId{id});
  }
  void forget_old(Microseconds now) {
    guard_.forget_idle(at(now));
    order_.forget_idle(at(now));
  }
  std::string repeating(Microseconds now, int request_class, int attempts, int out,
                        Microseconds first_uncertain_attempt_at) {
    RepeatFacts facts;
    const RequestType& type = service_.types[static_cast<std::size_t>(request_class)];
    facts.now = at(now);
    facts.idempotency = type.idempotency;
    facts.deduplication_window = type.deduplication_window;
    facts.attempts = attempts;
    facts.max_attempts = service_.max_attempts;
    facts.outstanding = out;
    facts.allows_hedging = service_.allows_hedging;
    if (first_uncertain_attempt_at > 0) facts.first_uncertain_attempt_at = at(first_uncertain_attempt_at);
    return text_of(guard_.forbids_repeating(facts));
  }
  std::string taking(bool ends) { return text_of(guard_.forbids_taking(ends)); }
  std::string closing(bool open, bool left, bool unread) {
    const ClosingFacts facts{open, left, unread};
    const std::string text = text_of(guard_.forbids_closing(facts));
    guard_.on_closing(facts);
    return text;
  }
  void answering(Microseconds now, Microseconds end, bool answered) {
    guard_.on_answering({at(now), at(end), answered});
  }
  std::string rests(Microseconds now, std::uint64_t key) const {
    return std::to_string(guard_.quiet_left(at(now), OrderKey{key}).count()) + " " +
           std::to_string(order_.quiet_left(at(now), OrderKey{key}).count()) + " " +
           std::to_string(order_.keys());
  }
  std::string counters() const {
    std::string text = std::to_string(guard_.checked()) + " " + std::to_string(guard_.broken_in_all());
    for (std::size_t i = 0; i < rule_count; ++i) {
      const Rule rule = static_cast<Rule>(i);
      text += " " + std::string(rule_names[i]) + "=" + std::to_string(guard_.held_back(rule)) + "," +
              std::to_string(guard_.broken(rule));
    }
    return text;
  }

 private:
  static AttemptFacts attempt(std::uint64_t id, int engine, double work_ms, double largest_ms) {
    return {RequestId{id}, EngineId{static_cast<std::uint32_t>(engine)}, work_ms, largest_ms};
  }
  ServiceDefinition service_;
  RuleGuard guard_;
  KeyOrderRecords order_;
  SlowStartRecords slow_start_records_;
  RetryBudgetRecords budget_;
};

// An ArrivalOrder with its results as text.
class ArrivalsUnderTest {
 public:
  void came(std::uint64_t id, std::uint64_t key, Microseconds earliest, Microseconds latest,
            Microseconds read) {
    order_.came({RequestId{id}, OrderKey{key}, at(earliest), at(latest), at(read)});
  }
  void withdrawn(std::uint64_t id) { order_.withdrawn(RequestId{id}); }
  std::string settle(Microseconds now, Microseconds read_up_to) {
    std::string text = "settled";
    for (const auto& one : order_.settle(at(now), at(read_up_to))) {
      text += " " + std::to_string(one.id.value) + (one.arrival_order_known ? "" : "?");
    }
    if (!order_.empty())
      text += " up_to " + std::to_string(order_.needs_read_up_to().time_since_epoch().count());
    return text;
  }

 private:
  ArrivalOrder order_;
};

}  // namespace pearchute::test
