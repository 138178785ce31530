#include "agent/gossip_service.h"

#include <set>
#include <vector>

#include "agent/gossip_codec.h"
#include "agent/loop_time.h"
#include "net/log.h"

namespace pearchute::agent {

using fleet::TimePoint;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds response_timeout =
    duration_cast<milliseconds>(fleet::AntiEntropyScheduler::answer_timeout);

std::set<std::string> peer_names(const AgentConfig& config) {
  std::set<std::string> names;
  for (const auto& [name, endpoint] : config.peers) names.insert(name);
  return names;
}

std::uint64_t persisted_incarnation(ProcessSupervisor& supervisor) {
  return supervisor.store_is_usable() ? supervisor.store().incarnation() : 0;
}

}  // namespace

GossipService::GossipService(net::EventLoopThread& loop_thread, const AgentConfig& config,
                             ProcessSupervisor& supervisor, Peers& peers, std::uint64_t seed)
    : loop_thread_(loop_thread),
      supervisor_(supervisor),
      peers_(peers),
      gossip_state_(*this, config.name, persisted_incarnation(supervisor), seed),
      scheduler_(seed) {
  change(config);
  tick();
}

void GossipService::change(const AgentConfig& next) {
  gossip_state_.set_agents(peer_names(next));
  scheduler_.set_peers(peer_names(next));
}

bool GossipService::persist_incarnation(std::uint64_t incarnation) {
  return supervisor_.store_is_usable() && supervisor_.store().write_incarnation(incarnation);
}

void GossipService::on_event(const std::string& agent, std::string_view event) {
  PEARCHUTE_LOG(spdlog::level::info, "reports of agent {}: {}", agent, event);
}

void GossipService::tick() {
  net::Loop& loop = loop_thread_.loop();
  const TimePoint now = fleet_now(loop);
  if (supervisor_.has_observed_all()) gossip_state_.publish(reporter_.reports(now, supervisor_.instances()));
  gossip_state_.on_timer(now);
  for (const std::string& peer : scheduler_.due(now)) request_reports(peer);
  loop.at(loop_time(scheduler_.next(now)), [this, alive = alive_] {
    if (*alive) tick();
  });
}

void GossipService::request_reports(const std::string& peer) {
  const v1::Question request = report_request(gossip_state_.self(), gossip_state_.marks());
  const TimePoint requested_at = fleet_now(loop_thread_.loop());
  peers_.call(peer, rpc::exchange_reports, response_timeout, request,
              [this, alive = alive_, peer, requested_at](bool ok, const v1::Bulletin& response) {
                if (*alive) on_reports(peer, requested_at, ok, response);
              });
}

void GossipService::on_reports(const std::string& peer, TimePoint requested_at, bool ok,
                               const v1::Bulletin& response) {
  const TimePoint now = fleet_now(loop_thread_.loop());
  std::vector<fleet::ReportDelta> deltas;
  for (const v1::News& message : response.news()) {
    if (auto delta = from_wire(message)) deltas.push_back(std::move(*delta));
    else
      PEARCHUTE_LOG(spdlog::level::warn, "agent {} sent invalid reports of agent {}; they are ignored", peer,
                    message.agent());
  }
  gossip_state_.receive(now, requested_at, deltas);
  if (ok) scheduler_.answered(now, peer);
  else scheduler_.missed(now, peer);
}

void GossipService::answer(const v1::Question& request, v1::Bulletin& response) {
  for (const fleet::ReportDelta& delta :
       gossip_state_.answer(fleet_now(loop_thread_.loop()), versions_in(request)))
    *response.add_news() = to_wire(delta);
}

void GossipService::show(v1::Shown& status) const {
  const TimePoint now = fleet_now(loop_thread_.loop());
  for (const std::string& agent : gossip_state_.agents()) {
    v1::Heard& to = *status.add_heard();
    to = to_wire(agent, gossip_state_.known(now, agent));
    for (const auto& [instance, report] : gossip_state_.reports(agent)) *to.add_words() = to_wire(report);
  }
  status.set_speaks(gossip_state_.can_publish());
}

}  // namespace pearchute::agent
