#include "agent/agent_config.h"

#include <set>

#include "ini/reader.h"

namespace pearchute::agent {

AgentConfig read_agent_config(const std::string& file) {
  constexpr std::size_t most_instances = 1024;  // as many as a large fleet has in all
  AgentConfig charter;
  std::set<std::string> admins;
  ini::read(file, [&](const std::string& section, const std::string& name, const std::string& text) {
    if (section == "agent") {
      if (name == "name") charter.name = text;
      else if (name == "state") charter.state = text;
      else if (name == "control") charter.control = keys::reach_in(text);
      else if (name == "listen") charter.listen = keys::reach_in(text);
      else if (name == "exchange") charter.exchanges = ini::yes(name, text);
      else if (name == "configuration") charter.configures = ini::yes(name, text);
      else if (name == "zone") charter.zone = text;
      else throw ini::Error("'" + name + "' is not known in [agent]");
      if (name == "control" && charter.control.tls) throw ini::Error("'control' is a Unix socket");
      if (name == "listen" && !charter.listen.tls) throw ini::Error("'listen' is tls:host:port");
      if (name == "state" && !text.starts_with("/")) throw ini::Error("'state' is no absolute path");
      return;
    }
    if (section.starts_with("peer ") && section.size() > 5 && section.find(' ', 5) == std::string::npos) {
      if (name == "zone") {
        charter.peer_zones[section.substr(5)] = text;
        return;
      }
      if (name != "control") throw ini::Error("'" + name + "' is not known in [peer NAME]");
      charter.peers[section.substr(5)] = keys::reach_in(text);
      return;
    }
    if (section == "tls") {
      if (!keys::take(charter.tls, name, text)) throw ini::Error("'" + name + "' is not known in [tls]");
      return;
    }
    if (!section.starts_with("instance ") || section.size() == 9 || section.find(' ', 9) != std::string::npos)
      throw ini::Error("[" + section + "] is not known; [agent], [tls], [peer NAME] and [instance NAME] are");
    // As the agents pass names on, and keep them.
    constexpr std::size_t longest = 128;
    if (section.size() - 9 > longest || (name == "zone" && text.size() > longest))
      throw ini::Error("a name or zone is longer than " + std::to_string(longest) + " characters");
    Owned& owned = charter.instances[section.substr(9)];
    if (charter.instances.size() > most_instances)
      throw ini::Error("more than " + std::to_string(most_instances) + " instances");
    if (name == "command") {
      owned.commands[1] = text;
    } else if (name.starts_with("command.")) {
      owned.commands[static_cast<int>(ini::whole(name, name.substr(8), 2, 1'000'000))] = text;
    } else if (name == "admin") {
      owned.admin = admin::place_in(text);
      if (!admins.insert(text).second) throw ini::Error("another instance has the admin address " + text);
    } else if (name == "zone") {
      owned.zone = text;
    } else if (name == "configuration") {
      if (!text.starts_with("/")) throw ini::Error("'configuration' is no absolute path");
      owned.configuration = text;
    } else if (name == "configuration.base") {
      if (!text.starts_with("/")) throw ini::Error("'configuration.base' is no absolute path");
      owned.configuration_base = text;
    } else if (name == "log") {
      owned.log = text;
    } else if (name == "wanted") {
      owned.wanted = ini::yes(name, text);
    } else if (name == "version") {
      owned.version = static_cast<int>(ini::whole(name, text, 1, 1'000'000));
    } else {
      throw ini::Error("'" + name + "' is not known in [instance NAME]");
    }
  });
  if (charter.name.empty()) throw ini::Error("'name' is missing in [agent]", file);
  if (charter.state.empty()) throw ini::Error("'state' is missing in [agent]", file);
  if (charter.control.text.empty()) throw ini::Error("'control' is missing in [agent]", file);
  bool tls = !charter.listen.target.empty();
  for (const auto& [name, reach] : charter.peers) tls = tls || reach.tls;
  if (const std::string lacks = keys::missing(charter.tls); tls && !lacks.empty())
    throw ini::Error("'" + lacks + "' is missing in [tls]", file);
  for (const auto& [name, zone] : charter.peer_zones) {
    if (!charter.peers.contains(name)) throw ini::Error("peer " + name + " has no 'control'", file);
  }
  if (charter.peers.contains(charter.name)) throw ini::Error("this agent is its own peer", file);
  if (charter.instances.empty()) throw ini::Error("no instance is named", file);
  for (const auto& [name, owned] : charter.instances) {
    if (owned.admin.text.empty()) throw ini::Error("instance " + name + " has no 'admin'", file);
    if (owned.configuration.empty() != owned.configuration_base.empty())
      throw ini::Error("instance " + name + " needs both 'configuration' and 'configuration.base'", file);
    if (!owned.configuration.empty() && owned.configuration == owned.configuration_base)
      throw ini::Error("instance " + name + " has one file as 'configuration' and 'configuration.base'",
                       file);
    if (!owned.commands.contains(owned.version))
      throw ini::Error("instance " + name + " has no command of version " + std::to_string(owned.version),
                       file);
  }
  return charter;
}

}  // namespace pearchute::agent
