#include "agent/agent_config.h"

#include <optional>
#include <set>
#include <string_view>

#include "ini/reader.h"

namespace pearchute::agent {

namespace {

constexpr std::size_t max_instances = 1024;  // as many as a large fleet has in all
constexpr std::size_t max_name_length = 128;
constexpr std::int64_t max_command_version = 1'000'000;
constexpr std::string_view command_prefix = "command.";

// The NAME of a section `[kind NAME]`; nothing where it is another kind, or NAME is empty or has a blank.
std::optional<std::string> name_in_section(const std::string& section, std::string_view kind) {
  if (!section.starts_with(kind) || section.size() <= kind.size() || section[kind.size()] != ' ')
    return std::nullopt;
  const std::string name = section.substr(kind.size() + 1);
  if (name.empty() || name.find(' ') != std::string::npos) return std::nullopt;
  return name;
}

const std::string& absolute_path(const std::string& name, const std::string& text) {
  if (!text.starts_with("/")) throw ini::Error("'" + name + "' is no absolute path");
  return text;
}

[[noreturn]] void throw_unknown(const std::string& name, const std::string& section) {
  throw ini::Error("'" + name + "' is not known in [" + section + "]");
}

// Takes the file's lines one by one, and checks the whole at the end.
class Parser {
 public:
  void take_line(const std::string& section, const std::string& name, const std::string& text) {
    if (section == "agent") return take_agent_line(name, text);
    if (section == "tls") {
      if (!keys::set_tls_file(config_.tls, name, text)) throw_unknown(name, "tls");
      return;
    }
    if (const auto peer = name_in_section(section, "peer")) return take_peer_line(*peer, name, text);
    if (const auto instance = name_in_section(section, "instance"))
      return take_instance_line(*instance, name, text);
    throw ini::Error("[" + section + "] is not known; [agent], [tls], [peer NAME] and [instance NAME] are");
  }

  // Throws ini::Error where something is missing or contradicts something else.
  AgentConfig finish(const std::string& file) const {
    check_agent(file);
    check_peers(file);
    if (config_.instances.empty()) throw ini::Error("no instance is named", file);
    for (const auto& [name, instance] : config_.instances) check_instance(name, instance, file);
    return config_;
  }

 private:
  void take_agent_line(const std::string& name, const std::string& text) {
    if (name == "name") config_.name = text;
    else if (name == "state") config_.state_file = absolute_path(name, text);
    else if (name == "control") config_.control = keys::parse_endpoint(text);
    else if (name == "listen") config_.listen = keys::parse_endpoint(text);
    else if (name == "exchange") config_.gossips = ini::yes(name, text);
    else if (name == "configuration") config_.spreads_config = ini::yes(name, text);
    else if (name == "zone") config_.zone = text;
    else throw_unknown(name, "agent");
    if (name == "control" && config_.control.tls) throw ini::Error("'control' is a Unix socket");
    if (name == "listen" && !config_.listen.tls) throw ini::Error("'listen' is tls:host:port");
  }

  void take_peer_line(const std::string& peer, const std::string& name, const std::string& text) {
    if (name == "zone") config_.peer_zones[peer] = text;
    else if (name == "control") config_.peers[peer] = keys::parse_endpoint(text);
    else throw_unknown(name, "peer NAME");
  }

  void take_instance_line(const std::string& instance, const std::string& name, const std::string& text) {
    // The agents' gossip takes no longer ones.
    if (instance.size() > max_name_length || (name == "zone" && text.size() > max_name_length))
      throw ini::Error("a name or zone is longer than " + std::to_string(max_name_length) + " characters");
    OwnedInstance& owned = config_.instances[instance];
    if (config_.instances.size() > max_instances)
      throw ini::Error("more than " + std::to_string(max_instances) + " instances");
    if (name == "command") owned.commands[1] = text;
    else if (name.starts_with(command_prefix)) owned.commands[version_in(name)] = text;
    else if (name == "admin") owned.admin = unique_admin_address(text);
    else if (name == "zone") owned.zone = text;
    else if (name == "configuration") owned.config_file = absolute_path(name, text);
    else if (name == "configuration.base") owned.config_base_file = absolute_path(name, text);
    else if (name == "log") owned.log = text;
    else if (name == "wanted") owned.starts = ini::yes(name, text);
    else if (name == "version")
      owned.initial_version = static_cast<int>(ini::whole(name, text, 1, max_command_version));
    else throw_unknown(name, "instance NAME");
  }

  // Of a name `command.VERSION`; version 1 is named `command`.
  static int version_in(const std::string& name) {
    return static_cast<int>(ini::whole(name, name.substr(command_prefix.size()), 2, max_command_version));
  }

  admin::Endpoint unique_admin_address(const std::string& text) {
    admin::Endpoint place = admin::parse_endpoint(text);
    if (!admin_addresses_.insert(text).second)
      throw ini::Error("another instance has the admin address " + text);
    return place;
  }

  void check_agent(const std::string& file) const {
    if (config_.name.empty()) throw ini::Error("'name' is missing in [agent]", file);
    if (config_.state_file.empty()) throw ini::Error("'state' is missing in [agent]", file);
    if (config_.control.text.empty()) throw ini::Error("'control' is missing in [agent]", file);
  }

  void check_peers(const std::string& file) const {
    bool uses_tls = !config_.listen.target.empty();
    for (const auto& [name, endpoint] : config_.peers) uses_tls = uses_tls || endpoint.tls;
    const std::string missing = keys::missing_tls_file(config_.tls);
    if (uses_tls && !missing.empty()) throw ini::Error("'" + missing + "' is missing in [tls]", file);
    for (const auto& [name, zone] : config_.peer_zones) {
      if (!config_.peers.contains(name)) throw ini::Error("peer " + name + " has no 'control'", file);
    }
    if (config_.peers.contains(config_.name)) throw ini::Error("this agent is its own peer", file);
  }

  static void check_instance(const std::string& name, const OwnedInstance& instance,
                             const std::string& file) {
    const std::string subject = "instance " + name;
    if (instance.admin.text.empty()) throw ini::Error(subject + " has no 'admin'", file);
    if (instance.config_file.empty() != instance.config_base_file.empty())
      throw ini::Error(subject + " needs both 'configuration' and 'configuration.base'", file);
    if (!instance.config_file.empty() && instance.config_file == instance.config_base_file)
      throw ini::Error(subject + " has one file as 'configuration' and 'configuration.base'", file);
    if (!instance.commands.contains(instance.initial_version))
      throw ini::Error(subject + " has no command of version " + std::to_string(instance.initial_version),
                       file);
  }

  AgentConfig config_;
  std::set<std::string> admin_addresses_;
};

}  // namespace

AgentConfig read_agent_config(const std::string& file) {
  Parser parser;
  ini::read(file, [&](const std::string& section, const std::string& name, const std::string& text) {
    parser.take_line(section, name, text);
  });
  return parser.finish(file);
}

}  // namespace pearchute::agent
