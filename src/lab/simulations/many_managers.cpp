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
constexpr Duration slow_start_window = seconds(1);
// How much longer work takes on a cold engine: between a warm one and its stated share.
constexpr double cold_slowness = 1.5;

double in_ms(Duration span) { return static_cast<double>(span.count()) / 1000; }

}  // namespace

struct ManyManagers::Impl {
  struct Instance;
  struct Running {
    std::weak_ptr<Instance> of;
    RequestId job;
    int number, threads;
    double left_ms;
    Duration since;
  };
  struct Machine {
    EngineEndpoint listed;
    bool cold = false;
    std::vector<Running> running;
    std::vector<std::pair<Duration, double>> got;  // when, and how much work
    double thread_ms = 0;
  };

  explicit Impl(const Shape& of) : shape(of), chance(static_cast<std::knuth_b::result_type>(of.seed)) {}

  double draw() { return std::generate_canonical<double, 32>(chance); }

  ServiceDefinition service(int number) const {
    ServiceDefinition service;
    RequestType brief, lengthy;
    brief.latency_objective = milliseconds(300), brief.latency_objective_per_work = 2,
    brief.request_timeout = seconds(2);
    lengthy.latency_objective = milliseconds(1500), lengthy.latency_objective_per_work = 2.5,
    lengthy.request_timeout = seconds(20);
    lengthy.priority_weight = shape.long_value, lengthy.threads = 2;
    service.types = {brief, lengthy};
    service.kinds = {{.cores = shape.cores, .memory_mb = 16000}};
    service.zone = ZoneId{number % shape.zones}, service.instance_index = number;
    service.managers = shape.managers, service.event_interval = milliseconds(1), service.max_attempts = 3;
    service.slow_start_duration = seconds(15),
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
  EngineEndpoint listed_now(const Machine& machine) const;
  void hear_of_cold(int number);
  void arrive(Instance& instance);
  void run(Machine& machine);
  Seen sum_up() const;

  Shape shape;
  std::knuth_b chance;
  Duration now{};
  std::vector<Machine> machines;
  std::vector<std::shared_ptr<Instance>> instances;
  std::vector<Duration> hears_at;  // of the cold engines, by manager
  std::uint64_t next_job = 1;
  Seen seen;
};

// One manager: the module's DecisionSink, with its wakes and what its jobs really need.
struct ManyManagers::Impl::Instance : DecisionSink, std::enable_shared_from_this<Instance> {
  Impl& all;
  const Duration began;
  struct Open {
    int type;
    double work_ms;
    int dispatches = 0;
  };
  std::map<RequestId, Open> jobs;
  std::vector<std::pair<RequestId, int>> to_stop;
  using Wake = std::pair<TimePoint, std::uint64_t>;
  std::priority_queue<Wake, std::vector<Wake>, std::greater<>> wakes;
  WorkloadManager module;  // last, since it asks for wakes as it is made

  Instance(Impl& of, const ServiceDefinition& service, std::uint64_t seed)
      : all(of), began(of.now), module(service, seed, *this) {}
  TimePoint own_now() const { return TimePoint(all.now - began); }

  // A call into the module, its time counted. What it has called off ends after it.
  template <class Call>
  void call(Call into) {
    const auto from = std::chrono::steady_clock::now();
    into();
    const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - from;
    all.seen.calls += 1, all.seen.call_us += took.count();
    while (!to_stop.empty()) {
      const auto [job, number] = to_stop.back();
      to_stop.pop_back();
      for (auto& machine : all.machines) {
        std::erase_if(machine.running,
                      [&](const auto& one) { return one.job == job && one.number == number; });
      }
      ended(job, number, Outcome::cancelled, Duration(1));
    }
  }
  void ended(RequestId job, int number, Outcome outcome, Duration elapsed) {
    call([&] {
      const bool done = outcome == Outcome::succeeded;
      module.on_attempt_ended(own_now(), job, number, outcome, elapsed, done, std::nullopt, std::nullopt, {});
    });
  }
  void tick() {
    while (!wakes.empty() && wakes.top().first <= own_now()) {
      const std::uint64_t mark = wakes.top().second;
      wakes.pop();
      call([&] { module.on_wakeup(own_now(), mark); });
    }
  }

  void send_attempt(RequestId job, EngineId engine, Duration) override {
    Open& open = jobs.at(job);
    auto& machine = all.machines[engine.value - 1];
    machine.got.push_back({all.now, open.work_ms});
    all.seen.sent[open.type] += open.dispatches == 0;
    const int threads = open.type + 1;
    const double alone_ms = open.work_ms / threads;
    machine.running.push_back({weak_from_this(), job, open.dispatches++, threads, alone_ms, all.now});
  }
  void set_execution_terms(RequestId, double, int) override {}
  void cancel_attempt(RequestId job, int number) override { to_stop.push_back({job, number}); }
  void throttle(RequestId, Duration) override {}
  void fail(RequestId) override {}
  void schedule_wakeup(Duration span, std::uint64_t mark) override { wakes.push({own_now() + span, mark}); }
  void probe(EngineId) override {}
  void subscribe_endpoints() override {}
  void trace_event(std::string_view) override {}
};

EngineEndpoint ManyManagers::Impl::listed_now(const Machine& machine) const {
  EngineEndpoint listed = machine.listed;
  if (machine.cold) listed.started_at = TimePoint(-now);
  return listed;
}

void ManyManagers::Impl::hear_of_cold(int number) {
  std::vector<EngineEndpoint> list;
  Instance& instance = *instances[static_cast<std::size_t>(number)];
  for (const Machine& machine : machines) {
    if (!machine.cold) continue;
    list.push_back(machine.listed);
    list.back().started_at = TimePoint(-instance.began);
  }
  instance.call([&] { instance.module.on_endpoint_update(instance.own_now(), EndpointUpdate::delta, list); });
}

std::shared_ptr<ManyManagers::Impl::Instance> ManyManagers::Impl::start(int number) {
  auto instance = std::make_shared<Instance>(*this, service(number), chance());
  std::vector<EngineEndpoint> list;
  for (const Machine& machine : machines) {
    if (!machine.cold || now >= hears_at[static_cast<std::size_t>(number)])
      list.push_back(listed_now(machine));
  }
  instance->call([&] { instance->module.on_endpoint_update(TimePoint{}, EndpointUpdate::cached, list); });
  return instance;
}

void ManyManagers::Impl::arrive(Instance& instance) {
  const int type = draw() < shape.long_part ? 1 : 0;
  const double work = (type == 1 ? shape.long_ms : shape.short_ms) * (0.25 + 1.5 * draw());
  Request job;
  job.id = RequestId{next_job++}, job.type = RequestTypeId{type}, job.time_left = seconds(type == 1 ? 20 : 2);
  job.memory_mb = 100, job.data_set = DataSetId{static_cast<std::int64_t>(std::pow(40, draw()))};
  if (shape.estimates) job.work_ms = work;
  instance.jobs[job.id] = {type, work}, seen.taken[type] += 1;
  instance.call([&] { instance.module.on_request(instance.own_now(), job); });
}

void ManyManagers::Impl::run(Machine& machine) {
  int threads = 0;
  for (const Running& one : machine.running) threads += one.threads;
  if (now > shape.counted_from) machine.thread_ms += threads * in_ms(step);
  const double share = std::min(1.0, 1.0 * shape.cores / std::max(1, threads));
  const double speed = share / (machine.cold && now < seconds(15) ? cold_slowness : 1);
  for (Running& one : machine.running) one.left_ms -= in_ms(step) * speed;
  const auto over = [](const Running& one) { return one.left_ms <= 0 || one.of.expired(); };
  for (auto at = std::ranges::find_if(machine.running, over); at != machine.running.end();
       at = std::ranges::find_if(machine.running, over)) {
    const Running done = *at;
    machine.running.erase(at);
    const auto of = done.of.lock();
    if (!of) continue;
    seen.done[done.threads - 1] += 1;
    of->ended(done.job, done.number, Outcome::succeeded, now - done.since);
  }
}

ManyManagers::Seen ManyManagers::Impl::sum_up() const {
  Seen told = seen;
  const double limit =
      slow_start_limit_multiple * slow_start_initial_capacity * shape.cores * in_ms(slow_start_window);
  const double mean_ms = shape.long_part * shape.long_ms + (1 - shape.long_part) * shape.short_ms;
  const double jobs = limit / mean_ms;
  double all_threads = 0;
  std::vector<double> by_zone(static_cast<std::size_t>(shape.zones));
  for (const Machine& machine : machines) {
    all_threads += machine.thread_ms;
    by_zone[static_cast<std::size_t>(machine.listed.zone.value)] += machine.thread_ms;
    told.most_engine = std::max(told.most_engine, machine.thread_ms);
    double inside = 0;
    auto oldest = machine.got.begin();
    for (const auto& [when, work] : machine.got) {
      if (!machine.cold) break;
      inside += work, told.cold_used += work;
      for (; oldest->first <= when - slow_start_window; ++oldest) inside -= oldest->second;
      told.cold_most = std::max(told.cold_most, inside / limit);
      told.cold_bound = std::max(told.cold_bound, inside / mean_ms / (jobs + 2 * std::sqrt(jobs) + 2));
    }
  }
  told.cold_used /= std::max(1, shape.cold) * limit * in_ms(shape.lasts) / in_ms(slow_start_window);
  told.threads = all_threads / shape.engines / in_ms(shape.lasts - shape.counted_from);
  told.most_engine *= shape.engines / std::max(1.0, all_threads);
  told.most_zone = *std::ranges::max_element(by_zone) * shape.zones / std::max(1.0, all_threads);
  told.call_us /= std::max(1.0, told.calls);
  return told;
}

ManyManagers::ManyManagers(const Shape& shape) : impl_(std::make_unique<Impl>(shape)) {
  for (int i = 0; i < shape.engines; ++i) {
    Impl::Machine machine;
    machine.listed.id = EngineId{static_cast<std::uint32_t>(i + 1)};
    machine.listed.zone = ZoneId{i % shape.zones}, machine.listed.kind = MachineKindId{0};
    machine.cold = i >= shape.engines - shape.cold;
    impl_->machines.push_back(std::move(machine));
  }
  for (int i = 0; i < shape.managers; ++i) {
    const double part = shape.list_within > Duration(0) ? impl_->draw() : 0;
    impl_->hears_at.push_back(
        Duration(static_cast<Duration::rep>(part * static_cast<double>(shape.list_within.count()))));
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
      instance->tick();
      const Duration hears = impl_->hears_at[static_cast<std::size_t>(i)];
      if (hears > impl_->now - step && hears <= impl_->now) impl_->hear_of_cold(i);
      const double more = i % shape.zones == 0 ? shape.first_zone : 1;
      if (impl_->draw() < shape.jobs_per_second * more * in_ms(step) / 1000) impl_->arrive(*instance);
    }
    for (Impl::Machine& machine : impl_->machines) impl_->run(machine);
  }
  return impl_->sum_up();
}

}  // namespace pearchute::lab
