#include "admin/admin_config.h"

#include "ini/reader.h"

namespace pearchute::admin {

namespace {

// Descriptors are needed for clients and engines, so operators get a few dozen at most.
constexpr std::int64_t max_connections_limit = 64;
constexpr std::int64_t max_watchers_limit = 16;
constexpr std::int64_t max_health_check_delay_ms = 60'000;
constexpr std::int64_t max_idle_timeout_s = 3600;

void apply_setting(const std::string& section, const std::string& name, const std::string& text,
                   AdminConfig& config) {
  if (section != "admin") throw ini::Error("unknown section [" + section + "]; expected [admin]");
  if (name == "listen") config.listen = parse_endpoint(text);
  else if (name == "orders_file") config.orders_file = text;
  else if (name == "connections")
    config.max_connections = static_cast<std::size_t>(ini::whole(name, text, 1, max_connections_limit));
  else if (name == "watchers")
    config.max_watchers = static_cast<std::size_t>(ini::whole(name, text, 0, max_watchers_limit));
  else if (name == "notice_ms")
    config.health_check_delay =
        std::chrono::milliseconds(ini::whole(name, text, 0, max_health_check_delay_ms));
  else if (name == "idle_s")
    config.idle_timeout = std::chrono::seconds(ini::whole(name, text, 1, max_idle_timeout_s));
  else throw ini::Error("unknown setting '" + name + "' in [admin]");
  if (name == "orders_file" && !text.starts_with("/"))
    throw ini::Error("'orders_file' must be an absolute path, got '" + text + "'");
}

}  // namespace

AdminConfig read_admin_config(const std::string& file) {
  AdminConfig config;
  ini::read(file, [&](const std::string& section, const std::string& name, const std::string& text) {
    apply_setting(section, name, text, config);
  });
  if (config.listen.text.empty()) throw ini::Error("'listen' is missing in [admin]", file);
  if (config.max_watchers > config.max_connections)
    throw ini::Error("'watchers' (" + std::to_string(config.max_watchers) + ") exceeds 'connections' (" +
                         std::to_string(config.max_connections) + ")",
                     file);
  return config;
}

}  // namespace pearchute::admin
