#include "agent/config_service.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>

#include "agent/config_wire.h"
#include "net/log.h"
#include "system/files.h"

namespace pearchute::agent {

using admin::CallEnd;
using fleet::ConfigDocument;
using fleet::ConfigMark;
using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds look_every(100), look_again_after(1000);
constexpr milliseconds manager_answers_within(1000);

std::map<std::string, fleet::ConfigLocation> peers_of(const AgentConfig& config) {
  std::map<std::string, fleet::ConfigLocation> peers;
  for (const auto& [name, reach] : config.peers) {
    const auto zone = config.peer_zones.find(name);
    peers[name].zone = zone == config.peer_zones.end() ? "" : zone->second;
  }
  return peers;
}

fleet::ConfigReplica::State on_disk(const ProcessSupervisor& supervisor, store::Store& store) {
  return supervisor.trouble().empty() ? store.config() : fleet::ConfigReplica::State();
}

// Empty where the content can be merged into an instance's base.
std::string fault_in(const std::string& content) {
  const json object = json::parse(content, nullptr, false);
  if (!object.is_object()) return "the content is not a JSON object";
  for (const char* name : {"name", "listen", "configuration_version"}) {
    if (object.contains(name)) return "'" + std::string(name) + "' is each instance's own";
  }
  return "";
}

// Durable, so that a file which took another's place is whole after the machine's fall.
bool write_file(const std::string& path, const std::string& text) {
  const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (file < 0) return false;
  const bool written = ::write(file, text.data(), text.size()) == static_cast<ssize_t>(text.size());
  const bool durable = written && ::fsync(file) == 0;
  return ::close(file) == 0 && durable;
}

// Empty where the candidate is beside the instance's file.
std::string write_candidate(const std::string& base, const std::string& file,
                            const ConfigDocument& document) {
  json configuration;
  try {
    configuration = json::parse(read_file(base), nullptr, false);
  } catch (const SystemError& error) {
    return error.what();  // the instance is asked again in a while
  }
  if (!configuration.is_object()) return base + " is not a JSON object";
  const json change = json::parse(document.content, nullptr, false);
  if (!change.is_object()) return "the content is not a JSON object";
  configuration.merge_patch(change);
  configuration["configuration_version"] = {
      {"epoch", document.mark.epoch}, {"number", document.mark.number}, {"digest", document.mark.digest}};
  const std::string candidate = file + ".candidate";
  return write_file(candidate, configuration.dump(1) + "\n") ? "" : candidate + " can't be written";
}

ConfigMark mark_in(const admin::v1::ConfigVersion& version) {
  ConfigMark mark;
  mark.epoch = version.epoch();
  mark.number = version.number();
  mark.digest = version.digest();
  return mark;
}

}  // namespace

ConfigService::ConfigService(net::EventLoopThread& stage, const AgentConfig& config,
                             ProcessSupervisor& supervisor, Peers& peers, std::uint64_t seed)
    : loop_thread_(stage),
      supervisor_(supervisor),
      peers_(peers),
      spread_(*this, config.name, {config.zone}, seed, on_disk(supervisor, supervisor.store())) {
  change(config);
  look();
}

void ConfigService::change(const AgentConfig& next) {
  spread_.set_peers(loop_thread_.loop().now().time_since_epoch(), peers_of(next));
  std::erase_if(instances_, [&](const auto& one) {
    const auto at = next.instances.find(one.first);
    return at == next.instances.end() || at->second.config_file != one.second.file ||
           at->second.config_base_file != one.second.base;
  });
  for (const auto& [name, owned] : next.instances) {
    if (owned.config_file.empty() || instances_.contains(name)) continue;
    Instance& instance = instances_[name];
    instance.file = owned.config_file;
    instance.base = owned.config_base_file;
    instance.caller = std::make_unique<admin::Caller>(loop_thread_.loop(), owned.admin);
  }
}

bool ConfigService::write_config(const fleet::ConfigReplica::State& state) {
  if (supervisor_.trouble().empty() && supervisor_.store().write_config(state)) return true;
  PEARCHUTE_LOG(spdlog::level::err, "the configuration version can't be written: {}",
                supervisor_.store().last_error());
  return false;
}

// ---- With peers

void ConfigService::turn() {
  net::Loop& loop = loop_thread_.loop();
  for (const std::string& peer : spread_.due(loop.now().time_since_epoch())) exchange(peer);
  const Duration next =
      std::max(spread_.next(loop.now().time_since_epoch()), loop.now().time_since_epoch() + milliseconds(1));
  if (wake_ && *wake_ <= next && *wake_ > loop.now().time_since_epoch()) return;
  wake_ = next;
  loop.at(TimePoint(next), [this, alive = alive_] {
    if (!*alive) return;
    wake_.reset();
    turn();
  });
}

void ConfigService::exchange(const std::string& peer) {
  const v1::ConfigMessage question =
      to_wire(spread_.question(loop_thread_.loop().now().time_since_epoch(), peer));
  peers_.call<v1::ConfigMessage, v1::ConfigMessage>(
      peer, duration_cast<milliseconds>(fleet::ConfigSpread::answer_timeout),
      [](auto* to, auto... what) { to->Synchronize(what...); }, question,
      [this, alive = alive_, peer](bool ok, const v1::ConfigMessage& answer) {
        if (!*alive) return;
        const Duration now = loop_thread_.loop().now().time_since_epoch();
        if (ok) spread_.answered(now, peer, from_wire(answer));
        else spread_.missed(now, peer);
        turn();
      });
}

void ConfigService::synchronize(const v1::ConfigMessage& question, v1::ConfigMessage& answer) {
  answer = to_wire(spread_.receive(loop_thread_.loop().now().time_since_epoch(), from_wire(question)));
  turn();
}

void ConfigService::publish(const v1::ConfigPublication& publication, v1::ConfigPublished& published) {
  published.set_fault(fault_in(publication.content()));
  if (!published.fault().empty()) {
    published.set_result("unusable");
    return;
  }
  const fleet::PublishRequest request = {publication.parent(), publication.content(),
                                         publication.new_epoch()};
  const fleet::PublishResult result = spread_.publish(loop_thread_.loop().now().time_since_epoch(), request);
  published.set_result(std::string(name_of(result)));
  *published.mutable_mark() = to_wire(spread_.replica().mark());
  turn();
}

void ConfigService::show(v1::ConfigShown& shown) const {
  shown = to_wire(spread_.report());
  shown.set_confirmed(spread_.confirmed());
  if (spread_.replica().current()) shown.set_content(spread_.replica().current()->content);
}

// ---- With instances

void ConfigService::look() {
  net::Loop& loop = loop_thread_.loop();
  if (const auto document = spread_.to_apply()) {
    for (auto& [name, instance] : instances_) {
      const bool due =
          instance.in_force != document->mark || loop.now().time_since_epoch() >= instance.look_at;
      if (due && !instance.calling) configure(name, instance, *document);
    }
  }
  report_instances();
  turn();
  loop.at(loop.now() + look_every, [this, alive = alive_] {
    if (*alive) look();
  });
}

void ConfigService::configure(const std::string& name, Instance& instance, const ConfigDocument& document) {
  // One in which it is in force is only asked whether that is still so.
  if (instance.in_force != document.mark)
    instance.not_in_force_reason = write_candidate(instance.base, instance.file, document);
  if (!instance.not_in_force_reason.empty() && instance.in_force != document.mark) return;
  instance.calling = true;
  admin::v1::Call call;
  admin::v1::Configure& to = *call.mutable_configure();
  to.mutable_version()->set_epoch(document.mark.epoch);
  to.mutable_version()->set_number(document.mark.number);
  to.mutable_version()->set_digest(document.mark.digest);
  to.set_path(instance.file);
  instance.caller->call(
      call, manager_answers_within, [this, alive = alive_, name](CallEnd end, const admin::v1::Reply& reply) {
        if (!*alive) return;
        const auto at = instances_.find(name);
        if (at == instances_.end()) return;
        Instance& asked = at->second;
        asked.calling = false;
        asked.look_at = loop_thread_.loop().now().time_since_epoch() + look_again_after;
        const admin::v1::Configured& configured = reply.configured();
        if (end == CallEnd::answered && reply.has_configured()) {
          asked.in_force = mark_in(configured.in_force());
          asked.not_in_force_reason = configured.state() == "next_start"
                                          ? "in force at the next start: " + configured.what()
                                      : configured.state() == "refused" ? "refused: " + configured.what()
                                                                        : "";
        } else if (end == CallEnd::answered) {
          asked.in_force = {}, asked.not_in_force_reason = "its manager does not know the call";
        } else {
          // What was in force stands in its file: a manager that is down starts with it.
          asked.not_in_force_reason = "its manager is " + std::string(admin::name_of(end));
        }
        report_instances();
        turn();
      });
}

void ConfigService::report_instances() {
  std::vector<fleet::InstanceConfig> all;
  for (const auto& [name, instance] : instances_)
    all.push_back({name, instance.in_force, instance.not_in_force_reason});
  // What no manager has been asked about yet is unknown, not in force.
  const bool known =
      std::ranges::all_of(instances_, [](const auto& one) { return one.second.look_at > Duration(); });
  if (known) spread_.set_instances(loop_thread_.loop().now().time_since_epoch(), all);
}

}  // namespace pearchute::agent
