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

volatile std::sig_atomic_t asked_to_end = 0;
volatile std::sig_atomic_t asked_for_counters = 0;
volatile std::sig_atomic_t asked_to_read_again = 0;

std::string told(const char* name) {
  const char* value = std::getenv(name);
  return value ? value : "";
}

json read_configuration(const std::string& path) {
  if (path.empty())
    throw ConfigurationError("no configuration is named", "", "name one: --config FILE, or PROXY_CONFIG");
  std::string text;
  try {
    text = read_file(path);
  } catch (const ResourceShortage&) {
    throw;  // it may be read a moment later
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

// Each name that has a value of another kind is said by its name.
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
  std::string address = configuration.value("listen", told("PROXY_LISTEN"));
  if (address.empty())
    throw ConfigurationError("no address to listen at is told", "",
                             "name it as 'listen', or by PROXY_LISTEN");
  return address;
}

std::string digest_of(const json& configuration) {
  Poco::SHA1Engine engine;
  engine.update(configuration.dump());
  return Poco::DigestEngine::digestToHex(engine.digest()).substr(0, 16);
}

// What holds until the next start.
std::string fixed_part(json configuration) {
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
  constexpr std::string_view words[] = {"starting", "listing", "serving", "leaving", "finishing", "ended"};
  return words[static_cast<int>(phase)];
}

void Program::check(const std::string& file) {
  const json configuration = read_configuration(file);
  resolved_address(address_in(configuration), "listen");
  const service::Deployment deployment = decode_settings(configuration);
  if (const std::string channel = configuration.value("channel", ""); !channel.empty())
    resolved_address(channel, "channel");
  if (const auto known = configuration.find("known"); known != configuration.end()) {
    const EndpointList::Change change = EndpointList(deployment, milliseconds(0)).known(*known);
    if (change.result != EndpointList::EventResult::applied) throw ConfigurationError(change.fault, "known");
  }
}

Program::Program(const std::string& file, std::unique_ptr<spdlog::formatter> log, const MakeAnnex& annex)
    : file_(file) {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, [](int) { asked_to_end = 1; });
  std::signal(SIGINT, [](int) { asked_to_end = 1; });
  std::signal(SIGHUP, [](int) { asked_to_read_again = 1; });
  std::signal(SIGUSR1, [](int) { asked_for_counters = 1; });
  const json configuration = read_configuration(file_);
  name_ = configuration.value("name", told("PROXY_NAME"));
  start_log(name_.empty() ? "pearchuted" : name_, std::move(log));
  const std::string address = address_in(configuration);
  deployment_ = decode_settings(configuration);
  for (const RequestType& type : deployment_.service.types)
    give_up_after_ = std::max(give_up_after_, type.request_timeout);
  // The platform ends the program no sooner than the longest job timeout, or three seconds, and 0.7 s more
  // after it asked: what is open a fifth of a second before that gets its answer.
  give_up_after_ = std::min<Duration>(give_up_after_, seconds(3)) + milliseconds(500);

  std::size_t descriptors = 256, memory_mb = 32;  // the least that managers get
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
  list_ = std::make_unique<EndpointList>(
      deployment_, std::chrono::duration_cast<milliseconds>(unix_now - loop_.now().time_since_epoch()));
  front_ = std::make_unique<Front>(loop_, deployment_, seed_in(configuration), descriptors, memory_mb << 20,
                                   counters_);
  if (annex) {
    annex_ = annex({loop_, *front_, deployment_, name_, digest_of(configuration), [] { asked_to_end = 1; },
                    [this] { return front_->counters_now(); }});
  }
  list_->heard(loop_.now(), false);
  if (const auto known = configuration.find("known"); known != configuration.end()) {
    const EndpointList::Change change = list_->known(*known);
    if (change.result == EndpointList::EventResult::applied)
      list_listener().on_endpoints_changed(change.update, change.endpoints);
    else spdlog::warn("what is known of the engines can't be read: {}", change.fault);
    list_->heard(loop_.now(), true);
  }
  door_ = std::make_unique<ListeningSocket>(
      loop_, resolved_address(address, "listen"),
      [this](const Poco::Net::StreamSocket& socket) { front_->on_client_accepted(socket); });
  if (const std::string channel = configuration.value("channel", ""); !channel.empty()) {
    feed_ = std::make_unique<EndpointWatch>(loop_, channel, *list_, list_listener(), counters_);
    feed_->open();
  }
  before_ = fixed_part(configuration);
  enter(list_->has_endpoints() ? Phase::serving : Phase::listing);
  watch();
}

Program::~Program() = default;

EndpointWatch::Listener& Program::list_listener() {
  if (annex_) return *annex_;
  return *front_;
}

void Program::enter(Phase phase) {
  spdlog::info("{} -> {}", name_of(phase_), name_of(phase));
  phase_ = phase;
  if (annex_) annex_->entered(phase);
  front_->set_ready(phase == Phase::serving || phase == Phase::leaving);
}

// The channel may move while the program runs; of the rest it is said where it takes a restart. A file that
// can't be used leaves all as it was. Guards against one that can't be opened just now, or is being written:
// it is tried again for some seconds before it is given up.
void Program::read_again() {
  constexpr seconds at_most(5);
  constexpr milliseconds between(50);
  const TimePoint now = loop_.now();
  if (!reload_until_) reload_until_ = now + at_most;
  try {
    apply_configuration();
    reload_until_.reset();
  } catch (const std::exception& error) {
    const bool last = now >= *reload_until_;
    PEARCHUTE_LOG(spdlog::level::warn, "the configuration stays as it was{}: {}", last ? "" : " for now",
                  error.what());
    if (last) reload_until_.reset();
    else reload_at_ = now + between;
  }
}

void Program::apply_configuration() {
  const json configuration = read_configuration(file_);
  const std::string channel = configuration.value("channel", "");
  if (channel.empty()) throw ConfigurationError("the configuration names no channel");
  spdlog::info("the configuration is read again; the channel is at {}",
               resolved_address(channel, "channel").toString());
  if (fixed_part(configuration) != before_)
    spdlog::warn("what else has changed in the configuration takes effect at the next start only");
  if (feed_) {
    feed_->set_address(channel);
  } else {
    feed_ = std::make_unique<EndpointWatch>(loop_, channel, *list_, list_listener(), counters_);
    feed_->open();
  }
  take_newer_events(configuration);
}

// Guards against engines that are sent work although they drain, where discovery can't be heard and only the
// new configuration says so.
void Program::take_newer_events(const json& configuration) {
  const auto known = configuration.find("known");
  if (known == configuration.end()) return;
  try {
    list_->heard(loop_.now(), false);
    list_->apply_newer(*known, [this](const EndpointList::Change& change) {
      list_listener().on_endpoints_changed(change.update, change.endpoints);
    });
  } catch (const json::exception& error) {
    PEARCHUTE_LOG(spdlog::level::warn, "what is known of the engines can't be read: {}", error.what());
  }
}

// Looks, at short intervals, whether the next phase has come.
void Program::watch() {
  const TimePoint now = loop_.now();
  constexpr seconds counters_every(10);  // what has changed when is seen without asking
  if (asked_for_counters || now - counters_at_ >= counters_every) {
    asked_for_counters = 0, counters_at_ = now;
    spdlog::info("counters {}", front_->counters_now());
  }
  if (asked_to_read_again && phase_ < Phase::finishing) {
    asked_to_read_again = 0;
    reload_until_.reset();  // what is asked for now has its own time
    read_again();
  } else if (reload_until_ && now >= reload_at_ && phase_ < Phase::finishing) {
    read_again();
  }
  if (phase_ == Phase::listing && list_->has_endpoints()) enter(Phase::serving);
  if (asked_to_end && phase_ < Phase::leaving) {
    asked_at_ = now;
    enter(Phase::leaving);
  }
  if (phase_ == Phase::leaving) {
    // New connections come for 0.4 s more and calls on open ones 0.2 s longer; a tenth is for the way.
    const bool all_came = now - asked_at_ > milliseconds(750);
    // Nothing leaves shortly before, lest it come to its engine after the final answer.
    if (now - asked_at_ > give_up_after_ - milliseconds(100)) front_->send_nothing();
    if (now - asked_at_ > give_up_after_) front_->answer_all();
    if (all_came) front_->close_idle_connections();
    // Who has lost its connection may still come for its answer, within what the platform leaves.
    if (all_came && (front_->idle() || now - asked_at_ > give_up_after_ + milliseconds(50))) {
      door_->shut();
      finishing_since_ = now;
      front_->answer_all();  // what still comes on an open connection is turned away, not taken and lost
      enter(Phase::finishing);
    }
  } else if (phase_ == Phase::finishing && !door_->is_shut()) {
    finishing_since_ = now;  // what it still takes is owed an answer
  } else if (phase_ == Phase::finishing && now - finishing_since_ > milliseconds(100) &&
             (front_->all_written() || now - asked_at_ > give_up_after_ + milliseconds(150))) {
    // What crossed the closing of a connection has come by then, and the last answers are out.
    enter(Phase::ended);
    return loop_.stop();
  }
  if (annex_) annex_->looked(now);
  flush_log();
  loop_.at(now + milliseconds(20), [this] { watch(); });
}

int Program::run() {
  loop_.settle();
  loop_.run();
  spdlog::info("counters {}", front_->counters_now());
  flush_log();
  return 0;
}

}  // namespace pearchute::net
