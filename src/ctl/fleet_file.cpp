#include "ctl/fleet_file.h"

#include <algorithm>
#include <cctype>
#include <set>
#include <string_view>

#include "ini/reader.h"

namespace pearchute::ctl {

namespace {

constexpr std::size_t max_instances = 5000;  // far more than one operator oversees
constexpr std::int64_t min_timeout_ms = 10;
constexpr std::int64_t max_timeout_ms = 60'000;
constexpr std::int64_t max_parallel = 500;  // each call in flight takes a descriptor
constexpr std::string_view agent_prefix = "agent ";
constexpr std::string_view instance_prefix = "instance ";

[[noreturn]] void throw_unknown_setting(const std::string& name, const std::string& section) {
  throw ini::Error("unknown setting '" + name + "' in [" + section + "]");
}

bool is_label_name(const std::string& name) {
  const auto is_valid = [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_'; };
  return !name.empty() && std::ranges::all_of(name, is_valid);
}

// Parses `text`, a comma-separated list of NAME or NAME=VALUE.
void add_labels(const std::string& text, std::map<std::string, std::string>& labels) {
  for (const std::string& item : ini::list(text)) {
    const std::size_t equal = item.find('=');
    const std::string name = item.substr(0, equal);
    if (!is_label_name(name))
      throw ini::Error("invalid label '" + item + "': expected a comma-separated list of NAME or NAME=VALUE");
    labels[name] = equal == std::string::npos ? "" : item.substr(equal + 1);
  }
}

// Receives the settings one by one, and validates the whole file in finish().
class Parser {
 public:
  void add_setting(const std::string& section, const std::string& name, const std::string& text) {
    if (section == "fleet") return add_fleet_setting(name, text);
    const bool is_agent = section.starts_with(agent_prefix) && section.size() > agent_prefix.size() &&
                          section.find(' ', agent_prefix.size()) == std::string::npos;
    if (is_agent) return add_agent_setting(section.substr(agent_prefix.size()), name, text);
    if (section == "tls") {
      if (!keys::set_tls_file(fleet_.tls, name, text)) throw_unknown_setting(name, "tls");
      return;
    }
    if (!section.starts_with(instance_prefix))
      throw ini::Error("unknown section [" + section +
                       "]; expected [fleet], [tls], [agent NAME] or [instance NAME]");
    add_instance_setting(instance_named(section.substr(instance_prefix.size())), name, text);
  }

  // Throws ini::Error where a required setting is missing.
  Fleet finish(const std::string& file) const {
    for (const Instance& instance : fleet_.instances) {
      if (instance.admin_endpoint.text.empty())
        throw ini::Error("instance " + instance.facts.name + " has no 'admin'", file);
    }
    const std::string missing = keys::missing_tls_file(fleet_.tls);
    for (const AgentAddress& agent : fleet_.agents) {
      if (agent.control.tls && !missing.empty())
        throw ini::Error(
            "agent " + agent.name + " has a TLS address, which requires '" + missing + "' in [tls]", file);
    }
    if (fleet_.instances.empty()) throw ini::Error("the file has no [instance NAME]", file);
    return fleet_;
  }

 private:
  void add_fleet_setting(const std::string& name, const std::string& text) {
    if (name == "timeout_ms")
      fleet_.call_timeout = std::chrono::milliseconds(ini::whole(name, text, min_timeout_ms, max_timeout_ms));
    else if (name == "parallel")
      fleet_.max_parallel_calls = static_cast<std::size_t>(ini::whole(name, text, 1, max_parallel));
    else throw_unknown_setting(name, "fleet");
  }

  void add_agent_setting(const std::string& agent, const std::string& name, const std::string& text) {
    if (name != "control") throw_unknown_setting(name, "agent NAME");
    fleet_.agents.push_back({agent, keys::parse_endpoint(text)});
  }

  // Returns the instance of that name, and adds it where it is new.
  Instance& instance_named(const std::string& name) {
    if (name.empty() || name.find_first_of(" \t") != std::string::npos)
      throw ini::Error("invalid instance name '" + name +
                       "': a name has at least one character and no blanks");
    const auto known = std::ranges::find(fleet_.instances, name,
                                         [](const Instance& instance) { return instance.facts.name; });
    if (known != fleet_.instances.end()) return *known;
    if (fleet_.instances.size() == max_instances)
      throw ini::Error("the file has more than " + std::to_string(max_instances) + " instances");
    Instance& instance = fleet_.instances.emplace_back();
    instance.facts.name = name;
    return instance;
  }

  void add_instance_setting(Instance& instance, const std::string& name, const std::string& text) {
    if (name == "admin") set_admin(instance, text);
    else if (name == "zone") instance.facts.zone = text;
    else if (name == "start") instance.start_command = text;
    else if (name == "labels") add_labels(text, instance.facts.labels);
    else throw_unknown_setting(name, "instance NAME");
  }

  void set_admin(Instance& instance, const std::string& text) {
    instance.admin_endpoint = admin::parse_endpoint(text);
    instance.facts.admin = text;
    if (!admin_addresses_.insert(text).second)
      throw ini::Error("another instance already has the admin address " + text);
  }

  Fleet fleet_;
  std::set<std::string> admin_addresses_;
};

}  // namespace

Fleet read_fleet(const std::string& file) {
  Parser parser;
  ini::read(file, [&](const std::string& section, const std::string& name, const std::string& text) {
    parser.add_setting(section, name, text);
  });
  return parser.finish(file);
}

}  // namespace pearchute::ctl
