#include "lab/simulations/many_managers.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <queue>
#include <random>

#include "core/workload_manager.h"

namespace pearchute::lab {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration step = milliseconds(20);
constexpr double slow_start_initial_capacity = 0.3, slow_start_limit_multiple = 2.5;
constexpr Duration slow_start_duration = seconds(15), slow_start_window = seconds(1);
// How much longer work takes on a cold engine. The value lies between that of a warm engine, 1, and the
// inverse of slow_start_initial_capacity.
constexpr double cold_slowness = 1.5;

double in_ms(Duration duration) { return static_cast<double>(duration.count()) / 1000; }

}  // namespace

struct ManyManagers::Impl {
  struct Instance;
  // An attempt that an engine runs.
  struct Attempt {
    std::weak_ptr<Instance> manager;
    RequestId request;
    int number, threads;
    double remaining_ms;
    Duration sent_at;
  };
  struct Engine {
    EngineEndpoint endpoint;
    bool cold = false;
    std::vector<Attempt> running;
    std::vector<std::pair<Duration, double>> received;  // time and work, ms
    double thread_ms = 0;                               // sum over the running threads of the time they ran
  };

  explicit Impl(const Shape& s) : shape(s), random(static_cast<std::knuth_b::result_type>(s.seed)) {}

  double draw() { return std::generate_canonical<double, 32>(random); }

  ServiceDefinition service(int number) const {
    ServiceDefinition service;
    RequestType short_type, long_type;
    short_type.latency_objective = milliseconds(300), short_type.latency_objective_per_work = 2,
    short_type.request_timeout = seconds(2);
    long_type.latency_objective = milliseconds(1500), long_type.latency_objective_per_work = 2.5,
    long_type.request_timeout = seconds(20);
    long_type.priority_weight = shape.long_value, long_type.threads = 2;
    service.types = {short_type, long_type};
    service.kinds = {{.cores = shape.cores, .memory_mb = 16000}};
    service.zone = ZoneId{number % shape.zones}, service.instance_index = number;
    service.managers = shape.managers, service.event_interval = milliseconds(1), service.max_attempts = 3;
    service.slow_start_duration = slow_start_duration,
    service.slow_start_initial_capacity = slow_start_initial_capacity;
    service.slow_start_limit_multiple = slow_start_limit_multiple,
    service.slow_start_window = slow_start_window;
    service.allows_cancel = service.engines_take_grants = service.engines_take_priority =
        service.sends_retry_after = true;
    service.max_retry_after = milliseconds(500), service.max_grant_share = 0.5,
    service.cross_zone_cost = 0.04;
    return service;
  }
  std::shared_ptr<Instance> start(int number);
  // Returns the endpoint as a manager that starts now gets it. A cold engine started at time 0 of the run,
  // which is in the past of the new manager's clock.
  EngineEndpoint endpoint_now(const Engine& engine) const;
  void list_cold_engines(int number);
  void arrive(Instance& instance);
  void run(Engine& engine);
  Seen summarize() const;

  Shape shape;
  std::knuth_b random;
  Duration now{};
  std::vector<Engine> engines;
  std::vector<std::shared_ptr<Instance>> instances;
  std::vector<Duration> listed_at;  // when a manager's list gets the cold engines, by manager
  std::uint64_t next_request = 1;
  Seen seen;
};

// One manager: a WorkloadManager and its DecisionSink, with pending wakeups and the work that requests really
// need.
struct ManyManagers::Impl::Instance : DecisionSink, std::enable_shared_from_this<Instance> {
  Impl& simulation;
  const Duration started_at;
  struct OpenRequest {
    int type;
    double work_ms;
    int attempts = 0;
  };
  std::map<RequestId, OpenRequest> requests;
  std::vector<std::pair<RequestId, int>> to_cancel;  // attempts
  using Wakeup = std::pair<TimePoint, std::uint64_t>;
  std::priority_queue<Wakeup, std::vector<Wakeup>, std::greater<>> wakeups;
  WorkloadManager manager;  // the last member, because its constructor schedules wakeups

  Instance(Impl& impl, const ServiceDefinition& service, std::uint64_t seed)
      : simulation(impl), started_at(impl.now), manager(service, seed, *this) {}
  TimePoint own_now() const { return TimePoint(simulation.now - started_at); }

  // Calls the WorkloadManager and counts the wall time. The attempts that it cancels end after the call.
  template <class Call>
  void call(Call call_manager) {
    const auto wall_start = std::chrono::steady_clock::now();
    call_manager();
    const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - wall_start;
    simulation.seen.calls += 1, simulation.seen.call_us += elapsed.count();
    while (!to_cancel.empty()) {
      const RequestId request = to_cancel.back().first;
      const int number = to_cancel.back().second;
      to_cancel.pop_back();
      for (auto& engine : simulation.engines) {
        std::erase_if(engine.running,
                      [&](const auto& one) { return one.request == request && one.number == number; });
      }
      end_attempt(request, number, Outcome::cancelled, Duration(1));
    }
  }
  void end_attempt(RequestId request, int number, Outcome outcome, Duration elapsed) {
    call([&] {
      const bool succeeded = outcome == Outcome::succeeded;
      manager.on_attempt_ended(own_now(), request, number, outcome, elapsed, succeeded, std::nullopt,
                               std::nullopt, {});
    });
  }
  void run_wakeups() {
    while (!wakeups.empty() && wakeups.top().first <= own_now()) {
      const std::uint64_t token = wakeups.top().second;
      wakeups.pop();
      call([&] { manager.on_wakeup(own_now(), token); });
    }
  }

  void send_attempt(RequestId request, EngineId to, Duration) override {
    OpenRequest& open = requests.at(request);
    auto& engine = simulation.engines[to.value - 1];
    engine.received.push_back({simulation.now, open.work_ms});
    simulation.seen.sent[open.type] += open.attempts == 0;
    const int threads = open.type + 1;
    const double run_time_ms = open.work_ms / threads;  // with a core for each thread
    engine.running.push_back(
        {weak_from_this(), request, open.attempts++, threads, run_time_ms, simulation.now});
  }
  void set_execution_terms(RequestId, double, int) override {}
  void cancel_attempt(RequestId request, int number) override { to_cancel.push_back({request, number}); }
  void throttle(RequestId, Duration) override {}
  void fail(RequestId) override {}
  void schedule_wakeup(Duration delay, std::uint64_t token) override {
    wakeups.push({own_now() + delay, token});
  }
  void probe(EngineId) override {}
  void subscribe_endpoints() override {}
  void trace_event(std::string_view) override {}
};

EngineEndpoint ManyManagers::Impl::endpoint_now(const Engine& engine) const {
  EngineEndpoint endpoint = engine.endpoint;
  if (engine.cold) endpoint.started_at = TimePoint(-now);
  return endpoint;
}

void ManyManagers::Impl::list_cold_engines(int number) {
  std::vector<EngineEndpoint> list;
  Instance& instance = *instances[static_cast<std::size_t>(number)];
  for (const Engine& engine : engines) {
    if (!engine.cold) continue;
    list.push_back(engine.endpoint);
    list.back().started_at = TimePoint(-instance.started_at);
  }
  instance.call(
      [&] { instance.manager.on_endpoint_update(instance.own_now(), EndpointUpdate::delta, list); });
}

std::shared_ptr<ManyManagers::Impl::Instance> ManyManagers::Impl::start(int number) {
  auto instance = std::make_shared<Instance>(*this, service(number), random());
  std::vector<EngineEndpoint> list;
  for (const Engine& engine : engines) {
    if (!engine.cold || now >= listed_at[static_cast<std::size_t>(number)])
      list.push_back(endpoint_now(engine));
  }
  instance->call([&] { instance->manager.on_endpoint_update(TimePoint{}, EndpointUpdate::cached, list); });
  return instance;
}

void ManyManagers::Impl::arrive(Instance& instance) {
  const int type = draw() < shape.long_part ? 1 : 0;
  const double work = (type == 1 ? shape.long_ms : shape.short_ms) * (0.25 + 1.5 * draw());
  Request request;
  request.id = RequestId{next_request++}, request.type = RequestTypeId{type};
  request.time_left = seconds(type == 1 ? 20 : 2);
  request.memory_mb = 100, request.data_set = DataSetId{static_cast<std::int64_t>(std::pow(40, draw()))};
  if (shape.estimates) request.work_ms = work;
  instance.requests[request.id] = {type, work}, seen.taken[type] += 1;
  instance.call([&] { instance.manager.on_request(instance.own_now(), request); });
}

void ManyManagers::Impl::run(Engine& engine) {
  int threads = 0;
  for (const Attempt& one : engine.running) threads += one.threads;
  if (now > shape.counted_from) engine.thread_ms += threads * in_ms(step);
  const double share = std::min(1.0, 1.0 * shape.cores / std::max(1, threads));
  const double speed = share / (engine.cold && now < slow_start_duration ? cold_slowness : 1);
  for (Attempt& one : engine.running) one.remaining_ms -= in_ms(step) * speed;
  // The attempts of a manager that was restarted end without a result.
  const auto has_ended = [](const Attempt& one) { return one.remaining_ms <= 0 || one.manager.expired(); };
  for (auto at = std::ranges::find_if(engine.running, has_ended); at != engine.running.end();
       at = std::ranges::find_if(engine.running, has_ended)) {
    const Attempt attempt = *at;
    engine.running.erase(at);
    const auto manager = attempt.manager.lock();
    if (!manager) continue;
    seen.done[attempt.threads - 1] += 1;
    manager->end_attempt(attempt.request, attempt.number, Outcome::succeeded, now - attempt.sent_at);
  }
}

ManyManagers::Seen ManyManagers::Impl::summarize() const {
  Seen result = seen;
  const double limit =
      slow_start_limit_multiple * slow_start_initial_capacity * shape.cores * in_ms(slow_start_window);
  const double mean_ms = shape.long_part * shape.long_ms + (1 - shape.long_part) * shape.short_ms;
  const double requests = limit / mean_ms;
  double all_threads = 0;
  std::vector<double> by_zone(static_cast<std::size_t>(shape.zones));
  for (const Engine& engine : engines) {
    all_threads += engine.thread_ms;
    by_zone[static_cast<std::size_t>(engine.endpoint.zone.value)] += engine.thread_ms;
    result.most_engine = std::max(result.most_engine, engine.thread_ms);
    double in_window = 0;
    auto oldest = engine.received.begin();
    for (const auto& [when, work] : engine.received) {
      if (!engine.cold) break;
      in_window += work, result.cold_used += work;
      for (; oldest->first <= when - slow_start_window; ++oldest) in_window -= oldest->second;
      result.cold_most = std::max(result.cold_most, in_window / limit);
      result.cold_bound =
          std::max(result.cold_bound, in_window / mean_ms / (requests + 2 * std::sqrt(requests) + 2));
    }
  }
  result.cold_used /= std::max(1, shape.cold) * limit * in_ms(shape.lasts) / in_ms(slow_start_window);
  result.threads = all_threads / shape.engines / in_ms(shape.lasts - shape.counted_from);
  result.most_engine *= shape.engines / std::max(1.0, all_threads);
  result.most_zone = *std::ranges::max_element(by_zone) * shape.zones / std::max(1.0, all_threads);
  result.call_us /= std::max(1.0, result.calls);
  return result;
}

ManyManagers::ManyManagers(const Shape& shape) : impl_(std::make_unique<Impl>(shape)) {
  for (int i = 0; i < shape.engines; ++i) {
    Impl::Engine engine;
    engine.endpoint.id = EngineId{static_cast<std::uint32_t>(i + 1)};
    engine.endpoint.zone = ZoneId{i % shape.zones}, engine.endpoint.kind = MachineKindId{0};
    engine.cold = i >= shape.engines - shape.cold;
    impl_->engines.push_back(std::move(engine));
  }
  for (int i = 0; i < shape.managers; ++i) {
    const double share = shape.list_within > Duration(0) ? impl_->draw() : 0;
    impl_->listed_at.push_back(
        Duration(static_cast<Duration::rep>(share * static_cast<double>(shape.list_within.count()))));
  }
  for (int i = 0; i < shape.managers; ++i) impl_->instances.push_back(impl_->start(i));
}

ManyManagers::~ManyManagers() = default;

ManyManagers::Seen ManyManagers::play() {
  const Shape& shape = impl_->shape;
  while (impl_->now < shape.lasts) {
    impl_->now += step;
    const bool restart = shape.restart > Duration(0) && impl_->now == shape.restart / step * step;
    for (int i = 0; i < shape.managers; ++i) {
      auto& instance = impl_->instances[static_cast<std::size_t>(i)];
      if (restart && i % 2 == 0) instance = impl_->start(i);
      instance->run_wakeups();
      const Duration listed_at = impl_->listed_at[static_cast<std::size_t>(i)];
      if (listed_at > impl_->now - step && listed_at <= impl_->now) impl_->list_cold_engines(i);
      const double traffic = i % shape.zones == 0 ? shape.first_zone : 1;
      if (impl_->draw() < shape.jobs_per_second * traffic * in_ms(step) / 1000) impl_->arrive(*instance);
    }
    for (Impl::Engine& engine : impl_->engines) impl_->run(engine);
  }
  return impl_->summarize();
}

}  // namespace pearchute::lab
