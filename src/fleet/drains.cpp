#include "fleet/drains.h"

#include <algorithm>

namespace pearchute::fleet {

namespace {

// How long a restore is remembered, so that a delayed drain of an older generation is recognized as stale.
// Calls end within seconds, but a command line that was suspended and continued may take minutes.
constexpr Duration restore_retention = std::chrono::hours(1);
// Key in Holders under which a restore for all holders is stored.
const std::string all_holders_key;

constexpr unsigned char space = 0x20;
constexpr unsigned char delete_character = 0x7f;

bool is_name(const std::string& text) {
  return text.size() <= Drains::max_name_bytes &&
         std::ranges::all_of(text, [](unsigned char c) { return c > space && c != delete_character; });
}

bool is_printable(const std::string& text) {
  return std::ranges::none_of(text, [](unsigned char c) { return c < space || c == delete_character; });
}

bool is_valid(const DrainDirective& directive) {
  if (directive.id.empty() || !is_name(directive.id)) return false;
  if (directive.holder.empty() || !is_name(directive.holder)) return false;
  if (!is_name(directive.subject) || directive.subject == "@") return false;
  if (directive.generation == 0) return false;
  if (!is_printable(directive.reason) || directive.reason.size() > Drains::max_reason_bytes) return false;
  if (!directive.drains) return true;
  return directive.lease > Duration(0) && directive.lease <= Drains::max_lease && !directive.all_holders;
}

std::string subject_text(const std::string& subject) { return subject.empty() ? "this manager" : subject; }

}  // namespace

std::string_view name_of(AdminState state) {
  constexpr std::string_view names[] = {"up", "draining", "gone"};
  return names[static_cast<int>(state)];
}

std::string_view name_of(DirectiveResult result) {
  constexpr std::string_view names[] = {"done", "repeated", "stale", "conflict", "full", "unusable"};
  return names[static_cast<int>(result)];
}

std::size_t Drains::directive_count() const {
  std::size_t count = 0;
  for (const auto& [subject, holders] : subjects_) count += holders.size();
  return count;
}

// ---- States

bool Drains::has_drain(const std::string& subject) const {
  const auto holders = subjects_.find(subject);
  return holders != subjects_.end() &&
         std::ranges::any_of(holders->second, [](const auto& holder) { return holder.second.order.drains; });
}

bool Drains::manager_drains() const { return has_drain(""); }

AdminState Drains::merged(const std::string& engine, const ListedEngine& listed) const {
  if (listed.discovered != AdminState::up) return listed.discovered;
  const bool drains = has_drain(engine) || (!listed.address.empty() && has_drain("@" + listed.address));
  return drains ? AdminState::draining : AdminState::up;
}

AdminState Drains::state_of(const std::string& engine) const {
  const auto listed = engines_.find(engine);
  return listed == engines_.end() ? AdminState::gone : merged(engine, listed->second);
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
  listed.announced = merged(engine, listed);
  return listed.announced;
}

void Drains::on_discovery_snapshot(TimePoint, const std::set<std::string>& engines) {
  std::erase_if(engines_, [&](const auto& listed) { return !engines.contains(listed.first); });
}

// ---- Directives

DirectiveResult Drains::apply(TimePoint now, const DrainDirective& directive) {
  if (!is_valid(directive)) return DirectiveResult::unusable;
  Holders& holders = subjects_[directive.subject];
  const DirectiveResult result = check(directive, holders);
  if (result == DirectiveResult::done) put(now, directive, holders);
  if (holders.empty()) subjects_.erase(directive.subject);
  if (result != DirectiveResult::done) return result;
  host_.directives_changed();
  announce_changes();
  return result;
}

DirectiveResult Drains::check(const DrainDirective& directive, const Holders& holders) const {
  for (const auto& [name, active] : holders) {
    if (active.order.id == directive.id && active.order.generation == directive.generation)
      return DirectiveResult::repeated;
  }
  // The directive is compared with its holder's last one and with the last restore for all holders. A restore
  // for all holders is not compared with its own holder's directive: it ends older directives whatever that
  // holder has sent since.
  const auto own = holders.find(directive.holder);
  const auto common = holders.find(all_holders_key);
  for (const auto& other : {own, common}) {
    if (other == holders.end() || (directive.all_holders && other == own)) continue;
    const DrainDirective& present = other->second.order;
    if (directive.generation < present.generation) return DirectiveResult::stale;
    // Of two directives of the same generation the drain wins, whichever arrives first.
    if (directive.generation == present.generation && (present.drains || !directive.drains))
      return DirectiveResult::conflict;
  }
  if (own == holders.end() && directive_count() >= max_directives) return DirectiveResult::full;
  return DirectiveResult::done;
}

void Drains::put(TimePoint now, const DrainDirective& directive, Holders& holders) {
  const TimePoint until = now + (directive.drains ? directive.lease : restore_retention);
  const bool restores_all = !directive.drains && directive.all_holders;
  if (restores_all) {
    std::erase_if(holders,
                  [&](const auto& holder) { return holder.second.order.generation < directive.generation; });
  }
  holders[restores_all ? all_holders_key : directive.holder] = {directive, now, until};
  newest_generation_ = std::max(newest_generation_, directive.generation);
  host_.log(std::string(directive.drains ? "drain" : "restore") + " of " + subject_text(directive.subject) +
            " by " + directive.holder);
}

void Drains::restore(TimePoint now, const DrainDirective& directive, Duration left) {
  if (!is_valid(directive) || directive_count() >= max_directives) return;
  newest_generation_ = std::max(newest_generation_, directive.generation);
  if (left <= Duration(0)) return;
  const std::string& holder = directive.all_holders ? all_holders_key : directive.holder;
  subjects_[directive.subject][holder] = {directive, now, now + std::min(left, max_lease)};
  announce_changes();
}

void Drains::on_timer(TimePoint now) {
  bool changed = false;
  for (auto& [subject, holders] : subjects_) {
    const std::string& name = subject;  // a lambda of clang 14 can't capture a structured binding
    std::erase_if(holders, [&](const auto& holder) {
      const ActiveDirective& active = holder.second;
      if (active.until > now) return false;
      changed = true;
      if (active.order.drains)
        host_.log("the lease of " + active.order.holder + " on " + subject_text(name) + " has run out");
      return true;
    });
  }
  std::erase_if(subjects_, [](const auto& subject) { return subject.second.empty(); });
  if (changed) host_.directives_changed();
  announce_changes();
}

void Drains::schedule_timer() {
  std::optional<TimePoint> next;
  for (const auto& [subject, holders] : subjects_) {
    for (const auto& [holder, active] : holders) next = std::min(next.value_or(active.until), active.until);
  }
  if (next) host_.wake_at(*next);
}

// Reports to the host all states that differ from those announced before.
void Drains::announce_changes() {
  schedule_timer();
  // All changes are collected before the first is announced, since the host may call back into this object.
  std::vector<std::pair<std::string, AdminState>> changes;
  for (auto& [name, listed] : engines_) {
    const AdminState state = merged(name, listed);
    if (state == listed.announced) continue;
    listed.announced = state;
    changes.emplace_back(name, state);
  }
  const bool drains = manager_drains();
  const bool manager_changed = drains != manager_announced_;
  manager_announced_ = drains;
  for (const auto& [name, state] : changes) host_.engine_state_changed(name, state);
  if (manager_changed) host_.manager_drains(drains);
}

// ---- Lists

std::vector<ActiveDirective> Drains::all() const {
  std::vector<ActiveDirective> directives;
  for (const auto& [subject, holders] : subjects_) {
    for (const auto& [holder, active] : holders) directives.push_back(active);
  }
  return directives;
}

std::vector<ActiveDirective> Drains::in_force() const {
  std::vector<ActiveDirective> directives = all();
  std::erase_if(directives, [](const ActiveDirective& active) { return !active.order.drains; });
  return directives;
}

std::vector<ActiveDirective> Drains::in_force(const std::string& engine) const {
  std::vector<ActiveDirective> directives;
  const auto add = [&](const std::string& subject) {
    const auto holders = subjects_.find(subject);
    if (holders == subjects_.end()) return;
    for (const auto& [holder, active] : holders->second) {
      if (active.order.drains) directives.push_back(active);
    }
  };
  // Directives on the address come first, so that the list is sorted by subject like the other lists.
  const auto listed = engines_.find(engine);
  if (listed != engines_.end()) add("@" + listed->second.address);
  add(engine);
  return directives;
}

}  // namespace pearchute::fleet
