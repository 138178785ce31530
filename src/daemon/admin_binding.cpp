#include "daemon/admin_binding.h"

#include <dirent.h>
#include <unistd.h>

#include <algorithm>
#include <deque>
#include <fstream>

#include "admin.pb.h"
#include "admin/admin_server.h"
#include "admin/directives_file.h"
#include "daemon/configuration_binding.h"
#include "fleet/drains.h"
#include "fleet/quiescence.h"

namespace pearchute::daemon {

namespace {

using fleet::AdminState;
using net::DiscoveredEndpoint;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using QueuedFor = WorkloadManager::QueuedFor;

milliseconds unix_now() {
  return duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

std::uint64_t in_ms(Duration span) {
  return static_cast<std::uint64_t>(std::max<Duration::rep>(span.count() / 1000, 0));
}

AdminState standing_of(EngineState state) {
  return state == EngineState::up         ? AdminState::up
         : state == EngineState::draining ? AdminState::draining
                                          : AdminState::gone;
}

EngineState state_of(AdminState standing) {
  return standing == AdminState::up         ? EngineState::up
         : standing == AdminState::draining ? EngineState::draining
                                            : EngineState::removed;
}

std::string_view name_of(EjectionReason reason) {
  constexpr std::string_view words[] = {"", "errors", "unreachable", "unanswered", "silent"};
  return words[static_cast<int>(reason)];
}

std::string_view name_of(QueuedFor waits) {
  constexpr std::string_view words[] = {"", "its turn in the order of its key", "its key to rest",
                                        "the ration of further dispatches", "room on an engine"};
  return words[static_cast<int>(waits)];
}

std::string_view name_of(fleet::Quiescence::State state) {
  constexpr std::string_view words[] = {"serving", "draining", "drained"};
  return words[static_cast<int>(state)];
}

std::uint64_t memory_kb() {
  std::ifstream file("/proc/self/statm");
  std::uint64_t all = 0, resident = 0;
  file >> all >> resident;
  return resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE)) / 1024;
}

// How much goes into one answer: a message less what stands round its list.
class Room {
 public:
  template <class Item>
  bool takes(const Item& item) {
    left_ -= std::min(left_, item.ByteSizeLong() + 8);
    return left_ > 0;
  }

 private:
  std::size_t left_ = admin::max_frame_bytes - 1024;
};

class AdminBinding final : public net::Program::Annex,
                           public admin::CallHandler,
                           public fleet::Drains::Host,
                           public fleet::Quiescence::Host {
 public:
  AdminBinding(const admin::AdminConfig& config, const std::string& file, const net::Program::Parts& parts)
      : parts_(parts),
        config_(config),
        started_unix_(unix_now()),
        directives_file_(config.orders_file),
        drains_(*this),
        quiescence_(*this, config.health_check_delay),
        configuration_(file),
        admin_server_(parts.loop, config, *this) {
    parts_.front.set_trace_listener([this](std::string_view text) { tell("remark", "", text); });
    if (!config.orders_file.empty()) remember();
  }
  ~AdminBinding() override { parts_.front.set_trace_listener({}); }

  // ---- The program and the list of engines

  void on_endpoints_changed(EndpointUpdate news, const std::vector<DiscoveredEndpoint>& endpoints) override {
    const Duration now = now_since_start();
    std::vector<DiscoveredEndpoint> merged = endpoints;
    std::set<std::string> named;
    for (DiscoveredEndpoint& endpoint : merged) {
      named.insert(endpoint.name);
      const DiscoveredEndpoint* before = nullptr;
      if (const auto at = endpoints_.find(endpoint.name); at != endpoints_.end()) before = &at->second;
      const EngineState said = endpoint.engine.state;
      const AdminState standing =
          drains_.on_discovery_update(now, endpoint.name, endpoint.address, standing_of(said));
      if (!before || before->engine.state != said)
        tell("engine", endpoint.name, "the channel says " + std::string(fleet::name_of(standing_of(said))));
      if (said == EngineState::removed) {
        endpoints_.erase(endpoint.name);
      } else {
        DiscoveredEndpoint& kept = endpoints_[endpoint.name];
        const std::string address = kept.address;
        kept = endpoint;
        if (kept.address.empty()) kept.address = address;
      }
      endpoint.engine.state = state_of(standing);
    }
    if (news != EndpointUpdate::delta) {
      std::erase_if(endpoints_, [&](const auto& one) { return !named.contains(one.first); });
      drains_.on_discovery_snapshot(now, named);
    }
    parts_.front.on_endpoints_changed(news, merged);
  }
  void entered(net::Program::Phase phase) override {
    phase_ = phase;
    tell("phase", "", net::Program::name_of(phase));
  }
  void looked(TimePoint now) override {
    configuration_.looked();
    if (phase_ < net::Program::Phase::leaving)
      quiescence_.update(now.time_since_epoch(), parts_.front.idle());
  }

  // ---- What orders do

  void engine_state_changed(const std::string& engine, AdminState standing) override {
    const auto at = endpoints_.find(engine);
    if (at == endpoints_.end()) return;
    DiscoveredEndpoint endpoint = at->second;
    endpoint.engine.state = state_of(standing);
    tell("engine", engine, "by orders it is " + std::string(fleet::name_of(standing)));
    parts_.front.on_endpoints_changed(EndpointUpdate::delta, {endpoint});
  }
  void manager_drains(bool drains) override {
    quiescence_.set_drain_ordered(now_since_start(), drains, parts_.front.idle());
  }
  void wake_at(Duration when) override {
    if (wake_ && *wake_ <= when && *wake_ > now_since_start()) return;
    wake_ = when;
    parts_.loop.at(TimePoint(when), [this] {
      wake_.reset();
      drains_.on_timer(now_since_start());
    });
  }
  void directives_changed() override {
    tell("order", "", std::to_string(drains_.in_force().size()) + " orders are in force");
    if (config_.orders_file.empty()) return;
    std::string fault;
    if (directives_file_.write(drains_.all(), now_since_start(), unix_now(), fault)) {
      unwritten_.clear();
      return;
    }
    unwritten_ = "orders can't be written to " + config_.orders_file + " (" + fault +
                 "): they hold, and would be lost with the manager";
    PEARCHUTE_LOG(spdlog::level::err, "{}", unwritten_);
  }
  void log(std::string_view text) override {
    PEARCHUTE_LOG(spdlog::level::info, "{}", text);
    tell("order", "", text);
  }
  void reject_requests(bool away) override { parts_.front.set_draining(away); }
  void end() override { parts_.end(); }
  void state_changed(fleet::Quiescence::State state) override {
    spdlog::info("the manager is {}", name_of(state));
    tell("rest", "", name_of(state));
  }

  // ---- Calls

  void answer(const admin::v1::Call& call, admin::v1::Reply& reply) override {
    using Call = admin::v1::Call;
    switch (call.what_case()) {
      case Call::kWho:
        return identify(*reply.mutable_identity());
      case Call::kStatus:
        return tell_status(*reply.mutable_status());
      case Call::kEngines:
        return visit_engines(call.engines(), *reply.mutable_engines());
      case Call::kJobs:
        return tell_jobs(call.jobs(), *reply.mutable_jobs());
      case Call::kOrder:
        return take_order(call.order(), reply);
      case Call::kOrders:
        return tell_orders(call.orders().orders(), *reply.mutable_orders());
      case Call::kEnd:
        return request_shutdown(call.end(), reply);
      case Call::kLogLevel:
        return set_log_level(call.log_level().level(), reply);
      case Call::kWatch:
        return watch(reply);
      case Call::kConfigure:
        return configuration_.configure(call.configure(), reply);
      case Call::WHAT_NOT_SET:
        break;
    }
  }

 private:
  // The fleet's decisions take moments as time since the start.
  Duration now_since_start() const { return parts_.loop.now().time_since_epoch(); }
  void remember() {
    const auto found = directives_file_.read(unix_now());
    if (found.damaged) {
      damage_ = "the orders in " + config_.orders_file + " are lost (" + found.error +
                "): what was drained by an order is not any more; give the orders again";
      spdlog::error("{}", damage_);
    }
    for (const auto& [directive, remaining] : found.directives)
      drains_.restore(now_since_start(), directive, remaining);
    if (!found.directives.empty())
      spdlog::info("{} orders from before the start hold", drains_.in_force().size());
  }

  void identify(admin::v1::Identity& identity) const {
    identity.set_name(parts_.name);
    identity.set_build(PEARCHUTE_VERSION);
    identity.set_phase(std::string(net::Program::name_of(phase_)));
    identity.set_rest(std::string(name_of(quiescence_.state())));
    identity.set_started_unix_ms(static_cast<std::uint64_t>(started_unix_.count()));
    identity.set_pid(static_cast<std::uint64_t>(::getpid()));
    identity.set_digest(parts_.digest);
    identity.set_protocol(1);
  }

  void tell_status(admin::v1::Status& status) {
    identify(*status.mutable_identity());
    status.set_counters(parts_.counters());
    status.set_open_jobs(parts_.front.open_requests());
    status.set_held_jobs(parts_.front.queued_requests());
    for (const auto& [waits, count] : parts_.front.count_queued_by_cause())
      (*status.mutable_held_by_reason())[std::string(name_of(waits))] = count;
    std::uint64_t up = 0, draining = 0, left_out = 0;
    const Duration now = now_since_start();
    parts_.front.visit_engines([&](const Engine& engine, const auto&, const auto&, Duration) {
      up += engine.is_up;
      draining += engine.endpoint.state == EngineState::draining;
      left_out += engine.is_up && TimePoint(now) < engine.health.ejected_until;
    });
    status.set_engines_up(up), status.set_engines_draining(draining), status.set_engines_left_out(left_out);
    status.set_orders(drains_.in_force().size());
    status.set_ending(quiescence_.ending() || phase_ >= net::Program::Phase::leaving);
    status.set_trouble(damage_.empty() ? unwritten_ : damage_);
    status.set_memory_kb(memory_kb());
    status.set_descriptors(parts_.loop.descriptors());
    configuration_.tell(status);
  }

  static void fill(admin::v1::Order& to, const fleet::ActiveDirective& held, Duration now) {
    to.set_id(held.order.id), to.set_subject(held.order.subject), to.set_holder(held.order.holder);
    to.set_generation(held.order.generation), to.set_drains(held.order.drains);
    to.set_reason(held.order.reason), to.set_lease_ms(in_ms(held.until - now));
  }

  void visit_engines(const admin::v1::Page& page, admin::v1::Engines& engines) const {
    // By name, a page at a time, as many as fit.
    constexpr std::uint32_t most = 200;
    const std::uint32_t wanted = page.most() == 0 ? most : std::min(page.most(), most);
    std::map<EngineId, const DiscoveredEndpoint*> shown;
    for (auto at = endpoints_.upper_bound(page.after()); at != endpoints_.end(); ++at) {
      if (shown.size() == wanted) {
        engines.set_more(true);
        break;
      }
      shown[at->second.engine.id] = &at->second;
    }
    const Duration now = now_since_start();
    std::map<std::string, admin::v1::Engine> by_name;
    parts_.front.visit_engines([&](const Engine& engine, const WorkloadManager::EngineEstimate& belief,
                                   const net::EnginePool::SocketStats& sockets, Duration oldest) {
      const auto at = shown.find(engine.endpoint.id);
      if (at == shown.end()) return;
      const DiscoveredEndpoint& endpoint = *at->second;
      admin::v1::Engine& to = by_name[endpoint.name];
      to.set_name(endpoint.name), to.set_address(endpoint.address);
      const auto name_at = [](const std::vector<std::string>& names, int position) {
        return position >= 0 ? names[static_cast<std::size_t>(position)] : std::string();
      };
      to.set_zone(name_at(parts_.deployment.zones, endpoint.engine.zone.value));
      to.set_kind(name_at(parts_.deployment.kinds, endpoint.engine.kind.value));
      to.set_said(std::string(fleet::name_of(standing_of(endpoint.engine.state))));
      to.set_state(std::string(fleet::name_of(drains_.state_of(endpoint.name))));
      to.set_cold(belief.is_cold), to.set_live_mb(engine.ledger.reserved_mb()),
          to.set_capacity_mb(belief.capacity_mb);
      to.set_live_threads(static_cast<std::uint32_t>(std::max(engine.ledger.reserved_threads(), 0)));
      to.set_slots(belief.slots), to.set_closed_for_ms(in_ms(engine.health.ejected_until - TimePoint(now)));
      if (TimePoint(now) < engine.health.ejected_until || engine.health.on_probation)
        to.set_closed_why(std::string(name_of(engine.health.ejection_reason)));
      to.set_on_trial(engine.health.on_probation), to.set_pace(engine.latency.ratio),
          to.set_error_rate(engine.health.error_rate);
      to.set_connections(static_cast<std::uint32_t>(sockets.connections));
      to.set_dispatches(static_cast<std::uint32_t>(sockets.dispatches));
      to.set_kept_back(static_cast<std::uint32_t>(sockets.unsent_requests));
      to.set_oldest_ms(in_ms(oldest));
      for (const fleet::ActiveDirective& held : drains_.in_force(endpoint.name)) {
        if (to.orders_size() < 4) fill(*to.add_orders(), held, now);
      }
    });
    Room room;
    for (auto& [name, engine] : by_name) {
      if (!room.takes(engine)) return engines.set_more(true);
      *engines.add_engines() = std::move(engine);
    }
  }

  void tell_jobs(const admin::v1::Page& page, admin::v1::Jobs& jobs) {
    constexpr std::uint32_t most = 200;
    std::map<EngineId, std::string> names;
    for (const auto& [name, endpoint] : endpoints_) names[endpoint.engine.id] = name;
    jobs.set_all(parts_.front.open_requests());
    Room room;
    parts_.front.visit_requests(page.most() == 0 ? most : std::min(page.most(), most),
                                [&](const net::Front::RequestView& job) {
                                  admin::v1::Job to;
                                  to.set_id(job.id), to.set_type(job.type);
                                  to.set_age_ms(in_ms(job.age)), to.set_left_ms(job.left.count() / 1000);
                                  to.set_dispatches(static_cast<std::uint32_t>(job.dispatches));
                                  for (const EngineId engine : job.out) to.add_out(names[engine]);
                                  to.set_waits_for(std::string(name_of(job.waits)));
                                  if (room.takes(to)) *jobs.add_jobs() = std::move(to);
                                });
  }

  void take_order(const admin::v1::Order& from, admin::v1::Reply& reply) {
    const Duration now = now_since_start();
    const auto came = std::chrono::steady_clock::now().time_since_epoch();
    fleet::DrainDirective order;
    order.id = from.id(), order.subject = from.subject(), order.holder = from.holder();
    order.generation = from.generation(), order.drains = from.drains(), order.all_holders = from.everyone();
    order.reason = from.reason();
    const std::uint64_t most = in_ms(fleet::Drains::max_lease) + 1;
    order.lease = milliseconds(std::min(from.lease_ms(), most));
    const fleet::DirectiveResult verdict = drains_.apply(now, order);
    admin::v1::Ordered& ordered = *reply.mutable_ordered();
    const bool done = verdict == fleet::DirectiveResult::done || verdict == fleet::DirectiveResult::repeated;
    if (!done) {
      reply.set_outcome(verdict == fleet::DirectiveResult::unusable ? admin::v1::unusable
                                                                    : admin::v1::refused);
      reply.set_fault("the order is " + std::string(fleet::name_of(verdict)));
    }
    ordered.set_verdict(std::string(fleet::name_of(verdict)));
    const bool own = order.subject.empty();
    ordered.set_standing(
        std::string(own ? name_of(quiescence_.state()) : fleet::name_of(drains_.state_of(order.subject))));
    ordered.set_listed(own || endpoints_.contains(order.subject));
    ordered.set_came_monotonic_us(
        static_cast<std::uint64_t>(duration_cast<std::chrono::microseconds>(came).count()));
    ordered.set_newest_generation(drains_.newest_generation());
    for (const fleet::ActiveDirective& held : drains_.in_force()) {
      if (held.order.subject == order.subject && ordered.in_force_size() < 16)
        fill(*ordered.add_in_force(), held, now);
    }
  }

  void tell_orders(std::size_t skip, admin::v1::Orders& orders) const {
    orders.set_newest_generation(drains_.newest_generation());
    const std::vector<fleet::ActiveDirective> all = drains_.in_force();
    Room room;
    for (std::size_t i = skip; i < all.size(); ++i) {
      admin::v1::Order order;
      fill(order, all[i], now_since_start());
      if (!room.takes(order)) return orders.set_more(true);
      *orders.add_orders() = std::move(order);
    }
  }

  void request_shutdown(const admin::v1::End& end, admin::v1::Reply& reply) {
    const Duration now = now_since_start();
    if (phase_ >= net::Program::Phase::leaving) {
      reply.set_outcome(admin::v1::refused);
      reply.set_fault("the manager is ending already");
    } else if (end.called_off()) {
      quiescence_.cancel_shutdown(now, parts_.front.idle());
    } else if (end.within_ms() > 24 * 3600 * 1000) {
      reply.set_outcome(admin::v1::unusable);
      reply.set_fault("a day is the longest that an end may wait");
    } else {
      quiescence_.request_shutdown(now, milliseconds(end.within_ms()), parts_.front.idle());
    }
    identify(*reply.mutable_identity());
  }

  void set_log_level(const std::string& level, admin::v1::Reply& reply) {
    const auto known = {"trace", "debug", "info", "warning", "error", "off"};
    if (std::ranges::find(known, level) == known.end()) {
      reply.set_outcome(admin::v1::unusable);
      return reply.set_fault("a log level is one of trace, debug, info, warning, error, off");
    }
    spdlog::set_level(spdlog::level::from_str(level));
    identify(*reply.mutable_identity());
  }

  void watch(admin::v1::Reply& reply) {
    if (admin_server_.watchers() >= config_.max_watchers) {
      reply.set_outcome(admin::v1::busy);
      return reply.set_fault("as many watch already as may");
    }
    identify(*reply.mutable_identity());
  }
  std::vector<admin::v1::Event> events_after(std::uint64_t after) const override {
    std::vector<admin::v1::Event> events;
    for (const admin::v1::Event& event : events_) {
      if (event.number() > after) events.push_back(event);
    }
    return events;
  }

  void tell(std::string_view kind, std::string_view subject, std::string_view text) {
    constexpr std::size_t kept = 128;  // some 20 kB; what an operator's program misses on its way back here
    admin::v1::Event& event = events_.emplace_back();
    event.set_number(++last_event_);
    event.set_unix_ms(static_cast<std::uint64_t>(unix_now().count()));
    event.set_kind(std::string(kind)), event.set_subject(std::string(subject));
    event.set_text(std::string(text));
    admin_server_.broadcast(event);
    if (events_.size() > kept) events_.pop_front();
  }

  const net::Program::Parts parts_;
  const admin::AdminConfig config_;
  const milliseconds started_unix_;
  net::Program::Phase phase_ = net::Program::Phase::starting;
  std::map<std::string, DiscoveredEndpoint> endpoints_;  // as the channel says
  std::deque<admin::v1::Event> events_;
  std::uint64_t last_event_ = 0;
  std::optional<Duration> wake_;
  std::string damage_, unwritten_;
  admin::DirectivesFile directives_file_;
  fleet::Drains drains_;
  fleet::Quiescence quiescence_;
  ConfigurationBinding configuration_;
  admin::AdminServer admin_server_;
};

}  // namespace

net::Program::MakeAnnex governor_by(const admin::AdminConfig& config, const std::string& file) {
  return [config, file](const net::Program::Parts& parts) {
    return std::make_unique<AdminBinding>(config, file, parts);
  };
}

}  // namespace pearchute::daemon
