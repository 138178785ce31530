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

std::uint64_t to_ms(Duration span) {
  return static_cast<std::uint64_t>(std::max<Duration::rep>(span.count() / 1000, 0));
}

AdminState admin_state_of(EngineState state) {
  return state == EngineState::up         ? AdminState::up
         : state == EngineState::draining ? AdminState::draining
                                          : AdminState::gone;
}

EngineState engine_state_of(AdminState state) {
  return state == AdminState::up         ? EngineState::up
         : state == AdminState::draining ? EngineState::draining
                                         : EngineState::removed;
}

// The names below are sent over the admin channel.
std::string_view name_of(EjectionReason reason) {
  constexpr std::string_view names[] = {"", "errors", "unreachable", "unanswered", "silent"};
  return names[static_cast<int>(reason)];
}

std::string_view name_of(QueuedFor cause) {
  constexpr std::string_view names[] = {"", "its turn in the order of its key", "its key to rest",
                                        "the ration of further dispatches", "room on an engine"};
  return names[static_cast<int>(cause)];
}

std::string_view name_of(fleet::Quiescence::State state) {
  constexpr std::string_view names[] = {"serving", "draining", "drained"};
  return names[static_cast<int>(state)];
}

// The resident memory of the process, in KiB.
std::uint64_t memory_kb() {
  std::ifstream file("/proc/self/statm");
  std::uint64_t total_pages = 0, resident_pages = 0;
  file >> total_pages >> resident_pages;
  return resident_pages * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE)) / 1024;
}

// The bytes that the items of a list may take in one reply: a frame less what surrounds the list.
class ReplyBudget {
 public:
  // Deducts the item with its encoding. Returns false where the reply is full: the item must be left out.
  template <class Item>
  bool take(const Item& item) {
    constexpr std::size_t encoding_bytes = 8;
    remaining_bytes_ -= std::min(remaining_bytes_, item.ByteSizeLong() + encoding_bytes);
    return remaining_bytes_ > 0;
  }

 private:
  static constexpr std::size_t bytes_around_list = 1024;
  std::size_t remaining_bytes_ = admin::max_frame_bytes - bytes_around_list;
};

// The most items in one reply that lists engines or requests.
constexpr std::uint32_t max_page_items = 200;
constexpr int max_orders_per_engine = 4;  // in a reply that lists engines
constexpr int max_orders_in_reply = 16;   // in the reply to an order
constexpr std::uint64_t max_shutdown_timeout_ms = 24 * 3600 * 1000;

std::uint32_t page_items(const admin::v1::Page& page) {
  return page.most() == 0 ? max_page_items : std::min(page.most(), max_page_items);
}

// Connects the admin channel, the drain directives and the drain of the manager with the running program.
class AdminBinding final : public net::Program::Extension,
                           public admin::CallHandler,
                           public fleet::Drains::Host,
                           public fleet::Quiescence::Host {
 public:
  AdminBinding(const admin::AdminConfig& config, const std::string& file,
               const net::Program::Components& components)
      : components_(components),
        config_(config),
        started_unix_(unix_now()),
        directives_file_(config.orders_file),
        drains_(*this),
        quiescence_(*this, config.health_check_delay),
        configuration_(file),
        admin_server_(components.loop, config, *this) {
    components_.front.set_trace_listener(
        [this](std::string_view text) { publish_event("remark", "", text); });
    if (!config.orders_file.empty()) restore_directives();
  }
  ~AdminBinding() override { components_.front.set_trace_listener({}); }

  // ---- net::Program::Extension

  void on_endpoints_changed(EndpointUpdate update,
                            const std::vector<DiscoveredEndpoint>& endpoints) override {
    const Duration now = now_since_start();
    std::vector<DiscoveredEndpoint> merged = endpoints;
    std::set<std::string> discovered_names;
    for (DiscoveredEndpoint& endpoint : merged) {
      discovered_names.insert(endpoint.name);
      const DiscoveredEndpoint* previous = nullptr;
      if (const auto at = endpoints_.find(endpoint.name); at != endpoints_.end()) previous = &at->second;
      const EngineState discovered = endpoint.engine.state;
      const AdminState merged_state =
          drains_.on_discovery_update(now, endpoint.name, endpoint.address, admin_state_of(discovered));
      if (!previous || previous->engine.state != discovered)
        publish_event("engine", endpoint.name,
                      "the channel says " + std::string(fleet::name_of(admin_state_of(discovered))));
      if (discovered == EngineState::removed) {
        endpoints_.erase(endpoint.name);
      } else {
        DiscoveredEndpoint& stored = endpoints_[endpoint.name];
        const std::string previous_address = stored.address;
        stored = endpoint;
        if (stored.address.empty()) stored.address = previous_address;
      }
      endpoint.engine.state = engine_state_of(merged_state);
    }
    if (update != EndpointUpdate::delta) {
      std::erase_if(endpoints_, [&](const auto& entry) { return !discovered_names.contains(entry.first); });
      drains_.on_discovery_snapshot(now, discovered_names);
    }
    components_.front.on_endpoints_changed(update, merged);
  }
  void on_phase_entered(net::Program::Phase phase) override {
    phase_ = phase;
    publish_event("phase", "", net::Program::name_of(phase));
  }
  void on_poll(TimePoint now) override {
    configuration_.on_poll();
    if (phase_ < net::Program::Phase::leaving)
      quiescence_.update(now.time_since_epoch(), components_.front.idle());
  }

  // ---- fleet::Drains::Host and fleet::Quiescence::Host

  void engine_state_changed(const std::string& engine, AdminState state) override {
    const auto at = endpoints_.find(engine);
    if (at == endpoints_.end()) return;
    DiscoveredEndpoint endpoint = at->second;
    endpoint.engine.state = engine_state_of(state);
    publish_event("engine", engine, "by orders it is " + std::string(fleet::name_of(state)));
    components_.front.on_endpoints_changed(EndpointUpdate::delta, {endpoint});
  }
  void manager_drains(bool drains) override {
    quiescence_.set_drain_ordered(now_since_start(), drains, components_.front.idle());
  }
  void wake_at(Duration when) override {
    if (next_timer_ && *next_timer_ <= when && *next_timer_ > now_since_start()) return;
    next_timer_ = when;
    components_.loop.at(TimePoint(when), [this] {
      next_timer_.reset();
      drains_.on_timer(now_since_start());
    });
  }
  void directives_changed() override {
    publish_event("order", "", std::to_string(drains_.in_force().size()) + " orders are in force");
    if (config_.orders_file.empty()) return;
    std::string error;
    if (directives_file_.write(drains_.all(), now_since_start(), unix_now(), error)) {
      write_problem_.clear();
      return;
    }
    write_problem_ = "cannot write orders to " + config_.orders_file + " (" + error +
                     "): they are in force now, but a restart of the manager loses them";
    PEARCHUTE_LOG(spdlog::level::err, "{}", write_problem_);
  }
  void log(std::string_view text) override {
    PEARCHUTE_LOG(spdlog::level::info, "{}", text);
    publish_event("order", "", text);
  }
  void reject_requests(bool rejecting) override { components_.front.set_draining(rejecting); }
  void end() override { components_.end(); }
  void state_changed(fleet::Quiescence::State state) override {
    spdlog::info("the manager is {}", name_of(state));
    publish_event("rest", "", name_of(state));
  }

  // ---- admin::CallHandler

  void answer(const admin::v1::Call& call, admin::v1::Reply& reply) override {
    using Call = admin::v1::Call;
    switch (call.what_case()) {
      case Call::kWho:
        return fill_identity(*reply.mutable_identity());
      case Call::kStatus:
        return fill_status(*reply.mutable_status());
      case Call::kEngines:
        return fill_engines(call.engines(), *reply.mutable_engines());
      case Call::kJobs:
        return fill_requests(call.jobs(), *reply.mutable_jobs());
      case Call::kOrder:
        return apply_directive(call.order(), reply);
      case Call::kOrders:
        return fill_directives(call.orders().orders(), *reply.mutable_orders());
      case Call::kEnd:
        return request_shutdown(call.end(), reply);
      case Call::kLogLevel:
        return set_log_level(call.log_level().level(), reply);
      case Call::kWatch:
        return begin_watch(reply);
      case Call::kConfigure:
        return configuration_.configure(call.configure(), reply);
      case Call::WHAT_NOT_SET:
        break;
    }
  }

 private:
  // The time by the clock of fleet::Drains and fleet::Quiescence.
  Duration now_since_start() const { return components_.loop.now().time_since_epoch(); }
  // Restores the directives of the previous process. A damaged file is reported in the status.
  void restore_directives() {
    const auto persisted = directives_file_.read(unix_now());
    if (persisted.damaged) {
      damage_ = "the orders in " + config_.orders_file + " are lost (" + persisted.error +
                "): what they drained is no longer drained; give the orders again";
      spdlog::error("{}", damage_);
    }
    for (const auto& [directive, remaining] : persisted.directives)
      drains_.restore(now_since_start(), directive, remaining);
    if (!persisted.directives.empty())
      spdlog::info("restored {} orders from before the restart", drains_.in_force().size());
  }

  void fill_identity(admin::v1::Identity& identity) const {
    identity.set_name(components_.name);
    identity.set_build(PEARCHUTE_VERSION);
    identity.set_phase(std::string(net::Program::name_of(phase_)));
    identity.set_rest(std::string(name_of(quiescence_.state())));
    identity.set_started_unix_ms(static_cast<std::uint64_t>(started_unix_.count()));
    identity.set_pid(static_cast<std::uint64_t>(::getpid()));
    identity.set_digest(components_.digest);
    identity.set_protocol(1);
  }

  void fill_status(admin::v1::Status& status) {
    fill_identity(*status.mutable_identity());
    status.set_counters(components_.counters());
    status.set_open_jobs(components_.front.open_requests());
    status.set_held_jobs(components_.front.queued_requests());
    for (const auto& [cause, count] : components_.front.count_queued_by_cause())
      (*status.mutable_held_by_reason())[std::string(name_of(cause))] = count;
    std::uint64_t up = 0, draining = 0, ejected = 0;
    const Duration now = now_since_start();
    components_.front.visit_engines([&](const Engine& engine, const auto&, const auto&, Duration) {
      up += engine.is_up;
      draining += engine.endpoint.state == EngineState::draining;
      ejected += engine.is_up && TimePoint(now) < engine.health.ejected_until;
    });
    status.set_engines_up(up), status.set_engines_draining(draining), status.set_engines_left_out(ejected);
    status.set_orders(drains_.in_force().size());
    status.set_ending(quiescence_.ending() || phase_ >= net::Program::Phase::leaving);
    status.set_trouble(damage_.empty() ? write_problem_ : damage_);
    status.set_memory_kb(memory_kb());
    status.set_descriptors(components_.loop.descriptors());
    configuration_.fill_status(status);
  }

  static void fill(admin::v1::Order& to, const fleet::ActiveDirective& active, Duration now) {
    to.set_id(active.order.id), to.set_subject(active.order.subject), to.set_holder(active.order.holder);
    to.set_generation(active.order.generation), to.set_drains(active.order.drains);
    to.set_reason(active.order.reason), to.set_lease_ms(to_ms(active.until - now));
  }

  // One page of the engines, in the order of their names: as many as the page asks for and the reply holds.
  void fill_engines(const admin::v1::Page& page, admin::v1::Engines& engines) const {
    const std::uint32_t max_engines = page_items(page);
    std::map<EngineId, const DiscoveredEndpoint*> on_page;
    for (auto at = endpoints_.upper_bound(page.after()); at != endpoints_.end(); ++at) {
      if (on_page.size() == max_engines) {
        engines.set_more(true);
        break;
      }
      on_page[at->second.engine.id] = &at->second;
    }
    const Duration now = now_since_start();
    std::map<std::string, admin::v1::Engine> by_name;
    components_.front.visit_engines([&](const Engine& engine, const WorkloadManager::EngineEstimate& estimate,
                                        const net::EnginePool::SocketStats& sockets, Duration oldest) {
      const auto at = on_page.find(engine.endpoint.id);
      if (at == on_page.end()) return;
      const DiscoveredEndpoint& endpoint = *at->second;
      admin::v1::Engine& to = by_name[endpoint.name];
      to.set_name(endpoint.name), to.set_address(endpoint.address);
      const auto name_at = [](const std::vector<std::string>& names, int index) {
        return index >= 0 ? names[static_cast<std::size_t>(index)] : std::string();
      };
      to.set_zone(name_at(components_.deployment.zones, endpoint.engine.zone.value));
      to.set_kind(name_at(components_.deployment.kinds, endpoint.engine.kind.value));
      to.set_said(std::string(fleet::name_of(admin_state_of(endpoint.engine.state))));
      to.set_state(std::string(fleet::name_of(drains_.state_of(endpoint.name))));
      to.set_cold(estimate.is_cold), to.set_live_mb(engine.ledger.reserved_mb()),
          to.set_capacity_mb(estimate.capacity_mb);
      to.set_live_threads(static_cast<std::uint32_t>(std::max(engine.ledger.reserved_threads(), 0)));
      to.set_slots(estimate.slots), to.set_closed_for_ms(to_ms(engine.health.ejected_until - TimePoint(now)));
      if (TimePoint(now) < engine.health.ejected_until || engine.health.on_probation)
        to.set_closed_why(std::string(name_of(engine.health.ejection_reason)));
      to.set_on_trial(engine.health.on_probation), to.set_pace(engine.latency.ratio),
          to.set_error_rate(engine.health.error_rate);
      to.set_connections(static_cast<std::uint32_t>(sockets.connections));
      to.set_dispatches(static_cast<std::uint32_t>(sockets.dispatches));
      to.set_kept_back(static_cast<std::uint32_t>(sockets.unsent_requests));
      to.set_oldest_ms(to_ms(oldest));
      for (const fleet::ActiveDirective& active : drains_.in_force(endpoint.name)) {
        if (to.orders_size() < max_orders_per_engine) fill(*to.add_orders(), active, now);
      }
    });
    ReplyBudget budget;
    for (auto& [name, engine] : by_name) {
      if (!budget.take(engine)) return engines.set_more(true);
      *engines.add_engines() = std::move(engine);
    }
  }

  // The oldest open requests, as many as the page asks for and the reply holds.
  void fill_requests(const admin::v1::Page& page, admin::v1::Jobs& jobs) {
    std::map<EngineId, std::string> names;
    for (const auto& [name, endpoint] : endpoints_) names[endpoint.engine.id] = name;
    jobs.set_all(components_.front.open_requests());
    ReplyBudget budget;
    components_.front.visit_requests(page_items(page), [&](const net::Front::RequestView& request) {
      admin::v1::Job to;
      to.set_id(request.id), to.set_type(request.type);
      to.set_age_ms(to_ms(request.age)), to.set_left_ms(request.left.count() / 1000);
      to.set_dispatches(static_cast<std::uint32_t>(request.dispatches));
      for (const EngineId engine : request.out) to.add_out(names[engine]);
      to.set_waits_for(std::string(name_of(request.waits)));
      if (budget.take(to)) *jobs.add_jobs() = std::move(to);
    });
  }

  void apply_directive(const admin::v1::Order& from, admin::v1::Reply& reply) {
    const Duration now = now_since_start();
    const auto received_at = std::chrono::steady_clock::now().time_since_epoch();
    fleet::DrainDirective directive;
    directive.id = from.id(), directive.subject = from.subject(), directive.holder = from.holder();
    directive.generation = from.generation(), directive.drains = from.drains(),
    directive.all_holders = from.everyone();
    directive.reason = from.reason();
    // Clamped against overflow; a lease over the maximum is still rejected as unusable.
    const std::uint64_t max_lease_ms = to_ms(fleet::Drains::max_lease) + 1;
    directive.lease = milliseconds(std::min(from.lease_ms(), max_lease_ms));
    const fleet::DirectiveResult result = drains_.apply(now, directive);
    admin::v1::Ordered& ordered = *reply.mutable_ordered();
    const bool done = result == fleet::DirectiveResult::done || result == fleet::DirectiveResult::repeated;
    if (!done) {
      reply.set_outcome(result == fleet::DirectiveResult::unusable ? admin::v1::unusable
                                                                   : admin::v1::refused);
      reply.set_fault("the order is " + std::string(fleet::name_of(result)));
    }
    ordered.set_verdict(std::string(fleet::name_of(result)));
    const bool is_for_manager = directive.subject.empty();
    ordered.set_standing(std::string(is_for_manager ? name_of(quiescence_.state())
                                                    : fleet::name_of(drains_.state_of(directive.subject))));
    ordered.set_listed(is_for_manager || endpoints_.contains(directive.subject));
    ordered.set_came_monotonic_us(
        static_cast<std::uint64_t>(duration_cast<std::chrono::microseconds>(received_at).count()));
    ordered.set_newest_generation(drains_.newest_generation());
    for (const fleet::ActiveDirective& active : drains_.in_force()) {
      if (active.order.subject == directive.subject && ordered.in_force_size() < max_orders_in_reply)
        fill(*ordered.add_in_force(), active, now);
    }
  }

  // The directives in force after the first `skip`, as many as the reply holds.
  void fill_directives(std::size_t skip, admin::v1::Orders& orders) const {
    orders.set_newest_generation(drains_.newest_generation());
    const std::vector<fleet::ActiveDirective> all = drains_.in_force();
    ReplyBudget budget;
    for (std::size_t i = skip; i < all.size(); ++i) {
      admin::v1::Order order;
      fill(order, all[i], now_since_start());
      if (!budget.take(order)) return orders.set_more(true);
      *orders.add_orders() = std::move(order);
    }
  }

  void request_shutdown(const admin::v1::End& end, admin::v1::Reply& reply) {
    const Duration now = now_since_start();
    if (phase_ >= net::Program::Phase::leaving) {
      reply.set_outcome(admin::v1::refused);
      reply.set_fault("the manager is shutting down already");
    } else if (end.called_off()) {
      quiescence_.cancel_shutdown(now, components_.front.idle());
    } else if (end.within_ms() > max_shutdown_timeout_ms) {
      reply.set_outcome(admin::v1::unusable);
      reply.set_fault("the shutdown timeout is " + std::to_string(end.within_ms()) +
                      " ms; the longest is one day (86400000 ms)");
    } else {
      quiescence_.request_shutdown(now, milliseconds(end.within_ms()), components_.front.idle());
    }
    fill_identity(*reply.mutable_identity());
  }

  void set_log_level(const std::string& level, admin::v1::Reply& reply) {
    const auto known = {"trace", "debug", "info", "warning", "error", "off"};
    if (std::ranges::find(known, level) == known.end()) {
      reply.set_outcome(admin::v1::unusable);
      return reply.set_fault("unknown log level; use trace, debug, info, warning, error or off");
    }
    spdlog::set_level(spdlog::level::from_str(level));
    fill_identity(*reply.mutable_identity());
  }

  void begin_watch(admin::v1::Reply& reply) {
    if (admin_server_.watchers() >= config_.max_watchers) {
      reply.set_outcome(admin::v1::busy);
      return reply.set_fault("all " + std::to_string(config_.max_watchers) +
                             " watches that this manager allows are in use");
    }
    fill_identity(*reply.mutable_identity());
  }
  std::vector<admin::v1::Event> events_after(std::uint64_t after) const override {
    std::vector<admin::v1::Event> events;
    for (const admin::v1::Event& event : events_) {
      if (event.number() > after) events.push_back(event);
    }
    return events;
  }

  // Sends an event to all watches, and stores it for clients that reconnect.
  void publish_event(std::string_view kind, std::string_view subject, std::string_view text) {
    constexpr std::size_t max_stored_events = 128;  // about 20 kB: what a client misses while it reconnects
    admin::v1::Event& event = events_.emplace_back();
    event.set_number(++last_event_);
    event.set_unix_ms(static_cast<std::uint64_t>(unix_now().count()));
    event.set_kind(std::string(kind)), event.set_subject(std::string(subject));
    event.set_text(std::string(text));
    admin_server_.broadcast(event);
    if (events_.size() > max_stored_events) events_.pop_front();
  }

  const net::Program::Components components_;
  const admin::AdminConfig config_;
  const milliseconds started_unix_;
  net::Program::Phase phase_ = net::Program::Phase::starting;
  std::map<std::string, DiscoveredEndpoint> endpoints_;  // as discovery reports them
  std::deque<admin::v1::Event> events_;
  std::uint64_t last_event_ = 0;
  std::optional<Duration> next_timer_;  // of drains_
  std::string damage_, write_problem_;  // of the directives file; empty where there is none
  admin::DirectivesFile directives_file_;
  fleet::Drains drains_;
  fleet::Quiescence quiescence_;
  ConfigurationBinding configuration_;
  admin::AdminServer admin_server_;
};

}  // namespace

net::Program::MakeExtension admin_extension(const admin::AdminConfig& config, const std::string& file) {
  return [config, file](const net::Program::Components& components) {
    return std::make_unique<AdminBinding>(config, file, components);
  };
}

}  // namespace pearchute::daemon
