#include "agent/gossip_service.h"

#include <algorithm>
#include <cmath>

#include "agent/wire.h"
#include "net/log.h"

namespace pearchute::agent {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

std::set<std::string> peers_of(const AgentConfig& charter) {
  std::set<std::string> names;
  for (const auto& [name, reach] : charter.peers) names.insert(name);
  return names;
}

}  // namespace

GossipService::GossipService(net::EventLoopThread& stage, const AgentConfig& charter,
                             ProcessSupervisor& supervisor, Peers& peers, std::uint64_t seed)
    : loop_thread_(stage),
      supervisor_(supervisor),
      peers_(peers),
      gossip_state_(*this, charter.name, supervisor.trouble().empty() ? supervisor.store().incarnation() : 0,
                    seed),
      scheduler_(seed) {
  change(charter);
  beat();
}

void GossipService::change(const AgentConfig& next) {
  gossip_state_.set_agents(peers_of(next)), scheduler_.set_peers(peers_of(next));
}

bool GossipService::persist_incarnation(std::uint64_t incarnation) {
  return supervisor_.trouble().empty() && supervisor_.store().write_incarnation(incarnation);
}

void GossipService::on_event(const std::string& agent, std::string_view what) {
  PEARCHUTE_LOG(spdlog::level::info, "word of agent {}: {}", agent, what);
}

std::vector<fleet::StatusReport> GossipService::own_words() {
  const Duration now = loop_thread_.loop().now().time_since_epoch();
  std::vector<fleet::StatusReport> words;
  std::map<std::string, Before> present;
  for (const ProcessSupervisor::Seen& seen : supervisor_.seen()) {
    // What has not been looked at yet is not stated: others keep what they last heard, as old as it is.
    if (seen.condition == fleet::InstanceState::unseen) continue;
    Before& one = present[seen.instance] = before_[seen.instance];
    if (one.condition != seen.condition || one.life != seen.life) one.since = now;
    if (one.life == seen.life && now > one.looked && seen.answered >= one.answered) {
      // Over some ten beats, as long as word stays of use.
      const double jobs = static_cast<double>(seen.answered - one.answered);
      const double rate = jobs / std::chrono::duration<double>(now - one.looked).count();
      one.traffic += (rate - one.traffic) / 10;
      if (jobs > 0) one.share += (static_cast<double>(seen.done - one.done) / jobs - one.share) / 10;
    } else if (one.life != seen.life) {
      one.traffic = 0, one.share = 1;
    }
    one.condition = seen.condition, one.life = seen.life, one.looked = now;
    one.done = seen.done, one.answered = seen.answered;
    fleet::StatusReport& word = words.emplace_back();
    word.instance = seen.instance, word.zone = seen.zone, word.state = seen.condition;
    word.process_incarnation = seen.life, word.in_state_for = now - one.since;
    word.traffic = one.traffic, word.done = one.share, word.open = seen.open;
  }
  before_ = std::move(present);
  return words;
}

void GossipService::beat() {
  const Duration now = loop_thread_.loop().now().time_since_epoch();
  if (supervisor_.looked_at_all()) gossip_state_.publish(own_words());
  gossip_state_.on_timer(now);
  for (const std::string& peer : scheduler_.due(now)) ask(peer);
  loop_thread_.loop().at(TimePoint(scheduler_.next(now)), [this, alive = alive_] {
    if (*alive) beat();
  });
}

void GossipService::ask(const std::string& peer) {
  v1::Question question;
  question.set_agent(gossip_state_.self());
  for (const auto& [agent, mark] : gossip_state_.marks()) {
    v1::Mark& to = *question.add_marks();
    to.set_agent(agent), to.set_incarnation(mark.incarnation), to.set_through(mark.through);
  }
  const Duration asked = loop_thread_.loop().now().time_since_epoch();
  peers_.call<v1::Question, v1::Bulletin>(
      peer, duration_cast<milliseconds>(fleet::AntiEntropyScheduler::answer_timeout),
      [](auto* to, auto... what) { to->Exchange(what...); }, question,
      [this, alive = alive_, peer, asked](bool ok, const v1::Bulletin& bulletin) {
        if (!*alive) return;
        const Duration now = loop_thread_.loop().now().time_since_epoch();
        std::vector<fleet::ReportDelta> all;
        for (const v1::News& news : bulletin.news()) {
          if (auto one = from_wire(news)) all.push_back(std::move(*one));
          else
            PEARCHUTE_LOG(spdlog::level::warn, "agent {} tells what can't be read of {}", peer, news.agent());
        }
        gossip_state_.receive(now, asked, all);
        if (ok) scheduler_.answered(now, peer);
        else scheduler_.missed(now, peer);
      });
}

void GossipService::answer(const v1::Question& question, v1::Bulletin& bulletin) {
  std::map<std::string, fleet::ReportVersion> marks;
  for (const v1::Mark& mark : question.marks()) marks[mark.agent()] = {mark.incarnation(), mark.through()};
  for (const fleet::ReportDelta& news :
       gossip_state_.answer(loop_thread_.loop().now().time_since_epoch(), marks))
    *bulletin.add_news() = to_wire(news);
}

void GossipService::tell(v1::Shown& shown) const {
  const Duration now = loop_thread_.loop().now().time_since_epoch();
  for (const std::string& agent : gossip_state_.agents()) {
    const fleet::GossipState::Known known = gossip_state_.known(now, agent);
    v1::Heard& to = *shown.add_heard();
    to.set_agent(agent), to.set_incarnation(known.mark.incarnation), to.set_number(known.mark.through);
    to.set_freshness(std::string(name_of(known.freshness))), to.set_disputed(known.disputed);
    to.set_ever(known.age.has_value());
    if (known.age) to.set_age_ms(static_cast<std::uint64_t>(duration_cast<milliseconds>(*known.age).count()));
    for (const auto& [instance, word] : gossip_state_.reports(agent)) *to.add_words() = to_wire(word);
  }
  shown.set_speaks(gossip_state_.can_publish());
}

}  // namespace pearchute::agent
