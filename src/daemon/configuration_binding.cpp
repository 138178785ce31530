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

ConfigMark mark_in(const json& configuration) {
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
    : file_(file), at_start_(read_object(file)), channel_(at_start_.value("channel", "")) {
  try {
    taken_ = in_force_ = mark_in(at_start_);
  } catch (const json::exception& error) {
    spdlog::warn("{} names no usable version: {}", file_, error.what());
  }
}

void ConfigurationBinding::configure(const admin::v1::Configure& call, admin::v1::Reply& reply) {
  ConfigMark mark;
  mark.epoch = call.version().epoch();
  mark.number = call.version().number();
  mark.digest = call.version().digest();
  std::error_code error;
  std::string refusal;
  if (mark.epoch == 0 || mark.digest.empty()) refusal = "no version is named";
  else if (!std::filesystem::equivalent(call.path(), file_, error)) refusal = "this manager reads " + file_;
  else if (mark < taken_)
    refusal = "number " + std::to_string(taken_.number) + " is in force, which is newer";
  else if (mark != taken_) refusal = take(mark);

  admin::v1::Configured& configured = *reply.mutable_configured();
  fill(*configured.mutable_in_force(), in_force_);
  if (!refusal.empty()) {
    reply.set_outcome(admin::v1::refused);
    reply.set_fault("the configuration is refused: " + refusal);
    configured.set_state("refused");
    configured.set_what(refusal);
    PEARCHUTE_LOG(spdlog::level::warn, "configuration number {} is refused: {}", mark.number, refusal);
  } else if (applying_) {
    configured.set_state("applying");
  } else if (!next_start_.empty()) {
    configured.set_state("next_start");
    configured.set_what(next_start_);
  } else {
    configured.set_state("in_force");
  }
}

std::string ConfigurationBinding::take(const ConfigMark& mark) {
  const std::string candidate = file_ + ".candidate";
  json next;
  try {
    net::Program::check(candidate);
    next = read_object(candidate);
    if (mark_in(next) != mark) return candidate + " holds another version";
  } catch (const std::exception& error) {
    return error.what();
  }
  const std::string channel = next.value("channel", "");
  if (channel.empty() && !channel_.empty()) return "the channel can't be left out while the manager runs";
  std::error_code error;
  std::filesystem::rename(candidate, file_, error);
  if (error) return candidate + " can't take the place of " + file_ + ": " + error.message();

  taken_ = mark;
  next_start_ = waiting_parts(next);
  // Applied by the program between two events, before it says that it has looked.
  applying_ = channel != channel_;
  channel_ = channel;
  if (applying_) std::raise(SIGHUP);
  else if (next_start_.empty()) in_force_ = taken_;
  spdlog::info("configuration number {} is taken{}", mark.number,
               next_start_.empty() ? "" : "; for the next start: " + next_start_);
  return "";
}

// Besides what SIGHUP applies, and what is of use at a start only.
std::string ConfigurationBinding::waiting_parts(const json& next) const {
  static const std::set<std::string> passed_over = {"channel", "known", "seed", version_key};
  std::set<std::string> names;
  for (const json* one : {&at_start_, &next}) {
    for (const auto& [name, value] : one->items()) names.insert(name);
  }
  std::string waiting;
  for (const std::string& name : names) {
    if (passed_over.contains(name)) continue;
    const auto before = at_start_.find(name), after = next.find(name);
    const bool same = before != at_start_.end() && after != next.end() && *before == *after;
    if (!same) waiting += (waiting.empty() ? "" : ", ") + name;
  }
  return waiting;
}

void ConfigurationBinding::looked() {
  if (!applying_) return;
  applying_ = false;
  if (next_start_.empty()) in_force_ = taken_;
}

void ConfigurationBinding::tell(admin::v1::Status& status) const {
  if (in_force_.epoch > 0) fill(*status.mutable_config(), in_force_);
}

}  // namespace pearchute::daemon
