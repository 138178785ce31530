#include "daemon/program.h"

#include <Poco/SHA1Engine.h>
#include <sys/resource.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "errors/error.h"
#include "net/addresses.h"
#include "service/flatten.h"
#include "system/files.h"

namespace pearchute::net {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

volatile std::sig_atomic_t shutdown_requested = 0;
volatile std::sig_atomic_t counters_requested = 0;
volatile std::sig_atomic_t reload_requested = 0;

std::string environment_value(const char* name) {
  const char* value = std::getenv(name);
  return value ? value : "";
}

json read_configuration(const std::string& path) {
  if (path.empty())
    throw ConfigurationError("no configuration file is given", "", "pass --config FILE or set PROXY_CONFIG");
  std::string text;
  try {
    text = read_file(path);
  } catch (const ResourceShortage&) {
    throw;  // a later try may succeed
  } catch (const SystemError& error) {
    throw ConfigurationError("the configuration " + error.wrong(), path, error.remedy());
  }
  json configuration;
  try {
    configuration = json::parse(text);
  } catch (const json::parse_error& error) {
    const std::string_view before = std::string_view(text).substr(0, error.byte > 0 ? error.byte - 1 : 0);
    const auto line = 1 + std::ranges::count(before, '\n');
    const std::size_t start = before.rfind('\n') == std::string_view::npos ? 0 : before.rfind('\n') + 1;
    throw ConfigurationError("the configuration is not JSON: line " + std::to_string(line) + ", column " +
                                 std::to_string(before.size() - start + 1),
                             path);
  }
  if (!configuration.is_object()) throw ConfigurationError("the configuration is not a JSON object", path);
  return configuration;
}

// Throws ConfigurationError, which names the setting whose value is invalid.
service::Deployment decode_settings(const json& configuration) {
  if (!configuration.contains("settings")) throw ConfigurationError("the configuration holds no settings");
  try {
    const service::FlatValues settings(configuration.at("settings"));
    return service::decode(settings.values());
  } catch (const std::exception& error) {
    throw ConfigurationError::within("settings", error);
  }
}

std::string address_in(const json& configuration) {
  std::string address = configuration.value("listen", environment_value("PROXY_LISTEN"));
  if (address.empty())
    throw ConfigurationError("no address to listen at is told", "",
                             "set 'listen' in the configuration, or PROXY_LISTEN");
  return address;
}

std::string digest_of(const json& configuration) {
  Poco::SHA1Engine engine;
  engine.update(configuration.dump());
  return Poco::DigestEngine::digestToHex(engine.digest()).substr(0, 16);
}

// The configuration without the parts that a reload can apply or ignores: a change to the rest needs a
// restart.
std::string fixed_settings(json configuration) {
  for (const char* name : {"channel", "known", "seed"}) configuration.erase(name);
  return configuration.dump();
}

std::uint64_t seed_in(const json& configuration) {
  const std::string text = configuration.value("seed", "0");
  std::uint64_t seed = 0;
  std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  return seed;
}

}  // namespace

std::string_view Program::name_of(Phase phase) {
  constexpr std::string_view names[] = {"starting", "listing", "serving", "leaving", "finishing", "ended"};
  return names[static_cast<int>(phase)];
}

void Program::check(const std::string& file) {
  const json configuration = read_configuration(file);
  resolved_address(address_in(configuration), "listen");
  const service::Deployment deployment = decode_settings(configuration);
  if (const std::string channel = configuration.value("channel", ""); !channel.empty())
    resolved_address(channel, "channel");
  if (const auto known = configuration.find("known"); known != configuration.end()) {
    const EndpointList::Change change = EndpointList(deployment, milliseconds(0)).load_cached(*known);
    if (change.result != EndpointList::EventResult::applied) throw ConfigurationError(change.fault, "known");
  }
}

Program::Program(const std::string& file, std::unique_ptr<spdlog::formatter> log,
                 const MakeExtension& make_extension)
    : file_(file) {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, [](int) { shutdown_requested = 1; });
  std::signal(SIGINT, [](int) { shutdown_requested = 1; });
  std::signal(SIGHUP, [](int) { reload_requested = 1; });
  std::signal(SIGUSR1, [](int) { counters_requested = 1; });
  const json configuration = read_configuration(file_);
  name_ = configuration.value("name", environment_value("PROXY_NAME"));
  start_log(name_.empty() ? "pearchuted" : name_, std::move(log));
  const std::string address = address_in(configuration);
  deployment_ = decode_settings(configuration);
  for (const RequestType& type : deployment_.service.types)
    shutdown_timeout_ = std::max(shutdown_timeout_, type.request_timeout);
  // The platform kills the process no earlier than 0.7 s after the longest request timeout, counted at 3 s at
  // most, has passed since SIGTERM. Requests that are open 0.2 s before that get their final response.
  shutdown_timeout_ = std::min<Duration>(shutdown_timeout_, seconds(3)) + milliseconds(500);

  std::size_t descriptors = 256, memory_mb = 32;  // the smallest limits of any manager
  if (const auto limits = configuration.find("limits"); limits != configuration.end()) {
    descriptors = limits->value("sockets", descriptors);
    memory_mb = std::max<std::size_t>(limits->value("memory_mb", memory_mb), 1);
  }
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, descriptors);
    setrlimit(RLIMIT_NOFILE, &limit);
    descriptors = std::min<std::size_t>(descriptors, limit.rlim_cur);
  }
  const Duration unix_now =
      std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
  endpoint_list_ = std::make_unique<EndpointList>(
      deployment_, std::chrono::duration_cast<milliseconds>(unix_now - loop_.now().time_since_epoch()));
  front_ = std::make_unique<Front>(loop_, deployment_, seed_in(configuration), descriptors, memory_mb << 20,
                                   counters_);
  if (make_extension) {
    extension_ =
        make_extension({loop_, *front_, deployment_, name_, digest_of(configuration),
                        [] { shutdown_requested = 1; }, [this] { return front_->counters_as_json(); }});
  }
  endpoint_list_->on_data_received(loop_.now(), false);
  if (const auto known = configuration.find("known"); known != configuration.end()) {
    const EndpointList::Change change = endpoint_list_->load_cached(*known);
    if (change.result == EndpointList::EventResult::applied)
      endpoint_listener().on_endpoints_changed(change.update, change.endpoints);
    else spdlog::warn("ignored the endpoint list in the configuration ('known'): {}", change.fault);
    endpoint_list_->on_data_received(loop_.now(), true);
  }
  listener_ = std::make_unique<ListeningSocket>(
      loop_, resolved_address(address, "listen"),
      [this](const Poco::Net::StreamSocket& socket) { front_->on_client_accepted(socket); },
      [this] { return front_->can_accept(); });
  if (const std::string channel = configuration.value("channel", ""); !channel.empty()) {
    endpoint_list_client_ =
        std::make_unique<EndpointListClient>(loop_, channel, *endpoint_list_, endpoint_listener(), counters_);
    endpoint_list_client_->open();
  }
  fixed_settings_ = fixed_settings(configuration);
  enter(endpoint_list_->has_endpoints() ? Phase::serving : Phase::listing);
  poll();
}

Program::~Program() = default;

EndpointListClient::Listener& Program::endpoint_listener() {
  if (extension_) return *extension_;
  return *front_;
}

void Program::enter(Phase phase) {
  spdlog::info("phase: {} -> {}", name_of(phase_), name_of(phase));
  phase_ = phase;
  if (extension_) extension_->on_phase_entered(phase);
  front_->set_ready(phase == Phase::serving || phase == Phase::leaving);
}

// Applies the configuration file again. An unusable file changes nothing; it is retried for a few seconds
// before the reload is abandoned, since the file may be unreadable for a moment or only half written.
void Program::reload_configuration() {
  constexpr seconds retry_timeout(5);
  constexpr milliseconds retry_interval(50);
  const TimePoint now = loop_.now();
  if (!reload_deadline_) reload_deadline_ = now + retry_timeout;
  try {
    apply_configuration();
    reload_deadline_.reset();
  } catch (const std::exception& error) {
    const bool is_last_try = now >= *reload_deadline_;
    PEARCHUTE_LOG(spdlog::level::warn, "configuration reload failed{}; the previous configuration stays: {}",
                  is_last_try ? "" : ", retrying", error.what());
    if (is_last_try) reload_deadline_.reset();
    else next_reload_at_ = now + retry_interval;
  }
}

// Applies what can change at run time: the address of the discovery channel, and newer endpoint events. Logs
// a warning where other settings differ, which need a restart.
void Program::apply_configuration() {
  const json configuration = read_configuration(file_);
  const std::string channel = configuration.value("channel", "");
  if (channel.empty()) throw ConfigurationError("the configuration has no 'channel'");
  spdlog::info("configuration reloaded; the discovery channel is at {}",
               resolved_address(channel, "channel").toString());
  if (fixed_settings(configuration) != fixed_settings_)
    spdlog::warn("other settings in the configuration have changed; they take effect at the next restart");
  if (endpoint_list_client_) {
    endpoint_list_client_->set_address(channel);
  } else {
    endpoint_list_client_ =
        std::make_unique<EndpointListClient>(loop_, channel, *endpoint_list_, endpoint_listener(), counters_);
    endpoint_list_client_->open();
  }
  apply_newer_endpoint_events(configuration);
}

// Without this, engines that drain would still be sent attempts where the discovery channel is unreachable
// and only the new configuration reports the drain.
void Program::apply_newer_endpoint_events(const json& configuration) {
  const auto known = configuration.find("known");
  if (known == configuration.end()) return;
  try {
    endpoint_list_->on_data_received(loop_.now(), false);
    endpoint_list_->apply_newer(*known, [this](const EndpointList::Change& change) {
      endpoint_listener().on_endpoints_changed(change.update, change.endpoints);
    });
  } catch (const json::exception& error) {
    PEARCHUTE_LOG(spdlog::level::warn, "ignored the endpoint list in the configuration ('known'): {}",
                  error.what());
  }
}

// Handles pending signals, and enters the next phase when its condition is met. Reschedules itself every
// 20 ms.
void Program::poll() {
  const TimePoint now = loop_.now();
  // Logged without a request too, so that the log shows when a counter changed.
  constexpr seconds counters_log_interval(10);
  if (counters_requested || now - counters_logged_at_ >= counters_log_interval) {
    counters_requested = 0, counters_logged_at_ = now;
    spdlog::info("counters {}", front_->counters_as_json());
  }
  if (reload_requested && phase_ < Phase::finishing) {
    reload_requested = 0;
    reload_deadline_.reset();  // each request has the full retry timeout
    reload_configuration();
  } else if (reload_deadline_ && now >= next_reload_at_ && phase_ < Phase::finishing) {
    reload_configuration();
  }
  if (phase_ == Phase::listing && endpoint_list_->has_endpoints()) enter(Phase::serving);
  if (shutdown_requested && phase_ < Phase::leaving) {
    shutdown_requested_at_ = now;
    enter(Phase::leaving);
  }
  if (phase_ == Phase::leaving) {
    // After the shutdown request, clients open connections for up to 0.4 s and send requests on open ones for
    // another 0.2 s; 0.1 s more allows for transit.
    const bool have_all_requests_arrived = now - shutdown_requested_at_ > milliseconds(750);
    // No attempt is sent in the last 0.1 s: it could reach its engine after the final response.
    if (now - shutdown_requested_at_ > shutdown_timeout_ - milliseconds(100)) front_->stop_sending();
    if (now - shutdown_requested_at_ > shutdown_timeout_) front_->answer_open_requests();
    if (have_all_requests_arrived) front_->close_idle_connections();
    // idle() also waits for clients that have lost their connection and may still fetch their response; the
    // platform's kill timeout bounds the wait.
    if (have_all_requests_arrived &&
        (front_->is_idle() || now - shutdown_requested_at_ > shutdown_timeout_ + milliseconds(50))) {
      listener_->shut();
      finishing_since_ = now;
      // Requests that still arrive on open connections are rejected, not lost.
      front_->answer_open_requests();
      enter(Phase::finishing);
    }
  } else if (phase_ == Phase::finishing && !listener_->is_shut()) {
    finishing_since_ = now;  // connections that the closing socket still accepts get their responses
  } else if (phase_ == Phase::finishing && now - finishing_since_ > milliseconds(100) &&
             (front_->has_written_all() ||
              now - shutdown_requested_at_ > shutdown_timeout_ + milliseconds(150))) {
    // Requests sent while their connection was being closed have arrived by now, and the last responses are
    // written or the time for them is over.
    enter(Phase::ended);
    return loop_.stop();
  }
  if (extension_) extension_->on_poll(now);
  flush_log();
  loop_.at(now + milliseconds(20), [this] { poll(); });
}

int Program::run() {
  loop_.settle();
  loop_.run();
  spdlog::info("counters {}", front_->counters_as_json());
  flush_log();
  return 0;
}

}  // namespace pearchute::net
