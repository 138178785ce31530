#include "fleet/drains.h"

#include <algorithm>

namespace pearchute::fleet {

namespace {

// How long it is remembered that a holder has restored a subject, so that a drain which that one overtook is
// known to be older. Calls end within seconds; a command line that was stopped and goes on may take minutes.
constexpr Span restores_known_for = std::chrono::hours(1);

constexpr std::string_view everyone = "";

}  // namespace

std::string_view word_for(Standing standing) {
  return standing == Standing::up ? "up" : standing == Standing::draining ? "draining" : "gone";
}

std::string_view word_for(Verdict verdict) {
  switch (verdict) {
    case Verdict::done:
      return "done";
    case Verdict::repeated:
      return "repeated";
    case Verdict::stale:
      return "stale";
    case Verdict::conflict:
      return "conflict";
    case Verdict::full:
      return "full";
    case Verdict::unusable:
      return "unusable";
  }
  return "unusable";
}

bool Drains::usable(const Order& order) const {
  const auto name = [](const std::string& text, bool may_be_empty) {
    return (may_be_empty || !text.empty()) && text.size() <= longest_name &&
           std::ranges::all_of(text, [](unsigned char c) { return c > 0x20 && c != 0x7f; });
  };
  if (!name(order.id, false) || !name(order.holder, false) || !name(order.subject, true)) return false;
  if (order.subject == "@" || order.generation == 0) return false;
  const bool text = std::ranges::none_of(order.reason, [](unsigned char c) { return c < 0x20 || c == 0x7f; });
  if (!text || order.reason.size() > longest_reason) return false;
  return order.drains ? order.lease > Span(0) && order.lease <= longest_lease && !order.everyone : true;
}

std::size_t Drains::orders() const {
  std::size_t count = 0;
  for (const auto& [subject, holders] : subjects_) count += holders.size();
  return count;
}

bool Drains::held(const std::string& subject) const {
  const auto at = subjects_.find(subject);
  return at != subjects_.end() &&
         std::ranges::any_of(at->second, [](const auto& one) { return one.second.order.drains; });
}

bool Drains::manager_drains() const { return held(""); }

Standing Drains::merged(const std::string& engine, const Listed& listed) const {
  if (listed.said != Standing::up) return listed.said;
  const bool ordered = held(engine) || (!listed.address.empty() && held("@" + listed.address));
  return ordered ? Standing::draining : Standing::up;
}

Standing Drains::standing(const std::string& engine) const {
  const auto at = engines_.find(engine);
  return at == engines_.end() ? Standing::gone : merged(engine, at->second);
}

Standing Drains::channel_said(Span, const std::string& engine, const std::string& address, Standing said) {
  if (said == Standing::gone) {
    engines_.erase(engine);
    return said;
  }
  Listed& listed = engines_[engine];
  if (!address.empty()) listed.address = address;
  listed.said = said;
  return listed.told = merged(engine, listed);
}

void Drains::channel_told_all(Span, const std::set<std::string>& engines) {
  std::erase_if(engines_, [&](const auto& one) { return !engines.contains(one.first); });
}

Verdict Drains::ordered(Span now, const Order& order) {
  if (!usable(order)) return Verdict::unusable;
  Subject& holders = subjects_[order.subject];
  const auto own = holders.find(order.holder);
  const auto all = holders.find(std::string(everyone));
  Verdict verdict = Verdict::done;
  for (const auto& [name, one] : holders) {
    if (one.order.id == order.id && one.order.generation == order.generation) verdict = Verdict::repeated;
  }
  // What it is held against: its holder's last word, and the last that was said for everyone. One that itself
  // speaks for everyone ends what is older whatever its holder has said since.
  for (const auto& at : {own, all}) {
    if (verdict != Verdict::done || at == holders.end() || (order.everyone && at == own)) continue;
    const Order& other = at->second.order;
    if (order.generation < other.generation) verdict = Verdict::stale;
    // Of the same generation the one that drains stands, whichever comes first.
    else if (order.generation == other.generation && (other.drains || !order.drains))
      verdict = Verdict::conflict;
  }
  if (verdict == Verdict::done && own == holders.end() && orders() >= most_orders) verdict = Verdict::full;
  if (verdict == Verdict::done) {
    const Span until = now + (order.drains ? order.lease : restores_known_for);
    if (!order.drains && order.everyone) {
      std::erase_if(holders, [&](const auto& one) { return one.second.order.generation < order.generation; });
      holders[std::string(everyone)] = {order, now, until};
    } else {
      holders[order.holder] = {order, now, until};
    }
    newest_ = std::max(newest_, order.generation);
    host_.remark(std::string(order.drains ? "drain" : "restore") + " of " +
                 (order.subject.empty() ? "this manager" : order.subject) + " by " + order.holder);
  }
  if (holders.empty()) subjects_.erase(order.subject);
  if (verdict != Verdict::done) return verdict;
  host_.orders_changed();
  settle();
  return verdict;
}

void Drains::remembered(Span now, const Order& order, Span left) {
  if (!usable(order) || orders() >= most_orders) return;
  newest_ = std::max(newest_, order.generation);
  if (left <= Span(0)) return;
  const std::string holder = order.everyone ? std::string(everyone) : order.holder;
  subjects_[order.subject][holder] = {order, now, now + std::min(left, longest_lease)};
  settle();
}

void Drains::woken(Span now) {
  bool changed = false;
  for (auto& [subject, holders] : subjects_) {
    std::erase_if(holders, [&](const auto& one) {
      if (one.second.until > now) return false;
      changed = true;
      if (one.second.order.drains)
        host_.remark("the lease of " + one.second.order.holder + " on " +
                     (subject.empty() ? "this manager" : subject) + " has run out");
      return true;
    });
  }
  std::erase_if(subjects_, [](const auto& one) { return one.second.empty(); });
  if (changed) host_.orders_changed();
  settle();
}

// Tells what is other than it was last told, and when the next lease ends.
void Drains::settle() {
  std::optional<Span> next;
  for (const auto& [subject, holders] : subjects_) {
    for (const auto& [holder, one] : holders) next = std::min(next.value_or(one.until), one.until);
  }
  if (next) host_.wake_at(*next);
  // The host may call in again; what it is told is fixed before.
  std::vector<std::pair<std::string, Standing>> news;
  for (auto& [name, listed] : engines_) {
    const Standing is = merged(name, listed);
    if (is != listed.told) news.emplace_back(name, listed.told = is);
  }
  const bool drains = manager_drains(), turned = drains != manager_told_;
  manager_told_ = drains;
  for (const auto& [name, standing] : news) host_.engine_stands(name, standing);
  if (turned) host_.manager_drains(drains);
}

std::vector<Held> Drains::all() const {
  std::vector<Held> result;
  for (const auto& [subject, holders] : subjects_) {
    for (const auto& [holder, one] : holders) result.push_back(one);
  }
  return result;
}

std::vector<Held> Drains::in_force() const {
  std::vector<Held> result = all();
  std::erase_if(result, [](const Held& one) { return !one.order.drains; });
  return result;
}

std::vector<Held> Drains::in_force(const std::string& engine) const {
  std::vector<Held> result;
  const auto at = engines_.find(engine);
  const auto add = [&](const std::string& subject) {
    const auto holders = subjects_.find(subject);
    if (holders == subjects_.end()) return;
    for (const auto& [holder, one] : holders->second)
      if (one.order.drains) result.push_back(one);
  };
  // In the order of subjects, as all orders are told.
  if (at != engines_.end()) add("@" + at->second.address);
  add(engine);
  return result;
}

}  // namespace pearchute::fleet
