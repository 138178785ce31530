#include "fleet/drains.h"

#include <algorithm>

namespace pearchute::fleet {

namespace {

// How long it is remembered that a holder has restored a subject, so that a drain which that one overtook is
// known to be older. Calls end within seconds; a command line that was stopped and goes on may take minutes.
constexpr Duration restore_retention = std::chrono::hours(1);

constexpr std::string_view all_holders = "";

}  // namespace

std::string_view name_of(AdminState state_of) {
  return state_of == AdminState::up ? "up" : state_of == AdminState::draining ? "draining" : "gone";
}

std::string_view name_of(DirectiveResult verdict) {
  switch (verdict) {
    case DirectiveResult::done:
      return "done";
    case DirectiveResult::repeated:
      return "repeated";
    case DirectiveResult::stale:
      return "stale";
    case DirectiveResult::conflict:
      return "conflict";
    case DirectiveResult::full:
      return "full";
    case DirectiveResult::unusable:
      return "unusable";
  }
  return "unusable";
}

bool Drains::is_valid(const DrainDirective& order) const {
  const auto name = [](const std::string& text, bool may_be_empty) {
    return (may_be_empty || !text.empty()) && text.size() <= max_name_bytes &&
           std::ranges::all_of(text, [](unsigned char c) { return c > 0x20 && c != 0x7f; });
  };
  if (!name(order.id, false) || !name(order.holder, false) || !name(order.subject, true)) return false;
  if (order.subject == "@" || order.generation == 0) return false;
  const bool text = std::ranges::none_of(order.reason, [](unsigned char c) { return c < 0x20 || c == 0x7f; });
  if (!text || order.reason.size() > max_reason_bytes) return false;
  return order.drains ? order.lease > Duration(0) && order.lease <= max_lease && !order.all_holders : true;
}

std::size_t Drains::directive_count() const {
  std::size_t count = 0;
  for (const auto& [subject, holders] : subjects_) count += holders.size();
  return count;
}

bool Drains::has_drain(const std::string& subject) const {
  const auto at = subjects_.find(subject);
  return at != subjects_.end() &&
         std::ranges::any_of(at->second, [](const auto& entry) { return entry.second.order.drains; });
}

bool Drains::manager_drains() const { return has_drain(""); }

AdminState Drains::merged(const std::string& engine, const ListedEngine& listed) const {
  if (listed.discovered != AdminState::up) return listed.discovered;
  const bool apply = has_drain(engine) || (!listed.address.empty() && has_drain("@" + listed.address));
  return apply ? AdminState::draining : AdminState::up;
}

AdminState Drains::state_of(const std::string& engine) const {
  const auto at = engines_.find(engine);
  return at == engines_.end() ? AdminState::gone : merged(engine, at->second);
}

AdminState Drains::on_discovery_update(TimePoint, const std::string& engine, const std::string& address,
                                       AdminState discovered) {
  if (discovered == AdminState::gone) {
    engines_.erase(engine);
    return discovered;
  }
  ListedEngine& listed = engines_[engine];
  if (!address.empty()) listed.address = address;
  listed.discovered = discovered;
  return listed.announced = merged(engine, listed);
}

void Drains::on_discovery_snapshot(TimePoint, const std::set<std::string>& engines) {
  std::erase_if(engines_, [&](const auto& entry) { return !engines.contains(entry.first); });
}

DirectiveResult Drains::apply(TimePoint now, const DrainDirective& order) {
  if (!is_valid(order)) return DirectiveResult::unusable;
  Subject& holders = subjects_[order.subject];
  const auto own = holders.find(order.holder);
  const auto all = holders.find(std::string(all_holders));
  DirectiveResult verdict = DirectiveResult::done;
  for (const auto& [name, entry] : holders) {
    if (entry.order.id == order.id && entry.order.generation == order.generation)
      verdict = DirectiveResult::repeated;
  }
  // What it is held against: its holder's last word, and the last that was said for everyone. One that itself
  // speaks for everyone ends what is older whatever its holder has said since.
  for (const auto& at : {own, all}) {
    if (verdict != DirectiveResult::done || at == holders.end() || (order.all_holders && at == own)) continue;
    const DrainDirective& other = at->second.order;
    if (order.generation < other.generation) verdict = DirectiveResult::stale;
    // Of the same generation the one that drains stands, whichever comes first.
    else if (order.generation == other.generation && (other.drains || !order.drains))
      verdict = DirectiveResult::conflict;
  }
  if (verdict == DirectiveResult::done && own == holders.end() && directive_count() >= max_directives)
    verdict = DirectiveResult::full;
  if (verdict == DirectiveResult::done) {
    const TimePoint until = now + (order.drains ? order.lease : restore_retention);
    if (!order.drains && order.all_holders) {
      std::erase_if(holders,
                    [&](const auto& entry) { return entry.second.order.generation < order.generation; });
      holders[std::string(all_holders)] = {order, now, until};
    } else {
      holders[order.holder] = {order, now, until};
    }
    newest_generation_ = std::max(newest_generation_, order.generation);
    host_.log(std::string(order.drains ? "drain" : "restore") + " of " +
              (order.subject.empty() ? "this manager" : order.subject) + " by " + order.holder);
  }
  if (holders.empty()) subjects_.erase(order.subject);
  if (verdict != DirectiveResult::done) return verdict;
  host_.directives_changed();
  announce_changes();
  return verdict;
}

void Drains::restore(TimePoint now, const DrainDirective& order, Duration left) {
  if (!is_valid(order) || directive_count() >= max_directives) return;
  newest_generation_ = std::max(newest_generation_, order.generation);
  if (left <= Duration(0)) return;
  const std::string holder = order.all_holders ? std::string(all_holders) : order.holder;
  subjects_[order.subject][holder] = {order, now, now + std::min(left, max_lease)};
  announce_changes();
}

void Drains::on_timer(TimePoint now) {
  bool changed = false;
  for (auto& [subject, holders] : subjects_) {
    std::erase_if(holders, [&](const auto& entry) {
      if (entry.second.until > now) return false;
      changed = true;
      if (entry.second.order.drains)
        host_.log("the lease of " + entry.second.order.holder + " on " +
                  (subject.empty() ? "this manager" : subject) + " has run out");
      return true;
    });
  }
  std::erase_if(subjects_, [](const auto& entry) { return entry.second.empty(); });
  if (changed) host_.directives_changed();
  announce_changes();
}

// Tells what is other than it was last told, and when the next lease ends.
void Drains::announce_changes() {
  std::optional<TimePoint> next;
  for (const auto& [subject, holders] : subjects_) {
    for (const auto& [holder, entry] : holders) next = std::min(next.value_or(entry.until), entry.until);
  }
  if (next) host_.wake_at(*next);
  // The host may call in again; what it is told is fixed before.
  std::vector<std::pair<std::string, AdminState>> news;
  for (auto& [name, listed] : engines_) {
    const AdminState is = merged(name, listed);
    if (is != listed.announced) news.emplace_back(name, listed.announced = is);
  }
  const bool drains = manager_drains(), turned = drains != manager_announced_;
  manager_announced_ = drains;
  for (const auto& [name, state_of] : news) host_.engine_state_changed(name, state_of);
  if (turned) host_.manager_drains(drains);
}

std::vector<ActiveDirective> Drains::all() const {
  std::vector<ActiveDirective> result;
  for (const auto& [subject, holders] : subjects_) {
    for (const auto& [holder, entry] : holders) result.push_back(entry);
  }
  return result;
}

std::vector<ActiveDirective> Drains::in_force() const {
  std::vector<ActiveDirective> result = all();
  std::erase_if(result, [](const ActiveDirective& entry) { return !entry.order.drains; });
  return result;
}

std::vector<ActiveDirective> Drains::in_force(const std::string& engine) const {
  std::vector<ActiveDirective> result;
  const auto at = engines_.find(engine);
  const auto add = [&](const std::string& subject) {
    const auto holders = subjects_.find(subject);
    if (holders == subjects_.end()) return;
    for (const auto& [holder, entry] : holders->second)
      if (entry.order.drains) result.push_back(entry);
  };
  // In the order of subjects, as all orders are told.
  if (at != engines_.end()) add("@" + at->second.address);
  add(engine);
  return result;
}

}  // namespace pearchute::fleet
