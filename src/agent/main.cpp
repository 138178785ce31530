// The agent of one host: reads its charter, looks after its instances, and answers remote calls until it is
// asked to end. Its instances go on without it.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <random>

#include "agent/call_server.h"
#include "agent/config_service.h"
#include "agent/coordinator.h"
#include "agent/gossip_service.h"
#include "agent/grpc_credentials.h"
#include "agent/process_supervisor.h"
#include "agent/wire.h"
#include "errors/error.h"
#include "ini/reader.h"
#include "net/event_loop_thread.h"
#include "net/json_lines.h"
#include "net/log.h"
#include "system/retries.h"

using namespace pearchute;
using namespace pearchute::agent;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

volatile std::sig_atomic_t asked_to_end = 0, asked_to_read_again = 0;

// Each call runs on the loop, where all else does; its own thread waits.
class Service final : public v1::Agent::Service {
 public:
  Service(net::EventLoopThread& stage, ProcessSupervisor& supervisor, Coordinator& coordinator,
          GossipService* gossip, ConfigService* configuration, const AgentConfig& charter)
      : loop_thread_(stage),
        supervisor_(supervisor),
        coordinator_(coordinator),
        gossip_(gossip),
        configuration_(configuration),
        name_(charter.name),
        revocations_(charter.tls) {}

  grpc::Status Show(grpc::ServerContext* context, const v1::Empty*, v1::Shown* shown) override {
    return on(*context, Action::look, "", [&] {
      shown->set_name(name_), shown->set_build(PEARCHUTE_VERSION), shown->set_trouble(supervisor_.trouble());
      for (const ProcessSupervisor::Seen& seen : supervisor_.seen()) {
        v1::Instance& to = *shown->add_instances();
        to.set_name(seen.instance), to.set_zone(seen.zone);
        to.set_condition(std::string(fleet::name_of(seen.condition)));
        to.set_version(seen.version), to.set_falls(static_cast<std::uint32_t>(seen.falls));
        to.set_pid(static_cast<std::uint64_t>(seen.pid)), to.set_done(seen.done),
            to.set_answered(seen.answered);
        if (seen.claim) fill(*to.mutable_claim(), *seen.claim);
        if (seen.under_way) *to.mutable_under_way() = to_wire(*seen.under_way);
        if (seen.last) *to.mutable_last() = to_wire(*seen.last);
      }
      if (gossip_) gossip_->tell(*shown);
    });
  }
  grpc::Status Exchange(grpc::ServerContext* context, const v1::Question* question,
                        v1::Bulletin* bulletin) override {
    if (!gossip_) return {grpc::StatusCode::FAILED_PRECONDITION, "this agent exchanges no word"};
    return on(*context, Action::look, "", [&] { gossip_->answer(*question, *bulletin); });
  }
  grpc::Status Synchronize(grpc::ServerContext* context, const v1::ConfigMessage* question,
                           v1::ConfigMessage* answer) override {
    if (!configuration_) return no_configuration();
    if (identity_of(*context).role != fleet::Role::agent)
      return {grpc::StatusCode::PERMISSION_DENIED, "only agents exchange versions of the configuration"};
    return on(*context, Action::change, "", [&] { configuration_->synchronize(*question, *answer); });
  }
  grpc::Status PublishConfig(grpc::ServerContext* context, const v1::ConfigPublication* publication,
                             v1::ConfigPublished* published) override {
    if (!configuration_) return no_configuration();
    return on(*context, publication->new_epoch() ? Action::take_over : Action::change, "",
              [&] { configuration_->publish(*publication, *published); });
  }
  grpc::Status ShowConfig(grpc::ServerContext* context, const v1::Empty*, v1::ConfigShown* shown) override {
    if (!configuration_) return no_configuration();
    return on(*context, Action::look, "", [&] { configuration_->show(*shown); });
  }
  grpc::Status Claim(grpc::ServerContext* context, const v1::ClaimAsk* ask, v1::ClaimAnswer* to) override {
    return on(*context, ask->take_over() ? Action::take_over : Action::change, ask->who(), [&] {
      if (ask->lease_ms() > 24 * 3600 * 1000) throw MessageError("a lease out of bounds");
      const fleet::LeaseTable::Answer answer =
          supervisor_.ask({ask->operation(),
                           ask->who(),
                           {ask->instances().begin(), ask->instances().end()},
                           milliseconds(ask->lease_ms()),
                           ask->take_over()});
      to->set_granted(answer.granted), to->set_fault(answer.fault);
      for (const auto& [instance, fence] : answer.fences) (*to->mutable_fences())[instance] = fence;
      for (const auto& held : answer.conflicts) {
        auto& one = *to->add_held();
        one.set_instance(held.instance);
        fill(*one.mutable_claim(), held.lease);
      }
    });
  }
  grpc::Status Renew(grpc::ServerContext* context, const v1::Renewal* ask, v1::Renewed* to) override {
    return on(*context, Action::change, holder_of(ask->operation()), [&] {
      if (ask->lease_ms() > 24 * 3600 * 1000) throw MessageError("a lease out of bounds");
      to->set_live(supervisor_.renew(ask->operation(), {ask->instances().begin(), ask->instances().end()},
                                     milliseconds(ask->lease_ms())));
    });
  }
  grpc::Status Release(grpc::ServerContext* context, const v1::Operation* ask, v1::Empty*) override {
    return on(*context, Action::change, holder_of(ask->id()), [&] { supervisor_.release(ask->id()); });
  }
  grpc::Status DoStep(grpc::ServerContext* context, const v1::StepAsk* ask, v1::StepAnswer* to) override {
    return on(*context, Action::change, holder_of(ask->step().operation()), [&] {
      std::string fault;
      to->set_accepted(supervisor_.step(ask->instance(), from_wire(ask->step()), fault));
      to->set_fault(fault);
    });
  }
  grpc::Status StartRollout(grpc::ServerContext* context, const v1::Plan* plan, v1::Said* said) override {
    return on(*context, plan->take_over() ? Action::take_over : Action::change, plan->who(),
              [&] { said->set_fault(coordinator_.start(from_wire(*plan))); });
  }
  grpc::Status Rollouts(grpc::ServerContext* context, const v1::Operation* one,
                        v1::RolloutList* list) override {
    return on(*context, Action::look, "", [&] { coordinator_.tell(one->id(), *list); });
  }
  // Whoever may change anything may hold a rollout up, whose it is.
  grpc::Status Say(grpc::ServerContext* context, const v1::Word* word, v1::Said* said) override {
    return on(*context, Action::change, "",
              [&] { said->set_fault(coordinator_.say(word->id(), word->word())); });
  }

 private:
  using Action = fleet::Action;
  static grpc::Status no_configuration() {
    return {grpc::StatusCode::FAILED_PRECONDITION, "this agent takes no part in configuration versions"};
  }
  template <class What>
  grpc::Status on(const grpc::ServerContext& context, Action act, const std::string& as, What what) {
    const CallerIdentity caller = identity_of(context);
    std::optional<std::string> refusal;
    if (!caller.role) refusal = "a certificate without a role";
    else if (revocations_.is_revoked(caller.serial)) refusal = "the certificate is revoked";
    else refusal = fleet::denial_reason(*caller.role, act, caller.name, as);
    if (refusal) {
      PEARCHUTE_LOG(spdlog::level::warn, "{} at {} is refused: {}", caller.name, context.peer(), *refusal);
      return {grpc::StatusCode::PERMISSION_DENIED, *refusal};
    }
    try {
      loop_thread_.on(what);
      return grpc::Status::OK;
    } catch (const MessageError& fault) {
      return {grpc::StatusCode::INVALID_ARGUMENT, fault.what()};
    }
  }
  // Under whose name an operation has its claims here.
  std::string holder_of(const std::string& operation) {
    return loop_thread_.on([&]() -> std::string {
      for (const ProcessSupervisor::Seen& seen : supervisor_.seen()) {
        if (seen.claim && seen.claim->operation == operation) return seen.claim->who;
      }
      return "";
    });
  }
  void fill(v1::Claim& to, const fleet::Lease& claim) const {
    const Duration now = loop_thread_.loop().now().time_since_epoch();
    const auto in_ms = [](Duration span) {
      return static_cast<std::uint64_t>(
          std::max<Duration::rep>(duration_cast<milliseconds>(span).count(), 0));
    };
    to.set_operation(claim.operation), to.set_who(claim.who), to.set_fence(claim.fence);
    to.set_held_ms(in_ms(now - claim.since)), to.set_left_ms(in_ms(claim.until - now));
  }

  net::EventLoopThread& loop_thread_;
  ProcessSupervisor& supervisor_;
  Coordinator& coordinator_;
  GossipService* const gossip_;
  ConfigService* const configuration_;
  const std::string name_;
  Revocations revocations_;
};

// Guards against a start that ends, or a charter that is not read, for what this machine is short of for a
// moment.
template <class Step>
auto with_patience(Step step) {
  return retry_while_short(step, [](const ResourceShortage& shortage) {
    PEARCHUTE_LOG(spdlog::level::warn, "not now: {}", shortage.what());
  });
}

// A file that can't be used leaves all as it was.
void read_again(const std::string& file, const AgentConfig& charter, net::EventLoopThread& stage,
                ProcessSupervisor& supervisor, Peers& peers, GossipService* gossip,
                ConfigService* configuration) {
  try {
    const AgentConfig next = with_patience([&] { return read_agent_config(file); });
    const bool other = next.name != charter.name || next.state_file != charter.state_file ||
                       next.control.text != charter.control.text || next.listen.text != charter.listen.text ||
                       next.gossips != charter.gossips || next.spreads_config != charter.spreads_config;
    if (other)
      spdlog::warn("the agent's name, state, places and exchange take effect at its next start only");
    with_patience([&] { stage.on([&] { peers.change(next); }); });
    const auto told = stage.on([&] {
      if (gossip) gossip->change(next);
      if (configuration) configuration->change(next);
      return supervisor.change(next);
    });
    for (const std::string& word : told) spdlog::info("{}", word);
    spdlog::info("the charter is read again");
  } catch (const std::exception& fault) {
    spdlog::warn("the charter stays as it was: {}", fault.what());
  }
}

int run(const std::string& file, const AgentConfig& charter) {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, [](int) { asked_to_end = 1; });
  std::signal(SIGINT, [](int) { asked_to_end = 1; });
  std::signal(SIGHUP, [](int) { asked_to_read_again = 1; });
  const std::unique_ptr<net::EventLoopThread> loop_thread =
      with_patience([] { return std::make_unique<net::EventLoopThread>(); });
  net::EventLoopThread& stage = *loop_thread;
  std::unique_ptr<ProcessSupervisor> supervisor;
  std::unique_ptr<Peers> peers;
  std::unique_ptr<Coordinator> coordinator;
  std::unique_ptr<GossipService> gossip;
  std::unique_ptr<ConfigService> configuration;
  with_patience(
      [&] { stage.on([&] { supervisor = std::make_unique<ProcessSupervisor>(stage.loop(), charter); }); });
  with_patience([&] { stage.on([&] { peers = std::make_unique<Peers>(stage, charter); }); });
  stage.on([&] {
    coordinator = std::make_unique<Coordinator>(stage, *peers, supervisor->store(), supervisor->trouble());
    std::random_device chance;
    const std::uint64_t seed = static_cast<std::uint64_t>(chance()) << 32 | chance();
    if (charter.gossips) gossip = std::make_unique<GossipService>(stage, charter, *supervisor, *peers, seed);
    if (charter.spreads_config)
      configuration = std::make_unique<ConfigService>(stage, charter, *supervisor, *peers, seed + 1);
  });
  const auto service = with_patience([&] {
    return std::make_unique<Service>(stage, *supervisor, *coordinator, gossip.get(), configuration.get(),
                                     charter);
  });
  auto server = with_patience([&] { return std::make_unique<CallServer>(stage, charter, *service); });
  spdlog::info("agent {} at {}, {} instances", charter.name, charter.control.text, charter.instances.size());
  while (!asked_to_end) {
    ::usleep(50'000);
    if (!asked_to_read_again) continue;
    asked_to_read_again = 0;
    read_again(file, charter, stage, *supervisor, *peers, gossip.get(), configuration.get());
  }
  server.reset();
  stage.on(
      [&] { configuration.reset(), gossip.reset(), coordinator.reset(), peers.reset(), supervisor.reset(); });
  spdlog::info("agent {} ends; its instances go on", charter.name);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("pearchute-agent: looks after the instances of one host");
  std::string file, log = "plain";
  bool check = false;
  app.add_option("--charter", file, "who it is and what it owns, INI")->required()->type_name("FILE");
  app.add_option("--log", log, "log lines: plain or json")->check(CLI::IsMember({"plain", "json"}));
  app.add_flag("--check", check, "checks the charter and starts nothing");
  app.set_version_flag("--version", "pearchute-agent " PEARCHUTE_VERSION);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  try {
    const AgentConfig charter = with_patience([&] { return read_agent_config(file); });
    if (check) {
      std::cout << file << ": usable\n";
      return 0;
    }
    net::start_log(charter.name, log == "json" ? net::json_lines() : nullptr);
    return run(file, charter);
  } catch (const std::exception& error) {
    print_error(std::cerr, "pearchute-agent", error);
    return 1;
  }
}
