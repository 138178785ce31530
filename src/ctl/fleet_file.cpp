#include "ctl/fleet_file.h"

#include <algorithm>
#include <map>

#include "ini/reader.h"

namespace pearchute::ctl {

Fleet read_fleet(const std::string& file) {
  constexpr std::size_t most_instances = 5000;  // far over the fleets that one person oversees
  Fleet fleet;
  std::map<std::string, std::size_t> places;
  ini::read(file, [&](const std::string& section, const std::string& name, const std::string& text) {
    if (section == "fleet") {
      if (name == "timeout_ms")
        fleet.answers_within = std::chrono::milliseconds(ini::whole(name, text, 10, 60'000));
      // Each takes a descriptor.
      else if (name == "parallel") fleet.at_once = static_cast<std::size_t>(ini::whole(name, text, 1, 500));
      else throw ini::Error("'" + name + "' is not known in [fleet]");
      return;
    }
    if (section.starts_with("agent ") && section.size() > 6 && section.find(' ', 6) == std::string::npos) {
      if (name != "control") throw ini::Error("'" + name + "' is not known in [agent NAME]");
      fleet.agents.push_back({section.substr(6), keys::parse_endpoint(text)});
      return;
    }
    if (section == "tls") {
      if (!keys::set_tls_file(fleet.tls, name, text))
        throw ini::Error("'" + name + "' is not known in [tls]");
      return;
    }
    if (!section.starts_with("instance "))
      throw ini::Error("[" + section +
                       "] is not known; [fleet], [tls], [agent NAME] and [instance NAME] are");
    const std::string who = section.substr(9);
    if (who.empty() || who.find_first_of(" \t") != std::string::npos)
      throw ini::Error("'" + who + "' is no name for an instance");
    const auto known =
        std::ranges::find(fleet.instances, who, [](const Instance& one) { return one.facts.name; });
    if (known == fleet.instances.end() && fleet.instances.size() == most_instances)
      throw ini::Error("more than " + std::to_string(most_instances) + " instances");
    Instance& instance = known != fleet.instances.end() ? *known : fleet.instances.emplace_back();
    instance.facts.name = who;
    if (name == "admin") {
      instance.place = admin::place_in(text);
      instance.facts.admin = text;
      const auto [at, first] = places.emplace(text, fleet.instances.size());
      if (!first) throw ini::Error("another instance has the admin address " + text);
    } else if (name == "zone") {
      instance.facts.zone = text;
    } else if (name == "start") {
      instance.start = text;
    } else if (name == "labels") {
      for (const std::string& item : ini::list(text)) {
        const std::size_t equal = item.find('=');
        const std::string label = item.substr(0, equal);
        const bool fits = !label.empty() && std::ranges::all_of(label, [](unsigned char c) {
          return std::isalnum(c) || c == '-' || c == '_';
        });
        if (!fits) throw ini::Error("'" + item + "' is no label: NAME=VALUE, set apart by commas");
        instance.facts.labels[label] = equal == std::string::npos ? "" : item.substr(equal + 1);
      }
    } else {
      throw ini::Error("'" + name + "' is not known in [instance NAME]");
    }
  });
  for (const Instance& one : fleet.instances) {
    if (one.place.text.empty()) throw ini::Error("instance " + one.facts.name + " has no 'admin'", file);
  }
  for (const AgentPlace& one : fleet.agents) {
    if (const std::string lacks = keys::missing_tls_file(fleet.tls); one.control.tls && !lacks.empty())
      throw ini::Error("agent " + one.name + " needs '" + lacks + "' in [tls]", file);
  }
  if (fleet.instances.empty()) throw ini::Error("no instance is named", file);
  return fleet;
}

}  // namespace pearchute::ctl
