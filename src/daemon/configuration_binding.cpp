#include "daemon/configuration_binding.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <set>

#include "daemon/program.h"
#include "net/log.h"
#include "system/files.h"

namespace pearchute::daemon {

using fleet::ConfigMark;
using nlohmann::json;

namespace {

constexpr const char* version_key = "configuration_version";

ConfigMark version_in(const json& configuration) {
  const auto at = configuration.find(version_key);
  if (at == configuration.end() || !at->is_object()) return {};
  ConfigMark mark;
  mark.epoch = at->value("epoch", std::uint64_t{0});
  mark.number = at->value("number", std::uint64_t{0});
  mark.digest = at->value("digest", "");
  return mark;
}

json read_object(const std::string& path) {
  json object = json::parse(read_file(path), nullptr, false);
  if (!object.is_object()) object = json::object();
  return object;
}

void fill(admin::v1::ConfigVersion& to, const ConfigMark& mark) {
  to.set_epoch(mark.epoch);
  to.set_number(mark.number);
  to.set_digest(mark.digest);
}

}  // namespace

ConfigurationBinding::ConfigurationBinding(const std::string& file)
    : file_(file),
      configuration_at_start_(read_object(file)),
      channel_(configuration_at_start_.value("channel", "")) {
  try {
    accepted_ = in_force_ = version_in(configuration_at_start_);
  } catch (const json::exception& error) {
    spdlog::warn("{} has an invalid {}: {}", file_, version_key, error.what());
  }
}

void ConfigurationBinding::configure(const admin::v1::Configure& call, admin::v1::Reply& reply) {
  ConfigMark mark;
  mark.epoch = call.version().epoch();
  mark.number = call.version().number();
  mark.digest = call.version().digest();
  std::error_code error;
  std::string refusal;
  if (mark.epoch == 0 || mark.digest.empty()) refusal = "the call names no version";
  else if (!std::filesystem::equivalent(call.path(), file_, error))
    refusal = "this manager's configuration file is " + file_;
  else if (mark < accepted_)
    refusal = "a newer version, number " + std::to_string(accepted_.number) + ", is already accepted";
  else if (mark != accepted_) refusal = apply_candidate(mark);

  admin::v1::Configured& configured = *reply.mutable_configured();
  fill(*configured.mutable_in_force(), in_force_);
  if (!refusal.empty()) {
    reply.set_outcome(admin::v1::refused);
    reply.set_fault("the configuration was refused: " + refusal);
    configured.set_state("refused");
    configured.set_what(refusal);
    PEARCHUTE_LOG(spdlog::level::warn, "refused configuration number {}: {}", mark.number, refusal);
  } else if (applying_) {
    configured.set_state("applying");
  } else if (!needs_restart_.empty()) {
    configured.set_state("next_start");
    configured.set_what(needs_restart_);
  } else {
    configured.set_state("in_force");
  }
}

std::string ConfigurationBinding::apply_candidate(const ConfigMark& mark) {
  const std::string candidate = file_ + ".candidate";
  json next;
  try {
    net::Program::check(candidate);
    next = read_object(candidate);
    if (version_in(next) != mark) return candidate + " contains another version than the call names";
  } catch (const std::exception& error) {
    return error.what();
  }
  const std::string channel = next.value("channel", "");
  if (channel.empty() && !channel_.empty())
    return "the configuration has no 'channel', which cannot be removed while the manager runs";
  std::error_code error;
  std::filesystem::rename(candidate, file_, error);
  if (error) return "cannot rename " + candidate + " to " + file_ + ": " + error.message();

  accepted_ = mark;
  needs_restart_ = settings_that_need_restart(next);
  // The program handles the SIGHUP before it calls on_poll(), between two events of the loop.
  applying_ = channel != channel_;
  channel_ = channel;
  if (applying_) std::raise(SIGHUP);
  else if (needs_restart_.empty()) in_force_ = accepted_;
  spdlog::info("accepted configuration number {}{}", mark.number,
               needs_restart_.empty() ? "" : "; settings that need a restart: " + needs_restart_);
  return "";
}

// The settings that differ from those at the start, comma-separated, without those that SIGHUP applies or
// that only matter at a start.
std::string ConfigurationBinding::settings_that_need_restart(const json& next) const {
  static const std::set<std::string> ignored = {"channel", "known", "seed", version_key};
  std::set<std::string> names;
  for (const json* configuration : {&configuration_at_start_, &next}) {
    for (const auto& [name, value] : configuration->items()) names.insert(name);
  }
  std::string changed;
  for (const std::string& name : names) {
    if (ignored.contains(name)) continue;
    const auto before = configuration_at_start_.find(name), after = next.find(name);
    const bool same = before != configuration_at_start_.end() && after != next.end() && *before == *after;
    if (!same) changed += (changed.empty() ? "" : ", ") + name;
  }
  return changed;
}

void ConfigurationBinding::on_poll() {
  if (!applying_) return;
  applying_ = false;
  if (needs_restart_.empty()) in_force_ = accepted_;
}

void ConfigurationBinding::fill_status(admin::v1::Status& status) const {
  if (in_force_.epoch > 0) fill(*status.mutable_config(), in_force_);
}

}  // namespace pearchute::daemon
