#include "agent/agent_config.h"

#include <optional>
#include <set>
#include <string_view>

#include "ini/reader.h"

namespace pearchute::agent {

namespace {

constexpr std::size_t max_instances = 1024;  // the size of a large fleet
constexpr std::size_t max_name_length = 128;
constexpr std::int64_t max_command_version = 1'000'000;
constexpr std::string_view command_prefix = "command.";

// The NAME of a section `[kind NAME]`; nullopt if the section is of another kind, or NAME is empty or
// contains a space.
std::optional<std::string> name_in_section(const std::string& section, std::string_view kind) {
  if (!section.starts_with(kind) || section.size() <= kind.size() || section[kind.size()] != ' ')
    return std::nullopt;
  const std::string name = section.substr(kind.size() + 1);
  if (name.empty() || name.find(' ') != std::string::npos) return std::nullopt;
  return name;
}

const std::string& absolute_path(const std::string& name, const std::string& text) {
  if (!text.starts_with("/"))
    throw ini::Error("expected an absolute path for '" + name + "', got '" + text + "'");
  return text;
}

[[noreturn]] void throw_unknown(const std::string& name, const std::string& section) {
  throw ini::Error("unknown setting '" + name + "' in [" + section + "]");
}

// Reads the file's settings one by one, and validates the result in finish().
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
    throw ini::Error("unknown section [" + section +
                     "]; expected [agent], [tls], [peer NAME] or [instance NAME]");
  }

  // Throws ini::Error if a required setting is missing or two settings contradict each other.
  AgentConfig finish(const std::string& file) const {
    check_agent(file);
    check_peers(file);
    if (config_.instances.empty()) throw ini::Error("expected at least one section [instance NAME]", file);
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
    if (name == "control" && config_.control.tls)
      throw ini::Error("expected unix:/path for 'control', got '" + text + "'");
    if (name == "listen" && !config_.listen.tls)
      throw ini::Error("expected tls:host:port for 'listen', got '" + text + "'");
  }

  void take_peer_line(const std::string& peer, const std::string& name, const std::string& text) {
    if (name == "zone") config_.peer_zones[peer] = text;
    else if (name == "control") config_.peers[peer] = keys::parse_endpoint(text);
    else throw_unknown(name, "peer NAME");
  }

  void take_instance_line(const std::string& instance, const std::string& name, const std::string& text) {
    // Peers reject status reports with longer names.
    if (instance.size() > max_name_length || (name == "zone" && text.size() > max_name_length))
      throw ini::Error("an instance's name and zone may have at most " + std::to_string(max_name_length) +
                       " characters");
    OwnedInstance& owned = config_.instances[instance];
    if (config_.instances.size() > max_instances)
      throw ini::Error("at most " + std::to_string(max_instances) + " instances are allowed");
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

  // The version in a setting's name `command.VERSION`. Version 1 is set by `command` alone.
  static int version_in(const std::string& name) {
    return static_cast<int>(ini::whole(name, name.substr(command_prefix.size()), 2, max_command_version));
  }

  admin::Endpoint unique_admin_address(const std::string& text) {
    admin::Endpoint endpoint = admin::parse_endpoint(text);
    if (!admin_addresses_.insert(text).second)
      throw ini::Error("another instance already uses the admin address " + text);
    return endpoint;
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
    if (config_.peers.contains(config_.name))
      throw ini::Error("agent " + config_.name + " is listed as its own peer", file);
  }

  static void check_instance(const std::string& name, const OwnedInstance& instance,
                             const std::string& file) {
    const std::string subject = "instance " + name;
    if (instance.admin.text.empty()) throw ini::Error(subject + " has no 'admin'", file);
    if (instance.config_file.empty() != instance.config_base_file.empty())
      throw ini::Error(subject + " needs both 'configuration' and 'configuration.base'", file);
    if (!instance.config_file.empty() && instance.config_file == instance.config_base_file)
      throw ini::Error(subject + " needs two different files as 'configuration' and 'configuration.base'",
                       file);
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
