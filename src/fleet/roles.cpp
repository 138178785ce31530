#include "fleet/roles.h"

#include <array>

namespace pearchute::fleet {

namespace {

constexpr std::array<std::string_view, 4> role_names = {"read", "operate", "admin", "agent"};

}  // namespace

std::optional<Role> parse_role(std::string_view name) {
  for (std::size_t i = 0; i < role_names.size(); ++i) {
    if (role_names[i] == name) return static_cast<Role>(i);
  }
  return std::nullopt;
}

std::string_view name_of(Role role) { return role_names[static_cast<std::size_t>(role)]; }

std::optional<std::string> denial_reason(Role role, Action action, std::string_view who,
                                         std::string_view as) {
  if (action == Action::look || role == Role::agent) return std::nullopt;
  if (role == Role::read) return "the role read changes nothing";
  if (action == Action::take_over && role != Role::admin) return "a take-over needs the role admin";
  if (!as.empty() && as != who) return std::string(who) + " may not act as " + std::string(as);
  return std::nullopt;
}

}  // namespace pearchute::fleet
