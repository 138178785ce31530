#include "fleet/gossip_state.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace pearchute::fleet {

namespace {

// Traffic moves all the time; said anew for each tenth of it, a busy host would fill every answer.
bool moved(double before, double now, double least) {
  return std::abs(now - before) > std::max(least, 0.25 * std::max(before, now));
}

bool differs_enough(const StatusReport& said, const StatusReport& now) {
  return std::tie(said.zone, said.condition, said.life) != std::tie(now.zone, now.condition, now.life) ||
         moved(said.traffic, now.traffic, 1) || moved(said.done, now.done, 0.05) ||
         moved(static_cast<double>(said.open), static_cast<double>(now.open), 4);
}

// Seeds that were drawn one after another give generators of this kind outputs in common; two lives of an
// agent must not draw the same.
std::knuth_b::result_type stirred(std::uint64_t seed) {
  seed = (seed ^ (seed >> 30)) * 0xBF58476D1CE4E5B9ULL;
  seed = (seed ^ (seed >> 27)) * 0x94D049BB133111EBULL;
  return static_cast<std::knuth_b::result_type>(seed ^ (seed >> 31));
}

// Any order over all words will do, so long as everybody has the same.
auto rank(const StatusReport& word) {
  return std::tie(word.instance, word.zone, word.condition, word.life, word.lived, word.traffic, word.done,
                  word.open);
}
bool greater(const std::optional<StatusReport>& a, const std::optional<StatusReport>& b) {
  if (!a || !b) return a.has_value() && !b.has_value();
  return rank(*a) > rank(*b);
}

}  // namespace

std::string_view word_for(Freshness freshness) {
  constexpr std::string_view words[] = {"unknown", "old", "fresh"};
  return words[static_cast<int>(freshness)];
}

GossipState::GossipState(Host& host, std::string self, std::uint64_t incarnation, std::uint64_t seed,
                         std::size_t most_in_answer)
    : host_(host), chance_(stirred(seed)), self_(std::move(self)), most_in_answer_(most_in_answer) {
  begin_incarnation(incarnation);
}

// Before a word is said under it, it is on disk: else the next start would speak under it again, with numbers
// from nothing, and be taken for a repeat.
void GossipState::begin_incarnation(std::uint64_t above) {
  own_ = {};
  own_.mark.incarnation = ((above >> 32) + 1) << 32 | (chance_() & 0xffffffff);
  gone_ = 0, said_ = false;
  speaks_ = host_.keep_incarnation(own_.mark.incarnation);
}

void GossipState::charter(const std::set<std::string>& agents) {
  std::erase_if(others_, [&](const auto& one) { return !agents.contains(one.first); });
  for (const std::string& agent : agents) {
    if (agent != self_) others_.try_emplace(agent);
  }
}

// ---- What this agent says

void GossipState::say(const std::vector<StatusReport>& words) {
  last_.clear();
  for (const StatusReport& word : words) {
    if (last_.size() < most_instances) last_.emplace(word.instance, word);
  }
  looked_ = true;
  state();
}

void GossipState::state() {
  if (!speaks_) {
    begin_incarnation(own_.mark.incarnation);  // the disk may be mended by now
    if (!speaks_) return;
  }
  std::vector<std::string> gone;
  for (const auto& [instance, entry] : own_.by_instance) {
    if (entry.word && !last_.contains(instance)) gone.push_back(instance);
  }
  if (gone_ + gone.size() > most_gone) {
    begin_incarnation(own_.mark.incarnation);
    if (!speaks_) return;
    gone.clear();
  }
  for (const std::string& instance : gone) {
    put(own_, {++own_.mark.through, instance, std::nullopt});
    ++gone_;
  }
  for (const auto& [instance, word] : last_) {
    const auto at = own_.by_instance.find(instance);
    const bool stands = at != own_.by_instance.end() && at->second.word;
    if (stands && !differs_enough(*at->second.word, word)) continue;
    if (at != own_.by_instance.end() && !stands) --gone_;  // it is owned again
    put(own_, {++own_.mark.through, instance, word});
  }
  said_ = true;
}

// Somebody has heard this name with more than was said under it: its own past, where the disk was lost or an
// older copy of it put back, or another agent of the same name.
void GossipState::overruled(const ReportDelta& news) {
  if (news.upto.incarnation < own_.mark.incarnation) return;
  if (news.upto.incarnation == own_.mark.incarnation && news.upto.through <= own_.mark.through) return;
  host_.told(self_, "others have heard more under this agent's name; it begins another incarnation");
  begin_incarnation(news.upto.incarnation);
  if (looked_) state();
}

// ---- What is merged

void GossipState::put(Board& board, const Entry& entry) {
  const auto [at, is_new] = board.by_instance.try_emplace(entry.instance, entry);
  if (!is_new) {
    Entry& held = at->second;
    if (held.number > entry.number) return;
    if (held.number == entry.number) {
      // One writer never says two things under one number: two speak under its name. All keep the same one.
      if (held != entry) board.disputed = true;
      if (greater(entry.word, held.word)) held.word = entry.word;
      return;
    }
    board.by_number.erase(held.number);
    held = entry;
  }
  const auto [slot, free] = board.by_number.try_emplace(entry.number, entry.instance);
  if (!free && slot->second != entry.instance) board.disputed = true;
}

bool GossipState::fits(const Entry& entry) {
  return entry.instance.size() <= longest_name && (!entry.word || entry.word->zone.size() <= longest_name);
}

// False where it is of no use, or not yet.
bool GossipState::merge(Board& board, const ReportDelta& news) {
  const ReportVersion& upto = news.upto;
  if (upto.incarnation < board.mark.incarnation) return false;
  if (board.parts && board.parts->incarnation < upto.incarnation) board.parts.reset();
  // No agent of this kind says so much, or in such words: what it says stays unknown.
  const std::size_t held = board.parts ? board.parts->entries.size() : 0;
  if (held + news.entries.size() > 2 * (most_instances + most_gone) ||
      !std::ranges::all_of(news.entries, fits))
    return false;
  const bool later = upto.incarnation > board.mark.incarnation;
  const std::uint64_t base = later ? 0 : board.mark.through;
  const bool last = news.through >= upto.through;
  std::vector<Entry> staged;
  if (news.since > base || !last) {
    const bool goes_on = board.parts && board.parts->incarnation == upto.incarnation &&
                         news.since <= board.parts->resume && upto.through >= board.parts->target;
    // Entries above a number are of no use to one that does not know all below it.
    if (!goes_on && news.since > base) return false;
    if (!goes_on) {
      // A first part does not put back one that is further on.
      if (board.parts && board.parts->resume >= news.through) return false;
      board.parts = Parts{upto.incarnation, 0, 0, {}};
    }
    Parts& parts = *board.parts;
    parts.entries.insert(parts.entries.end(), news.entries.begin(), news.entries.end());
    parts.resume = std::max(parts.resume, news.through), parts.target = std::max(parts.target, upto.through);
    if (!last) return false;
    staged = std::move(parts.entries);
  }
  if (later) {
    const Freshness told = board.told;
    board = {};
    board.told = told, board.mark.incarnation = upto.incarnation;
  }
  for (const Entry& entry : staged) put(board, entry);
  for (const Entry& entry : news.entries) put(board, entry);
  board.mark.through = std::max(board.mark.through, upto.through);
  if (board.parts && board.parts->target <= board.mark.through) board.parts.reset();
  return true;
}

bool GossipState::heard(Span now, Span asked, const std::vector<ReportDelta>& all) {
  bool of_use = false;
  for (const ReportDelta& news : all) {
    if (news.agent == self_) {
      overruled(news);
      continue;
    }
    const auto at = others_.find(news.agent);
    if (at == others_.end()) continue;  // not in this charter, whatever the teller's says
    Board& board = at->second;
    if (!merge(board, news)) continue;
    // That this was all it had said then is worth something now that all of it is here.
    if (news.age_known && !board.disputed) {
      const Span as_of = asked - std::max(news.age, Span(0));
      if (!board.as_of || as_of > *board.as_of) board.as_of = as_of;
    }
    of_use = true;
    tell(now, news.agent, board);
  }
  return of_use;
}

std::map<std::string, ReportVersion> GossipState::marks() const {
  std::map<std::string, ReportVersion> all;
  for (const auto& [agent, board] : others_)
    all[agent] = board.parts ? ReportVersion{board.parts->incarnation, board.parts->resume} : board.mark;
  return all;
}

// The own word first, then the others' in turn, so that none is left out for ever by those before it.
std::vector<ReportDelta> GossipState::answer(Span now, const std::map<std::string, ReportVersion>& marks) {
  std::vector<ReportDelta> all;
  std::size_t room = most_in_answer_;
  const auto add = [&](const std::string& agent, const Board& board, std::optional<Span> as_of) {
    if (board.mark.incarnation == 0) return;
    const auto at = marks.find(agent);
    const ReportVersion theirs = at == marks.end() ? ReportVersion{} : at->second;
    if (theirs.incarnation > board.mark.incarnation) return;
    ReportDelta news;
    news.agent = agent, news.upto = board.mark;
    if (theirs.incarnation == board.mark.incarnation) news.since = theirs.through;
    news.through = std::max(news.since, board.mark.through);
    if (as_of) news.age_known = true, news.age = now - *as_of;
    for (auto one = board.by_number.upper_bound(news.since);
         one != board.by_number.end() && one->first <= board.mark.through; ++one) {
      const Entry& entry = board.by_instance.at(one->second);
      const std::size_t size = bytes_of(entry);
      if (size > room) {
        news.through = news.entries.empty() ? news.since : news.entries.back().number;
        break;
      }
      room -= size;
      news.entries.push_back(entry);
    }
    all.push_back(std::move(news));
  };
  if (said_) add(self_, own_, now);  // to have said nothing yet is not to own nothing
  if (others_.empty()) return all;
  const std::size_t first = turn_++ % others_.size();
  for (std::size_t n = 0; n < others_.size(); ++n) {
    const auto at = std::next(others_.begin(), static_cast<std::ptrdiff_t>((first + n) % others_.size()));
    add(at->first, at->second, at->second.disputed ? std::nullopt : at->second.as_of);
  }
  return all;
}

// ---- What is known

Freshness GossipState::freshness_of(Span now, const Board& board) const {
  if (!board.as_of || board.disputed || now - *board.as_of > old_for) return Freshness::unknown;
  return now - *board.as_of <= fresh_for ? Freshness::fresh : Freshness::old;
}

void GossipState::tell(Span now, const std::string& agent, Board& board) {
  const Freshness is = freshness_of(now, board);
  if (std::exchange(board.told, is) == is) return;
  host_.told(agent, board.disputed ? "two speak under its name" : word_for(is));
}

void GossipState::woken(Span now) {
  for (auto& [agent, board] : others_) tell(now, agent, board);
}

GossipState::Known GossipState::known(Span now, const std::string& agent) const {
  Known known;
  const auto at = others_.find(agent);
  if (agent != self_ && at == others_.end()) return known;
  const Board& board = agent == self_ ? own_ : at->second;
  known.mark = board.mark, known.disputed = board.disputed;
  known.stated = static_cast<std::uint64_t>(
      std::ranges::count_if(board.by_instance, [](const auto& one) { return one.second.word.has_value(); }));
  if (agent == self_) {
    if (speaks_) known.age = Span(0), known.freshness = Freshness::fresh;
    return known;
  }
  if (board.as_of) known.age = now - *board.as_of;
  known.freshness = freshness_of(now, board);
  return known;
}

std::map<std::string, StatusReport> GossipState::words(const std::string& agent) const {
  std::map<std::string, StatusReport> all;
  if (agent == self_) return last_;  // of itself it knows more than it has said
  const auto at = others_.find(agent);
  if (at == others_.end()) return all;
  for (const auto& [instance, entry] : at->second.by_instance) {
    if (entry.word) all.emplace(instance, *entry.word);
  }
  return all;
}

std::set<std::string> GossipState::agents() const {
  std::set<std::string> all;
  for (const auto& [agent, board] : others_) all.insert(agent);
  return all;
}

std::size_t GossipState::bytes_of(const Entry& entry) {
  // Numbers, and what surrounds a field of a message.
  return 48 + 2 * entry.instance.size() + (entry.word ? 48 + entry.word->zone.size() : 0);
}

std::size_t GossipState::bytes() const {
  std::size_t sum = 0;
  const auto add = [&](const Board& board) {
    for (const auto& [instance, entry] : board.by_instance) sum += bytes_of(entry);
    if (!board.parts) return;
    for (const Entry& entry : board.parts->entries) sum += bytes_of(entry);
  };
  add(own_);
  for (const auto& [agent, board] : others_) add(board);
  return sum;
}

}  // namespace pearchute::fleet
