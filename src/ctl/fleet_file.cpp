#include "ctl/fleet_file.h"

#include <algorithm>
#include <cctype>
#include <set>
#include <string_view>

#include "ini/reader.h"

namespace pearchute::ctl {

namespace {

constexpr std::size_t max_instances = 5000;  // far over the fleets that one person oversees
constexpr std::int64_t min_timeout_ms = 10;
constexpr std::int64_t max_timeout_ms = 60'000;
constexpr std::int64_t max_parallel = 500;  // each takes a descriptor
constexpr std::string_view agent_prefix = "agent ";
constexpr std::string_view instance_prefix = "instance ";

[[noreturn]] void throw_unknown(const std::string& name, const std::string& section) {
  throw ini::Error("'" + name + "' is not known in [" + section + "]");
}

bool is_label_name(const std::string& name) {
  const auto is_valid = [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_'; };
  return !name.empty() && std::ranges::all_of(name, is_valid);
}

// `text`: NAME or NAME=VALUE, several set apart by commas.
void add_labels(const std::string& text, std::map<std::string, std::string>& labels) {
  for (const std::string& item : ini::list(text)) {
    const std::size_t equal = item.find('=');
    const std::string name = item.substr(0, equal);
    if (!is_label_name(name)) throw ini::Error("'" + item + "' is no label: NAME=VALUE, set apart by commas");
    labels[name] = equal == std::string::npos ? "" : item.substr(equal + 1);
  }
}

// Takes the file's lines one by one, and checks the whole at the end.
class Parser {
 public:
  void take_line(const std::string& section, const std::string& name, const std::string& text) {
    if (section == "fleet") return take_fleet_line(name, text);
    const bool is_agent = section.starts_with(agent_prefix) && section.size() > agent_prefix.size() &&
                          section.find(' ', agent_prefix.size()) == std::string::npos;
    if (is_agent) return take_agent_line(section.substr(agent_prefix.size()), name, text);
    if (section == "tls") {
      if (!keys::set_tls_file(fleet_.tls, name, text)) throw_unknown(name, "tls");
      return;
    }
    if (!section.starts_with(instance_prefix))
      throw ini::Error("[" + section +
                       "] is not known; [fleet], [tls], [agent NAME] and [instance NAME] are");
    take_instance_line(instance_named(section.substr(instance_prefix.size())), name, text);
  }

  // Throws ini::Error where something is missing.
  Fleet finish(const std::string& file) const {
    for (const Instance& instance : fleet_.instances) {
      if (instance.place.text.empty())
        throw ini::Error("instance " + instance.facts.name + " has no 'admin'", file);
    }
    const std::string missing = keys::missing_tls_file(fleet_.tls);
    for (const AgentAddress& agent : fleet_.agents) {
      if (agent.control.tls && !missing.empty())
        throw ini::Error("agent " + agent.name + " needs '" + missing + "' in [tls]", file);
    }
    if (fleet_.instances.empty()) throw ini::Error("no instance is named", file);
    return fleet_;
  }

 private:
  void take_fleet_line(const std::string& name, const std::string& text) {
    if (name == "timeout_ms")
      fleet_.answers_within =
          std::chrono::milliseconds(ini::whole(name, text, min_timeout_ms, max_timeout_ms));
    else if (name == "parallel")
      fleet_.at_once = static_cast<std::size_t>(ini::whole(name, text, 1, max_parallel));
    else throw_unknown(name, "fleet");
  }

  void take_agent_line(const std::string& agent, const std::string& name, const std::string& text) {
    if (name != "control") throw_unknown(name, "agent NAME");
    fleet_.agents.push_back({agent, keys::parse_endpoint(text)});
  }

  // The instance of that name, which may be new.
  Instance& instance_named(const std::string& name) {
    if (name.empty() || name.find_first_of(" \t") != std::string::npos)
      throw ini::Error("'" + name + "' is no name for an instance");
    const auto known = std::ranges::find(fleet_.instances, name,
                                         [](const Instance& instance) { return instance.facts.name; });
    if (known != fleet_.instances.end()) return *known;
    if (fleet_.instances.size() == max_instances)
      throw ini::Error("more than " + std::to_string(max_instances) + " instances");
    Instance& instance = fleet_.instances.emplace_back();
    instance.facts.name = name;
    return instance;
  }

  void take_instance_line(Instance& instance, const std::string& name, const std::string& text) {
    if (name == "admin") set_admin(instance, text);
    else if (name == "zone") instance.facts.zone = text;
    else if (name == "start") instance.start_command = text;
    else if (name == "labels") add_labels(text, instance.facts.labels);
    else throw_unknown(name, "instance NAME");
  }

  void set_admin(Instance& instance, const std::string& text) {
    instance.place = admin::parse_endpoint(text);
    instance.facts.admin = text;
    if (!admin_addresses_.insert(text).second)
      throw ini::Error("another instance has the admin address " + text);
  }

  Fleet fleet_;
  std::set<std::string> admin_addresses_;
};

}  // namespace

Fleet read_fleet(const std::string& file) {
  Parser parser;
  ini::read(file, [&](const std::string& section, const std::string& name, const std::string& text) {
    parser.take_line(section, name, text);
  });
  return parser.finish(file);
}

}  // namespace pearchute::ctl
