#include "agent/herald.h"

#include <algorithm>
#include <cmath>

#include "agent/wire.h"
#include "net/log.h"

namespace pearchute::agent {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

std::set<std::string> peers_of(const Charter& charter) {
  std::set<std::string> names;
  for (const auto& [name, reach] : charter.peers) names.insert(name);
  return names;
}

}  // namespace

Herald::Herald(net::Stage& stage, const Charter& charter, Warden& warden, Peers& peers, std::uint64_t seed)
    : stage_(stage),
      warden_(warden),
      peers_(peers),
      bulletin_(*this, charter.name, warden.trouble().empty() ? warden.store().incarnation() : 0, seed),
      asking_(seed) {
  change(charter);
  beat();
}

void Herald::change(const Charter& next) {
  bulletin_.charter(peers_of(next)), asking_.charter(peers_of(next));
}

bool Herald::keep_incarnation(std::uint64_t incarnation) {
  return warden_.trouble().empty() && warden_.store().write_incarnation(incarnation);
}

void Herald::told(const std::string& agent, std::string_view what) {
  PEARCHUTE_LOG(spdlog::level::info, "word of agent {}: {}", agent, what);
}

std::vector<fleet::Word> Herald::own_words() {
  const Span now = stage_.loop().now();
  std::vector<fleet::Word> words;
  std::map<std::string, Before> present;
  for (const Warden::Seen& seen : warden_.seen()) {
    // What has not been looked at yet is not stated: others keep what they last heard, as old as it is.
    if (seen.condition == fleet::Condition::unseen) continue;
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
    fleet::Word& word = words.emplace_back();
    word.instance = seen.instance, word.zone = seen.zone, word.condition = seen.condition;
    word.life = seen.life, word.lived = now - one.since;
    word.traffic = one.traffic, word.done = one.share, word.open = seen.open;
  }
  before_ = std::move(present);
  return words;
}

void Herald::beat() {
  const Span now = stage_.loop().now();
  if (warden_.looked_at_all()) bulletin_.say(own_words());
  bulletin_.woken(now);
  for (const std::string& peer : asking_.due(now)) ask(peer);
  stage_.loop().at(asking_.next(now), [this, alive = alive_] {
    if (*alive) beat();
  });
}

void Herald::ask(const std::string& peer) {
  v1::Question question;
  question.set_agent(bulletin_.self());
  for (const auto& [agent, mark] : bulletin_.marks()) {
    v1::Mark& to = *question.add_marks();
    to.set_agent(agent), to.set_incarnation(mark.incarnation), to.set_through(mark.through);
  }
  const Span asked = stage_.loop().now();
  peers_.call<v1::Question, v1::Bulletin>(
      peer, duration_cast<milliseconds>(fleet::Asking::answers_within),
      [](auto* to, auto... what) { to->Exchange(what...); }, question,
      [this, alive = alive_, peer, asked](bool ok, const v1::Bulletin& bulletin) {
        if (!*alive) return;
        const Span now = stage_.loop().now();
        std::vector<fleet::News> all;
        for (const v1::News& news : bulletin.news()) {
          if (auto one = from_wire(news)) all.push_back(std::move(*one));
          else
            PEARCHUTE_LOG(spdlog::level::warn, "agent {} tells what can't be read of {}", peer, news.agent());
        }
        bulletin_.heard(now, asked, all);
        if (ok) asking_.answered(now, peer);
        else asking_.missed(now, peer);
      });
}

void Herald::answer(const v1::Question& question, v1::Bulletin& bulletin) {
  std::map<std::string, fleet::Mark> marks;
  for (const v1::Mark& mark : question.marks()) marks[mark.agent()] = {mark.incarnation(), mark.through()};
  for (const fleet::News& news : bulletin_.answer(stage_.loop().now(), marks))
    *bulletin.add_news() = to_wire(news);
}

void Herald::tell(v1::Shown& shown) const {
  const Span now = stage_.loop().now();
  for (const std::string& agent : bulletin_.agents()) {
    const fleet::Bulletin::Known known = bulletin_.known(now, agent);
    v1::Heard& to = *shown.add_heard();
    to.set_agent(agent), to.set_incarnation(known.mark.incarnation), to.set_number(known.mark.through);
    to.set_freshness(std::string(word_for(known.freshness))), to.set_disputed(known.disputed);
    to.set_ever(known.age.has_value());
    if (known.age) to.set_age_ms(static_cast<std::uint64_t>(duration_cast<milliseconds>(*known.age).count()));
    for (const auto& [instance, word] : bulletin_.words(agent)) *to.add_words() = to_wire(word);
  }
  shown.set_speaks(bulletin_.speaks());
}

}  // namespace pearchute::agent
