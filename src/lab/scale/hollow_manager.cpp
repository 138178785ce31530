#include "lab/scale/hollow_manager.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <vector>

#include "engines/engine_session.h"
#include "net/connection.h"

namespace pearchute::lab {

using std::chrono::milliseconds;

namespace {

constexpr std::chrono::seconds sign_every(1);

std::uint64_t unix_ms() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

// FNV-1a, started by a seed: which engines a manager connects to is the same on every machine.
std::uint64_t hash_of(std::uint64_t seed, const std::string& text) {
  std::uint64_t hash = 1469598103934665603ULL ^ (seed * 0x9E3779B97F4A7C15ULL);
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  return hash;
}

}  // namespace

// A connection that asks its engine for a sign of life each second, and opens anew where it has ended.
class HollowManager::EngineConnection final : public net::Connection::Listener,
                                              public net::EngineSession::Listener {
 public:
  EngineConnection(net::Loop& loop, std::string address) : loop_(loop), address_(std::move(address)) {
    beat();
  }
  ~EngineConnection() override { close(); }
  bool open() const { return wire_ && wire_->opened(); }

 private:
  void on_data(std::string_view bytes) override {
    std::string out;
    if (!talk_->feed(bytes, out)) return close();
    wire_->send(out);
  }
  void on_closed() override { close(); }
  void on_attempt_ended(net::AttemptId, Outcome, std::vector<std::string>) override {}
  void on_attempt_progress(net::AttemptId, double) override {}
  void on_attempt_spill(net::AttemptId, double) override {}
  void on_attempt_wait(net::AttemptId, WaitCause) override {}

  void close() {
    if (wire_) loop_.retire(std::move(wire_));
  }
  void beat() {
    if (!wire_) {
      talk_ = std::make_unique<net::EngineSession>(*this);
      try {
        wire_ = std::make_unique<net::Connection>(loop_, Poco::Net::SocketAddress(address_), *this);
      } catch (const Poco::Exception&) {
        wire_.reset();
      }
    }
    if (wire_) {
      std::string out;
      talk_->probe_liveness(out);
      wire_->send(out);
    }
    loop_.at(loop_.now() + sign_every, [this, alive = std::weak_ptr<bool>(alive_)] {
      if (!alive.expired()) beat();
    });
  }

  net::Loop& loop_;
  const std::string address_;
  std::unique_ptr<net::EngineSession> talk_;
  std::unique_ptr<net::Connection> wire_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

HollowManager::HollowManager(net::Loop& loop, const service::Deployment& deployment, const Spec& spec)
    : loop_(loop),
      spec_(spec),
      list_(deployment, milliseconds(unix_ms()) -
                            std::chrono::duration_cast<milliseconds>(loop.now().time_since_epoch())),
      feed_(loop, spec.channel, list_, *this, counters_) {
  open_admin_channel();
  feed_.open();
}

HollowManager::~HollowManager() = default;

void HollowManager::open_admin_channel() {
  admin::AdminConfig config;
  config.listen = admin::parse_endpoint("unix:" + spec_.admin_path);
  started_unix_ms_ = unix_ms();
  admin_server_ = std::make_unique<admin::AdminServer>(loop_, config, *this);
}

void HollowManager::restart() {
  admin_server_.reset();
  connections_.clear();
  open_admin_channel();
  // A feed opens its stream anew when its channel's address is written otherwise: here with a leading zero.
  channel_renamed_ = !channel_renamed_;
  std::string channel = spec_.channel;
  if (channel_renamed_) channel.insert(channel.rfind(':') + 1, "0");
  feed_.set_address(channel);
  choose_engines();
}

std::size_t HollowManager::engine_connections() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(connections_, [](const auto& one) { return one.second->open(); }));
}

void HollowManager::identify(admin::v1::Identity& identity) const {
  identity.set_name(spec_.name), identity.set_build("hollow");
  identity.set_phase("serving"), identity.set_rest("serving");
  identity.set_started_unix_ms(started_unix_ms_), identity.set_protocol(1);
}

// As a running manager takes a version: the candidate is put in the file's place, and nothing older is taken.
// It has no settings that a version could change.
void HollowManager::configure(const admin::v1::Configure& call, admin::v1::Reply& reply) {
  fleet::ConfigMark mark;
  mark.epoch = call.version().epoch(), mark.number = call.version().number();
  mark.digest = call.version().digest();
  admin::v1::Configured& configured = *reply.mutable_configured();
  bool taken = mark == in_force_;
  if (mark > in_force_) {
    std::error_code error;
    std::filesystem::rename(spec_.configuration + ".candidate", spec_.configuration, error);
    taken = !error;
    if (taken) in_force_ = mark;
  }
  configured.mutable_in_force()->set_epoch(in_force_.epoch);
  configured.mutable_in_force()->set_number(in_force_.number);
  configured.mutable_in_force()->set_digest(in_force_.digest);
  configured.set_state(taken ? "in_force" : "refused");
  if (!taken) reply.set_outcome(admin::v1::refused);
}

void HollowManager::answer(const admin::v1::Call& call, admin::v1::Reply& reply) {
  if (call.has_who()) return identify(*reply.mutable_identity());
  if (call.has_configure()) return configure(call.configure(), reply);
  if (!call.has_status()) {
    reply.set_outcome(admin::v1::unknown_call);
    return;
  }
  identify(*reply.mutable_status()->mutable_identity());
  reply.mutable_status()->set_counters("{}");
  reply.mutable_status()->set_engines_up(engines_.size());
}

void HollowManager::on_endpoints_changed(EndpointUpdate news,
                                         const std::vector<net::DiscoveredEndpoint>& members) {
  if (news == EndpointUpdate::snapshot) engines_.clear();
  for (const net::DiscoveredEndpoint& member : members) {
    if (member.engine.state == EngineState::up) engines_[member.name] = member.address;
    else engines_.erase(member.name);
  }
  choose_engines();
}

void HollowManager::choose_engines() {
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  for (const auto& [name, address] : engines_) ranked.emplace_back(hash_of(spec_.seed, name), name);
  std::ranges::sort(ranked);
  if (ranked.size() > spec_.engine_connections) ranked.resize(spec_.engine_connections);
  std::erase_if(connections_, [&](const auto& one) {
    return std::ranges::none_of(ranked, [&](const auto& chosen) { return chosen.second == one.first; });
  });
  for (const auto& [rank, name] : ranked) {
    if (connections_.contains(name)) continue;
    connections_[name] = std::make_unique<EngineConnection>(loop_, engines_.at(name));
  }
}

}  // namespace pearchute::lab
