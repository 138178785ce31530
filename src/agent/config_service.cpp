#include "agent/config_service.h"

#include <algorithm>

#include "agent/config_candidate.h"
#include "agent/config_codec.h"
#include "agent/loop_time.h"
#include "net/log.h"

namespace pearchute::agent {

using admin::CallEnd;
using fleet::ConfigDocument;
using fleet::ConfigMark;
using fleet::TimePoint;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds tick_interval(100);
// The interval at which the service checks that a manager still has the current version in force.
constexpr milliseconds recheck_interval(1000);
constexpr milliseconds manager_timeout(1000);
constexpr milliseconds min_wake_delay(1);
constexpr milliseconds response_timeout = duration_cast<milliseconds>(fleet::ConfigSpread::answer_timeout);

std::map<std::string, fleet::ConfigLocation> peer_locations(const AgentConfig& config) {
  std::map<std::string, fleet::ConfigLocation> locations;
  for (const auto& [name, endpoint] : config.peers) {
    const auto zone = config.peer_zones.find(name);
    locations[name].zone = zone == config.peer_zones.end() ? "" : zone->second;
  }
  return locations;
}

fleet::ConfigReplica::State persisted_state(ProcessSupervisor& supervisor) {
  return supervisor.store_is_usable() ? supervisor.store().config() : fleet::ConfigReplica::State();
}

ConfigMark mark_in(const admin::v1::ConfigVersion& version) {
  ConfigMark mark;
  mark.epoch = version.epoch();
  mark.number = version.number();
  mark.digest = version.digest();
  return mark;
}

admin::v1::Call configure_call(const std::string& config_file, const ConfigMark& mark) {
  admin::v1::Call call;
  admin::v1::Configure& configure = *call.mutable_configure();
  configure.mutable_version()->set_epoch(mark.epoch);
  configure.mutable_version()->set_number(mark.number);
  configure.mutable_version()->set_digest(mark.digest);
  configure.set_path(config_file);
  return call;
}

// Why the manager has not applied the version; empty if it has.
std::string obstacle_in(const admin::v1::Configured& configured) {
  if (configured.state() == "next_start") return "in force at the next start: " + configured.what();
  if (configured.state() == "refused") return "refused: " + configured.what();
  return "";
}

}  // namespace

ConfigService::ConfigService(net::EventLoopThread& loop_thread, const AgentConfig& config,
                             ProcessSupervisor& supervisor, Peers& peers, std::uint64_t seed)
    : loop_thread_(loop_thread),
      supervisor_(supervisor),
      peers_(peers),
      spread_(*this, config.name, {config.zone}, seed, persisted_state(supervisor)) {
  change(config);
  tick();
}

void ConfigService::change(const AgentConfig& next) {
  spread_.set_peers(fleet_now(loop_thread_.loop()), peer_locations(next));
  std::erase_if(instances_, [&](const auto& entry) {
    const auto& [name, instance] = entry;
    const auto at = next.instances.find(name);
    return at == next.instances.end() || at->second.config_file != instance.config_file ||
           at->second.config_base_file != instance.base_file;
  });
  for (const auto& [name, owned] : next.instances) {
    if (owned.config_file.empty() || instances_.contains(name)) continue;
    Instance& instance = instances_[name];
    instance.config_file = owned.config_file;
    instance.base_file = owned.config_base_file;
    instance.manager = std::make_unique<admin::Caller>(loop_thread_.loop(), owned.admin);
  }
}

bool ConfigService::write_config(const fleet::ConfigReplica::State& state) {
  if (supervisor_.store_is_usable() && supervisor_.store().write_config(state)) return true;
  PEARCHUTE_LOG(spdlog::level::err, "can't persist the configuration version: {}",
                supervisor_.store().last_error());
  return false;
}

// ---- Peers

// Starts the exchanges that are due, and schedules itself for the next ones.
void ConfigService::exchange_due() {
  net::Loop& loop = loop_thread_.loop();
  for (const std::string& peer : spread_.due(fleet_now(loop))) exchange(peer);
  const TimePoint next = std::max<TimePoint>(spread_.next(fleet_now(loop)), fleet_now(loop) + min_wake_delay);
  if (next_exchange_at_ && *next_exchange_at_ <= next && *next_exchange_at_ > fleet_now(loop)) return;
  next_exchange_at_ = next;
  loop.at(loop_time(next), [this, alive = alive_] {
    if (!*alive) return;
    next_exchange_at_.reset();
    exchange_due();
  });
}

void ConfigService::exchange(const std::string& peer) {
  const v1::ConfigMessage request = to_wire(spread_.question(fleet_now(loop_thread_.loop()), peer));
  const auto on_response = [this, alive = alive_, peer](bool ok, const v1::ConfigMessage& response) {
    if (!*alive) return;
    const TimePoint now = fleet_now(loop_thread_.loop());
    if (ok) spread_.answered(now, peer, from_wire(response));
    else spread_.missed(now, peer);
    exchange_due();
  };
  peers_.call(peer, rpc::synchronize_config, response_timeout, request, on_response);
}

void ConfigService::synchronize(const v1::ConfigMessage& request, v1::ConfigMessage& response) {
  response = to_wire(spread_.receive(fleet_now(loop_thread_.loop()), from_wire(request)));
  exchange_due();
}

void ConfigService::publish(const v1::ConfigPublication& request, v1::ConfigPublished& response) {
  response.set_fault(content_error(request.content()));
  if (!response.fault().empty()) {
    response.set_result("unusable");
    return;
  }
  const fleet::PublishRequest publish = {request.parent(), request.content(), request.new_epoch()};
  const fleet::PublishResult result = spread_.publish(fleet_now(loop_thread_.loop()), publish);
  response.set_result(std::string(name_of(result)));
  *response.mutable_mark() = to_wire(spread_.replica().mark());
  exchange_due();
}

void ConfigService::show(v1::ConfigShown& status) const {
  status = to_wire(spread_.report());
  status.set_confirmed(spread_.confirmed());
  if (spread_.replica().current()) status.set_content(spread_.replica().current()->content);
}

// ---- Instances

void ConfigService::tick() {
  net::Loop& loop = loop_thread_.loop();
  if (const std::optional<ConfigDocument> document = spread_.to_apply()) {
    for (auto& [name, instance] : instances_) {
      const bool is_due = instance.in_force != document->mark || fleet_now(loop) >= instance.next_call_at;
      if (is_due && !instance.call_pending) apply(name, instance, *document);
    }
  }
  report_instances();
  exchange_due();
  loop.at(loop.now() + tick_interval, [this, alive = alive_] {
    if (*alive) tick();
  });
}

// If the version is in force already, the call only checks that it still is, and no candidate is written.
void ConfigService::apply(const std::string& name, Instance& instance, const ConfigDocument& document) {
  if (instance.in_force != document.mark) {
    instance.obstacle = write_candidate(instance.base_file, instance.config_file, document);
    if (!instance.obstacle.empty()) return;  // retried at the next tick
  }
  instance.call_pending = true;
  const auto on_reply = [this, alive = alive_, name](CallEnd end, const admin::v1::Reply& reply) {
    if (*alive) on_applied(name, end, reply);
  };
  instance.manager->call(configure_call(instance.config_file, document.mark), manager_timeout, on_reply);
}

void ConfigService::on_applied(const std::string& name, CallEnd end, const admin::v1::Reply& reply) {
  const auto at = instances_.find(name);
  if (at == instances_.end()) return;
  Instance& instance = at->second;
  instance.call_pending = false;
  instance.next_call_at = fleet_now(loop_thread_.loop()) + recheck_interval;
  if (end == CallEnd::answered && reply.has_configured()) {
    instance.in_force = mark_in(reply.configured().in_force());
    instance.obstacle = obstacle_in(reply.configured());
  } else if (end == CallEnd::answered) {
    instance.in_force = {};
    instance.obstacle = "its manager doesn't support configuration versions";
  } else {
    // Keeps `in_force`: a manager that is down will start with the version in its configuration file.
    instance.obstacle = "its manager is " + std::string(admin::name_of(end));
  }
  report_instances();
  exchange_due();
}

void ConfigService::report_instances() {
  // Reports nothing until each manager has been called: before that it is unknown which versions are in
  // force.
  const bool all_known = std::ranges::all_of(
      instances_, [](const auto& entry) { return entry.second.next_call_at > TimePoint(); });
  if (!all_known) return;
  std::vector<fleet::InstanceConfig> reports;
  for (const auto& [name, instance] : instances_)
    reports.push_back({name, instance.in_force, instance.obstacle});
  spread_.set_instances(fleet_now(loop_thread_.loop()), reports);
}

}  // namespace pearchute::agent
